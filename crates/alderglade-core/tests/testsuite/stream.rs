//! Reassembly of frames that are out of order, duplicated, or of other requests or attempts.

use crate::each_seed;
use alderglade_core::request::Id;
use alderglade_core::stream::{Assembler, Frame, MAX_FRAMES_AHEAD};

#[test]
fn delivers_each_token_once_and_in_order() {
    each_seed(300, |u| {
        let request = Id {
            incarnation: 1,
            serial: 1,
        };
        let mut assembler = Assembler::new(request, 1);
        let mut attempt = 1;
        let mut delivered = Vec::new();
        for _ in 0..300 {
            if u.ratio(1, 60)? {
                attempt += 1;
                assembler.resume(attempt);
            }
            let foreign = u.ratio(1, 10)?;
            let stale = u.ratio(1, 5)?;
            let frame = Frame {
                request: Id {
                    incarnation: 1,
                    serial: if foreign { 2 } else { 1 },
                },
                attempt: attempt - u32::from(stale),
                sequence: u.int_in_range(0..=40)?,
                text: format!("foreign {foreign} stale {stale}"),
            };
            for frame in assembler.push(frame) {
                assert_eq!(frame.text, "foreign false stale false");
                delivered.push(frame.sequence);
            }
        }
        let expected: Vec<u64> = (0..delivered.len() as u64).collect();
        assert_eq!(delivered, expected);
        assert_eq!(assembler.next(), delivered.len() as u64);
        Ok(())
    });
}

#[test]
fn a_duplicate_token_is_dropped_and_not_buffered() {
    let id = Id::default();
    let mut assembler = Assembler::new(id, 1);
    let frame = || Frame {
        request: id,
        attempt: 1,
        sequence: 0,
        text: String::new(),
    };
    assert_eq!(assembler.push(frame()).len(), 1);
    assert!(assembler.push(frame()).is_empty());
    assert!(!assembler.has_gap());
}

#[test]
fn frames_far_ahead_are_not_buffered() {
    let id = Id::default();
    let mut assembler = Assembler::new(id, 1);
    let frame = |sequence| Frame {
        request: id,
        attempt: 1,
        sequence,
        text: String::new(),
    };
    assert!(assembler.push(frame(MAX_FRAMES_AHEAD)).is_empty());
    assert!(!assembler.has_gap());
    assert!(assembler.push(frame(MAX_FRAMES_AHEAD - 1)).is_empty());
    assert!(assembler.has_gap());
    assert_eq!(assembler.dropped(), 1);
}
