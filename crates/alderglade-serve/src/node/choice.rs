//! Inputs to the choice of a backend server.

use super::state::unavailable_for;
use super::{Node, State};
use crate::clock;
use alderglade_core::Name;
use alderglade_core::error::Kind as ErrorKind;
use alderglade_core::fleet::directory::Server;
use alderglade_core::fleet::health::Health;
use alderglade_core::fleet::homes::Homes;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::load_table::LoadTable;
use alderglade_core::fleet::pass::EngineProfile;
use alderglade_core::fleet::placement::{self, Engine, Outlook};
use alderglade_core::time::Time;
use rand::RngExt;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum random addition to the cost of a plain backend server, so that hosts with equal inputs don't all choose
/// the same one. The unit of costs is the load: `1.0` is as many of this host's calls as the server works on at once.
const MAX_RANDOM_COST: f64 = 0.1;
/// Cost of a server in another failure domain, in loads. It is below the random addition, so it is only a slight
/// preference for the own domain.
const REMOTE_DOMAIN_COST: f64 = 0.05;
/// Cost of a suspect server, in loads. It is above any real load, so the server is used only if there is no other.
const SUSPECT_COST: f64 = 100.0;
/// Cost of a server to which the request was already sent, in loads; above the cost of a suspect server.
const TRIED_COST: f64 = 1_000.0;

/// With fewer engines than this in its own group, a host uses the engines of all groups. It knows the load of its own
/// group's engines only, so even a single one of them is preferred over others.
const MIN_GROUP_ENGINES: usize = 1;
/// The same limit for plain backend servers: as many as a request may be sent to, one after the other.
const MIN_GROUP_SERVERS: usize = 4;

/// When a caller should retry if its service is evacuated everywhere. Only the operator knows when the evacuation
/// ends. Retries at this interval are rare enough to cost little and frequent enough to notice the end soon.
const EVACUATED_RETRY_DELAY: Duration = Duration::from_millis(2_000);
/// When a caller should retry if its service has no server in the allowed regions.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Why no server of a service can accept a request now, and when its caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailability {
    /// The error kind that is sent to the caller.
    pub kind: ErrorKind,
    /// The delay before a retry.
    pub retry_after: Duration,
}

/// A moving average of how much the engines have to read.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pressure {
    mean: f64,
    updated: Time,
}

/// What engines offer to held short prompts, per service, and when that was computed.
pub(super) type Outlooks = HashMap<Name, (Time, Outlook)>;

/// How long an outlook is used for held prompts: the delay of notices, as the table shows little new before.
const MAX_OUTLOOK_AGE: Duration = Duration::from_millis(10);

/// Returns whether a server should be avoided if others can serve: it has failed, or it is in another failure domain
/// that seems to be disconnected from the own one.
fn is_suspect(
    loads: &LoadTable,
    health: &Health,
    own_domain: &Name,
    server: &Server,
    now: Time,
) -> bool {
    let elsewhere = server.domain != *own_domain;
    let domain_silent = elsewhere && loads.is_domain_silent(&server.domain, now);
    domain_silent || health.is_suspect(server.key(), own_domain, now)
}

/// Returns how long an answer of `output` tokens holds its slot at an engine: as observed, or as its profile states.
fn answer_time(loads: &LoadTable, server: Key, profile: &EngineProfile, output: u64) -> Duration {
    loads.answer_time(server).unwrap_or_else(|| {
        let pass = loads.idle_pass(server).unwrap_or_default();
        placement::expected_answer_time(profile, output, pass)
    })
}

impl Node {
    /// Returns whether a request that is restricted to `homes` may run at a server.
    pub fn may_run_at(&self, homes: &Homes, server: &Server) -> bool {
        homes.is_unrestricted() || homes.allow(self.settings.regions.get(&server.domain))
    }

    /// Returns why no server of a service accepts a request that is restricted to `homes` now; `None` if one does.
    pub fn unavailability(&self, service: &str, homes: &Homes) -> Option<Unavailability> {
        let now = clock::now();
        let state = self.state.borrow();
        let directory = &state.directory;
        let candidates = directory.of_service(service);
        let candidates = candidates.filter(|server| self.may_run_at(homes, server));
        let mut available_in: Option<Duration> = None;
        for server in candidates {
            let left = state.unavailable_for(server.key(), now);
            if left.is_zero() {
                return None;
            }
            available_in = Some(available_in.map_or(left, |least| least.min(left)));
        }
        let (kind, retry_after) = match available_in {
            Some(retry_after) => (ErrorKind::Overloaded, retry_after),
            None => {
                let mut known = directory.active_of(service).peekable();
                let any_known = known.peek().is_some();
                if known.any(|server| self.may_run_at(homes, server)) {
                    (ErrorKind::NoCapacity, EVACUATED_RETRY_DELAY)
                } else if any_known {
                    (ErrorKind::NoHome, NO_SERVER_RETRY_DELAY)
                } else {
                    (ErrorKind::NoCapacity, NO_SERVER_RETRY_DELAY)
                }
            }
        };
        Some(Unavailability { kind, retry_after })
    }

    /// Returns the engines of a service that accept work from this host now and may run a request that is restricted
    /// to `homes`, ordered by id. `output` is the number of tokens that determines how long an answer holds its slot as
    /// long as none has been observed.
    pub fn engines(
        &self,
        service: &str,
        profile: EngineProfile,
        homes: &Homes,
        output: u64,
    ) -> Vec<Engine> {
        let now = clock::now();
        let own_domain = &self.settings.domain;
        let mut state = self.state.borrow_mut();
        let State {
            directory,
            loads,
            health,
            pauses,
            backoffs,
            limits,
            groups,
            ..
        } = &mut *state;
        let pauses = pauses.get(service).copied().unwrap_or_default();
        let candidates = directory.of_service(service).filter(|server| {
            let unavailable = unavailable_for(backoffs, limits, server.key(), now);
            self.may_run_at(homes, server) && unavailable.is_zero()
        });
        let candidates = groups.share(&self.settings.host, candidates.collect(), MIN_GROUP_ENGINES);
        let engines = candidates.into_iter().map(|server| {
            let key = server.key();
            Engine {
                id: key,
                load: loads.total(key),
                backlog: loads.backlog(key, now),
                profile,
                answer_time: answer_time(loads, key, &profile, output),
                pauses,
                same_domain: server.domain == *own_domain,
                suspect: is_suspect(loads, health, own_domain, server, now),
            }
        });
        engines.collect()
    }

    /// Returns whether one service alone has engines. Entries of the wait queue don't state their service.
    pub fn has_single_engine_service(&self) -> bool {
        self.state.borrow().pauses.len() == 1
    }

    /// Returns the recent outlook on the engines of a service, if there is one.
    pub fn recent_outlook(&self, service: &str) -> Option<Outlook> {
        let outlooks = self.outlooks.borrow();
        let (computed, outlook) = outlooks.get(service)?;
        (clock::now().since(*computed) < MAX_OUTLOOK_AGE).then_some(*outlook)
    }

    /// Keeps the outlook on the engines of a service, all of which may be used.
    pub fn keep_outlook(&self, service: &Name, engines: &[Engine]) {
        let engines: Vec<&Engine> = engines.iter().collect();
        if let Some(outlook) = Outlook::of(&engines) {
            let mut outlooks = self.outlooks.borrow_mut();
            outlooks.insert(service.clone(), (clock::now(), outlook));
        }
    }

    /// Adds the current pressure on the engines to its moving average and returns the average.
    pub fn update_pressure(&self, current: f64) -> f64 {
        /// The time constant of the moving average, in seconds; about as long as a long prompt is read.
        const PRESSURE_WINDOW_SECONDS: f64 = 0.7;
        let now = clock::now();
        let Pressure { mean, updated } = self.pressure.get();
        let weight = 1.0 - (-now.since(updated).as_secs_f64() / PRESSURE_WINDOW_SECONDS).exp();
        let mean = mean + weight * (current - mean);
        self.pressure.set(Pressure { mean, updated: now });
        mean
    }

    /// Returns the moving average of the pressure on the engines.
    pub fn recent_pressure(&self) -> f64 {
        self.pressure.get().mean
    }

    /// Picks the cheapest plain backend server among those that accept work now: the one with the fewest calls of
    /// this host that has not been tried.
    pub fn pick_server(&self, service: &str, homes: &Homes, tried: &[Key]) -> Option<Server> {
        let now = clock::now();
        let state = self.state.borrow();
        let mut rng = rand::rng();
        let cost = |server: &Server, random: f64| {
            self.cost(&state, server, tried, now) + MAX_RANDOM_COST * random
        };
        let servers = state.directory.of_service(service);
        let servers = servers.filter(|server| self.may_run_at(homes, server));
        let servers = servers.filter(|server| state.unavailable_for(server.key(), now).is_zero());
        let own = &self.settings.host;
        let servers = state
            .groups
            .share(own, servers.collect(), MIN_GROUP_SERVERS);
        let costs = servers
            .into_iter()
            .map(|server| (cost(server, rng.random::<f64>()), server));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, server)| server.clone())
    }

    /// Returns the cost of a plain backend server, in loads.
    fn cost(&self, state: &State, server: &Server, tried: &[Key], now: Time) -> f64 {
        let domain = &self.settings.domain;
        let key = server.key();
        let calls = state.calls.get(&key).copied().unwrap_or(0);
        let busy = f64::from(calls) / f64::from(server.slots.max(1));
        let remote = REMOTE_DOMAIN_COST * one_if(server.domain != *domain);
        let suspect = is_suspect(&state.loads, &state.health, domain, server, now);
        let suspect = SUSPECT_COST * one_if(suspect);
        let tried = TRIED_COST * one_if(tried.contains(&key));
        busy + remote + suspect + tried + state.health.failure_rate(key)
    }
}

fn one_if(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}
