//! The wait queue compared with a reference implementation that searches a list.

use crate::each_seed;
use alderglade_core::lane::Lane;
use alderglade_core::queue::{Entry, Queue};
use alderglade_core::request::{Id, Ticket};
use alderglade_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Reference implementation of the queue's order.
#[derive(Default)]
struct Reference {
    waiting: Vec<Entry>,
    tags: BTreeMap<(usize, String), u64>,
    lane_tags: [u64; 3],
}

impl Reference {
    fn push(&mut self, entry: Entry) {
        let lane = entry.ticket.lane.index();
        let workspace = entry.ticket.workspace.to_string();
        let is_waiting = self.waiting.iter().any(|other| {
            other.ticket.lane.index() == lane && *other.ticket.workspace == *workspace
        });
        if !is_waiting {
            let tag = self.tags.entry((lane, workspace)).or_default();
            *tag = (*tag).max(self.lane_tags[lane]);
        }
        self.waiting.push(entry);
    }

    fn peek(&self, lane: Lane) -> Option<Id> {
        let of_lane = self
            .waiting
            .iter()
            .filter(|entry| entry.ticket.lane == lane);
        let order = |entry: &&Entry| {
            let workspace = entry.ticket.workspace.to_string();
            let tag = self.tags[&(lane.index(), workspace.clone())];
            (tag, workspace, entry.deadline, entry.ticket.id)
        };
        of_lane.min_by_key(order).map(|entry| entry.ticket.id)
    }

    fn take(&mut self, id: Id, served: bool) {
        let Some(at) = self.waiting.iter().position(|entry| entry.ticket.id == id) else {
            return;
        };
        let entry = self.waiting.remove(at);
        if !served {
            return;
        }
        let lane = entry.ticket.lane.index();
        let tag = self
            .tags
            .get_mut(&(lane, entry.ticket.workspace.to_string()))
            .expect("a known workspace");
        self.lane_tags[lane] = self.lane_tags[lane].max(*tag);
        *tag += entry.ticket.prompt * 1_024 / u64::from(entry.ticket.weight.max(1));
    }
}

pub fn ticket(serial: u64, workspace: &str, lane: Lane, prompt: u64, weight: u32) -> Ticket {
    Ticket {
        id: Id {
            incarnation: 1,
            serial,
        },
        workspace: workspace.into(),
        model: "m".into(),
        lane,
        weight,
        prompt,
        output_cap: 64,
        output_expected: 32,
        prefix: None,
        time_left: Duration::from_secs(60),
        attempt: 1,
        avoid: None,
    }
}

#[test]
fn serves_in_the_same_order_as_a_linear_search() {
    each_seed(300, |u| {
        let mut queue = Queue::default();
        let mut reference = Reference::default();
        for serial in 0..400 {
            match u.int_in_range(0..=9)? {
                0..=4 => {
                    let workspace = format!("w{}", u.int_in_range(0..=5)?);
                    let lane = *u.choose(&Lane::ALL)?;
                    let prompt = u.int_in_range(1..=50_000)?;
                    // The weight of a workspace doesn't change while it waits.
                    let weight = 1 + u32::from(workspace.as_bytes()[1] % 3);
                    let entry = Entry {
                        ticket: ticket(serial, &workspace, lane, prompt, weight),
                        from: "h".into(),
                        since: Time(0),
                        deadline: Time(u.int_in_range(0..=1_000)?),
                    };
                    reference.push(entry.clone());
                    queue.push(entry);
                }
                5 => {
                    let waiting: Vec<Id> = reference.waiting.iter().map(|e| e.ticket.id).collect();
                    if !waiting.is_empty() {
                        let id = *u.choose(&waiting)?;
                        queue.remove(id);
                        reference.take(id, false);
                    }
                }
                _ => {
                    let lane = *u.choose(&Lane::ALL)?;
                    if let Some(id) = reference.peek(lane) {
                        queue.serve(id);
                        reference.take(id, true);
                    }
                }
            }
            for lane in Lane::ALL {
                assert_eq!(
                    queue.peek(lane).map(|entry| entry.ticket.id),
                    reference.peek(lane)
                );
                let of_lane = reference
                    .waiting
                    .iter()
                    .filter(|entry| entry.ticket.lane == lane);
                assert_eq!(
                    queue.tokens(lane),
                    of_lane.map(|entry| entry.ticket.prompt).sum::<u64>()
                );
            }
            assert_eq!(queue.len(), reference.waiting.len());
            assert_eq!(
                queue.next_deadline(),
                reference.waiting.iter().map(|e| e.deadline).min()
            );
        }
        Ok(())
    });
}

#[test]
fn a_busy_workspace_gets_no_more_than_its_share() {
    let mut queue = Queue::default();
    let mut serial = 0;
    let mut push = |queue: &mut Queue, workspace: &str, count: usize, weight: u32| {
        for _ in 0..count {
            serial += 1;
            queue.push(Entry {
                ticket: ticket(serial, workspace, Lane::Urgent, 1_000, weight),
                from: "h".into(),
                since: Time(0),
                deadline: Time(serial),
            });
        }
    };
    push(&mut queue, "loud", 1_000, 1);
    push(&mut queue, "quiet", 50, 1);
    push(&mut queue, "heavy", 200, 3);
    let mut served = BTreeMap::new();
    for _ in 0..200 {
        let entry = queue.peek(Lane::Urgent).expect("waiting work").clone();
        queue.serve(entry.ticket.id);
        *served
            .entry(entry.ticket.workspace.to_string())
            .or_insert(0) += 1;
    }
    let expected: BTreeMap<String, i32> = [
        ("heavy".into(), 120),
        ("loud".into(), 40),
        ("quiet".into(), 40),
    ]
    .into();
    assert_eq!(served, expected);
}

#[test]
fn a_workspace_within_its_share_doesnt_wait_for_a_loud_ones_backlog() {
    let mut queue = Queue::default();
    for serial in 0..1_000 {
        queue.push(Entry {
            ticket: ticket(serial, "loud", Lane::Urgent, 1_000, 1),
            from: "h".into(),
            since: Time(0),
            deadline: Time(serial),
        });
    }
    assert_eq!(queue.tokens_ahead(Lane::Urgent, &"quiet".into(), 1), 1_000);
    assert_eq!(
        queue.tokens_ahead(Lane::Urgent, &"loud".into(), 1),
        1_000_000
    );
}
