//! Cuts a stream of events into whole events, so that a stream can be taken up elsewhere at the
//! boundary of an event.

/// A whole event, as its bytes stood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Vec<u8>,
    /// Its id, if it states one.
    pub id: Option<String>,
}

/// Collects bytes and hands out whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: Vec<u8>,
}

impl Splitter {
    /// Takes bytes and gives the events that are now whole.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = boundary(&self.rest) {
            let bytes: Vec<u8> = self.rest.drain(..end).collect();
            let id = id_of(&bytes);
            events.push(Event { bytes, id });
        }
        events
    }

    /// Gives the bytes after the last whole event.
    pub fn rest(&self) -> &[u8] {
        &self.rest
    }
}

/// Finds the end of the first whole event, behind its blank line.
fn boundary(bytes: &[u8]) -> Option<usize> {
    let line_feeds = bytes.windows(2).position(|two| two == b"\n\n");
    let returns = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (line_feeds, returns) {
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
