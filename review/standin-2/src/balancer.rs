//! The platform's choice of the nodes that get new connections (PROTOCOL.md, "Ingress"): it asks each node every second, one
//! that misses twice is out until it answers 200 again. If fewer than half of a zone's nodes are in, all of them are used;
//! if none is in, the zone's clients go elsewhere.

use crate::host::{Host, Ready};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;

struct Node {
    zone: String,
    /// Questions in a row that were not answered with 200.
    misses: u32,
}

/// The nodes, in the order of the hosts.
#[derive(Clone)]
pub struct Balancer(Arc<Mutex<Vec<Node>>>);

impl Balancer {
    /// Starts to ask hosts that are ready.
    pub fn start(hosts: &[Host]) -> Balancer {
        let nodes = hosts.iter().map(|host| Node {
            zone: host.zone.clone(),
            misses: 0,
        });
        let balancer = Balancer(Arc::new(Mutex::new(nodes.collect())));
        for (place, host) in hosts.iter().enumerate() {
            let (balancer, ready) = (balancer.clone(), host.ready());
            thread::spawn(move || balancer.ask(place, ready));
        }
        balancer
    }

    fn ask(&self, place: usize, ready: Ready) {
        loop {
            let is_ready = ready.is_ready();
            let mut nodes = self.0.lock().unwrap();
            let node = &mut nodes[place];
            node.misses = if is_ready { 0 } else { node.misses + 1 };
            drop(nodes);
            thread::sleep(INTERVAL);
        }
    }

    /// Returns whether a host gets new connections.
    pub fn uses(&self, place: usize) -> bool {
        let nodes = self.0.lock().unwrap();
        let of_zone = nodes.iter().filter(|node| node.zone == nodes[place].zone);
        let (all, is_in) = of_zone.fold((0, 0), |(all, is_in), node| {
            (all + 1, is_in + usize::from(node.misses < MISSES))
        });
        let are_all_used = is_in > 0 && 2 * is_in < all;
        are_all_used || nodes[place].misses < MISSES
    }
}
