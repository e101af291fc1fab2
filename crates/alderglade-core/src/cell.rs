//! A cell: engines of one model in one failure domain that share a queue, managed by a home host.
//!
//! The home of a cell assigns a request to an engine only when an engine has room for it. Until then
//! the request waits in the cell's queue. The order thus holds across all engines, and the loss of
//! an engine costs no request its position. The home only grants; the entry host that holds the
//! caller's connection sends the work itself. The home role is an optimization, not a lock: if two
//! hosts both act as home, the engines' own memory accounting decides and declines the second grant.

mod forming;
mod grants;
mod pool;
mod reports;

use crate::Name;
use crate::admission::{self, Capacity};
use crate::engine_state::Engine;
use crate::error::Kind;
use crate::estimate::Average;
use crate::gang::Gang;
use crate::lane::Lane;
use crate::placement;
use crate::queue::{Entry, Queue};
use crate::request::{Id, Refusal, Ticket};
use crate::settings::Tree;
use crate::time::Time;
use pool::{Pool, Summary};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Identifies a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The failure domain.
    pub domain: Name,
    /// The model.
    pub model: Name,
    /// Number of the cell among those of the same domain and model.
    pub index: u32,
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.domain, self.model, self.index)
    }
}

/// An action that the home requests from its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Confirm to an entry host that its request is queued here.
    Queued {
        /// The entry host.
        to: Name,
        /// The request.
        request: Id,
        /// The attempt of the request.
        attempt: u32,
    },
    /// Grant engines to an entry host, which then sends its request.
    Grant {
        /// The entry host.
        to: Name,
        /// The request.
        request: Id,
        /// The attempt of the request.
        attempt: u32,
        /// The engines, several for a gang.
        engines: Vec<Name>,
    },
    /// Refuse a request of an entry host.
    Refuse {
        /// The entry host.
        to: Name,
        /// The request.
        request: Id,
        /// The attempt of the request.
        attempt: u32,
        /// The reason.
        refusal: Refusal,
    },
    /// Reserve memory at an engine.
    Reserve {
        /// The engine.
        engine: Name,
        /// The entry host that will hold the reservation.
        holder: Name,
        /// The request.
        request: Id,
        /// KV memory in tokens.
        tokens: u64,
    },
    /// Free the memory that an engine holds for a request.
    Free {
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// Ask an entry host whether it still needs a holding.
    Verify {
        /// The entry host.
        to: Name,
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
}

/// How a granted attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The attempt ended by itself, or was cancelled and the engine confirmed it.
    Left,
    /// The request was never sent.
    Declined,
    /// The engine reported that it has no room.
    NoRoom,
    /// The engine failed or didn't answer.
    Failed,
    /// The engine reported that it is leaving.
    Leaving,
}

/// Load summary of a cell, published to other hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The cell.
    pub cell: Key,
    /// Number of engines that accept work.
    pub open: u32,
    /// Expected wait in each lane, most urgent first.
    pub waits: [Duration; crate::lane::COUNT],
    /// KV memory of the largest request that the live engines together can hold, in tokens.
    pub largest: u64,
}

/// Initial estimate of the time that a stream occupies its slot.
const INITIAL_SLOT_TIME: Duration = Duration::from_secs(4);
/// Maximum number of workspaces of a lane whose next request is checked for a fit.
const MAX_HEADS: usize = 8;
/// How long a finished request is remembered, because engine reports lag behind.
const DEPARTED_RETENTION: Duration = Duration::from_secs(5);
/// Time constant of the moving sum of short prefill time.
const SHORT_LOAD_DECAY: Duration = Duration::from_secs(2);

/// The engines granted to a request.
#[derive(Debug, Default)]
struct Granted {
    attempt: u32,
    engines: Vec<Name>,
}

/// The home's state of one cell.
///
/// All of it is soft state: a new home starts empty and rebuilds it from engine reports.
#[derive(Debug)]
pub struct Cell {
    /// The cell.
    pub key: Key,
    config: placement::Config,
    queue: Queue,
    engines: Pool,
    granted: HashMap<Id, Granted>,
    departed: HashMap<Id, Time>,
    forming: Option<Gang>,
    slot_time: Average,
    short_load: ShortLoad,
    actions: Vec<Action>,
}

/// Engine time used by short prefills, as an exponentially decaying sum.
#[derive(Debug, Clone, Copy)]
struct ShortLoad {
    micros: f64,
    updated_at: Time,
}

impl ShortLoad {
    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.micros *= (-elapsed / SHORT_LOAD_DECAY.as_secs_f64()).exp();
    }

    fn add(&mut self, micros: u64, now: Time) {
        self.decay(now);
        self.micros += micros as f64;
    }

    fn per_mille(&mut self, now: Time) -> u64 {
        self.decay(now);
        (self.micros * 1_000.0 / SHORT_LOAD_DECAY.as_micros() as f64) as u64
    }
}

impl Cell {
    /// Creates a cell without engines.
    pub fn new(key: Key, config: placement::Config, now: Time) -> Cell {
        Cell {
            key,
            config,
            queue: Queue::default(),
            engines: Pool::new(config),
            granted: HashMap::new(),
            departed: HashMap::new(),
            forming: None,
            slot_time: Average::new(INITIAL_SLOT_TIME),
            short_load: ShortLoad {
                micros: 0.0,
                updated_at: now,
            },
            actions: Vec::new(),
        }
    }

    /// Sets the engines from the settings. Engines that remain keep their state.
    pub fn set_engines(&mut self, tree: &Tree, names: &[Name], now: Time) {
        self.engines.retain(names);
        for name in names {
            let Some(engine) = tree.fleet.engines.get(name) else {
                continue;
            };
            let Some(model) = tree.fleet.models.get(&engine.model) else {
                continue;
            };
            self.engines.insert(Engine::new(name, engine, model, now));
        }
    }

    /// Returns and clears the pending actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the number of waiting requests, including one whose gang is being formed.
    pub fn waiting(&self) -> usize {
        self.queue.len() + usize::from(self.forming.is_some())
    }

    /// Returns the number of granted requests.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Returns the state of all engines, ordered by name.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> + Clone {
        self.engines.iter()
    }

    /// Queues a request of an entry host and grants it if possible.
    ///
    /// A request that is already known stays unchanged; only its confirmation or grant is sent again.
    pub fn enqueue(&mut self, from: &Name, ticket: Ticket, now: Time) {
        let (request, attempt) = (ticket.id, ticket.attempt);
        if self.queue.contains(request) || self.is_forming(request) {
            self.confirm_queued(from, request, attempt);
            return;
        }
        if self.resend_grant(from, request, attempt, now) {
            return;
        }
        if let Err(refusal) = self.admit(&ticket, now) {
            let to = from.clone();
            self.actions.push(Action::Refuse {
                to,
                request,
                attempt,
                refusal,
            });
            return;
        }
        self.queue.push(Entry {
            deadline: now + ticket.time_left,
            from: from.clone(),
            since: now,
            ticket,
        });
        self.pump(now);
        // A request that was granted immediately needs no confirmation.
        if !self.granted.contains_key(&request) {
            self.confirm_queued(from, request, attempt);
        }
    }

    /// Sends a grant again whose message was lost. Returns whether the request holds a grant.
    ///
    /// A newer attempt means that the message about the end of the older attempt was lost.
    fn resend_grant(&mut self, to: &Name, request: Id, attempt: u32, now: Time) -> bool {
        let Some(granted) = self.granted.get(&request) else {
            return false;
        };
        if granted.attempt < attempt {
            self.finish(request, End::Left, now);
            return false;
        }
        self.actions.push(Action::Grant {
            to: to.clone(),
            request,
            attempt,
            engines: granted.engines.clone(),
        });
        true
    }

    fn confirm_queued(&mut self, to: &Name, request: Id, attempt: u32) {
        let to = to.clone();
        self.actions.push(Action::Queued {
            to,
            request,
            attempt,
        });
    }

    fn admit(&mut self, ticket: &Ticket, now: Time) -> Result<(), Refusal> {
        let summary = self.summary(now);
        if ticket.kv_tokens_needed() > summary.largest {
            let retry_after = admission::jittered_retry_after(Duration::ZERO, ticket.id);
            return Err(Refusal::new(Kind::NoCapacity, retry_after));
        }
        // A retry was admitted before and keeps its deadline.
        if ticket.attempt > 1 {
            return Ok(());
        }
        let capacity = self.capacity(now);
        admission::admit(&self.queue, &capacity, ticket)
            .map_err(|retry_after| Refusal::new(Kind::Overloaded, retry_after))
    }

    fn summary(&mut self, now: Time) -> Summary {
        self.engines.summary(self.slot_time.get(), now)
    }

    /// Returns the cell's capacity and load, including a gang that is being formed.
    pub fn capacity(&mut self, now: Time) -> Capacity {
        let mut capacity = self.summary(now).capacity;
        capacity.long_pending_tokens += self.forming_tokens();
        capacity
    }

    fn forming_tokens(&self) -> u64 {
        let forming = self.forming.as_ref();
        forming.map_or(0, |gang| gang.entry.ticket.prompt)
    }

    fn max_long_engines(&mut self, now: Time) -> usize {
        let capacity = self.capacity(now);
        let busy = self.short_load.per_mille(now);
        let first = self.queue.peek(Lane::Long);
        let demand = placement::Demand {
            tokens: self.queue.tokens(Lane::Long) + capacity.long_pending_tokens,
            slack: first.map_or(Duration::MAX, |entry| entry.deadline.left(now)),
            rate: capacity.rate.max(1),
        };
        placement::max_long_engines(&self.config, capacity.engines as usize, busy, demand)
    }

    /// Removes a waiting request that its entry host has withdrawn.
    pub fn withdraw(&mut self, request: Id) {
        self.queue.remove(request);
        if self.is_forming(request) {
            self.release_members();
            self.forming = None;
        }
    }

    /// Performs periodic work: refuses expired requests, forms gangs, grants requests that fit.
    pub fn tick(&mut self, now: Time) {
        self.engines.expire_summary();
        while let Some(entry) = self.queue.pop_expired(now) {
            self.refuse_expired(&entry);
        }
        self.tick_forming(now);
        self.sweep(now);
        self.pump(now);
        self.queue.remove_idle_workspaces();
        self.departed
            .retain(|_, at| now.since(*at) < DEPARTED_RETENTION);
    }

    fn refuse_expired(&mut self, entry: &Entry) {
        let retry_after = admission::jittered_retry_after(Duration::ZERO, entry.ticket.id);
        self.actions.push(Action::Refuse {
            to: entry.from.clone(),
            request: entry.ticket.id,
            attempt: entry.ticket.attempt,
            refusal: Refusal::new(Kind::ExpiredWaiting, retry_after),
        });
    }

    /// Returns a summary of the cell's load for other hosts.
    pub fn digest(&mut self, now: Time) -> Digest {
        let capacity = self.capacity(now);
        let waits = Lane::ALL.map(|lane| {
            let probe = probe(&self.key, lane);
            admission::queue_wait(&self.queue, &capacity, &probe)
        });
        Digest {
            cell: self.key.clone(),
            open: capacity.engines as u32,
            waits,
            largest: self.summary(now).largest,
        }
    }
}

/// Creates a request of size zero, used to estimate the wait in a lane.
fn probe(key: &Key, lane: Lane) -> Ticket {
    Ticket {
        id: Id::default(),
        workspace: "".into(),
        model: key.model.clone(),
        lane,
        weight: 1,
        prompt: 0,
        output_cap: 0,
        output_expected: 0,
        prefix: None,
        time_left: Duration::ZERO,
        attempt: 1,
        avoid: None,
    }
}

/// Splits the engines of the settings into cells. The engines of a cell are ordered by name.
pub fn split(tree: &Tree) -> BTreeMap<Key, Vec<Name>> {
    let mut groups: BTreeMap<(Name, Name), Vec<Name>> = BTreeMap::new();
    for (name, engine) in &tree.fleet.engines {
        let group = (engine.domain.clone(), engine.model.clone());
        groups.entry(group).or_default().push(name.clone());
    }
    let size = tree.fleet.cell_size();
    let mut cells = BTreeMap::new();
    for ((domain, model), names) in groups {
        for (index, engines) in names.chunks(size).enumerate() {
            let key = Key {
                domain: domain.clone(),
                model: model.clone(),
                index: index as u32,
            };
            cells.insert(key, engines.to_vec());
        }
    }
    cells
}
