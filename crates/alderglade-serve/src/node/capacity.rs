//! Gauges that are updated when the metrics are read: of the capacity that this host sees, of its wait queue, and of the
//! hosts that requests can be sent through.

use super::Node;
use crate::clock;
use alderglade_core::fleet::homes::Homes;
use alderglade_core::fleet::placement::{SHORT_PROMPT_TOKENS, Slots};

impl Node {
    /// Returns all metrics in the Prometheus text format. Some gauges are updated only when they are read: they take a pass
    /// over all engines or hosts, which would be several passes a second in [`Node::tick`].
    pub fn encode_metrics(&self) -> Vec<u8> {
        self.observe_capacity();
        self.observe_proxies();
        self.metrics.encode()
    }

    /// Updates the gauge of the live hosts through which requests can be sent.
    fn observe_proxies(&self) {
        let state = self.state.borrow();
        let now = clock::now();
        let live = state.loads.live_hosts(&self.settings.domain, now);
        let proxies = live.filter(|host| state.hosts.proxy_key(host.name).is_some());
        self.metrics.proxies.set(proxies.count() as i64);
    }

    /// Updates the gauges of free slots and of the wait queue.
    fn observe_capacity(&self) {
        let Some(config) = self.state.borrow().config.clone() else {
            return;
        };
        let mut free = 0;
        let mut short_reading_ms = f64::INFINITY;
        for service in config.services() {
            let Some(profile) = service.engine else {
                continue;
            };
            // The answer time does not matter for the number of free slots.
            let engines = self.engines(&service.name, profile, &Homes::default(), 0);
            let reachable = engines.iter().filter(|engine| !engine.suspect);
            free += Slots::of(reachable).free;
            short_reading_ms = short_reading_ms.min(profile.read_ms(SHORT_PROMPT_TOKENS));
        }
        self.metrics.free_slots.set(i64::from(free));
        self.observe_queue(short_reading_ms);
    }

    /// Updates the gauges of the wait queue. A prompt is short if it is read within `short_reading_ms`: entries of the
    /// queue don't state their service, so the fastest engines decide if there are several kinds.
    fn observe_queue(&self, short_reading_ms: f64) {
        let queued = self.state.borrow().loads.queued_demands(clock::now());
        let short = queued.iter();
        let short = short.filter(|demand| demand.is_short(short_reading_ms));
        let short = short.count();
        let lengths = &self.metrics.queue_length;
        for (kind, length) in [("short", short), ("long", queued.len() - short)] {
            lengths.with_label_values(&[kind]).set(length as i64);
        }
    }
}
