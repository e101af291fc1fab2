//! A request for tokens.

use super::life::Life;
use super::{
    COME_BACK, Instruction, Pending, Shape, Snapshot, Traffic, allows, check_class, claim,
    fingerprint,
};
use alderglade_backend::engine::{Client, Limits};
use alderglade_backend::gang;
use alderglade_backend::service;
use alderglade_backend::stream::{self, End};
use alderglade_backend::wire::Completion;
use alderglade_caller::answer::{Answer, Closing, Token};
use alderglade_caller::ask::{Fault, Generate, Headers};
use alderglade_clock::Instant;
use alderglade_core::Name;
use alderglade_core::error::Kind;
use alderglade_core::gang::RENEWAL_INTERVAL;
use alderglade_core::inflight::Work;
use alderglade_core::ledger::Outcome;
use alderglade_core::node::{AttemptResult, Event};
use alderglade_core::request::{Id, Prefix, Refusal};
use alderglade_core::stream::{Assembler, Frame};
use alderglade_operator::metrics::length_label;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A pause without a token that means the engine is lost, beside the time for the prefill.
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// Prefill may take this many times what the model's rate says.
const PREFILL_SLACK: u32 = 4;

/// What was asked, checked.
pub(super) struct Ask {
    snapshot: Arc<Snapshot>,
    body: Generate,
    workspace: Name,
    claim: Option<alderglade_core::ledger::Claim>,
    rate: u64,
}

impl Ask {
    /// Checks a request against the settings.
    pub(super) fn check(
        snapshot: &Arc<Snapshot>,
        workspace: Name,
        headers: Headers,
        body: Generate,
    ) -> Result<Ask, Fault> {
        let tree = &snapshot.tree;
        let open = tree
            .workspaces
            .get(&workspace)
            .is_some_and(|own| allows(&own.models, &body.model));
        let model = tree.fleet.models.get(body.model.as_str()).filter(|_| open);
        let Some(model) = model else {
            let detail = format!("no model `{}` is open to this workspace", body.model);
            return Err(Fault::new(Kind::NotFound, detail));
        };
        let tokens = body.tokens();
        if tokens > model.max_prompt_tokens {
            let most = model.max_prompt_tokens;
            let detail = format!("the prompt has {tokens} tokens; the model takes {most}");
            return Err(Fault::new(Kind::TooLarge, detail));
        }
        check_class(snapshot, &body.class)?;
        let claim = claim(
            &snapshot.status.host,
            &workspace,
            &headers,
            body.prompt.as_bytes(),
        )?;
        if !body.repeatable && claim.is_none() {
            let detail = "a request that isn't repeatable needs an idempotency-key";
            return Err(Fault::new(Kind::BadRequest, detail));
        }
        Ok(Ask {
            rate: model.prefill_tokens_per_second.max(1),
            snapshot: snapshot.clone(),
            body,
            workspace,
            claim,
        })
    }

    fn prefix(&self) -> Option<Prefix> {
        let prefix = self.body.prefix.as_ref()?;
        Some(Prefix {
            key: xxh3_64(prefix.key.as_bytes()),
            tokens: prefix.tokens.min(self.body.tokens()),
        })
    }

    fn shape(&self) -> Shape {
        Shape {
            work: Work::Generate,
            workspace: self.workspace.clone(),
            class: self.body.class.as_str().into(),
            model: self.body.model.as_str().into(),
            prompt: self.body.tokens(),
            output: self.body.max_tokens,
            time_allowed_ms: self.body.time_allowed_ms,
            prefix: self.prefix(),
            fingerprint: fingerprint(
                &self.workspace,
                &self.body.model,
                self.body.prompt.as_bytes(),
            ),
            repeatable: self.body.repeatable && self.claim.is_none(),
            claim: self.claim.clone(),
        }
    }
}

/// One request on its way, as its thread has it.
struct Run<'a> {
    traffic: &'a Traffic,
    ask: Ask,
    answer: Answer,
    pending: Pending,
    assembler: Assembler,
    began: Instant,
    text: String,
}

/// Serves a request for tokens.
pub(super) fn serve(traffic: &Traffic, answer: Answer, ask: Ask) {
    let shape = ask.shape();
    let pending = traffic.submit(&ask.snapshot, shape);
    traffic.set_fallback(&answer, &pending);
    let run = Run {
        traffic,
        assembler: Assembler::new(pending.id, 1),
        ask,
        answer,
        pending,
        began: Instant::now(),
        text: String::new(),
    };
    run.follow();
}

impl Run<'_> {
    /// Does what the control thread says until the request is answered.
    fn follow(mut self) {
        loop {
            match self.pending.next() {
                Instruction::Start { attempt, engines } => {
                    self.pending.turn(|life| life.dispatch(&engines));
                    if self.attempt(attempt, &engines) {
                        return;
                    }
                }
                Instruction::Refuse(refusal) => return self.refuse(refusal),
                Instruction::Replay(outcome) => return self.replay(outcome),
                Instruction::Call { attempt, .. } => {
                    self.traffic
                        .ended(self.pending.id, attempt, AttemptResult::ConnectFailed);
                }
            }
        }
    }

    /// Makes one try; says whether the request is over.
    fn attempt(&mut self, attempt: u32, engines: &[Name]) -> bool {
        self.pending.usage.attempts = attempt;
        self.assembler.resume(attempt);
        let end = self.run_engines(attempt, engines);
        let id = self.pending.id;
        let late = self.pending.left().is_zero();
        let ended = match end {
            End::Finished(tokens) => return self.finish(attempt, tokens),
            End::Stopped => {
                self.traffic.gone(id);
                self.traffic.metrics.count_answer(Kind::CallerGone.label());
                return true;
            }
            End::Broke if late => AttemptResult::Expired,
            End::NoRoom => AttemptResult::NoRoom,
            End::Leaving => AttemptResult::Leaving,
            End::Unreached => AttemptResult::ConnectFailed,
            End::Broke if self.has_ended(engines) => AttemptResult::ServerEnded,
            End::Broke => AttemptResult::ConnectionLost,
            End::Failed => AttemptResult::Failed,
        };
        self.traffic.ended(id, attempt, ended);
        false
    }

    fn finish(&mut self, attempt: u32, tokens: u64) -> bool {
        let id = self.pending.id;
        self.pending.usage.output_tokens = tokens;
        let body = self
            .ask
            .claim
            .is_some()
            .then(|| std::mem::take(&mut self.text));
        let body = body.filter(|text| text.len() <= alderglade_core::ledger::MAX_KEPT_BODY_BYTES);
        let outcome = Outcome::Answered { status: 200, body };
        self.traffic
            .ended(id, attempt, AttemptResult::Finished { tokens, outcome });
        self.pending.turn(Life::finish);
        self.answer
            .close(200, &Closing::finished(id, self.pending.usage));
        self.traffic.metrics.count_answer("finished");
        true
    }

    /// Returns whether the engine of an attempt has ended. Of several engines it is unknown which one broke off.
    fn has_ended(&self, engines: &[Name]) -> bool {
        let [engine] = engines else {
            return false;
        };
        let client = self.traffic.engines.client(engine);
        client.is_some_and(|client| service::has_ended(client.address()))
    }

    fn run_engines(&mut self, attempt: u32, engines: &[Name]) -> End {
        let clients: Vec<Client> = engines
            .iter()
            .filter_map(|engine| self.traffic.engines.client(engine))
            .collect();
        let [.., last] = clients.as_slice() else {
            return End::Unreached;
        };
        let renewal = Renewal::start(self, engines);
        let import = match self.prefill(&clients) {
            Ok(import) => import,
            Err(end) => return end,
        };
        let end = self.stream(attempt, last, clients.len(), import);
        drop(renewal);
        gang::end_of(end, clients.len() > 1)
    }

    /// Takes a prompt that needs several engines through all of them but the last.
    fn prefill(&self, clients: &[Client]) -> Result<Option<String>, End> {
        let prompt = gang::Prompt {
            request: self.pending.id,
            holder: self.traffic.own.clone(),
            tokens: self.ask.body.tokens(),
        };
        // A member that hangs is given up as soon as a hanging stream would be.
        let part = gang::part_of(prompt.tokens, clients.len());
        let longest = self.limits(part).pause;
        gang::prefill(clients, &prompt, || self.pending.left().min(longest))
    }

    fn stream(
        &mut self,
        attempt: u32,
        client: &Client,
        members: usize,
        import: Option<String>,
    ) -> End {
        let body = self.completion(attempt, members, import);
        let limits = self.limits(body.prompt_tokens);
        let Run {
            traffic,
            answer,
            pending,
            assembler,
            began,
            text,
            ask,
            ..
        } = self;
        let prompt_tokens = ask.body.tokens();
        let keep_text = ask.claim.is_some();
        stream::run(client, &body, limits, assembler, |frame: Frame| {
            if frame.sequence == 0 {
                note_first_token(traffic, pending.id, prompt_tokens, began.elapsed());
            }
            if keep_text {
                text.push_str(&frame.text);
            }
            traffic.metrics.tokens.inc();
            pending.usage.output_tokens = frame.sequence + 1;
            answer.token(&Token {
                sequence: frame.sequence,
                token: &frame.text,
            })
        })
    }

    fn completion(&self, attempt: u32, members: usize, import: Option<String>) -> Completion {
        let body = &self.ask.body;
        Completion {
            request: self.pending.id,
            attempt,
            holder: self.traffic.own.clone(),
            model: body.model.as_str().into(),
            prompt: body.prompt.clone(),
            prompt_tokens: gang::last_part(body.tokens(), members),
            max_tokens: self.pending.output_cap,
            resume_from: self.assembler.next(),
            priority: self.pending.priority,
            prefix: self.ask.prefix(),
            reserved: members > 1,
            import,
            time_left_ms: self.pending.left().as_millis() as u64,
        }
    }

    fn limits(&self, prompt: u64) -> Limits {
        let prefill = Duration::from_micros(prompt * 1_000_000 / self.ask.rate);
        Limits {
            whole: self.pending.left(),
            pause: LONGEST_PAUSE + prefill * PREFILL_SLACK,
        }
    }

    fn refuse(mut self, refusal: Refusal) {
        // The control thread may not have heard that the time is up.
        self.traffic.gone(self.pending.id);
        let refusal = self.pending.fail(refusal);
        let usage = self.pending.usage;
        self.traffic
            .answer_failure(&mut self.answer, self.pending.id, refusal, None, usage);
    }

    /// Answers what the first request of the same key was answered.
    fn replay(mut self, outcome: Outcome) {
        let id = self.pending.id;
        match outcome {
            Outcome::Answered {
                body: Some(text), ..
            } => {
                self.answer.token(&Token {
                    sequence: 0,
                    token: &text,
                });
                self.answer
                    .close(200, &Closing::finished(id, self.pending.usage));
            }
            Outcome::Answered { body: None, .. } => {
                let closing = Closing {
                    detail: Some(
                        "the first request with this key finished; its answer is not kept".into(),
                    ),
                    ..Closing::finished(id, self.pending.usage)
                };
                self.answer.close(200, &closing);
            }
            Outcome::Unknown | Outcome::NotSent => {
                self.refuse(Refusal::new(Kind::ContactLost, COME_BACK));
            }
        }
    }
}

fn note_first_token(traffic: &Traffic, request: Id, prompt: u64, after: Duration) {
    let label = length_label(prompt);
    let histogram = traffic.metrics.first_token.with_label_values(&[label]);
    histogram.observe(after.as_secs_f64());
    traffic.tell(super::Input::Event(Event::FirstToken { request }));
}

/// Renews the reservations of a gang until it is dropped; then they are freed, whichever way the
/// gang ended.
struct Renewal {
    over: Arc<AtomicBool>,
    engines: crate::entry::engines::Engines,
    request: Id,
    members: Vec<Name>,
}

impl Renewal {
    fn start(run: &Run<'_>, members: &[Name]) -> Option<Renewal> {
        if members.len() < 2 {
            return None;
        }
        let renewal = Renewal {
            over: Arc::default(),
            engines: run.traffic.engines.clone(),
            request: run.pending.id,
            members: members.to_vec(),
        };
        let (over, engines) = (renewal.over.clone(), renewal.engines.clone());
        let (request, members) = (renewal.request, renewal.members.clone());
        let until = run.pending.deadline;
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) && Instant::now() < until {
                engines.renew(request, &members);
                thread::sleep(RENEWAL_INTERVAL);
            }
        });
        Some(renewal)
    }
}

impl Drop for Renewal {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.engines
            .cancel(self.request, std::mem::take(&mut self.members));
    }
}
