//! What published counts against objectives take.

use super::{Figure, figure};
use alderglade_core::Name;
use alderglade_core::slo::{Log, Sample};
use std::time::Duration;

/// The counts against objectives that a host publishes.
pub(super) fn measure(figures: &mut Vec<Figure>) {
    for series in [10, 100, 1_000, 4_000] {
        let mut log = Log::default();
        let sample = Sample {
            first_token: Some(Duration::from_millis(80)),
            objective: Duration::from_millis(350),
            finished: true,
            refused: false,
        };
        for number in 0..series {
            for minute in 0..60 {
                let name: Name = format!("workspace-{number:05}").into();
                log.add(&name, &"desk".into(), 950, sample, minute * 60_000);
            }
        }
        log.tidy(60 * 60_000);
        let published = serde_json::to_string(&log.published()).unwrap_or_default();
        let size = published.len();
        figures.push(figure(
            "published counts",
            format!("{series} series, a full hour"),
            size as f64,
            "bytes",
        ));
    }
}
