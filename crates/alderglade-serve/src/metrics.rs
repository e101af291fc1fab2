//! Counters, gauges and latency histograms of an entry host.

mod by_requester;
pub mod labels;

pub use by_requester::ByRequester;

use prometheus::{
    Counter, Encoder, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds, around the usual objectives of 0.15 to 2.5 s.
const BUCKETS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    /// Responses by outcome or error kind.
    pub answers: IntCounterVec,
    /// Requests by whether their response met the latency objective of their route.
    pub objectives: IntCounterVec,
    /// Held, refused and late requests by workspace and rank.
    pub by_requester: ByRequester,
    /// Prompts of this host in the wait queue by kind: `short` or `long`.
    pub queue_length: IntGaugeVec,
    /// Free slots of the engines that this host would use, from its view of what all hosts have placed.
    pub free_slots: IntGauge,
    /// Time to the first event or the whole response.
    pub first_event: Histogram,
    /// Time that prompts wait at the host before they are sent.
    pub wait_time: Histogram,
    /// Retries: sends beyond the first of a request.
    pub repeats: IntCounter,
    /// Retries refused because no host had budget left.
    pub repeats_refused: IntCounter,
    /// Budget lent to other hosts, in retries.
    pub lent: Counter,
    /// Remaining budget of this host, in retries, of the service where it is smallest.
    pub repeats_left: Gauge,
    /// Calls to the store.
    pub store_calls: IntCounter,
    /// Age of the latest data from the store, in milliseconds.
    pub store_age: IntGauge,
    /// The store's era: how often it was restored from a copy, as it reports.
    pub store_era: IntGauge,
    /// The version of the configuration in force.
    pub config: IntGauge,
    /// Known backend servers.
    pub servers: IntGauge,
    /// Backend servers that are ejected because of any server's report.
    pub passed_over: IntGauge,
    /// Backend servers that have stated a rate limit.
    pub limited: IntGauge,
    /// Servers that other hosts reach and this one doesn't.
    pub blocked: IntGauge,
    /// Responses without a length or chunks by how they ended.
    pub unframed: IntCounterVec,
    /// Checks of servers after such responses by what the standby connection showed.
    pub unframed_checks: IntCounterVec,
    /// Requests and checks that were sent through other hosts, by whether these could help.
    pub proxied_sent: IntCounterVec,
    /// Requests and checks that were carried for other hosts by outcome.
    pub proxied_served: IntCounterVec,
    /// Requests that this host carries for other hosts now.
    pub proxied: IntGauge,
    /// Live hosts through which requests can be sent.
    pub proxies: IntGauge,
    /// Restarts of backend servers under the same id.
    pub restarts: IntCounter,
    /// Entries of the store that could not be parsed, counted once for each change of them.
    pub unreadable: IntCounter,
    /// Requests that are quarantined because servers end under them.
    pub quarantined: IntGauge,
    /// Live entry hosts, including this one.
    pub hosts: IntGauge,
    /// Notices from hosts of other failure domains that were forwarded within this one.
    pub passed_on: IntCounter,
    /// Requests in progress.
    pub in_flight: IntGauge,
    /// Whether the host was asked to stop: `1` if so.
    pub stopping: IntGauge,
    /// Requests that arrived after the stop request.
    pub taken_stopping: IntCounter,
    /// Requests that are cut off when the host stops.
    pub cut_off: IntCounter,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Prompts with memory reserved at several engines.
    pub tickets: IntGauge,
    /// Connections opened to backend servers and the store so far.
    pub connections: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Metrics, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Metrics {
            answers: counter_vec("alderglade_answers_total", "Answers by outcome.", "outcome")?,
            objectives: counter_vec(
                "alderglade_objective_total",
                "Answers by whether they met the latency objective.",
                "met",
            )?,
            by_requester: ByRequester::new()?,
            queue_length: IntGaugeVec::new(
                Opts::new("alderglade_queue_length", "Prompts that wait at the host."),
                &["kind"],
            )?,
            free_slots: IntGauge::new("alderglade_free_slots", "Free slots of the engines.")?,
            first_event: histogram(
                "alderglade_first_event_seconds",
                "Time to the first event or whole answer.",
            )?,
            wait_time: histogram(
                "alderglade_waited_seconds",
                "Time that prompts wait at the host.",
            )?,
            repeats: IntCounter::new("alderglade_repeats_total", "Sends beyond the first.")?,
            repeats_refused: IntCounter::new(
                "alderglade_repeats_refused_total",
                "Repeats that no host had budget left for.",
            )?,
            lent: Counter::new(
                "alderglade_repeats_lent_total",
                "Repeats lent to other hosts.",
            )?,
            repeats_left: Gauge::new(
                "alderglade_repeats_left",
                "Repeats left of this host's own part, where it is least.",
            )?,
            store_calls: IntCounter::new("alderglade_store_calls_total", "Calls to the store.")?,
            store_age: IntGauge::new("alderglade_store_age_ms", "Age of the store's last word.")?,
            store_era: IntGauge::new(
                "alderglade_store_era",
                "The store's era, which rises when it comes back from a copy.",
            )?,
            config: IntGauge::new("alderglade_config_version", "Configuration in force.")?,
            servers: IntGauge::new("alderglade_servers", "Backend servers known.")?,
            passed_over: IntGauge::new(
                "alderglade_passed_over_servers",
                "Servers passed over by any server's word.",
            )?,
            limited: IntGauge::new(
                "alderglade_limited_servers",
                "Servers that have named the most requests that they take.",
            )?,
            blocked: IntGauge::new(
                "alderglade_blocked_servers",
                "Servers that other hosts reach and this one doesn't.",
            )?,
            unframed: counter_vec(
                "alderglade_unframed_responses_total",
                "Server responses without a length or chunks, by how they ended.",
                "outcome",
            )?,

            unframed_checks: counter_vec(
                "alderglade_unframed_checks_total",
                "Checks of servers after answers without a length or chunks, by the evidence.",
                "evidence",
            )?,
            proxied_sent: counter_vec(
                "alderglade_proxied_sent_total",
                "Requests sent through other hosts.",
                "outcome",
            )?,
            proxied_served: counter_vec(
                "alderglade_proxied_served_total",
                "Requests carried for other hosts.",
                "outcome",
            )?,
            proxied: IntGauge::new(
                "alderglade_proxied",
                "Requests that are being carried for other hosts.",
            )?,
            proxies: IntGauge::new(
                "alderglade_proxy_hosts",
                "Live hosts through which requests can be sent.",
            )?,
            restarts: IntCounter::new(
                "alderglade_server_restarts_total",
                "Servers that have started again under their id.",
            )?,
            unreadable: IntCounter::new(
                "alderglade_unreadable_entries_total",
                "Entries of the store that can't be read, once for each change.",
            )?,
            quarantined: IntGauge::new(
                "alderglade_quarantined",
                "Requests that are sent to no server, because servers end under them.",
            )?,
            hosts: IntGauge::new("alderglade_hosts", "Entry hosts heard of.")?,
            passed_on: IntCounter::new(
                "alderglade_notices_passed_on_total",
                "Notices of other failure domains passed on in the own one.",
            )?,
            in_flight: IntGauge::new("alderglade_in_flight", "Requests in hand.")?,
            stopping: IntGauge::new("alderglade_stopping", "Whether the host was asked to stop.")?,
            taken_stopping: IntCounter::new(
                "alderglade_taken_stopping_total",
                "Requests that came after the request to stop.",
            )?,
            cut_off: IntCounter::new(
                "alderglade_cut_off_total",
                "Requests that the end of a stop cuts off.",
            )?,
            caller_connections: IntGauge::new(
                "alderglade_caller_connections",
                "Connections of callers that are open.",
            )?,
            tickets: IntGauge::new("alderglade_tickets", "Prompts with memory set aside.")?,
            connections: IntGauge::new("alderglade_connections_opened", "Connections opened.")?,
            registry,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("cannot encode metrics: {error}");
        }
        text
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn prometheus::core::Collector>; 39] = [
            Box::new(self.answers.clone()),
            Box::new(self.objectives.clone()),
            Box::new(self.by_requester.held.clone()),
            Box::new(self.by_requester.refused.clone()),
            Box::new(self.by_requester.late.clone()),
            Box::new(self.queue_length.clone()),
            Box::new(self.free_slots.clone()),
            Box::new(self.first_event.clone()),
            Box::new(self.wait_time.clone()),
            Box::new(self.repeats.clone()),
            Box::new(self.repeats_refused.clone()),
            Box::new(self.lent.clone()),
            Box::new(self.repeats_left.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.store_age.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.config.clone()),
            Box::new(self.servers.clone()),
            Box::new(self.passed_over.clone()),
            Box::new(self.limited.clone()),
            Box::new(self.blocked.clone()),
            Box::new(self.unframed.clone()),
            Box::new(self.unframed_checks.clone()),
            Box::new(self.proxied_sent.clone()),
            Box::new(self.proxied_served.clone()),
            Box::new(self.proxied.clone()),
            Box::new(self.proxies.clone()),
            Box::new(self.restarts.clone()),
            Box::new(self.unreadable.clone()),
            Box::new(self.quarantined.clone()),
            Box::new(self.hosts.clone()),
            Box::new(self.passed_on.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.stopping.clone()),
            Box::new(self.taken_stopping.clone()),
            Box::new(self.cut_off.clone()),
            Box::new(self.caller_connections.clone()),
            Box::new(self.tickets.clone()),
            Box::new(self.connections.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector)?;
        }
        Ok(())
    }
}

fn counter_vec(name: &str, help: &str, label: &str) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), &[label])
}

fn histogram(name: &str, help: &str) -> Result<Histogram, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
    Histogram::with_opts(options)
}
