//! The line of prompts that wait, over several hosts and under lost notices.

use super::empty_notice;
use crate::each_seed;
use alderglade_core::fleet::load_table::{Demand, LoadTable, Notice, QueuedId};
use alderglade_core::time::Time;
use std::collections::BTreeSet;

const NOW: Time = Time(5_000_000);

fn demand(due_ms: i32, reading_ms: u32) -> Demand {
    Demand { due_ms, reading_ms }
}

/// A host with the prompts that wait there.
struct Host {
    name: String,
    loads: LoadTable,
    sequence: u64,
    waiting: Vec<(QueuedId, Demand)>,
}

impl Host {
    fn new(number: usize) -> Host {
        Host {
            name: format!("h{number}"),
            loads: LoadTable::default(),
            sequence: 0,
            waiting: Vec::new(),
        }
    }

    fn enqueue(&mut self, demand: Demand) {
        let id = self.loads.enqueue(demand, NOW);
        self.waiting.push((id, demand));
    }

    fn notice(&mut self) -> Notice {
        self.sequence += 1;
        Notice {
            waiting: self.loads.waiting(NOW),
            ..empty_notice(&self.name, 1, self.sequence)
        }
    }

    /// Gives how many prompts go before each of the own ones.
    fn places(&mut self) -> Vec<u32> {
        let waiting = self.waiting.iter();
        let places = waiting.map(|(id, demand)| self.loads.update_queued(*id, *demand, NOW));
        places.collect()
    }
}

fn tell_all(hosts: &mut [Host]) {
    let notices: Vec<Notice> = hosts.iter_mut().map(Host::notice).collect();
    for host in hosts {
        let others = notices.iter().filter(|notice| *notice.host != *host.name);
        for notice in others {
            host.loads.apply_notice(notice, NOW);
        }
    }
}

#[test]
fn hosts_that_hear_each_other_agree_who_is_next() {
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
                tell_all(&mut hosts);
            }
        }
        tell_all(&mut hosts);
        let places: BTreeSet<u32> = hosts.iter_mut().flat_map(Host::places).collect();
        let all: BTreeSet<u32> = (0..due.len() as u32).collect();
        assert_eq!(places, all);
        Ok(())
    });
}

#[test]
fn who_is_due_first_goes_first_and_of_two_the_one_that_is_read_sooner() {
    let mut host = Host::new(0);
    host.enqueue(demand(2_000, 4_000));
    host.enqueue(demand(500, 4_000));
    host.enqueue(demand(2_000, 20_000));
    assert_eq!(host.places(), [1, 0, 2]);
}

/// Two hosts that hear each other, with a prompt each; that of the first one is due sooner.
fn two_that_wait() -> [Host; 2] {
    let mut hosts = [Host::new(0), Host::new(1)];
    hosts[0].enqueue(demand(100, 4_000));
    hosts[1].enqueue(demand(900, 4_000));
    tell_all(&mut hosts);
    hosts
}

#[test]
fn who_has_left_the_line_holds_nobody_up() {
    let mut hosts = two_that_wait();
    assert_eq!(hosts[1].places(), [1]);
    let (id, _) = hosts[0].waiting[0];
    hosts[0].loads.dequeue(id);
    tell_all(&mut hosts);
    assert_eq!(hosts[1].places(), [0]);
}

#[test]
fn prompts_of_a_host_that_has_fallen_silent_hold_nobody_up() {
    let mut hosts = two_that_wait();
    let later = Time(NOW.0 + 2_000_000);
    hosts[1].loads.expire(later);
    assert_eq!(hosts[1].places(), [0]);
}

#[test]
fn a_long_line_is_told_in_part_and_stays_small() {
    let mut host = Host::new(0);
    for number in 0..500 {
        host.enqueue(demand(number, 4_000));
    }
    let told = host.notice().waiting;
    assert!(told.len() < 100, "{}", told.len());
    assert_eq!(told[0], demand(0, 4_000));
}
