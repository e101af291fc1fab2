//! The way of an answer's pieces to a caller that may read slowly.
//!
//! One piece may always be under way, so that a stream goes on however much is kept for others. More are only where the host's
//! memory for that has room. A piece is under way until the caller's connection has written it. The way always has a place left
//! for the word that the answer is broken off: without it an answer that ends early would look whole.

use crate::answer::{BrokenOff, Chunk};
use crate::memory::{Pool, Portion};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, mpsc};

/// Pieces that wait for a slow caller before the server is slowed down.
const PIECES: usize = 8;
/// The length that a piece is expected to have, in bytes: what a connection to a server reads at once.
const USUAL: usize = 8 * 1024;

type Item = Result<Chunk, BrokenOff>;

/// The pieces of one answer that are under way.
#[derive(Debug, Default)]
struct Flights {
    count: AtomicUsize,
    /// Wakes whoever waits until there are fewer.
    landed: Notify,
}

/// Counts a piece as under way until it is dropped.
#[derive(Debug)]
pub struct Flight {
    flights: Arc<Flights>,
    _kept: Portion,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.flights.count.fetch_sub(1, Ordering::Relaxed);
        self.flights.landed.notify_one();
    }
}

/// The sending end.
pub(crate) struct BodySender {
    chunks: mpsc::Sender<Item>,
    flights: Arc<Flights>,
    /// The place for the word that the answer is broken off.
    end: Option<mpsc::OwnedPermit<Item>>,
    pool: Arc<Pool>,
}

/// The caller has left.
pub(crate) struct CallerGone;

impl BodySender {
    /// Opens a way; gives its receiving end, too.
    pub(crate) fn open(pool: &Arc<Pool>) -> (BodySender, mpsc::Receiver<Item>) {
        let (chunks, receiver) = mpsc::channel(PIECES + 1);
        let body_sender = BodySender {
            end: chunks.clone().try_reserve_owned().ok(),
            chunks,
            flights: Arc::default(),
            pool: pool.clone(),
        };
        (body_sender, receiver)
    }

    /// Waits until another piece may probably be given to the caller, or the caller has left.
    pub(crate) async fn writable(&self) {
        let freed = async {
            while !self.is_empty() && self.pool.left() < USUAL {
                self.flights.landed.notified().await;
            }
        };
        tokio::select! {
            () = freed => {}
            () = self.closed() => {}
        }
    }

    /// Gives a piece to the caller; waits until it may.
    ///
    /// # Errors
    ///
    /// Where the caller has left.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let mut kept = Portion::new(&self.pool);
        while !self.is_empty() && !kept.grow(bytes.len()) {
            tokio::select! {
                () = self.flights.landed.notified() => {}
                () = self.closed() => return Err(CallerGone),
            }
        }
        self.flights.count.fetch_add(1, Ordering::Relaxed);
        let flight = Flight {
            flights: self.flights.clone(),
            _kept: kept,
        };
        let chunk = Chunk::under_way(bytes, flight);
        self.chunks.send(Ok(chunk)).await.map_err(|_| CallerGone)
    }

    /// Gives the first piece to the caller, whose memory was taken already.
    pub(crate) fn begin(&self, first: Chunk) {
        if self.chunks.try_send(Ok(first)).is_err() {
            log::debug!("a caller left before its answer began");
        }
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Tells the caller that the answer is not whole; says whether it is still there.
    pub(crate) fn break_off(&mut self) -> bool {
        let is_there = !self.chunks.is_closed();
        if let Some(end) = self.end.take() {
            end.send(Err(BrokenOff));
        }
        is_there
    }

    fn is_empty(&self) -> bool {
        self.flights.count.load(Ordering::Relaxed) == 0
    }
}
