//! What a host goes by when it chooses backend servers.

use super::state::closed_for;
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
use alderglade_core::fleet::placement::Engine;
use alderglade_core::time::Time;
use rand::RngExt;
use std::time::Duration;

/// The most that chance adds to the cost of a plain backend server, so that hosts with equal figures
/// don't all choose the same one. Costs are counted in loads: `1.0` is as many own calls as the server
/// works on at once.
const DRAW: f64 = 0.1;
/// What a server in another failure domain costs, in loads; less than chance, it only leans to near ones.
const FAR: f64 = 0.05;
/// What a doubted server costs, in loads; above any real load, so that it is taken where there is no other.
const DOUBTED: f64 = 100.0;
/// What a server costs that the request was sent to before, in loads; above doubt.
const TRIED: f64 = 1_000.0;

/// Engines of the own group with fewer of which a host sends to those of all groups. It sees the load of its group's engines
/// only, so that one of them is better than any other.
const LEAST_ENGINES: usize = 1;
/// The same for plain backend servers: as many as a request may be sent to, one after the other.
const LEAST_SERVERS: usize = 4;

/// When a caller should come back whose service is evacuated everywhere. Only the operator knows when that ends; it is asked
/// seldom enough to cost little, and soon enough to find it ended.
const EVACUATED: Duration = Duration::from_millis(2_000);
/// When a caller should come back whose service has no server in its homes.
const NO_SERVER: Duration = Duration::from_millis(1_000);

/// Why no server of a service can take a request now, and when its caller should come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unavailability {
    /// What the caller is told.
    pub kind: ErrorKind,
    /// When to come back.
    pub after: Duration,
}

/// How much the engines have had to read lately.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Pressure {
    mean: f64,
    at: Time,
}

/// Says whether a server should be passed over where others can serve: it has failed, or it lies in
/// another failure domain that seems cut off from the own one.
fn doubts(
    loads: &LoadTable,
    health: &Health,
    own_domain: &Name,
    server: &Server,
    now: Time,
) -> bool {
    let elsewhere = server.domain != *own_domain;
    let cut_off = elsewhere && loads.is_domain_silent(&server.domain, now);
    cut_off || health.is_suspect(server.key(), own_domain, now)
}

impl Node {
    /// Says whether a request with these homes may run at a server.
    pub fn may_run_at(&self, homes: &Homes, server: &Server) -> bool {
        homes.is_unrestricted() || homes.allow(self.settings.regions.get(&server.domain))
    }

    /// Says why no server of a service takes a request with these homes now; `None` where one does.
    pub fn unavailability(&self, service: &str, homes: &Homes) -> Option<Unavailability> {
        let now = clock::now();
        let state = self.state.borrow();
        let directory = &state.directory;
        let open = directory.of_service(service);
        let open = open.filter(|server| self.may_run_at(homes, server));
        let mut opens_in: Option<Duration> = None;
        for server in open {
            let left = state.closed_for(server.key(), now);
            if left.is_zero() {
                return None;
            }
            opens_in = Some(opens_in.map_or(left, |least| least.min(left)));
        }
        let (kind, after) = match opens_in {
            Some(after) => (ErrorKind::Overloaded, after),
            None => {
                let mut known = directory.active_of(service).peekable();
                let exists = known.peek().is_some();
                if known.any(|server| self.may_run_at(homes, server)) {
                    (ErrorKind::NoCapacity, EVACUATED)
                } else if exists {
                    (ErrorKind::NoHome, NO_SERVER)
                } else {
                    (ErrorKind::NoCapacity, NO_SERVER)
                }
            }
        };
        Some(Unavailability { kind, after })
    }

    /// Gives the engines of a service that take something of this host now and at which a request with these homes may run, in
    /// the order of their ids.
    pub fn engines(&self, service: &str, profile: EngineProfile, homes: &Homes) -> Vec<Engine> {
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
        let open = directory.of_service(service).filter(|server| {
            let closed = closed_for(backoffs, limits, server.key(), now);
            self.may_run_at(homes, server) && closed.is_zero()
        });
        let shared = groups.share(&self.settings.host, open.collect(), LEAST_ENGINES);
        let engines = shared.into_iter().map(|server| {
            let key = server.key();
            Engine {
                id: key,
                load: loads.total(key),
                backlog: loads.backlog(key, now),
                profile,
                pauses,
                same_domain: server.domain == *own_domain,
                suspect: doubts(loads, health, own_domain, server, now),
            }
        });
        engines.collect()
    }

    /// Smooths the pressure on the engines: takes what it is now and gives its recent mean.
    pub fn pressure(&self, now_is: f64) -> f64 {
        /// The time over which the mean is taken, in seconds; about as long as a long prompt is read.
        const OVER: f64 = 0.7;
        let now = clock::now();
        let Pressure { mean, at } = self.pressure.get();
        let weight = 1.0 - (-now.since(at).as_secs_f64() / OVER).exp();
        let mean = mean + weight * (now_is - mean);
        self.pressure.set(Pressure { mean, at: now });
        mean
    }

    /// Gives the recent mean of the pressure on the engines.
    pub fn recent_pressure(&self) -> f64 {
        self.pressure.get().mean
    }

    /// Picks the plain backend server with the fewest own calls that hasn't been tried, among those that take something now.
    pub fn pick_server(&self, service: &str, homes: &Homes, tried: &[Key]) -> Option<Server> {
        let now = clock::now();
        let state = self.state.borrow();
        let mut rng = rand::rng();
        let cost = |server: &Server, draw: f64| self.cost(&state, server, tried, now) + DRAW * draw;
        let servers = state.directory.of_service(service);
        let servers = servers.filter(|server| self.may_run_at(homes, server));
        let servers = servers.filter(|server| state.closed_for(server.key(), now).is_zero());
        let own = &self.settings.host;
        let servers = state.groups.share(own, servers.collect(), LEAST_SERVERS);
        let costs = servers
            .into_iter()
            .map(|server| (cost(server, rng.random::<f64>()), server));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, server)| server.clone())
    }

    /// Gives what speaks against a plain backend server, in loads.
    fn cost(&self, state: &State, server: &Server, tried: &[Key], now: Time) -> f64 {
        let domain = &self.settings.domain;
        let key = server.key();
        let calls = state.calls.get(&key).copied().unwrap_or(0);
        let busy = f64::from(calls) / f64::from(server.slots.max(1));
        let far = FAR * one_if(server.domain != *domain);
        let doubted = doubts(&state.loads, &state.health, domain, server, now);
        let doubted = DOUBTED * one_if(doubted);
        let tried = TRIED * one_if(tried.contains(&key));
        busy + far + doubted + tried + state.health.failing(key)
    }
}

fn one_if(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}
