//! Continues streams on other servers.

use super::Relay;
use super::end::End;
use super::part::ServerPart;
use crate::attempt;
use crate::clock;
use crate::generate::{self, OpenStream};

impl Relay {
    /// Continues after the last event on another server, in place of one that failed.
    pub(super) async fn reopen(&mut self) -> Result<OpenStream, End> {
        let last_event = self.last_event.clone();
        // Boxed: most streams never need this future, and each would reserve room for it otherwise.
        let reopen = Box::pin(generate::open(
            &self.node,
            &self.job,
            &mut self.state,
            last_event,
        ));
        tokio::select! {
            reopened = reopen => {
                reopened.map_err(|refusal| End::Failed(refusal.kind.label().to_string()))
            }
            () = self.body_sender.closed() => Err(End::CallerLeft),
        }
    }

    /// Looks for another server to continue after the last event, in place of a silent one. The silent server is
    /// abandoned only when another one has begun. A stream that no other server can continue, because the host is
    /// stopping or all servers are busy, lives as long as its server does.
    ///
    /// Returns `None` if the silent server continues.
    pub(super) async fn find_replacement(
        &mut self,
        part: &mut ServerPart,
    ) -> Result<Option<OpenStream>, End> {
        if !part.recorded_silent {
            part.recorded_silent = true;
            self.record_failure(part, "silence");
        }
        part.reservation.suspend();
        let deadline = self.job.deadline;
        let last_event = self.last_event.clone();
        let mut reopen = Box::pin(generate::open(
            &self.node,
            &self.job,
            &mut self.state,
            last_event,
        ));
        let mut failed = false;
        loop {
            tokio::select! {
                biased;
                reopened = reopen.as_mut() => return match reopened {
                    Ok(open) => Ok(Some(open)),
                    Err(refusal) if failed => Err(End::Failed(refusal.kind.label().to_string())),
                    Err(_) => Ok(None),
                },
                received = part.receive(), if !failed => match received {
                    Err(failure) => {
                        log::debug!("silent server {} failed: {failure}", part.server.id());
                        part.record_end(&self.node, &self.job.info.id, failure.outcome());
                        attempt::handle_broken_off(
                            &self.node,
                            &self.job,
                            &part.server,
                            part.first_event_at,
                        )
                        .await;
                        part.release_resources();
                        failed = true;
                    }
                    received => {
                        part.pending = Some(received);
                        part.recorded_silent = false;
                        return Ok(None);
                    }
                },
                () = self.body_sender.closed() => return Err(End::CallerLeft),
                () = clock::sleep_until(deadline) => return Err(End::Expired),
            }
        }
    }
}
