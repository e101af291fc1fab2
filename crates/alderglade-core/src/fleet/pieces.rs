//! Changes of backend servers in pieces, where a packet doesn't hold them all.
//!
//! When hundreds of servers start within seconds, what one watch of the store brings is larger than a packet, and each host
//! that isn't told asks the store. A piece tells of which changes it is a part; they count when all pieces are there.

use super::directory::Change;
use super::message::{Piece, Servers};
use super::position::Position;
use std::collections::VecDeque;

/// The most pieces of one message; where there are more, hosts ask the store.
const MOST: usize = 64;
/// Messages of which pieces are kept. They come within milliseconds, and a lost one is never sent again.
const OPEN: usize = 8;

/// Cuts changes into pieces whose changes take so many bytes at most, as `size` tells for one; gives none where a change is
/// larger, or there are too many.
pub fn cut(whole: &Servers, most: usize, size: impl Fn(&Change) -> usize) -> Vec<Servers> {
    let mut pieces: Vec<Vec<Change>> = Vec::new();
    let mut left = 0;
    for change in &whole.changes {
        let size = size(change);
        if size > most {
            return Vec::new();
        }
        match pieces.last_mut() {
            Some(piece) if size <= left => piece.push(change.clone()),
            _ => {
                pieces.push(vec![change.clone()]);
                left = most;
            }
        }
        left -= size;
    }
    let Ok(of) = u16::try_from(pieces.len()) else {
        return Vec::new();
    };
    if pieces.len() > MOST {
        return Vec::new();
    }
    let piece = |(number, changes): (u16, Vec<Change>)| Servers {
        piece: Piece { number, of },
        changes,
        ..whole.clone()
    };
    (0..of).zip(pieces).map(piece).collect()
}

/// Changes of which some pieces have come.
#[derive(Debug)]
struct Batch {
    after: Position,
    position: Position,
    pieces: Vec<Option<Vec<Change>>>,
}

/// The pieces that a host has been told.
#[derive(Debug, Default)]
pub struct Pieces {
    open: VecDeque<Batch>,
}

impl Pieces {
    /// Takes a piece; gives all changes where it is the last one missing.
    pub fn take(&mut self, servers: &Servers) -> Option<Vec<Change>> {
        let Servers {
            after,
            position,
            piece,
            ..
        } = *servers;
        let of = usize::from(piece.of);
        if of == 1 {
            return Some(servers.changes.clone());
        }
        if of > MOST {
            return None;
        }
        let is_same = |batch: &Batch| {
            (batch.after, batch.position) == (after, position) && batch.pieces.len() == of
        };
        let place = match self.open.iter().position(is_same) {
            Some(place) => place,
            None => self.begin(after, position, of),
        };
        let batch = self.open.get_mut(place)?;
        let slot = batch.pieces.get_mut(usize::from(piece.number))?;
        *slot = Some(servers.changes.clone());
        if batch.pieces.iter().any(Option::is_none) {
            return None;
        }
        let batch = self.open.remove(place)?;
        Some(batch.pieces.into_iter().flatten().flatten().collect())
    }

    /// Makes room for the pieces of a message; gives its place.
    fn begin(&mut self, after: Position, position: Position, of: usize) -> usize {
        if self.open.len() >= OPEN {
            self.open.pop_front();
        }
        self.open.push_back(Batch {
            after,
            position,
            pieces: vec![None; of],
        });
        self.open.len() - 1
    }
}
