//! Splitting and reassembly of server changes that don't fit into one packet.
//!
//! When hundreds of servers start within seconds, the changes from one watch of the store exceed a packet, and each
//! host that does not receive them queries the store. Each fragment carries its index and count. The changes are
//! applied once all fragments have arrived.

use super::directory::Change;
use super::message::{Fragment, Servers};
use super::position::Position;
use std::collections::VecDeque;

/// Maximum number of fragments of one message. Beyond that, hosts query the store.
const MAX_FRAGMENTS: usize = 64;
/// Maximum number of incomplete messages that are kept. The fragments of a message arrive within milliseconds, and lost
/// ones are never sent again.
const MAX_INCOMPLETE: usize = 8;

/// Splits changes into fragments with at most `max_bytes` of changes each. `size` returns the bytes of one change.
/// Returns no fragments if a single change is larger or there would be too many fragments.
pub fn split(whole: &Servers, max_bytes: usize, size: impl Fn(&Change) -> usize) -> Vec<Servers> {
    let mut fragments: Vec<Vec<Change>> = Vec::new();
    let mut space_left = 0;
    for change in &whole.changes {
        let size = size(change);
        if size > max_bytes {
            return Vec::new();
        }
        match fragments.last_mut() {
            Some(fragment) if size <= space_left => fragment.push(change.clone()),
            _ => {
                fragments.push(vec![change.clone()]);
                space_left = max_bytes;
            }
        }
        space_left -= size;
    }
    let Ok(count) = u16::try_from(fragments.len()) else {
        return Vec::new();
    };
    if fragments.len() > MAX_FRAGMENTS {
        return Vec::new();
    }
    let fragment = |(index, changes): (u16, Vec<Change>)| Servers {
        fragment: Fragment { index, count },
        changes,
        ..whole.clone()
    };
    (0..count).zip(fragments).map(fragment).collect()
}

/// A message of which some fragments have arrived.
#[derive(Debug)]
struct PartialMessage {
    after: Position,
    position: Position,
    fragments: Vec<Option<Vec<Change>>>,
}

/// The incomplete messages that a host has received.
#[derive(Debug, Default)]
pub struct Reassembly {
    incomplete: VecDeque<PartialMessage>,
}

impl Reassembly {
    /// Adds a fragment. Returns all changes of the message once it is complete.
    pub fn take(&mut self, servers: &Servers) -> Option<Vec<Change>> {
        let Servers {
            base: after,
            position,
            fragment,
            ..
        } = *servers;
        let count = usize::from(fragment.count);
        if count == 1 {
            return Some(servers.changes.clone());
        }
        if count > MAX_FRAGMENTS {
            return None;
        }
        let is_same_message = |message: &PartialMessage| {
            (message.after, message.position) == (after, position)
                && message.fragments.len() == count
        };
        let index = match self.incomplete.iter().position(is_same_message) {
            Some(index) => index,
            None => self.begin(after, position, count),
        };
        let message = self.incomplete.get_mut(index)?;
        let slot = message.fragments.get_mut(usize::from(fragment.index))?;
        *slot = Some(servers.changes.clone());
        if message.fragments.iter().any(Option::is_none) {
            return None;
        }
        let message = self.incomplete.remove(index)?;
        Some(message.fragments.into_iter().flatten().flatten().collect())
    }

    /// Starts a message, replacing the oldest one if there are too many. Returns its index.
    fn begin(&mut self, after: Position, position: Position, count: usize) -> usize {
        if self.incomplete.len() >= MAX_INCOMPLETE {
            self.incomplete.pop_front();
        }
        self.incomplete.push_back(PartialMessage {
            after,
            position,
            fragments: vec![None; count],
        });
        self.incomplete.len() - 1
    }
}
