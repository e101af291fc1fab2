//! Splits a stream into complete events, so that it can be resumed at another server at the
//! boundary of an event.

/// A complete event, byte for byte.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Vec<u8>,
    /// Its id, if it has one.
    pub id: Option<String>,
}

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: Vec<u8>,
}

impl Splitter {
    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = boundary(&self.rest) {
            let bytes: Vec<u8> = self.rest.drain(..end).collect();
            let id = id_of(&bytes);
            events.push(Event { bytes, id });
        }
        // A stream whose receiver does not read keeps the rest, without room for the bytes that preceded it.
        self.rest.shrink_to_fit();
        events
    }

    /// Returns the bytes after the last complete event.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }
}

/// Returns the end of the first complete event, after its blank line.
fn boundary(bytes: &[u8]) -> Option<usize> {
    let lf_break = bytes.windows(2).position(|window| window == b"\n\n");
    let crlf_break = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    match (lf_break, crlf_break) {
        (Some(a), Some(b)) if b < a => Some(b + 4),
        (Some(a), _) => Some(a + 2),
        (None, Some(b)) => Some(b + 4),
        (None, None) => None,
    }
}

fn id_of(event: &[u8]) -> Option<String> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = String::from_utf8_lossy(value);
        Some(text.trim().to_string())
    })
}
