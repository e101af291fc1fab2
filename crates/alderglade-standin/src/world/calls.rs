//! Calls to engines beside the streams: reserving, freeing, renewing, reports.

use super::engines::{CALL_LIMIT, FOR_EVER};
use super::{Call, Guard, Happening, World};
use crate::engine::model::Wish;
use alderglade_core::Name;
use alderglade_core::gang::{RENEWAL_INTERVAL, RESERVATION_TIMEOUT};
use alderglade_core::node::Event;
use alderglade_core::request::Id;
use std::time::Duration;

/// A cancel is tried this often.
const CANCEL_TRIES: u32 = 4;

impl World {
    /// Sends a call to an engine on its way.
    pub(crate) fn call_engine(&mut self, host: &Name, engine: Name, call: Call, tries: u32) {
        let way = self.way(host, &engine);
        let pause = way.unwrap_or(CALL_LIMIT);
        let host = host.clone();
        self.after(
            pause,
            Happening::Call {
                host,
                engine,
                call,
                tries,
            },
        );
    }

    /// An engine carries a call out, if it is reached.
    pub(crate) fn call(&mut self, host: Name, name: Name, call: Call, tries: u32) {
        let cut = self.way(&host, &name).is_none();
        let answers = self
            .engines
            .get(&name)
            .is_some_and(|engine| self.answers(engine));
        if cut || !answers {
            self.call_failed(host, name, call, tries);
            return;
        }
        let now = self.now;
        let lease = if self.is_off(Guard::Sweep) {
            FOR_EVER
        } else {
            RESERVATION_TIMEOUT
        };
        let Some(engine) = self.engines.get_mut(&name) else {
            return;
        };
        match call {
            Call::Free { request } => {
                engine.model.free(request);
            }
            Call::Renew { request } => {
                engine.model.renew(request, lease, now);
            }
            Call::Reserve {
                holder,
                request,
                tokens,
            } => {
                let wish = Wish {
                    id: request,
                    holder,
                    tokens,
                    lease,
                };
                let agreed = engine.model.reserve(wish, now).is_ok();
                self.tell_reserved(&host, name, request, agreed);
            }
        }
    }

    fn tell_reserved(&mut self, host: &Name, engine: Name, request: Id, agreed: bool) {
        let incarnation = self.hosts.get(host).map_or(0, |host| host.incarnation);
        let event = Box::new(Event::Reserved {
            engine,
            request,
            agreed,
        });
        let host = host.clone();
        self.after(
            self.plan.near,
            Happening::Event {
                host,
                incarnation,
                event,
            },
        );
    }

    fn call_failed(&mut self, host: Name, engine: Name, call: Call, tries: u32) {
        let alive = self.engines.get(&engine).is_some_and(|engine| engine.alive);
        match call {
            Call::Reserve { request, .. } => self.tell_reserved(&host, engine, request, false),
            Call::Free { .. } if alive && tries + 1 < CANCEL_TRIES => {
                self.after(
                    CALL_LIMIT,
                    Happening::Call {
                        host,
                        engine,
                        call,
                        tries: tries + 1,
                    },
                );
            }
            Call::Free { .. } | Call::Renew { .. } => {}
        }
    }

    /// Renews what a gang holds, as long as its host runs it.
    pub(crate) fn renew_gang(&mut self, request: Id) {
        let Some(running) = self.running.get(&request) else {
            return;
        };
        let Some(stream) = running
            .stream
            .as_ref()
            .filter(|stream| stream.engines.len() > 1)
        else {
            return;
        };
        let (host, engines) = (running.host.clone(), stream.engines.clone());
        let alive = self
            .hosts
            .get(&host)
            .is_some_and(|host| host.node.is_some() && host.frozen_until <= self.now);
        if alive {
            for engine in engines {
                self.call_engine(&host, engine, Call::Renew { request }, 0);
            }
        }
    }

    /// Gives how often gangs are renewed.
    pub(crate) fn renewal_pause() -> Duration {
        RENEWAL_INTERVAL
    }

    /// Notes an engine's load for later reports.
    pub(super) fn note_report(&mut self, name: &Name) {
        let (now, lag) = (self.now, self.plan.report_lag);
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let due = engine
            .reports
            .back()
            .is_none_or(|(at, _)| now.since(*at) >= lag / 3);
        if due {
            let report = engine.model.report(now);
            engine.reports.push_back((now, report));
        }
    }

    /// Sends a host the newest report that is as old as the lag.
    pub(crate) fn fetch_report(&mut self, host: &Name, incarnation: u64, name: &Name) {
        let Some(way) = self.way(host, name) else {
            return;
        };
        let (now, lag) = (self.now, self.plan.report_lag);
        let sweeps = !self.is_off(Guard::Sweep);
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if !engine.alive || engine.model.faults.frozen {
            return;
        }
        if sweeps {
            engine.model.lapse(now);
        }
        let current = engine.model.report(now);
        engine.reports.push_back((now, current));
        while engine
            .reports
            .get(1)
            .is_some_and(|(at, _)| now.since(*at) >= lag)
        {
            engine.reports.pop_front();
        }
        let Some((_, report)) = engine.reports.front().cloned() else {
            return;
        };
        if !sweeps {
            return self.fetch_bare(host, incarnation, report);
        }
        let event = Box::new(Event::Report(report));
        let host = host.clone();
        self.after(
            way * 2,
            Happening::Event {
                host,
                incarnation,
                event,
            },
        );
    }

    /// With the sweep off, reports carry no holdings.
    fn fetch_bare(
        &mut self,
        host: &Name,
        incarnation: u64,
        mut report: alderglade_core::engine_state::Report,
    ) {
        report.holdings.clear();
        self.host_event(host, incarnation, Event::Report(report));
    }
}
