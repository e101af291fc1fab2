//! Changes of servers that come in pieces, in any order, twice or not at all.

use super::server;
use crate::each_seed;
use alderglade_core::fleet::directory::Change;
use alderglade_core::fleet::message::{Piece, Servers};
use alderglade_core::fleet::pieces::{Pieces, cut};
use alderglade_core::fleet::position::Position;

/// What a watch of the store brings when so many servers have started since the last one.
fn started(count: usize, first: u64) -> Servers {
    let change = |number| Change::Known(server(&format!("llm-{number:04}"), false));
    Servers {
        after: Position::new(1, first),
        position: Position::new(1, first + count as u64),
        doubt_ms: 0,
        piece: Piece::WHOLE,
        changes: (0..count).map(change).collect(),
    }
}

/// The pattern: a thousand servers start within eight seconds, so that each watch of the store brings some thirty.
#[test]
fn pieces_that_all_come_make_the_whole_in_any_order() {
    each_seed(20, |u| {
        let whole = started(u.int_in_range(1..=150)?, 7);
        let mut sent = cut(&whole, 1_000, |_| 80);
        assert!(sent.iter().all(|piece| piece.changes.len() * 80 <= 1_000));
        sent.extend(sent.clone());
        let mut pieces = Pieces::default();
        let mut told = Vec::new();
        while !sent.is_empty() {
            let next = u.int_in_range(0..=sent.len() - 1)?;
            told.extend(pieces.take(&sent.remove(next)));
        }
        assert_eq!(told.first(), Some(&whole.changes));
        Ok(())
    });
}

#[test]
fn a_missing_piece_tells_nothing() {
    let whole = started(40, 7);
    let mut pieces = Pieces::default();
    let sent = cut(&whole, 1_000, |_| 80);
    assert!(sent.len() > 1);
    for piece in &sent[1..] {
        assert_eq!(pieces.take(piece), None);
    }
    let later = started(40, 47);
    let last = cut(&later, 1_000, |_| 80);
    let told: Vec<_> = last.iter().filter_map(|piece| pieces.take(piece)).collect();
    assert_eq!(told, [later.changes]);
}

#[test]
fn what_takes_too_many_pieces_is_not_cut() {
    assert!(cut(&started(2_000, 7), 1_000, |_| 80).is_empty());
    assert!(cut(&started(1, 7), 1_000, |_| 1_001).is_empty());
}
