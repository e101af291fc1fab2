//! Has other servers go on with a stream.

use super::Relay;
use super::end::End;
use super::part::Part;
use crate::attempt;
use crate::clock;
use crate::generate::{self, Open};

impl Relay {
    /// Has another server go on after the last event, in place of one that has failed.
    pub(super) async fn reopen(&mut self) -> Result<Open, End> {
        let last_event = self.last_event.clone();
        // Most streams never need it, and each has room for it otherwise.
        let reopen = Box::pin(generate::open(
            &self.node,
            &self.job,
            &mut self.tries,
            last_event,
        ));
        tokio::select! {
            reopened = reopen => reopened.map_err(|refusal| End::Failed(refusal.kind.label().to_string())),
            () = self.body_sender.closed() => Err(End::CallerLeft),
        }
    }

    /// Looks for another server to go on after the last event, in place of a silent one. That one is left only when
    /// another one has begun, so that a stream that nobody else can go on with (because the host stops, or all are
    /// busy) lives as long as its server does.
    ///
    /// Gives `None` where the silent server goes on.
    pub(super) async fn take_over(&mut self, part: &mut Part) -> Result<Option<Open>, End> {
        if !part.noted_silent {
            part.noted_silent = true;
            self.note_failed(part, "silence");
        }
        part.held.suspend();
        let ends = self.job.ends;
        let last_event = self.last_event.clone();
        let mut reopen = Box::pin(generate::open(
            &self.node,
            &self.job,
            &mut self.tries,
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
                frame = part.frame(), if !failed => match frame {
                    Some(Err(error)) => {
                        log::debug!("silent server {} failed: {error}", part.server.id());
                        attempt::broken_off(&self.node, &self.job, &part.server, part.began).await;
                        part.give_back();
                        failed = true;
                    }
                    frame => {
                        part.pending = Some(frame);
                        part.noted_silent = false;
                        return Ok(None);
                    }
                },
                () = self.body_sender.closed() => return Err(End::CallerLeft),
                () = clock::sleep_until(ends) => return Err(End::Expired),
            }
        }
    }
}
