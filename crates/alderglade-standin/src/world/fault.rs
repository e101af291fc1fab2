//! Faults that a scenario or a seeded schedule brings about.

use super::World;
use super::network::PLATFORM;
use alderglade_core::Name;
use alderglade_core::node::Event;
use alderglade_core::request::Id;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// A fault, or its end. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A host's process is killed.
    KillHost(Name),
    /// A host's process starts anew.
    StartHost(Name),
    /// A host's process is stopped for a while and then goes on.
    FreezeHost { host: Name, ms: u64 },
    /// A host's control thread is stuck for a while; its other threads go on.
    StallControl { host: Name, ms: u64 },
    /// A host is told to stop as planned.
    DrainHost(Name),
    /// An engine dies.
    KillEngine(Name),
    /// An engine starts anew, empty.
    StartEngine(Name),
    /// An engine stops answering.
    FreezeEngine(Name),
    /// An engine goes on.
    ThawEngine(Name),
    /// An engine or server begins to leave.
    Leave(Name),
    /// The platform's list says that an engine leaves, which doesn't know it itself.
    ListLeave(Name),
    /// An engine sends tokens late, twice and mixed with those of earlier tries.
    Shuffle(Name),
    /// A server's next answers are lost after it ran the calls.
    LoseAnswers { server: Name, count: u32 },
    /// Two names, hosts or failure domains or `platform`, can't reach each other.
    Cut(Name, Name),
    /// They can again.
    Mend(Name, Name),
    /// Messages between hosts are lost at random.
    LoseMessages { per_mille: u32 },
    /// All ways are mended.
    MendAll,
    /// The platform gives no answers.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// The platform's answers are late.
    PlatformSlow { ms: u64 },
    /// The answers to the next writes are lost after they took effect.
    LoseWrites(u32),
    /// An operator puts a change in force.
    Apply,
    /// The platform's watch shows what was in force long ago, or no longer.
    StaleWatch(bool),
    /// A gang's reservations are renewed by the host that runs it.
    #[serde(skip)]
    Renew { request: Id, attempt: u32 },
}

impl World {
    pub(crate) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillHost(host) => self.kill_host(&host),
            Fault::StartHost(host) => {
                let domain = self.domain_of(&host);
                self.kill_host(&host);
                self.start_host(&host, &domain);
            }
            Fault::FreezeHost { host, ms } => {
                let until = self.now + Duration::from_millis(ms);
                if let Some(at) = self.hosts.get_mut(&host) {
                    at.frozen_until = until;
                }
                self.ledger.note_frozen(&host, until);
            }
            Fault::StallControl { host, ms } => {
                let until = self.now + Duration::from_millis(ms);
                if let Some(at) = self.hosts.get_mut(&host) {
                    at.stalled_until = until;
                }
            }
            Fault::DrainHost(host) => self.drain_host(&host),
            Fault::KillEngine(name) => self.kill_engine(&name),
            Fault::StartEngine(name) => self.start_engine(&name),
            Fault::FreezeEngine(name) => self.set_frozen(&name, true),
            Fault::ThawEngine(name) => self.set_frozen(&name, false),
            Fault::Leave(name) => self.leave(&name),
            Fault::ListLeave(name) => {
                let shown = self.now + self.plan.list_lag;
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.listed_from = Some(shown);
                    engine.leaving_since = Some(shown);
                }
            }
            Fault::Shuffle(name) => {
                if let Some(engine) = self.engines.get_mut(&name) {
                    engine.model.faults.shuffled = true;
                }
            }
            Fault::LoseAnswers { server, count } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.lose_answers = count;
                }
            }
            Fault::Cut(a, b) => self.network.set_cut(&a, &b, true),
            Fault::Mend(a, b) => self.network.set_cut(&a, &b, false),
            Fault::LoseMessages { per_mille } => self.network.lost_per_mille = per_mille,
            Fault::MendAll => self.network.mend(),
            Fault::PlatformDown => self.platform.down = true,
            Fault::PlatformUp => {
                self.platform.down = false;
                self.platform.slow = Duration::ZERO;
            }
            Fault::PlatformSlow { ms } => self.platform.slow = Duration::from_millis(ms),
            Fault::LoseWrites(count) => self.platform.lose_writes = count,
            Fault::Apply => self.apply(),
            Fault::StaleWatch(stale) => {
                let old = stale.then(|| Arc::clone(&self.ledger.first_tree));
                self.platform.stale = old;
            }
            Fault::Renew { request, attempt } => {
                let same = self
                    .running
                    .get(&request)
                    .is_some_and(|r| r.attempt == attempt);
                if same {
                    self.renew_gang(request);
                }
            }
        }
    }

    fn kill_host(&mut self, name: &Name) {
        if let Some(host) = self.hosts.get_mut(name) {
            host.node = None;
        }
        self.ledger.note_killed(name);
        self.drop_streams_of(name);
    }

    fn drain_host(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        host.draining_since = Some(self.now);
        let incarnation = host.incarnation;
        self.host_event(name, incarnation, Event::Drain);
    }

    fn kill_engine(&mut self, name: &Name) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.alive = false;
            engine.generation += 1;
            engine.stepping = false;
        }
        self.break_streams_at(name);
    }

    fn start_engine(&mut self, name: &Name) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.alive = true;
            engine.stepping = false;
            engine.generation += 1;
            engine.leaving_since = None;
            engine.listed_from = None;
            engine.model.restart();
            engine.reports.clear();
        }
        self.break_streams_at(name);
    }

    fn set_frozen(&mut self, name: &Name, frozen: bool) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        engine.model.faults.frozen = frozen;
        engine.generation += 1;
        engine.stepping = false;
        if !frozen {
            self.wake(name);
        } else {
            self.watch_frozen(name);
        }
    }

    /// Readers of a frozen engine's streams give up when no token has come for too long.
    fn watch_frozen(&mut self, name: &Name) {
        let name = name.clone();
        let at = |running: &super::requests::Running| {
            let stream = running.stream.as_ref();
            stream.is_some_and(|stream| stream.engines.get(stream.member) == Some(&name))
        };
        let reading: Vec<(Id, u32, u64)> = self
            .running
            .iter()
            .filter(|(_, running)| at(running))
            .map(|(id, running)| (*id, running.attempt, running.tokens))
            .collect();
        for (request, attempt, tokens) in reading {
            let prefill = Duration::from_micros(tokens * 1_000_000 / self.plan.batch.rate);
            let limit = Duration::from_secs(5) + prefill * 4;
            let back = super::Back::Broke;
            self.back_after(limit, request, attempt, back);
        }
    }

    fn leave(&mut self, name: &Name) {
        let now = self.now;
        let lag = self.plan.list_lag;
        let heeds = !self.is_off(super::Guard::Leaving);
        if let Some(engine) = self.engines.get_mut(name) {
            engine.leaving_since = Some(now);
            engine.listed_from = Some(now + lag);
            engine.model.faults.leaving = heeds;
        }
        if let Some(server) = self.servers.get_mut(name) {
            server.leaving_since = Some(now);
            server.listed_from = Some(now + lag);
        }
    }

    fn apply(&mut self) {
        let mut tree = (*self.platform.tree).clone();
        tree.revision += 1;
        let revision = tree.revision;
        self.platform.accept(tree);
        self.ledger.note_accepted(revision, self.now);
    }
}

/// The name of the platform in [`Fault::Cut`].
pub const PLATFORM_NAME: &str = PLATFORM;
