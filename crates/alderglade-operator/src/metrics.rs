//! Metrics. Label sets are bounded: lanes, lengths and kinds, never workspaces or requests.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// The metrics of one entry host.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests answered, by kind (`finished` for whole answers).
    pub answers: IntCounterVec,
    /// Time to the first token in seconds, by length of the prompt.
    pub first_token: HistogramVec,
    /// Tokens delivered to callers.
    pub tokens: IntCounter,
    /// Requests in hand.
    pub inflight: IntGauge,
    /// Requests that wait in the queues whose home this host is.
    pub waiting: IntGauge,
    /// The settings revision in force.
    pub revision: IntGauge,
    /// Live entry hosts of the failure domain.
    pub live_hosts: IntGauge,
    /// Microseconds that the control thread has worked.
    pub control_micros: IntCounter,
    /// Messages sent to other entry hosts.
    pub messages: IntCounter,
    /// Writes of the ledger that this host asked for.
    pub ledger_writes: IntGauge,
}

/// Edges of the first-token histogram in seconds.
const SECONDS: [f64; 13] = [
    0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0,
];

impl Default for Metrics {
    fn default() -> Metrics {
        let registry = Registry::new();
        Metrics {
            answers: counters(
                &registry,
                "alderglade_answers_total",
                "Requests answered",
                "kind",
            ),
            first_token: histogram(&registry),
            tokens: counter(&registry, "alderglade_tokens_total", "Tokens delivered"),
            inflight: gauge(&registry, "alderglade_inflight", "Requests in hand"),
            waiting: gauge(
                &registry,
                "alderglade_waiting",
                "Requests in queues homed here",
            ),
            revision: gauge(
                &registry,
                "alderglade_settings_revision",
                "Settings in force",
            ),
            live_hosts: gauge(
                &registry,
                "alderglade_live_hosts",
                "Live hosts of the domain",
            ),
            control_micros: counter(&registry, "alderglade_control_micros_total", "Control work"),
            messages: counter(
                &registry,
                "alderglade_messages_total",
                "Messages to other hosts",
            ),
            ledger_writes: gauge(
                &registry,
                "alderglade_ledger_writes",
                "Ledger writes asked for",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Counts an answer: `finished`, or the label of a kind of failure.
    pub fn count_answer(&self, label: &str) {
        self.answers.with_label_values(&[label]).inc();
    }

    /// Gives all metrics as text for a scraper.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        // Writing into memory doesn't fail.
        let _ = TextEncoder::new().encode(&families, &mut text);
        String::from_utf8_lossy(&text).into_owned()
    }
}

/// Names the length of a prompt for metrics.
pub fn length_label(tokens: u64) -> &'static str {
    match tokens {
        0..=2_000 => "1k",
        2_001..=16_000 => "8k",
        16_001..=65_000 => "32k",
        65_001..=300_000 => "128k",
        _ => "1M",
    }
}

const VALID: &str = "a metric with a valid name, registered once";

fn register(registry: &Registry, metric: impl prometheus::core::Collector + 'static) {
    registry.register(Box::new(metric)).expect(VALID);
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect(VALID);
    register(registry, metric.clone());
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let metric = IntGauge::new(name, help).expect(VALID);
    register(registry, metric.clone());
    metric
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), &[label]).expect(VALID);
    register(registry, metric.clone());
    metric
}

fn histogram(registry: &Registry) -> HistogramVec {
    let options = HistogramOpts::new("alderglade_first_token_seconds", "Time to the first token");
    let options = options.buckets(SECONDS.to_vec());
    let metric = HistogramVec::new(options, &["length"]).expect(VALID);
    register(registry, metric.clone());
    metric
}
