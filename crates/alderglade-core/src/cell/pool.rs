//! The engines of a cell, indexed so that a decision looks at a few of them.
//!
//! Every change of an engine goes through [`Pool::change`], which keeps the index right. What a
//! decision needs of all engines together is summed up now and then ([`Pool::summary`]): an
//! estimate that is some milliseconds old is as good as the load reports it rests on.

use crate::Name;
use crate::admission::Capacity;
use crate::book::Engine;
use crate::gang;
use crate::placement::{self, Config};
use crate::request::Ticket;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A summary is good for this long, unless an engine comes or goes. Each tick makes a new one, so
/// that decisions between ticks don't pay for it.
const SUMMARY_LIFE: Duration = Duration::from_millis(50);
/// Engines compared in detail for one short request.
const COMPARED: usize = 8;
/// Prefixes whose engine is remembered.
const MOST_PREFIXES: usize = 4_096;

/// What all engines are together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Summary {
    /// What the open engines can do.
    pub capacity: Capacity,
    /// The largest need that the live engines can hold together, in tokens.
    pub largest: u64,
    /// The largest need that one open engine can hold, in tokens.
    pub single: u64,
    /// The largest long need that an engine has room for now, in tokens.
    pub roomiest: u64,
}

/// An engine's place among those with room for short work, soonest first token first.
type Rank = (Duration, usize, Name);

#[derive(Debug, Default)]
struct Noted {
    rank: Option<Rank>,
    prefills_long: bool,
}

/// The engines.
#[derive(Debug)]
pub(super) struct Pool {
    config: Config,
    engines: BTreeMap<Name, Engine>,
    order: BTreeSet<Rank>,
    noted: HashMap<Name, Noted>,
    prefixes: HashMap<u64, Name>,
    long_engines: usize,
    summary: Summary,
    summed: Option<Time>,
}

impl Pool {
    /// Starts without engines.
    pub(super) fn new(config: Config) -> Pool {
        Pool {
            config,
            engines: BTreeMap::new(),
            order: BTreeSet::new(),
            noted: HashMap::new(),
            prefixes: HashMap::new(),
            long_engines: 0,
            summary: Summary::default(),
            summed: None,
        }
    }

    /// Looks at an engine.
    pub(super) fn get(&self, name: &Name) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// Looks at all engines, in the order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Engine> + Clone {
        self.engines.values()
    }

    /// Puts an engine in, unless it is there.
    pub(super) fn insert(&mut self, engine: Engine) {
        let name = engine.name.clone();
        self.engines.entry(name.clone()).or_insert(engine);
        self.index(&name);
        self.summed = None;
    }

    /// Keeps only some engines.
    pub(super) fn retain(&mut self, names: &[Name]) {
        let gone: Vec<Name> = self
            .engines
            .keys()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        for name in gone {
            self.engines.remove(&name);
            self.index(&name);
        }
        self.summed = None;
    }

    /// Changes an engine and keeps the index right.
    pub(super) fn change<T>(
        &mut self,
        name: &Name,
        change: impl FnOnce(&mut Engine) -> T,
    ) -> Option<T> {
        let engine = self.engines.get_mut(name)?;
        let before = (engine.leaving, engine.suspect, engine.incarnation);
        let result = change(engine);
        let after = (engine.leaving, engine.suspect, engine.incarnation);
        if before != after {
            self.summed = None;
        }
        self.index(name);
        Some(result)
    }

    /// Changes every engine; the sums are made anew.
    pub(super) fn change_all(&mut self, change: impl Fn(&mut Engine)) {
        let names: Vec<Name> = self.engines.keys().cloned().collect();
        for name in &names {
            self.change(name, &change);
        }
        self.age_summary();
    }

    fn index(&mut self, name: &Name) {
        let engine = self.engines.get(name);
        let roomy = engine.filter(|engine| placement::has_room(&self.config, engine));
        let rank = roomy.map(|engine| {
            let soonest = placement::first_token_of(engine, placement::TYPICAL_PROMPT);
            (soonest, engine.running.len(), name.clone())
        });
        let prefills_long = engine.is_some_and(|engine| engine.long_prefills() > 0);
        let noted = self.noted.entry(name.clone()).or_default();
        if noted.rank != rank {
            if let Some(old) = noted.rank.take() {
                self.order.remove(&old);
            }
            self.order.extend(rank.clone());
            noted.rank = rank;
        }
        self.long_engines -= usize::from(noted.prefills_long);
        self.long_engines += usize::from(prefills_long);
        noted.prefills_long = prefills_long;
        if engine.is_none() {
            self.noted.remove(name);
        }
    }

    /// Gives how many engines prefill a long prompt.
    pub(super) fn long_engines(&self) -> usize {
        self.long_engines
    }

    /// Remembers where a prompt's shared beginning will be cached.
    pub(super) fn note_prefix(&mut self, ticket: &Ticket, engine: &Name) {
        if let Some(prefix) = ticket.prefix {
            if self.prefixes.len() >= MOST_PREFIXES {
                self.prefixes.clear();
            }
            self.prefixes.insert(prefix.key, engine.clone());
        }
    }

    /// Picks an engine for short work: the best of the first few that take it, and of the one
    /// that has its prefix.
    pub(super) fn pick_short(&self, ticket: &Ticket, now: Time) -> Option<&Engine> {
        let config = &self.config;
        let prefix = ticket
            .prefix
            .and_then(|prefix| self.prefixes.get(&prefix.key));
        let cached = prefix.and_then(|name| self.engines.get(name));
        let ordered = self
            .order
            .iter()
            .filter_map(|(_, _, name)| self.engines.get(name));
        let taking = ordered.filter(|engine| placement::takes_short(config, engine, ticket, now));
        let few = taking.take(COMPARED);
        placement::pick_short(config, few.chain(cached), ticket, now)
    }

    /// Has the next summary made anew.
    pub(super) fn age_summary(&mut self) {
        self.summed = None;
    }

    /// Sums up the engines; the sum may be a few milliseconds old.
    pub(super) fn summary(&mut self, hold: Duration, now: Time) -> Summary {
        let fresh = self.summed.is_some_and(|at| now.since(at) < SUMMARY_LIFE);
        if !fresh {
            self.summary = self.sum_up(hold, now);
            self.summed = Some(now);
        }
        self.summary
    }

    fn sum_up(&self, hold: Duration, now: Time) -> Summary {
        let mut summary = Summary {
            capacity: Capacity {
                hold,
                ..Capacity::default()
            },
            ..Summary::default()
        };
        for engine in self.engines.values().filter(|engine| engine.is_live(now)) {
            let usable = gang::usable(engine);
            summary.largest += usable;
            if !engine.suspect {
                summary.single = summary.single.max(usable);
                let room = placement::long_room(&self.config, engine);
                summary.roomiest = summary.roomiest.max(room);
                summary.capacity.add(engine, now);
            }
        }
        let capacity = &mut summary.capacity;
        capacity.long_engines = capacity.engines.saturating_sub(1).max(1);
        summary
    }
}
