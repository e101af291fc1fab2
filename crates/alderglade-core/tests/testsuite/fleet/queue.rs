//! The wait queue of prompts over several hosts, with lost notices.

use super::empty_notice;
use crate::each_seed;
use alderglade_core::fleet::load_table::{Demand, LoadTable, Notice, QueuedId};
use alderglade_core::time::Time;
use std::collections::BTreeSet;

const NOW: Time = Time(5_000_000);

fn demand(due_ms: i32, reading_ms: u32) -> Demand {
    Demand { due_ms, reading_ms }
}

/// A host with its queued prompts.
struct Host {
    name: String,
    loads: LoadTable,
    sequence: u64,
    queued: Vec<(QueuedId, Demand)>,
}

impl Host {
    fn new(number: usize) -> Host {
        Host {
            name: format!("h{number}"),
            loads: LoadTable::default(),
            sequence: 0,
            queued: Vec::new(),
        }
    }

    fn enqueue(&mut self, demand: Demand) {
        let id = self.loads.enqueue(demand, NOW);
        self.queued.push((id, demand));
    }

    fn notice(&mut self) -> Notice {
        self.sequence += 1;
        Notice {
            queued: self.loads.queued_demands(NOW),
            ..empty_notice(&self.name, 1, self.sequence)
        }
    }

    /// Returns how many prompts precede each of this host's prompts.
    fn positions(&mut self) -> Vec<u32> {
        let queued = self.queued.iter();
        let positions = queued.map(|(id, demand)| self.loads.update_queued(*id, *demand, NOW).all);
        positions.collect()
    }
}

fn exchange_notices(hosts: &mut [Host]) {
    let notices: Vec<Notice> = hosts.iter_mut().map(Host::notice).collect();
    for host in hosts {
        let others = notices.iter().filter(|notice| *notice.host != *host.name);
        for notice in others {
            host.loads.apply_notice(notice, NOW);
        }
    }
}

#[test]
fn hosts_that_receive_all_notices_agree_which_prompt_is_next() {
    each_seed(200, |u| {
        let mut hosts: Vec<Host> = (0..u.int_in_range(2..=5)?).map(Host::new).collect();
        let mut due = BTreeSet::new();
        for _ in 0..u.int_in_range(1..=20)? {
            due.insert(u.int_in_range(-5_000..=9_000)?);
        }
        for due_ms in &due {
            let host = u.choose_index(hosts.len())?;
            let lost = u.ratio(1, 3)?;
            hosts[host].enqueue(demand(*due_ms, 4_000));
            if !lost {
                exchange_notices(&mut hosts);
            }
        }
        exchange_notices(&mut hosts);
        let positions: BTreeSet<u32> = hosts.iter_mut().flat_map(Host::positions).collect();
        let all: BTreeSet<u32> = (0..due.len() as u32).collect();
        assert_eq!(positions, all);
        Ok(())
    });
}

#[test]
fn the_prompt_due_first_goes_first_and_of_two_the_one_read_faster() {
    let mut host = Host::new(0);
    host.enqueue(demand(2_000, 4_000));
    host.enqueue(demand(500, 4_000));
    host.enqueue(demand(2_000, 20_000));
    assert_eq!(host.positions(), [1, 0, 2]);
}

/// Creates two hosts that have exchanged notices, with one prompt each; the first host's prompt is due sooner.
fn two_hosts_with_prompts() -> [Host; 2] {
    let mut hosts = [Host::new(0), Host::new(1)];
    hosts[0].enqueue(demand(100, 4_000));
    hosts[1].enqueue(demand(900, 4_000));
    exchange_notices(&mut hosts);
    hosts
}

#[test]
fn a_dequeued_prompt_delays_no_other() {
    let mut hosts = two_hosts_with_prompts();
    assert_eq!(hosts[1].positions(), [1]);
    let (id, _) = hosts[0].queued[0];
    hosts[0].loads.dequeue(id);
    exchange_notices(&mut hosts);
    assert_eq!(hosts[1].positions(), [0]);
}

#[test]
fn prompts_of_a_silent_host_delay_no_other() {
    let mut hosts = two_hosts_with_prompts();
    let later = Time(NOW.0 + 2_000_000);
    hosts[1].loads.expire(later);
    assert_eq!(hosts[1].positions(), [0]);
}

#[test]
fn a_long_queue_is_reported_in_part() {
    let mut host = Host::new(0);
    for number in 0..500 {
        host.enqueue(demand(number, 4_000));
    }
    let reported = host.notice().queued;
    assert!(reported.len() < 100, "{}", reported.len());
    assert_eq!(reported[0], demand(0, 4_000));
}
