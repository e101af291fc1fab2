//! Streams are split at event boundaries, however the bytes arrive.

use crate::each_seed;
use alderglade_core::fleet::sse::Splitter;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";

#[test]
fn complete_events_are_returned_and_the_rest_is_kept() {
    let mut splitter = Splitter::default();
    let events = splitter.push(STREAM);
    let ids: Vec<Option<&str>> = events.iter().map(|event| event.id.as_deref()).collect();
    assert_eq!(ids, [Some("1"), Some("2"), None]);
    assert_eq!(splitter.rest(), b"id: 4\nda");
}

#[test]
fn nothing_is_lost_wherever_the_bytes_are_split() {
    each_seed(40, |u| {
        let mut splitter = Splitter::default();
        let mut out = Vec::new();
        let mut events = 0;
        let mut left = STREAM;
        while !left.is_empty() {
            let (now, later) = left.split_at(u.int_in_range(1..=left.len())?);
            left = later;
            for event in splitter.push(now) {
                events += 1;
                out.extend_from_slice(&event.bytes);
            }
        }
        out.extend_from_slice(splitter.rest());
        assert_eq!(out, STREAM);
        assert_eq!(events, 3);
        Ok(())
    });
}
