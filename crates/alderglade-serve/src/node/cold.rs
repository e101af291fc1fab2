//! Backend servers that are cold, and get no more requests than they bear.

use super::{Node, State};
use crate::clock;
use crate::event::{self, Record};
use alderglade_core::fleet::directory::Chill;
use alderglade_core::fleet::incarnation::Key;
use alderglade_core::fleet::rate_limit::cold::Told;
use alderglade_core::fleet::statement::Rate;
use std::time::Duration;

impl Node {
    /// Takes what entries of servers have said of cold spells. They wait until the configuration tells what cold servers bear.
    pub(super) fn take_chills(&self) {
        let chills = {
            let mut state = self.state.borrow_mut();
            if state.config.is_none() {
                return;
            }
            state.directory.take_chills()
        };
        for chill in chills {
            self.chill(&chill);
        }
    }

    /// Takes that the servers of a failure domain may be cold, which was evacuated until now: their entries say so only later.
    pub(super) fn chill_domain(&self, domain: &str) {
        let chills: Vec<Chill> = {
            let state = self.state.borrow();
            let servers = state.directory.sound_in(domain);
            servers
                .filter_map(|server| {
                    Some(Chill {
                        server: server.key(),
                        service: server.service.clone(),
                        span: state.cold_start(&server.service)?,
                    })
                })
                .collect()
        };
        for chill in chills {
            self.chill_for(&chill, false);
        }
    }

    /// Takes that a server has started again, and is cold as after any start.
    pub(super) fn chill_restarted(&self, server: Key) {
        let chill = {
            let state = self.state.borrow();
            let known = state.directory.sound(server);
            known.and_then(|known| {
                Some(Chill {
                    server,
                    service: known.service.clone(),
                    span: state.cold_start(&known.service)?,
                })
            })
        };
        if let Some(chill) = chill {
            self.chill(&chill);
        }
    }

    /// Takes a server's own word, or that of the store, that it is cold. Hosts that watch the store tell the others.
    pub(super) fn chill(&self, chill: &Chill) {
        let first_hand = self.state.borrow().watches_store();
        self.chill_for(chill, first_hand);
    }

    fn chill_for(&self, chill: &Chill, first_hand: bool) {
        let news = {
            let mut state = self.state.borrow_mut();
            let Some(rate) = self.cold_rate(&state, &chill.service) else {
                return;
            };
            let now = clock::now();
            let limits = &mut state.limits;
            limits.chill(chill.server, rate, chill.span, first_hand, now)
        };
        if news {
            self.tell_cold(chill.server, chill.span);
        }
    }

    /// Takes what peers tell of cold servers. The entry of one that isn't known yet will say it, too.
    pub fn hear_cold(&self, cold: &[Told]) {
        for told in cold {
            let news = {
                let mut state = self.state.borrow_mut();
                let known = state.directory.knows(told.server);
                known && state.limits.hear_cold(told, clock::now())
            };
            if news {
                self.tell_cold(told.server, told.left());
            }
        }
    }

    /// Gives the rate at which a cold server of a service is granted, where there is a bound on that.
    fn cold_rate(&self, state: &State, service: &str) -> Option<Rate> {
        let bound = self.settings.cold?;
        let service = state.config.as_ref()?.service(service)?;
        bound.rate(service.cold_per_second)
    }

    /// Writes that a server is cold, and has peers told.
    fn tell_cold(&self, server: Key, span: Duration) {
        let state = self.state.borrow();
        if let Some(known) = state.directory.sound(server) {
            event::write(&Record::ServerCold {
                server: known.id(),
                for_ms: span.as_millis() as u64,
            });
        }
        self.book_changed.notify_one();
    }
}

impl State {
    /// Gives how long the servers of a service are cold after a start, where they are.
    fn cold_start(&self, service: &str) -> Option<Duration> {
        let service = self.config.as_ref()?.service(service)?;
        Some(service.cold_start).filter(|span| !span.is_zero())
    }
}
