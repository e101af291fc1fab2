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

impl Event {
    /// Returns whether it has data, as opposed to comments.
    pub fn has_data(&self) -> bool {
        lines(&self.bytes).any(|line| line.starts_with(b"data"))
    }
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

    /// Returns whether the bytes so far end inside an event. A stream that ends there has been broken off.
    pub fn is_inside_event(&self) -> bool {
        let only_breaks = self.rest.iter().all(|byte| matches!(byte, b'\r' | b'\n'));
        !only_breaks && !self.rest.ends_with(b"\r\r")
    }

    /// Returns the bytes after the last complete event.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }
}

/// Returns the end of the first complete event, after its blank line. Each line ends with LF or CRLF.
fn boundary(bytes: &[u8]) -> Option<usize> {
    let line_ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    line_ends.map(|(at, _)| at + 1).find_map(|next| {
        let rest = &bytes[next..];
        let blank_line = [&b"\n"[..], b"\r\n"]
            .into_iter()
            .find(|line| rest.starts_with(line))?;
        Some(next + blank_line.len())
    })
}

fn id_of(event: &[u8]) -> Option<String> {
    lines(event).find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        let text = String::from_utf8_lossy(value);
        Some(text.trim().to_string())
    })
}

fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| *byte == b'\n')
}
