//! Changes of backend servers in pieces, where a packet doesn't hold them all.
//!
//! When hundreds of servers start within seconds, what one watch of the store brings is larger than a packet, and each host
//! that isn't told asks the store. A piece tells of which changes it is a part; they count when all pieces are there.

use super::directory::Change;
use super::message::{Fragment, Servers};
use super::position::Position;
use std::collections::VecDeque;

/// The most pieces of one message; where there are more, hosts ask the store.
const MOST: usize = 64;
/// Messages of which pieces are kept. They come within milliseconds, and a lost one is never sent again.
const OPEN: usize = 8;

/// Cuts changes into pieces whose changes take so many bytes at most, as `size` tells for one; gives none where a change is
/// larger, or there are too many.
pub fn split(whole: &Servers, most: usize, size: impl Fn(&Change) -> usize) -> Vec<Servers> {
    let mut fragments: Vec<Vec<Change>> = Vec::new();
    let mut left = 0;
    for change in &whole.changes {
        let size = size(change);
        if size > most {
            return Vec::new();
        }
        match fragments.last_mut() {
            Some(fragment) if size <= left => fragment.push(change.clone()),
            _ => {
                fragments.push(vec![change.clone()]);
                left = most;
            }
        }
        left -= size;
    }
    let Ok(of) = u16::try_from(fragments.len()) else {
        return Vec::new();
    };
    if fragments.len() > MOST {
        return Vec::new();
    }
    let fragment = |(number, changes): (u16, Vec<Change>)| Servers {
        fragment: Fragment {
            index: number,
            count: of,
        },
        changes,
        ..whole.clone()
    };
    (0..of).zip(fragments).map(fragment).collect()
}

/// Changes of which some pieces have come.
#[derive(Debug)]
struct Batch {
    after: Position,
    position: Position,
    fragments: Vec<Option<Vec<Change>>>,
}

/// The pieces that a host has been told.
#[derive(Debug, Default)]
pub struct Reassembly {
    open: VecDeque<Batch>,
}

impl Reassembly {
    /// Takes a piece; gives all changes where it is the last one missing.
    pub fn take(&mut self, servers: &Servers) -> Option<Vec<Change>> {
        let Servers {
            after,
            position,
            fragment,
            ..
        } = *servers;
        let of = usize::from(fragment.count);
        if of == 1 {
            return Some(servers.changes.clone());
        }
        if of > MOST {
            return None;
        }
        let is_same = |batch: &Batch| {
            (batch.after, batch.position) == (after, position) && batch.fragments.len() == of
        };
        let place = match self.open.iter().position(is_same) {
            Some(place) => place,
            None => self.begin(after, position, of),
        };
        let batch = self.open.get_mut(place)?;
        let slot = batch.fragments.get_mut(usize::from(fragment.index))?;
        *slot = Some(servers.changes.clone());
        if batch.fragments.iter().any(Option::is_none) {
            return None;
        }
        let batch = self.open.remove(place)?;
        Some(batch.fragments.into_iter().flatten().flatten().collect())
    }

    /// Makes room for the pieces of a message; gives its place.
    fn begin(&mut self, after: Position, position: Position, of: usize) -> usize {
        if self.open.len() >= OPEN {
            self.open.pop_front();
        }
        self.open.push_back(Batch {
            after,
            position,
            fragments: vec![None; of],
        });
        self.open.len() - 1
    }
}
