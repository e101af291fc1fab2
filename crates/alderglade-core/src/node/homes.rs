//! Runs the cells whose home this host is.

use super::{Action, Node};
use crate::Name;
use crate::cell::{self, Cell, Key};
use crate::engine_state::Report;
use crate::message::Message;
use crate::request::{Id, Ticket};

impl Node {
    /// Opens the cells whose home this host has become, and closes those that have moved elsewhere.
    ///
    /// A cell that has moved stays open until no request waits in it.
    pub(super) fn tick_homes(&mut self) {
        let domain = self.view.own().domain.clone();
        let local: Vec<Key> = self
            .cells
            .keys()
            .filter(|key| key.domain == domain)
            .cloned()
            .collect();
        for key in local {
            if self.is_home(&key) {
                self.open_cell(&key);
            }
        }
        let moved: Vec<Key> = self
            .homes
            .keys()
            .filter(|key| !self.is_home(key))
            .cloned()
            .collect();
        for key in moved {
            self.close_if_idle(&key);
        }
        let keys: Vec<Key> = self.homes.keys().cloned().collect();
        for key in keys {
            self.with_cell(&key, |cell, now| cell.tick(now));
        }
    }

    fn is_home(&self, key: &Key) -> bool {
        self.view.home(&key.to_string(), self.now) == self.view.own().name
    }

    fn close_if_idle(&mut self, key: &Key) {
        let idle = self.homes.get(key).is_some_and(|cell| cell.waiting() == 0);
        if idle {
            self.homes.remove(key);
        }
    }

    /// Opens a cell unless it is open. Returns whether the settings have such a cell.
    fn open_cell(&mut self, key: &Key) -> bool {
        if self.homes.contains_key(key) {
            return true;
        }
        let Some(names) = self.cells.get(key) else {
            return false;
        };
        let mut cell = Cell::new(key.clone(), self.placement, self.now);
        cell.set_engines(&self.tree, names, self.now);
        self.leaving
            .names(self.now)
            .iter()
            .for_each(|name| cell.set_leaving(name));
        self.homes.insert(key.clone(), cell);
        true
    }

    /// Updates the engines of the open cells after a change of the settings.
    ///
    /// A cell that the settings no longer have is dropped, with the requests that wait in it.
    pub(super) fn set_home_engines(&mut self) {
        let keys: Vec<Key> = self.homes.keys().cloned().collect();
        for key in keys {
            match self.cells.get(&key) {
                Some(names) => {
                    if let Some(cell) = self.homes.get_mut(&key) {
                        cell.set_engines(&self.tree, names, self.now);
                    }
                }
                None => {
                    self.homes.remove(&key);
                }
            }
        }
    }

    /// Applies a change to an open cell and performs the actions that result.
    pub(super) fn with_cell(
        &mut self,
        key: &Key,
        change: impl FnOnce(&mut Cell, crate::time::Time),
    ) {
        let now = self.now;
        let Some(cell) = self.homes.get_mut(key) else {
            return;
        };
        change(cell, now);
        for action in cell.take_actions() {
            self.perform_cell_action(key, action);
        }
    }

    fn perform_cell_action(&mut self, key: &Key, action: cell::Action) {
        let cell = key.clone();
        match action {
            cell::Action::Queued {
                to,
                request,
                attempt,
            } => self.send(&to, Message::Queued { request, attempt }),
            cell::Action::Grant {
                to,
                request,
                attempt,
                engines,
            } => {
                let message = Message::Grant {
                    cell,
                    request,
                    attempt,
                    engines,
                };
                self.send(&to, message);
            }
            cell::Action::Refuse {
                to,
                request,
                attempt,
                refusal,
            } => {
                let message = Message::Refused {
                    cell,
                    request,
                    attempt,
                    refusal,
                };
                self.send(&to, message);
            }
            cell::Action::Reserve {
                engine,
                holder,
                request,
                tokens,
            } => self.actions.push(Action::Reserve {
                engine,
                holder,
                request,
                tokens,
            }),
            cell::Action::Free { engine, request } => {
                self.actions.push(Action::Free { engine, request });
            }
            cell::Action::Verify {
                to,
                engine,
                request,
            } => {
                let message = Message::Verify {
                    cell,
                    engine,
                    request,
                };
                self.send(&to, message);
            }
        }
    }

    /// Puts another host's request into the queue of a cell.
    ///
    /// This host does so even if it doesn't consider itself the home of the cell: views of the
    /// live hosts differ for a while, and the sender moves the request once its view changes.
    pub(super) fn handle_enqueue(&mut self, from: Name, cell: Key, ticket: Ticket) {
        let same_domain = cell.domain == self.view.own().domain;
        if same_domain && self.open_cell(&cell) {
            self.with_cell(&cell, |cell, now| cell.enqueue(&from, ticket, now));
        }
    }

    pub(super) fn handle_report(&mut self, report: &Report) {
        if report.leaving {
            self.leaving
                .record_report(std::slice::from_ref(&report.engine), self.now);
        }
        if let Some(key) = self.cell_of(&report.engine) {
            self.with_cell(&key, |cell, now| cell.report(report, now));
        }
    }

    pub(super) fn handle_reservation_answer(&mut self, engine: &Name, request: Id, agreed: bool) {
        if let Some(key) = self.cell_of(engine) {
            self.with_cell(&key, |cell, now| {
                cell.reserved(engine, request, agreed, now)
            });
        }
    }

    /// Returns the open cell that an engine belongs to.
    fn cell_of(&self, engine: &Name) -> Option<Key> {
        let found = self.homes.keys().find(|key| {
            let names = self.cells.get(*key);
            names.is_some_and(|names| names.contains(engine))
        });
        found.cloned()
    }
}
