//! What an idle host's control costs: its heartbeats, its ticks and what it sends.

use super::{Figure, bytes, digest, figure, heartbeat, node, tree};
use alderglade_core::Name;
use alderglade_core::message::Message;
use alderglade_core::node::{Action, Event};
use alderglade_core::time::Time;
use std::time::{Duration, Instant};

/// The sizes of the messages by which hosts tell their load.
pub(super) fn heartbeats(figures: &mut Vec<Figure>) {
    for cells in [0, 1, 4, 8] {
        let size = bytes(&heartbeat("domain-01-host-01", cells)) as f64;
        figures.push(figure("heartbeat", format!("{cells} cells"), size, "bytes"));
    }
    let load = Message::Load {
        cells: (0..8).map(digest).collect(),
    };
    figures.push(figure(
        "load of a domain, on asking",
        "8 cells",
        bytes(&load) as f64,
        "bytes",
    ));
}

/// A host of a domain of `hosts`, with the cells of 110 engines spread over them.
pub(super) fn ticks(figures: &mut Vec<Figure>) {
    const SECONDS: u64 = 20;
    let tree = tree(110, 0);
    for hosts in [3, 12, 36] {
        let mut now = Time::from_millis(1_000);
        let mut node = node("host-00", &tree, now);
        let peers: Vec<Name> = (1..hosts).map(|n| format!("host-{n:02}").into()).collect();
        let (mut busy, mut sent, mut sent_bytes, mut steps) = (Duration::ZERO, 0, 0, 0_u64);
        let interval = Duration::from_millis(250).max(Duration::from_millis(28) * hosts);
        let mut next_beat = now;
        while steps < SECONDS * 50 {
            steps += 1;
            now = now + Duration::from_millis(20);
            let mut events = vec![Event::Tick];
            if now >= next_beat {
                next_beat = now + interval;
                events.extend(peers.iter().map(|peer| Event::Deliver {
                    from: peer.clone(),
                    message: heartbeat(peer, 1),
                }));
            }
            for event in events {
                let began = Instant::now();
                let actions = node.handle(event, now, 0);
                busy += began.elapsed();
                for action in actions {
                    if let Action::Send { message, .. } = action {
                        sent += 1;
                        sent_bytes += bytes(&message);
                    }
                }
            }
        }
        let second = SECONDS as f64;
        let size = format!("{hosts} hosts");
        figures.push(figure(
            "idle control, processor",
            &size,
            busy.as_secs_f64() / second * 100.0,
            "% of a core",
        ));
        figures.push(figure(
            "idle control, messages out",
            &size,
            f64::from(sent) / second,
            "a second",
        ));
        figures.push(figure(
            "idle control, bytes out",
            &size,
            sent_bytes as f64 / second,
            "bytes a second",
        ));
    }
}
