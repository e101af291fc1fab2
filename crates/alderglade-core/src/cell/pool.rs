//! The engines of a cell, indexed so that a decision has to examine only a few of them.
//!
//! Every change of an engine goes through [`Pool::change`], which updates the index. Totals over all
//! engines are cached for a short time ([`Pool::summary`]). A total that is some milliseconds old is
//! as accurate as the load reports on which it is based.

use crate::Name;
use crate::admission::Capacity;
use crate::engine_state::Engine;
use crate::gang;
use crate::placement::{self, Config};
use crate::request::Ticket;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Maximum age of a summary. It is also recomputed when an engine is added, removed or changes its
/// state, and on each tick, so that decisions between ticks don't have to compute it.
const SUMMARY_MAX_AGE: Duration = Duration::from_millis(50);
/// Maximum number of ranked engines compared in detail for one short request.
const MAX_COMPARED: usize = 8;
/// Maximum number of prefixes whose engine is tracked. The map is cleared when it is full.
const MAX_PREFIXES: usize = 4_096;

/// Totals over all engines.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Summary {
    /// Capacity and load of the open engines.
    pub capacity: Capacity,
    /// KV memory of the largest request that the live engines together can hold, in tokens.
    pub largest: u64,
    /// KV memory of the largest request that one open engine can hold, in tokens.
    pub max_single: u64,
    /// KV memory of the largest long request that one open engine has room for now, in tokens.
    pub max_long_room: u64,
}

/// Sort key of an engine with room for short requests: time to first token, running requests, name.
type Rank = (Duration, usize, Name);

/// The state of an engine as it is counted in the index.
#[derive(Debug, Default)]
struct Indexed {
    rank: Option<Rank>,
    prefills_long: bool,
}

/// The engines of a cell and their index.
#[derive(Debug)]
pub(super) struct Pool {
    config: Config,
    engines: BTreeMap<Name, Engine>,
    order: BTreeSet<Rank>,
    indexed: HashMap<Name, Indexed>,
    prefixes: HashMap<u64, Name>,
    long_engines: usize,
    summary: Summary,
    summarized_at: Option<Time>,
}

impl Pool {
    /// Creates an empty pool.
    pub(super) fn new(config: Config) -> Pool {
        Pool {
            config,
            engines: BTreeMap::new(),
            order: BTreeSet::new(),
            indexed: HashMap::new(),
            prefixes: HashMap::new(),
            long_engines: 0,
            summary: Summary::default(),
            summarized_at: None,
        }
    }

    /// Returns an engine.
    pub(super) fn get(&self, name: &Name) -> Option<&Engine> {
        self.engines.get(name)
    }

    /// Returns all engines, ordered by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Engine> + Clone {
        self.engines.values()
    }

    /// Adds an engine unless it is present.
    pub(super) fn insert(&mut self, engine: Engine) {
        let name = engine.name.clone();
        self.engines.entry(name.clone()).or_insert(engine);
        self.index(&name);
        self.summarized_at = None;
    }

    /// Removes all engines except those in `names`.
    pub(super) fn retain(&mut self, names: &[Name]) {
        let removed: Vec<Name> = self
            .engines
            .keys()
            .filter(|name| !names.contains(name))
            .cloned()
            .collect();
        for name in removed {
            self.engines.remove(&name);
            self.index(&name);
        }
        self.summarized_at = None;
    }

    /// Changes an engine and updates the index. Returns `None` if the engine is unknown.
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
            self.summarized_at = None;
        }
        self.index(name);
        Some(result)
    }

    /// Changes every engine and invalidates the summary.
    pub(super) fn change_all(&mut self, change: impl Fn(&mut Engine)) {
        let names: Vec<Name> = self.engines.keys().cloned().collect();
        for name in &names {
            self.change(name, &change);
        }
        self.expire_summary();
    }

    fn index(&mut self, name: &Name) {
        let engine = self.engines.get(name);
        let available = engine.filter(|engine| placement::has_room(&self.config, engine));
        let rank = available.map(|engine| {
            let first_token = placement::first_token_of(engine, placement::TYPICAL_PROMPT_TOKENS);
            (first_token, engine.running.len(), name.clone())
        });
        let prefills_long = engine.is_some_and(|engine| engine.long_prefills() > 0);
        let indexed = self.indexed.entry(name.clone()).or_default();
        if indexed.rank != rank {
            if let Some(old) = indexed.rank.take() {
                self.order.remove(&old);
            }
            self.order.extend(rank.clone());
            indexed.rank = rank;
        }
        self.long_engines -= usize::from(indexed.prefills_long);
        self.long_engines += usize::from(prefills_long);
        indexed.prefills_long = prefills_long;
        if engine.is_none() {
            self.indexed.remove(name);
        }
    }

    /// Returns the number of engines that are prefilling a long prompt.
    pub(super) fn long_engines(&self) -> usize {
        self.long_engines
    }

    /// Records the engine at which the prompt's shared prefix will be cached.
    pub(super) fn record_prefix(&mut self, ticket: &Ticket, engine: &Name) {
        if let Some(prefix) = ticket.prefix {
            if self.prefixes.len() >= MAX_PREFIXES {
                self.prefixes.clear();
            }
            self.prefixes.insert(prefix.key, engine.clone());
        }
    }

    /// Selects an engine for a short request.
    ///
    /// Compares the highest-ranked engines that accept the request, and the engine that is expected to
    /// have its prefix cached.
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
        let accepting =
            ordered.filter(|engine| placement::accepts_short(config, engine, ticket, now));
        let candidates = accepting.take(MAX_COMPARED);
        placement::pick_short(config, candidates.chain(cached), ticket, now)
    }

    /// Invalidates the cached summary.
    pub(super) fn expire_summary(&mut self) {
        self.summarized_at = None;
    }

    /// Returns the totals over all engines, which may be a few milliseconds old.
    pub(super) fn summary(&mut self, slot_time: Duration, now: Time) -> Summary {
        let fresh = self
            .summarized_at
            .is_some_and(|at| now.since(at) < SUMMARY_MAX_AGE);
        if !fresh {
            self.summary = self.summarize(slot_time, now);
            self.summarized_at = Some(now);
        }
        self.summary
    }

    fn summarize(&self, slot_time: Duration, now: Time) -> Summary {
        let mut summary = Summary {
            capacity: Capacity {
                slot_time,
                ..Capacity::default()
            },
            ..Summary::default()
        };
        for engine in self.engines.values().filter(|engine| engine.is_live(now)) {
            let usable = gang::usable(engine);
            summary.largest += usable;
            if !engine.suspect {
                summary.max_single = summary.max_single.max(usable);
                let room = placement::long_room(&self.config, engine);
                summary.max_long_room = summary.max_long_room.max(room);
                summary.capacity.add(engine, now);
            }
        }
        let capacity = &mut summary.capacity;
        capacity.long_engines = capacity.engines.saturating_sub(1).max(1);
        summary
    }
}
