//! A call to a plain service.

use super::{
    COME_BACK, Instruction, Pending, Shape, Snapshot, Traffic, allows, check_class, claim,
    fingerprint,
};
use alderglade_backend::service::{self, End};
use alderglade_caller::answer::Answer;
use alderglade_caller::ask::{Fault, Headers};
use alderglade_core::Name;
use alderglade_core::error::Kind;
use alderglade_core::inflight::Work;
use alderglade_core::ledger::{Claim, MAX_KEPT_BODY_BYTES, Outcome};
use alderglade_core::node::AttemptResult;
use alderglade_core::request::Refusal;
use std::sync::Arc;

/// What was asked, checked.
pub(super) struct Ask {
    snapshot: Arc<Snapshot>,
    workspace: Name,
    class: Name,
    service: Name,
    path: String,
    body: Vec<u8>,
    time_allowed_ms: Option<u64>,
    repeatable: bool,
    claim: Option<Claim>,
}

impl Ask {
    /// Checks a call against the settings; `rest` is the path after `/v1/services/`.
    pub(super) fn check(
        snapshot: &Arc<Snapshot>,
        workspace: Name,
        headers: Headers,
        rest: &str,
        body: Vec<u8>,
    ) -> Result<Ask, Fault> {
        let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
        let tree = &snapshot.tree;
        let open = tree
            .workspaces
            .get(&workspace)
            .is_some_and(|own| allows(&own.services, name));
        let found = tree.fleet.services.get(name).filter(|_| open);
        let Some(found) = found else {
            let detail = format!("no service `{name}` is open to this workspace");
            return Err(Fault::new(Kind::NotFound, detail));
        };
        let class = headers.class.clone().unwrap_or_default();
        check_class(snapshot, &class)?;
        let claim = claim(&snapshot.status.host, &workspace, &headers, &body)?;
        if !found.repeatable && claim.is_none() {
            let detail = format!("calls to `{name}` run at most once and need an idempotency-key");
            return Err(Fault::new(Kind::BadRequest, detail));
        }
        Ok(Ask {
            snapshot: snapshot.clone(),
            workspace,
            class: class.as_str().into(),
            service: name.into(),
            path: format!("/{path}"),
            body,
            time_allowed_ms: headers.time_allowed_ms,
            repeatable: found.repeatable && claim.is_none(),
            claim,
        })
    }

    fn shape(&self) -> Shape {
        Shape {
            work: Work::Call {
                service: self.service.clone(),
            },
            workspace: self.workspace.clone(),
            class: self.class.clone(),
            model: super::NO_MODEL.into(),
            prompt: 0,
            output: Some(1),
            time_allowed_ms: self.time_allowed_ms,
            prefix: None,
            fingerprint: fingerprint(&self.workspace, &self.path, &self.body),
            repeatable: self.repeatable,
            claim: self.claim.clone(),
        }
    }

    fn address(&self, server: &Name) -> Option<Name> {
        let service = self.snapshot.tree.fleet.services.get(&self.service)?;
        let found = service.servers.iter().find(|known| known.name == *server)?;
        Some(found.address.clone())
    }
}

/// Serves a call to a plain service.
pub(super) fn serve(traffic: &Traffic, mut answer: Answer, ask: Ask) {
    let mut pending = traffic.submit(&ask.snapshot, ask.shape());
    traffic.set_fallback(&answer, &pending);
    loop {
        match pending.next() {
            Instruction::Call { attempt, server } => {
                pending.turn(|life| life.dispatch(std::slice::from_ref(&server)));
                if attempt_call(traffic, &mut answer, &ask, &pending, attempt, &server) {
                    return;
                }
            }
            Instruction::Refuse(refusal) => {
                return refuse(traffic, &mut answer, &mut pending, refusal);
            }
            Instruction::Replay(outcome) => {
                return replay(traffic, &mut answer, &mut pending, outcome);
            }
            Instruction::Start { attempt, .. } => {
                traffic.ended(pending.id, attempt, AttemptResult::ConnectFailed);
            }
        }
    }
}

/// Makes one try; says whether the call is over.
fn attempt_call(
    traffic: &Traffic,
    answer: &mut Answer,
    ask: &Ask,
    pending: &Pending,
    attempt: u32,
    server: &Name,
) -> bool {
    let end = match ask.address(server) {
        Some(address) => service::call(&service::Call {
            address: &address,
            path: &ask.path,
            request: pending.id.to_string(),
            body: &ask.body,
            limit: pending.left(),
        }),
        None => End::Unreached,
    };
    let late = pending.left().is_zero();
    let ended = match end {
        End::Answered { status, body } => {
            finish(traffic, answer, pending, attempt, status, &body);
            return true;
        }
        End::Broke if late => AttemptResult::Expired,
        End::Leaving => AttemptResult::Leaving,
        End::Unreached => AttemptResult::ConnectFailed,
        End::Broke
            if ask
                .address(server)
                .is_some_and(|address| service::has_ended(&address)) =>
        {
            AttemptResult::ServerEnded
        }
        End::Broke => AttemptResult::ConnectionLost,
    };
    traffic.ended(pending.id, attempt, ended);
    false
}

fn finish(
    traffic: &Traffic,
    answer: &mut Answer,
    pending: &Pending,
    attempt: u32,
    status: u16,
    body: &str,
) {
    let kept = (body.len() <= MAX_KEPT_BODY_BYTES).then(|| body.to_string());
    let outcome = Outcome::Answered { status, body: kept };
    let tokens = 0;
    traffic.ended(
        pending.id,
        attempt,
        AttemptResult::Finished { tokens, outcome },
    );
    traffic.metrics.count_answer("finished");
    answer.pass_on(pending.id, status, body);
}

fn refuse(traffic: &Traffic, answer: &mut Answer, pending: &mut Pending, refusal: Refusal) {
    traffic.gone(pending.id);
    let refusal = pending.fail(refusal);
    traffic.answer_failure(answer, pending.id, refusal, None, pending.usage);
}

/// Answers what the first call of the same key was answered.
fn replay(traffic: &Traffic, answer: &mut Answer, pending: &mut Pending, outcome: Outcome) {
    match outcome {
        Outcome::Answered { status, body } => {
            let text = body.unwrap_or_else(|| "the first call ran; its answer is not kept".into());
            answer.pass_on(pending.id, status, &text);
        }
        Outcome::Unknown | Outcome::NotSent => {
            refuse(
                traffic,
                answer,
                pending,
                Refusal::new(Kind::ContactLost, COME_BACK),
            );
        }
    }
}
