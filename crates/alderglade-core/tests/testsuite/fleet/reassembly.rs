//! Changes of servers that come in pieces, in any order, twice or not at all.

use super::server;
use crate::each_seed;
use alderglade_core::fleet::directory::Change;
use alderglade_core::fleet::message::{Fragment, Servers};
use alderglade_core::fleet::position::Position;
use alderglade_core::fleet::reassembly::{Reassembly, split};

/// What a watch of the store brings when so many servers have started since the last one.
fn started(count: usize, first: u64) -> Servers {
    let change = |number| Change::Known(server(&format!("llm-{number:04}"), false));
    Servers {
        after: Position::new(1, first),
        position: Position::new(1, first + count as u64),
        grace_ms: 0,
        fragment: Fragment::WHOLE,
        changes: (0..count).map(change).collect(),
    }
}

/// The pattern: a thousand servers start within eight seconds, so that each watch of the store brings some thirty.
#[test]
fn pieces_that_all_come_make_the_whole_in_any_order() {
    each_seed(20, |u| {
        let whole = started(u.int_in_range(1..=150)?, 7);
        let mut sent = split(&whole, 1_000, |_| 80);
        assert!(
            sent.iter()
                .all(|fragment| fragment.changes.len() * 80 <= 1_000)
        );
        sent.extend(sent.clone());
        let mut fragments = Reassembly::default();
        let mut told = Vec::new();
        while !sent.is_empty() {
            let next = u.int_in_range(0..=sent.len() - 1)?;
            told.extend(fragments.take(&sent.remove(next)));
        }
        assert_eq!(told.first(), Some(&whole.changes));
        Ok(())
    });
}

#[test]
fn a_missing_piece_tells_nothing() {
    let whole = started(40, 7);
    let mut fragments = Reassembly::default();
    let sent = split(&whole, 1_000, |_| 80);
    assert!(sent.len() > 1);
    for fragment in &sent[1..] {
        assert_eq!(fragments.take(fragment), None);
    }
    let later = started(40, 47);
    let last = split(&later, 1_000, |_| 80);
    let told: Vec<_> = last
        .iter()
        .filter_map(|fragment| fragments.take(fragment))
        .collect();
    assert_eq!(told, [later.changes]);
}

#[test]
fn what_takes_too_many_pieces_is_not_cut() {
    assert!(split(&started(2_000, 7), 1_000, |_| 80).is_empty());
    assert!(split(&started(1, 7), 1_000, |_| 1_001).is_empty());
}
