//! A cell: the engines of one model in one failure domain that share a queue, and their home.
//!
//! The home of a cell binds a request to an engine only when an engine has room for it. Until
//! then the request waits in the cell's one queue, so the death of an engine loses no place in
//! it and order holds over all engines. The home grants; the entry host that holds the caller
//! sends the work itself. A home is a hint for efficiency: where two hosts both believe to be
//! home, the engines' own memory accounts decide, and a grant that comes second is declined.

mod forming;
mod grants;
mod pool;
mod reports;

use crate::Name;
use crate::admission::{self, Capacity};
use crate::book::Engine;
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

/// Names a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The failure domain.
    pub domain: Name,
    /// The model.
    pub model: Name,
    /// Counts the cells of that domain and model.
    pub index: u32,
}

impl std::fmt::Display for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}/{}", self.domain, self.model, self.index)
    }
}

/// What the home wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Tell an entry host that its request waits here.
    Queued {
        /// The entry host.
        to: Name,
        /// The request.
        request: Id,
        /// Its try.
        attempt: u32,
    },
    /// Tell an entry host to send its request.
    Grant {
        /// The entry host.
        to: Name,
        /// The request.
        request: Id,
        /// Its try.
        attempt: u32,
        /// The engines, several for a gang.
        engines: Vec<Name>,
    },
    /// Tell an entry host that its request is refused here.
    Refuse {
        /// The entry host.
        to: Name,
        /// The request.
        request: Id,
        /// Its try.
        attempt: u32,
        /// The answer.
        refusal: Refusal,
    },
    /// Reserve memory at an engine.
    Reserve {
        /// The engine.
        engine: Name,
        /// The entry host that it is held for.
        holder: Name,
        /// The request.
        request: Id,
        /// Memory in tokens.
        tokens: u64,
    },
    /// Free what an engine holds for a request.
    Free {
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
    /// Ask an entry host whether a holding is still wanted.
    Verify {
        /// The entry host.
        to: Name,
        /// The engine.
        engine: Name,
        /// The request.
        request: Id,
    },
}

/// How an attempt that was granted ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// It ended by itself, or was cancelled and the engine confirmed it.
    Left,
    /// It was never sent.
    Declined,
    /// The engine said that it has no room.
    NoRoom,
    /// The engine failed or didn't answer.
    Failed,
    /// The engine said that it is leaving.
    Leaving,
}

/// What others may know of a cell's load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The cell.
    pub cell: Key,
    /// Engines that take work.
    pub open: u32,
    /// Expected wait of each lane, most urgent first.
    pub waits: [Duration; crate::lane::COUNT],
    /// The largest need that the open engines can hold together, in tokens.
    pub largest: u64,
}

/// The first guess of how long a stream holds its slot.
const FIRST_HOLD: Duration = Duration::from_secs(4);
/// Workspaces looked at in a lane for one whose request fits.
const HEADS: usize = 8;
/// A request that has left is remembered for this long, because reports lag.
const DEPARTED_LIFE: Duration = Duration::from_secs(5);
/// How fast the measured short load follows.
const BUSY_WINDOW: Duration = Duration::from_secs(2);

/// What was granted to a request.
#[derive(Debug, Default)]
struct Granted {
    attempt: u32,
    engines: Vec<Name>,
}

/// The home's state of one cell. All of it is soft: a new home starts empty and learns.
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
    hold: Average,
    busy: Busy,
    actions: Vec<Action>,
}

/// How busy short prefill keeps the engines, as a decaying sum.
#[derive(Debug, Clone, Copy)]
struct Busy {
    micros: f64,
    at: Time,
}

impl Busy {
    fn decay(&mut self, now: Time) {
        let passed = now.since(self.at).as_secs_f64();
        self.at = now;
        self.micros *= (-passed / BUSY_WINDOW.as_secs_f64()).exp();
    }

    fn add(&mut self, micros: u64, now: Time) {
        self.decay(now);
        self.micros += micros as f64;
    }

    fn per_mille(&mut self, now: Time) -> u64 {
        self.decay(now);
        (self.micros * 1_000.0 / BUSY_WINDOW.as_micros() as f64) as u64
    }
}

impl Cell {
    /// Starts a cell without engines.
    pub fn new(key: Key, config: placement::Config, now: Time) -> Cell {
        Cell {
            key,
            config,
            queue: Queue::default(),
            engines: Pool::new(config),
            granted: HashMap::new(),
            departed: HashMap::new(),
            forming: None,
            hold: Average::new(FIRST_HOLD),
            busy: Busy {
                micros: 0.0,
                at: now,
            },
            actions: Vec::new(),
        }
    }

    /// Takes the engines from settings; pages of engines that stay are kept.
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

    /// Gives what the home wants done since it was last asked.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Gives how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len() + usize::from(self.forming.is_some())
    }

    /// Gives how many requests run.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Gives the engines' pages of the book.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> + Clone {
        self.engines.iter()
    }

    /// Takes a request from an entry host. A request that is here already is left as it is.
    pub fn enqueue(&mut self, from: &Name, ticket: Ticket, now: Time) {
        let (request, attempt) = (ticket.id, ticket.attempt);
        if self.queue.contains(request) || self.is_forming(request) {
            self.note_queued(from, request, attempt);
            return;
        }
        if self.grant_again(from, request, attempt, now) {
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
        // A request that is granted at once needs no further word.
        if !self.granted.contains_key(&request) {
            self.note_queued(from, request, attempt);
        }
    }

    /// Repeats a grant whose news was lost. A newer try means that the news of the older one's end
    /// was lost.
    fn grant_again(&mut self, to: &Name, request: Id, attempt: u32, now: Time) -> bool {
        let Some(granted) = self.granted.get(&request) else {
            return false;
        };
        if granted.attempt < attempt {
            self.done(request, End::Left, now);
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

    fn note_queued(&mut self, to: &Name, request: Id, attempt: u32) {
        let to = to.clone();
        self.actions.push(Action::Queued {
            to,
            request,
            attempt,
        });
    }

    fn admit(&mut self, ticket: &Ticket, now: Time) -> Result<(), Refusal> {
        let summary = self.summary(now);
        if ticket.need() > summary.largest {
            let later = admission::come_back(Duration::ZERO, ticket.id);
            return Err(Refusal::new(Kind::NoCapacity, later));
        }
        // A retry was admitted before; its place is kept, its deadline still holds.
        if ticket.attempt > 1 {
            return Ok(());
        }
        let capacity = self.capacity(now);
        admission::admit(&self.queue, &capacity, ticket)
            .map_err(|later| Refusal::new(Kind::Overloaded, later))
    }

    fn summary(&mut self, now: Time) -> Summary {
        self.engines.summary(self.hold.get(), now)
    }

    /// Sums up what the cell can do, a gang that is being formed included.
    pub fn capacity(&mut self, now: Time) -> Capacity {
        let mut capacity = self.summary(now).capacity;
        capacity.long_under_way += self.forming_tokens();
        capacity
    }

    fn forming_tokens(&self) -> u64 {
        let forming = self.forming.as_ref();
        forming.map_or(0, |gang| gang.entry.ticket.prompt)
    }

    fn long_bound(&mut self, now: Time) -> usize {
        let capacity = self.capacity(now);
        let busy = self.busy.per_mille(now);
        let first = self.queue.peek(Lane::Long);
        let demand = placement::Demand {
            tokens: self.queue.tokens(Lane::Long) + capacity.long_under_way,
            slack: first.map_or(Duration::MAX, |entry| entry.deadline.left(now)),
            rate: capacity.rate.max(1),
        };
        placement::long_bound(&self.config, capacity.engines as usize, busy, demand)
    }

    /// Takes a request back that its entry host no longer wants.
    pub fn withdraw(&mut self, request: Id) {
        self.queue.remove(request);
        if self.is_forming(request) {
            self.break_up();
            self.forming = None;
        }
    }

    /// Lets time pass: answers what is overdue, forms gangs, grants what fits.
    pub fn tick(&mut self, now: Time) {
        self.engines.age_summary();
        while let Some(entry) = self.queue.expired(now) {
            self.refuse_expired(&entry);
        }
        self.tick_forming(now);
        self.sweep(now);
        self.pump(now);
        self.queue.tidy();
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_LIFE);
    }

    fn refuse_expired(&mut self, entry: &Entry) {
        let later = admission::come_back(Duration::ZERO, entry.ticket.id);
        self.actions.push(Action::Refuse {
            to: entry.from.clone(),
            request: entry.ticket.id,
            attempt: entry.ticket.attempt,
            refusal: Refusal::new(Kind::ExpiredWaiting, later),
        });
    }

    /// Describes the cell's load to others.
    pub fn digest(&mut self, now: Time) -> Digest {
        let capacity = self.capacity(now);
        let waits = Lane::ALL.map(|lane| {
            let probe = probe(&self.key, lane);
            admission::wait(&self.queue, &capacity, &probe)
        });
        Digest {
            cell: self.key.clone(),
            open: capacity.engines as u32,
            waits,
            largest: self.summary(now).largest,
        }
    }
}

/// A request of no size, for asking how long a lane waits.
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

/// Splits the engines of the settings into cells, each with its engines in the order of names.
pub fn split(tree: &Tree) -> BTreeMap<Key, Vec<Name>> {
    let mut groups: BTreeMap<(Name, Name), Vec<Name>> = BTreeMap::new();
    for (name, engine) in &tree.fleet.engines {
        let group = (engine.domain.clone(), engine.model.clone());
        groups.entry(group).or_default().push(name.clone());
    }
    let size = tree.fleet.cell_size();
    let mut cells = BTreeMap::new();
    for ((domain, model), names) in groups {
        for (index, part) in names.chunks(size).enumerate() {
            let key = Key {
                domain: domain.clone(),
                model: model.clone(),
                index: index as u32,
            };
            cells.insert(key, part.to_vec());
        }
    }
    cells
}
