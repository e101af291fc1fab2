//! What the store tells a host, and whether the store answers at all.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::Name;
use alderglade_core::fleet::config::Config;
use alderglade_core::fleet::directory::{Change, Server};
use alderglade_core::time::Time;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The store was away for so long that entries of servers may have lapsed: they go after three missed
/// heartbeats of 1.2 s, the first of which may have been due at once.
const LAPSED_AFTER: Duration = Duration::from_millis(2_000);
/// How long the store may be away before the host counts as cut off. Long enough for a few calls in a
/// row to fail; short beside the five seconds after which a host that is cut off refuses keys.
const CUT_OFF: Duration = Duration::from_millis(600);

/// Another entry host, as the store lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Its name.
    pub name: Name,
    /// Where it takes notices.
    pub address: SocketAddr,
}

/// What the store has told.
#[derive(Debug)]
pub enum News {
    /// A configuration.
    Config(Config),
    /// A configuration that can't be read.
    ConfigUnreadable(String),
    /// All backend servers.
    Servers(Vec<Server>),
    /// A change of one backend server.
    Server(Change),
    /// All entry hosts.
    Hosts(Vec<Host>),
    /// Nothing newer existed at this time.
    Confirmed(Time),
    /// The store gives no answer.
    Lost(String),
    /// The store has answered a call.
    Answered,
}

/// Whether the store answers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Contact {
    /// Since when it doesn't.
    lost_at: Option<Time>,
    /// When it last did.
    answered: Time,
}

impl Contact {
    /// Says whether the store has been away for longer than a broken connection takes to mend.
    pub fn cut_off(&self) -> bool {
        self.lost_at
            .is_some_and(|at| clock::now().since(at) > CUT_OFF)
    }
}

impl Node {
    /// Takes what the store has told.
    pub fn learn(&self, news: News) {
        let now = clock::now();
        match news {
            News::Config(config) => self.take_config(config),
            News::ConfigUnreadable(problem) => {
                event::write(&Record::ConfigUnreadable { problem: &problem });
            }
            News::Servers(servers) => {
                self.state.borrow_mut().directory.replace(servers, now);
                self.tell_servers();
            }
            News::Server(change) => {
                self.state.borrow_mut().directory.apply(change, now);
                self.tell_servers();
                self.book_changed.notify_one();
            }
            News::Hosts(hosts) => self.state.borrow_mut().hosts = hosts,
            News::Confirmed(at) => self.state.borrow_mut().freshness.confirm(at),
            News::Lost(problem) => self.store_lost(&problem),
            News::Answered => self.store_answered(now),
        }
    }

    fn take_config(&self, config: Config) {
        let mut state = self.state.borrow_mut();
        let before = state.config.as_ref().map(|config| config.version);
        if before.is_some_and(|before| before >= config.version) {
            return;
        }
        let version = config.version;
        state.config = Some(Rc::new(config));
        drop(state);
        self.metrics.config.set(version.cast_signed());
        event::write(&Record::ConfigInForce { version, before });
    }

    /// Forgets the records of servers that are gone and writes how many there are.
    pub(super) fn tell_servers(&self) {
        let mut state = self.state.borrow_mut();
        let State {
            directory, health, ..
        } = &mut *state;
        health.retain(|id| directory.get(id).is_some());
        let known = directory.len();
        let leaving = directory.leaving().len();
        self.metrics.servers.set(known as i64);
        event::write(&Record::ServersChanged { known, leaving });
    }

    fn store_lost(&self, problem: &str) {
        let contact = self.store.get();
        if contact.lost_at.is_some() {
            return;
        }
        self.store.set(Contact {
            lost_at: Some(clock::now()),
            ..contact
        });
        self.state.borrow_mut().directory.store_lost();
        event::write(&Record::StoreLost { problem });
    }

    fn store_answered(&self, now: Time) {
        let Contact { lost_at, answered } = self.store.get();
        self.store.set(Contact {
            lost_at: None,
            answered: now,
        });
        if lost_at.is_none() {
            return;
        }
        let away = now.since(answered);
        let mut state = self.state.borrow_mut();
        state.directory.store_returned(now, away >= LAPSED_AFTER);
        drop(state);
        event::write(&Record::StoreBack {
            age_ms: away.as_millis() as u64,
        });
        self.store_back.notify_waiters();
    }
}
