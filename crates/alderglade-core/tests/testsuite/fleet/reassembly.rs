//! Server changes whose fragments arrive in any order, twice or not at all.

use super::server;
use crate::each_seed;
use alderglade_core::fleet::directory::Change;
use alderglade_core::fleet::message::{Fragment, Servers};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::reassembly::{Reassembly, split};

/// Creates the changes from a watch of the store when `count` servers have started since the last one.
fn started(count: usize, first: u64) -> Servers {
    let change = |number| Change::Known(server(&format!("llm-{number:04}"), false));
    Servers {
        base: Position::new(1, first),
        position: Position::new(1, first + count as u64),
        grace_ms: 0,
        fragment: Fragment::SINGLE,
        changes: (0..count).map(change).collect(),
    }
}

/// A thousand servers that start within eight seconds produce about thirty changes per watch of the store.
#[test]
fn fragments_are_reassembled_in_any_order() {
    each_seed(20, |u| {
        let whole = started(u.int_in_range(1..=150)?, 7);
        let mut sent = split(&whole, 1_000, |_| 80);
        assert!(
            sent.iter()
                .all(|fragment| fragment.changes.len() * 80 <= 1_000)
        );
        sent.extend(sent.clone());
        let mut reassembly = Reassembly::default();
        let mut received = Vec::new();
        while !sent.is_empty() {
            let next = u.int_in_range(0..=sent.len() - 1)?;
            received.extend(reassembly.take(&sent.remove(next)));
        }
        assert_eq!(received.first(), Some(&whole.changes));
        Ok(())
    });
}

#[test]
fn an_incomplete_message_yields_nothing() {
    let whole = started(40, 7);
    let mut reassembly = Reassembly::default();
    let sent = split(&whole, 1_000, |_| 80);
    assert!(sent.len() > 1);
    for fragment in &sent[1..] {
        assert_eq!(reassembly.take(fragment), None);
    }
    let later = started(40, 47);
    let complete = split(&later, 1_000, |_| 80);
    let received: Vec<_> = complete
        .iter()
        .filter_map(|fragment| reassembly.take(fragment))
        .collect();
    assert_eq!(received, [later.changes]);
}

#[test]
fn changes_that_need_too_many_fragments_are_not_split() {
    assert!(split(&started(2_000, 7), 1_000, |_| 80).is_empty());
    assert!(split(&started(1, 7), 1_000, |_| 1_001).is_empty());
}
