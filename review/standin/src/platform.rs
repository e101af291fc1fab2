//! The platform's part at the ingress: it asks each host every second whether it is ready, and gives no new connections to one that
//! missed twice, until it says 200 again. While fewer than half of a zone's hosts are in, all of them are used.

use crate::host::Host;
use crate::http;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

struct Entry {
    name: String,
    zone: String,
    is_in: bool,
}

/// Which hosts are given new connections.
#[derive(Clone)]
pub struct Platform {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Platform {
    /// Begins to ask hosts, given the zone of each, all of which are ready.
    pub fn start(hosts: &[Host], zones: &[&str], stop: &Arc<AtomicBool>) -> Platform {
        let entries = hosts.iter().zip(zones).map(|(host, zone)| Entry {
            name: host.name.clone(),
            zone: zone.to_string(),
            is_in: true,
        });
        let platform = Platform {
            entries: Arc::new(Mutex::new(entries.collect())),
        };
        for (index, host) in hosts.iter().enumerate() {
            let (platform, ready, stop) = (platform.clone(), host.ready, stop.clone());
            std::thread::spawn(move || platform.ask(index, ready, &stop));
        }
        platform
    }

    fn ask(&self, index: usize, ready: SocketAddr, stop: &AtomicBool) {
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let mut misses = 0;
        while !stop.load(Ordering::SeqCst) {
            let due = Instant::now() + INTERVAL;
            let answer = http::exchange(ready, request, Duration::from_millis(900));
            let is_ready = answer.is_some_and(|answer| answer.status == 200);
            misses = if is_ready { 0 } else { misses + 1 };
            if is_ready || misses >= MISSES {
                let mut entries = self.entries.lock().expect("no thread panicked");
                entries[index].is_in = is_ready;
            }
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }

    /// Returns whether a host is given new connections now.
    pub fn uses(&self, host: &str) -> bool {
        let entries = self.entries.lock().expect("no thread panicked");
        let Some(entry) = entries.iter().find(|entry| entry.name == host) else {
            return false;
        };
        let zone = entries.iter().filter(|other| other.zone == entry.zone);
        let (all, used) = zone.fold((0, 0), |(all, used), other| {
            (all + 1, used + u32::from(other.is_in))
        });
        entry.is_in || 2 * used < all
    }
}
