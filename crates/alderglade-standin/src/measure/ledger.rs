//! What claims cost a shard of the ledger: its writes and their size.

use super::{Figure, figure};
use alderglade_core::ledger::{Action, Claim, Segment, Shard, Written};
use alderglade_core::request::Id;
use alderglade_core::time::Time;
use std::time::Duration;

/// The time of day at which all claims are made, in milliseconds of the Unix epoch.
const WALL: u64 = 1_800_000_000_000;

/// One shard under claims at a steady rate, each settled half a second later.
pub(super) fn measure(figures: &mut Vec<Figure>) {
    const SECONDS: u64 = 30;
    for rate in [1, 10, 100, 400] {
        let mut shard = Shard::new(0);
        let mut now = Time::from_millis(1_000);
        let mut store = Store::default();
        for serial in 0..rate * SECONDS {
            now = now + Duration::from_micros(1_000_000 / rate);
            shard.claim(&"host-00".into(), claim(serial), now, WALL);
            shard.tick(now, WALL);
            store.work_off(&mut shard, now);
        }
        let seconds = SECONDS as f64;
        let size = format!("{rate} claims a second to a shard");
        figures.push(figure(
            "ledger, writes of a shard",
            &size,
            store.writes as f64 / seconds,
            "a second",
        ));
        figures.push(figure(
            "ledger, bytes of a write",
            &size,
            store.bytes as f64 / store.writes.max(1) as f64,
            "bytes",
        ));
    }
}

fn claim(serial: u64) -> Claim {
    Claim {
        key: format!("workspace-00001/booking-{serial:08}").into(),
        body: 1,
        issued_ms: WALL,
        claimant: Id {
            incarnation: 1,
            serial,
        },
        host: "host-00".into(),
    }
}

/// A store that answers at once and counts what is written; each write is a version.
#[derive(Default)]
struct Store {
    writes: u64,
    bytes: usize,
}

impl Store {
    /// Does what the shard wants of the store until it wants nothing more.
    fn work_off(&mut self, shard: &mut Shard, now: Time) {
        loop {
            let actions = shard.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    Action::Read { .. } => shard.handle_read(Some(Vec::new()), now, WALL),
                    Action::Write { segment, .. } => {
                        self.writes += 1;
                        self.bytes += json_size(&segment);
                        shard.handle_write_result(Written::Done(self.writes), now, WALL);
                    }
                    _ => {}
                }
            }
        }
    }
}

fn json_size(segment: &Segment) -> usize {
    serde_json::to_string(segment).unwrap_or_default().len()
}
