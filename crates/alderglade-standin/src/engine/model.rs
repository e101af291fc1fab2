//! An engine without its sockets: the batch, who holds what, leases and faults.
//!
//! The HTTP stand-in and the virtual-clock world drive the same model.

use crate::batch::{Batch, Config, Emitted, Job};
use alderglade_backend::wire::{Order, Reason};
use alderglade_core::Name;
use alderglade_core::engine_state::{Holding, Report};
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How the engine misbehaves.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// It stops: no step, no answer, connections stay open.
    pub frozen: bool,
    /// It says that it is leaving.
    pub leaving: bool,
    /// It refuses all new work.
    pub refusing: bool,
    /// It drops a stream once this many further tokens are sent.
    pub drop_after: Option<u32>,
    /// It sends tokens twice, in the wrong order, and mixed with those of other tries.
    pub shuffled: bool,
}

#[derive(Debug, Clone)]
struct Held {
    holder: Name,
    tokens: u64,
    since: Time,
    until: Time,
}

/// A request to hold something for.
#[derive(Debug, Clone)]
pub struct Wish {
    /// The request.
    pub id: Id,
    /// The entry host that asks.
    pub holder: Name,
    /// Memory in tokens.
    pub tokens: u64,
    /// How long it is held unless renewed.
    pub lease: Duration,
}

/// An engine.
#[derive(Debug)]
pub struct Model {
    name: Name,
    config: Config,
    batch: Batch,
    holdings: BTreeMap<Id, Held>,
    incarnation: u64,
    epoch: u64,
    checks_orders: bool,
    orders: Vec<Order>,
    started: Vec<Id>,
    /// How it misbehaves.
    pub faults: Faults,
}

impl Model {
    /// Starts an engine that holds nothing.
    pub fn new(name: &Name, config: Config, checks_orders: bool) -> Model {
        Model {
            name: name.clone(),
            config,
            batch: Batch::new(config),
            holdings: BTreeMap::new(),
            incarnation: 1,
            epoch: 0,
            checks_orders,
            orders: Vec::new(),
            started: Vec::new(),
            faults: Faults::default(),
        }
    }

    /// Gives its name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Starts anew with empty memory.
    pub fn restart(&mut self) {
        self.batch = Batch::new(self.config);
        self.holdings.clear();
        self.faults = Faults::default();
        self.incarnation += 1;
    }

    /// Reserves memory, or renews the same reservation.
    ///
    /// # Errors
    ///
    /// The reason why not.
    pub fn reserve(&mut self, wish: Wish, now: Time) -> Result<(), Reason> {
        self.check_open()?;
        if self.holdings.contains_key(&wish.id) {
            self.renew(wish.id, wish.lease, now);
            return Ok(());
        }
        if !self.batch.reserve(wish.tokens) {
            return Err(Reason::NoRoom);
        }
        let held = Held {
            holder: wish.holder,
            tokens: wish.tokens,
            since: now,
            until: now + wish.lease,
        };
        self.holdings.insert(wish.id, held);
        Ok(())
    }

    /// Starts a job on memory that it takes now or has reserved.
    ///
    /// # Errors
    ///
    /// The reason why not; nothing was started.
    pub fn start(&mut self, job: Job, wish: Wish, now: Time) -> Result<(), Reason> {
        let id = wish.id;
        let fresh = !self.holdings.contains_key(&id);
        self.reserve(wish, now)?;
        // An earlier try of the same request may still run here: the new one takes its place.
        self.batch.cancel(id);
        if self.batch.submit(job) {
            self.started.push(id);
            return Ok(());
        }
        if fresh {
            self.free(id);
        }
        Err(Reason::NoRoom)
    }

    fn check_open(&self) -> Result<(), Reason> {
        if self.faults.leaving {
            return Err(Reason::Leaving);
        }
        if self.faults.refusing {
            return Err(Reason::NoRoom);
        }
        Ok(())
    }

    /// Holds on to something for longer; says whether it is held.
    pub fn renew(&mut self, id: Id, lease: Duration, now: Time) -> bool {
        let Some(held) = self.holdings.get_mut(&id) else {
            return false;
        };
        held.until = now + lease;
        true
    }

    /// Stops a request and frees what it holds.
    pub fn free(&mut self, id: Id) {
        self.batch.cancel(id);
        if let Some(held) = self.holdings.remove(&id) {
            self.batch.unreserve(held.tokens);
        }
    }

    /// Frees what was not renewed; gives the requests that it belonged to.
    pub fn lapse(&mut self, now: Time) -> Vec<Id> {
        let late = self.holdings.iter().filter(|(_, held)| held.until < now);
        let late: Vec<Id> = late.map(|(id, _)| *id).collect();
        late.iter().for_each(|id| self.free(*id));
        late
    }

    /// Runs one step. A job that ends frees its memory, unless it was only one part of a gang's.
    pub fn step(&mut self, keep: impl Fn(Id) -> bool) -> (Duration, Vec<Emitted>) {
        let (time, emitted) = self.batch.step();
        for token in emitted.iter().filter(|token| token.last && !keep(token.id)) {
            self.free(token.id);
        }
        (time, emitted)
    }

    /// Says whether nothing runs.
    pub fn is_idle(&self) -> bool {
        self.batch.is_idle()
    }

    /// Gives free KV memory in tokens.
    pub fn free_tokens(&self) -> u64 {
        self.batch.free()
    }

    /// Gives the tokens prefilled so far.
    pub fn prefilled(&self) -> u64 {
        self.batch.prefilled()
    }

    /// Gives the requests that it has started, a request again with each try.
    pub fn started(&self) -> &[Id] {
        &self.started
    }

    /// Describes its load.
    pub fn report(&mut self, now: Time) -> Report {
        let holding = |(id, held): (&Id, &Held)| Holding {
            request: *id,
            holder: held.holder.clone(),
            tokens: held.tokens,
            age: now.since(held.since),
        };
        Report {
            engine: self.name.clone(),
            incarnation: self.incarnation,
            leaving: self.faults.leaving,
            holdings: self.holdings.iter().map(holding).collect(),
            evicted: self.batch.take_evicted(),
        }
    }

    /// Carries an order out.
    ///
    /// # Errors
    ///
    /// [`Reason::Fenced`] where the epoch is older than one seen and the engine checks.
    pub fn order(&mut self, order: Order) -> Result<(), Reason> {
        if self.checks_orders && order.epoch < self.epoch {
            return Err(Reason::Fenced);
        }
        self.epoch = self.epoch.max(order.epoch);
        self.orders.push(order);
        Ok(())
    }

    /// Gives the orders that it has carried out.
    pub fn orders(&self) -> &[Order] {
        &self.orders
    }
}
