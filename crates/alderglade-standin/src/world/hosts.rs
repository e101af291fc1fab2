//! Entry hosts: their node, and carrying out what it wants done.

use super::{Call, Happening, POLL, TICK, World};
use alderglade_core::Name;
use alderglade_core::membership::Card;
use alderglade_core::message::Message;
use alderglade_core::node::{Action, Config, Event, Node};
use alderglade_core::time::Time;
use std::time::Duration;

/// A send that isn't answered makes the receiver silent after this long.
const SEND_LIMIT: Duration = Duration::from_secs(1);
/// Settings are looked at this often by hosts that don't watch.
const LOOK: Duration = Duration::from_secs(30);
/// The list is read this often by hosts that watch.
const LIST: Duration = Duration::from_secs(1);
/// A watch shows a change this soon.
const WATCHED: Duration = Duration::from_millis(200);
/// Hosts of a failure domain that watch the settings.
const WATCHERS: usize = 2;
/// A planned stop takes at most this long, as a host's own settings have it unless they say otherwise.
const DRAIN_LIMIT: Duration = Duration::from_secs(600);

/// An entry host.
pub(crate) struct HostAt {
    /// Its failure domain.
    pub domain: Name,
    /// Its decisions; none while it is dead.
    pub node: Option<Node>,
    /// Counts its starts.
    pub incarnation: u64,
    /// Until when it is stopped.
    pub frozen_until: Time,
    /// Until when only its control thread is stuck.
    pub stalled_until: Time,
    /// When it was told to stop.
    pub draining_since: Option<Time>,
    /// The revision that this start of it has in force.
    pub revision: u64,
    /// The highest revision it ever had in force, across restarts.
    pub highest_revision: u64,
}

impl World {
    /// Starts a host, or starts it anew.
    pub(crate) fn start_host(&mut self, name: &Name, domain: &Name) {
        let incarnation = self.hosts.get(name).map_or(0, |host| host.incarnation) + 1;
        let card = Card {
            name: name.clone(),
            domain: domain.clone(),
            address: name.clone(),
            incarnation,
            leaving: false,
            revision: 0,
        };
        let config = Config {
            card,
            placement: self.plan.placement,
            drain_limit: DRAIN_LIMIT,
        };
        let highest_revision = self.hosts.get(name).map_or(0, |host| host.highest_revision);
        self.hosts.insert(
            name.clone(),
            HostAt {
                domain: domain.clone(),
                node: Some(Node::new(config, self.now)),
                incarnation,
                frozen_until: Time(0),
                stalled_until: Time(0),
                draining_since: None,
                revision: 0,
                highest_revision,
            },
        );
        let host = name.clone();
        self.after(Duration::ZERO, Happening::List { host, incarnation });
        let host = name.clone();
        self.after(
            Duration::from_millis(1),
            Happening::Look { host, incarnation },
        );
        let host = name.clone();
        self.after(
            Duration::from_millis(2),
            Happening::Tick { host, incarnation },
        );
        let host = name.clone();
        self.after(
            Duration::from_millis(3),
            Happening::Poll { host, incarnation },
        );
    }

    /// Gives a host's card as the platform's list has it.
    fn listed(&self) -> Vec<Card> {
        let card = |(name, host): (&Name, &HostAt)| Card {
            name: name.clone(),
            domain: host.domain.clone(),
            address: name.clone(),
            incarnation: 0,
            leaving: false,
            revision: 0,
        };
        self.hosts.iter().map(card).collect()
    }

    fn is_current(&self, host: &Name, incarnation: u64) -> bool {
        let found = self.hosts.get(host);
        found.is_some_and(|host| host.incarnation == incarnation && host.node.is_some())
    }

    pub(crate) fn tick_host(&mut self, host: Name, incarnation: u64) {
        if !self.is_current(&host, incarnation) {
            return;
        }
        self.host_event(&host, incarnation, Event::Tick);
        self.after_frozen(
            TICK,
            &host,
            Happening::Tick {
                host: host.clone(),
                incarnation,
            },
        );
        self.stop_if_drained(&host);
    }

    /// A frozen host's next happening waits until it wakes.
    fn after_frozen(&mut self, pause: Duration, host: &Name, happening: Happening) {
        let frozen = self
            .hosts
            .get(host)
            .map_or(Time(0), |host| host.frozen_until);
        let at = (self.now + pause).max(frozen);
        self.at(at, happening);
    }

    fn stop_if_drained(&mut self, name: &Name) {
        let waits = !self.is_off(super::Guard::DrainWait);
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let drained = host.node.as_ref().is_some_and(Node::is_drained);
        let stops = host.draining_since.is_some() && (drained || !waits);
        if stops {
            host.node = None;
            self.ledger.note_stopped(name, self.now);
            self.drop_streams_of(name);
        }
    }

    /// Hands an event to a host's node and carries out what follows; a frozen host gets it later.
    pub(crate) fn host_event(&mut self, name: &Name, incarnation: u64, event: Event) {
        if !self.is_current(name, incarnation) {
            return;
        }
        let busy = |host: &HostAt| host.frozen_until.max(host.stalled_until);
        let frozen = self.hosts.get(name).map_or(Time(0), busy);
        if frozen > self.now {
            let (host, event) = (name.clone(), Box::new(event));
            self.at(
                frozen,
                Happening::Event {
                    host,
                    incarnation,
                    event,
                },
            );
            return;
        }
        let (now, wall) = (self.now, self.wall_ms());
        let Some(node) = self.hosts.get_mut(name).and_then(|host| host.node.as_mut()) else {
            return;
        };
        let actions = node.handle(event, now, wall);
        self.note_revision(name);
        for action in actions {
            self.carry_out(name, incarnation, action);
        }
    }

    fn note_revision(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let Some(node) = &host.node else {
            return;
        };
        let revision = node.tree().revision;
        let ready = node.is_ready();
        let reverted = revision < host.revision;
        host.revision = revision;
        if reverted || ready && revision < host.highest_revision {
            self.ledger.reverted(name, revision, host.highest_revision);
        }
        host.highest_revision = host.highest_revision.max(revision);
        self.ledger.note_in_force(name, revision, self.now);
    }

    fn carry_out(&mut self, name: &Name, incarnation: u64, action: Action) {
        let host = name.clone();
        match action {
            Action::Send { to, message, .. } => self.send(name, incarnation, to, message),
            Action::Start {
                request,
                attempt,
                engines,
            } => self.start(request, attempt, engines),
            Action::Call {
                request,
                attempt,
                server,
            } => self.start_call(request, attempt, server),
            Action::Refuse { request, refusal } => self.answer_refusal(request, refusal),
            Action::Replay { request, outcome } => self.answer_replay(request, outcome),
            Action::Cancel { request, engines } => {
                for engine in engines {
                    let call = Call::Free { request };
                    self.call_engine(&host, engine, call, 0);
                }
            }
            Action::Reserve {
                engine,
                holder,
                request,
                tokens,
            } => {
                let call = Call::Reserve {
                    holder,
                    request,
                    tokens,
                };
                self.call_engine(&host, engine, call, 0);
            }
            Action::Free { engine, request } => {
                let call = Call::Free { request };
                self.call_engine(&host, engine, call, 0);
            }
            Action::Ledger(call) => self.call_platform(&host, incarnation, call),
        }
    }

    fn send(&mut self, name: &Name, incarnation: u64, to: Name, message: Message) {
        let dead = self.hosts.get(&to).is_none_or(|host| host.node.is_none());
        let way = self.way(name, &to).filter(|_| !dead);
        let Some(way) = way else {
            let event = Box::new(Event::HostUnreachable { host: to });
            let host = name.clone();
            self.after(
                SEND_LIMIT,
                Happening::Event {
                    host,
                    incarnation,
                    event,
                },
            );
            return;
        };
        if self.loses_message() {
            return;
        }
        let (from, message) = (name.clone(), Box::new(message));
        self.after(way, Happening::Message { to, from, message });
    }

    pub(crate) fn message(&mut self, to: &Name, from: Name, message: Message) {
        let Some(host) = self.hosts.get(to) else {
            return;
        };
        let incarnation = host.incarnation;
        self.host_event(to, incarnation, Event::Deliver { from, message });
    }

    /// Fetches the reports of the engines whose home the host is.
    pub(crate) fn poll(&mut self, host: Name, incarnation: u64) {
        if !self.is_current(&host, incarnation) {
            return;
        }
        let node = self.hosts.get(&host).and_then(|host| host.node.as_ref());
        let engines = node.map(Node::polled_engines).unwrap_or_default();
        for engine in engines {
            self.fetch_report(&host, incarnation, &engine);
        }
        self.after_frozen(
            POLL,
            &host,
            Happening::Poll {
                host: host.clone(),
                incarnation,
            },
        );
    }

    /// Looks for newer settings: a watcher is told at once, the others look slowly.
    pub(crate) fn look(&mut self, host: Name, incarnation: u64) {
        if !self.is_current(&host, incarnation) {
            return;
        }
        let platform: Name = super::network::PLATFORM.into();
        let reached = self.way(&host, &platform).is_some() && !self.platform.down;
        if reached {
            let tree = self.platform.served_tree();
            self.host_event(&host, incarnation, Event::Settings(tree));
        }
        let pause = if self.watches(&host) { WATCHED } else { LOOK };
        self.after_frozen(
            pause,
            &host,
            Happening::Look {
                host: host.clone(),
                incarnation,
            },
        );
    }

    /// Says whether a host is among the few of its domain that watch.
    fn watches(&self, host: &Name) -> bool {
        let domain = self.domain_of(host);
        let before = self
            .hosts
            .iter()
            .filter(|(name, at)| *name < host && at.domain == domain);
        before.count() < WATCHERS
    }

    /// Hands a host the platform's list, as it was a while ago.
    pub(crate) fn list(&mut self, host: Name, incarnation: u64) {
        if !self.is_current(&host, incarnation) {
            return;
        }
        let platform: Name = super::network::PLATFORM.into();
        let reached = self.way(&host, &platform).is_some() && !self.platform.down;
        if reached || self.now == Time(0) {
            let cards = self.listed();
            let leaving = self.listed_leaving();
            self.host_event(&host, incarnation, Event::Hosts { cards, leaving });
        }
        let pause = if self.watches(&host) { LIST } else { LOOK };
        self.after_frozen(
            pause,
            &host,
            Happening::List {
                host: host.clone(),
                incarnation,
            },
        );
    }

    /// Backend servers that the list says are leaving, which it says late.
    fn listed_leaving(&self) -> Vec<Name> {
        let shown = |from: Option<Time>| from.is_some_and(|from| self.now >= from);
        let engines = self
            .engines
            .iter()
            .filter(|(_, engine)| shown(engine.listed_from));
        let servers = self
            .servers
            .iter()
            .filter(|(_, server)| shown(server.listed_from));
        let engines = engines.map(|(name, _)| name);
        let servers = servers.map(|(name, _)| name);
        engines.chain(servers).cloned().collect()
    }
}
