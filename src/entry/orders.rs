//! Giving orders to engines: under the lease of the failure domain, fenced by its epoch.
//!
//! An order states the model and version that an engine shall have, so that repeating it does no
//! harm. Traffic needs no lease: with the platform out of reach orders stop and serving goes on.

use super::engines::Engines;
use super::snapshot::Published;
use alderglade_backend::wire::Order;
use alderglade_clock::Instant;
use alderglade_core::Name;
use alderglade_core::lease::{Action, Candidate, Held};
use alderglade_core::settings::{Tree, tree};
use alderglade_core::time::Time;
use alderglade_operator::event;
use alderglade_platform::{Client, lease};
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

/// Time is let pass this often.
const TICK: Duration = Duration::from_millis(500);
/// Orders given at once, so that weight loads stay below the weight store's rate.
const AT_ONCE: usize = 1;
/// Pause between orders.
const SPREAD: Duration = Duration::from_millis(500);

/// What one host knows of its orders.
pub(crate) struct Orders {
    client: Client,
    engines: Engines,
    domain: Name,
    candidate: Candidate,
    given: BTreeMap<Name, Order>,
    began: Instant,
    next: Instant,
    epoch: u64,
}

impl Orders {
    /// Starts without a lease.
    pub(crate) fn new(
        client: Client,
        engines: Engines,
        domain: Name,
        candidate: Candidate,
    ) -> Orders {
        Orders {
            client,
            engines,
            domain,
            candidate,
            given: BTreeMap::new(),
            began: Instant::now(),
            next: Instant::now(),
            epoch: 0,
        }
    }

    /// Runs until the process ends.
    pub(crate) fn run(mut self, published: &Published) {
        loop {
            thread::sleep(TICK);
            let snapshot = published.load_full();
            self.keep_lease(snapshot.orders && !snapshot.draining);
            if let Some(held) = self.candidate.held(self.now()) {
                self.note_epoch(held);
                self.give(&snapshot.tree);
            }
        }
    }

    fn now(&self) -> Time {
        Time(self.began.elapsed().as_micros() as u64)
    }

    fn keep_lease(&mut self, wanted: bool) {
        let asked = self.now();
        match self.candidate.tick(wanted, asked) {
            None => {}
            Some(Action::Read) => {
                if let Ok(found) = lease::read(&self.client, &self.domain) {
                    self.candidate.apply_read(found, self.now());
                }
            }
            Some(Action::Write(wish)) => {
                let written = lease::write(&self.client, &self.domain, wish).ok();
                self.candidate.apply_write(written, asked, self.now());
            }
        }
    }

    fn note_epoch(&mut self, held: Held) {
        if held.epoch != self.epoch {
            self.epoch = held.epoch;
            self.given.clear();
            event::write(
                event::LEASE_TAKEN,
                &format!("{} epoch {}", self.domain, held.epoch),
            );
        }
    }

    /// Gives the next orders that are wanted and not given yet in this epoch.
    fn give(&mut self, tree: &Tree) {
        if Instant::now() < self.next {
            return;
        }
        let due: Vec<(Name, Order)> = tree
            .fleet
            .engines
            .iter()
            .filter(|(_, engine)| engine.domain == self.domain)
            .filter_map(|(name, engine)| Some((name.clone(), self.wanted(tree, engine)?)))
            .filter(|(name, order)| self.given.get(name) != Some(order))
            .take(AT_ONCE)
            .collect();
        for (name, order) in due {
            self.next = Instant::now() + SPREAD;
            self.send(name, order);
        }
    }

    /// Gives the order that an engine has to have got, if one may be sent now.
    fn wanted(&self, tree: &Tree, engine: &tree::Engine) -> Option<Order> {
        let model = tree.fleet.models.get(&engine.model)?;
        let epoch = self
            .candidate
            .order_epoch(engine.checks_orders, self.now())?;
        Some(Order {
            epoch,
            model: engine.model.clone(),
            version: model.version.clone(),
        })
    }

    fn send(&mut self, engine: Name, order: Order) {
        let Some(client) = self.engines.client(&engine) else {
            return;
        };
        if client.order(&order).is_ok() {
            let detail = format!(
                "{engine}: {} {} epoch {}",
                order.model, order.version, order.epoch
            );
            event::write(event::ORDERED, &detail);
            self.given.insert(engine, order);
        }
    }
}
