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

/// Guards against events that are held back until the end of the stream because their lines end in different ways.
#[test]
fn each_line_of_an_event_may_end_in_its_own_way() {
    for end in ["\n\n", "\r\n\r\n", "\n\r\n", "\r\n\n"] {
        let event = format!("id: 1\ndata: a{end}");
        for split in 0..event.len() {
            let (now, later) = event.as_bytes().split_at(split);
            let mut splitter = Splitter::default();
            let mut events = splitter.push(now);
            events.extend(splitter.push(later));
            assert_eq!(events.len(), 1, "{event:?} split at {split}");
            assert_eq!(events[0].bytes, event.as_bytes());
        }
    }
}

/// Guards against streams that count as complete although they end inside an event, and against whole ones that don't.
#[test]
fn a_stream_may_end_between_events_only() {
    let event = "id: 1\r\ndata: a\r\n\r\n";
    for end in 1..event.len() {
        let mut splitter = Splitter::default();
        splitter.push(&event.as_bytes()[..end]);
        assert!(splitter.is_inside_event(), "after {end} bytes");
    }
    for whole in ["", event, "data: a\n\n\n", "data: a\r\r", "\r\n"] {
        let mut splitter = Splitter::default();
        splitter.push(whole.as_bytes());
        assert!(!splitter.is_inside_event(), "{whole:?}");
    }
}
