//! Sends the chunks of a response to a caller that may read slowly.
//!
//! One chunk may always be in flight, so that a stream continues however much memory is used for other callers. More
//! chunks are sent only if the host's memory pool has room. A chunk is in flight until the caller's connection has
//! written it. A response whose sender is dropped before it is finished is broken off; the channel always reserves a slot
//! for the end.

use crate::answer::{Chunk, Part};
use crate::memory::{Pool, Portion};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, mpsc};

/// Chunks that are queued for a slow caller before the server is slowed down. The connection and its socket hold
/// several more, so that a short queue does not delay a caller that reads.
const MAX_QUEUED_CHUNKS: usize = 2;
/// Expected length of a chunk, in bytes: what a connection to a server reads at once.
const EXPECTED_CHUNK_BYTES: usize = 8 * 1024;

/// The chunks of one response that are in flight.
#[derive(Debug, Default)]
struct ChunksInFlight {
    count: AtomicUsize,
    /// Notified when a chunk is no longer in flight.
    written: Notify,
}

/// Counts a chunk as in flight until it is dropped.
#[derive(Debug)]
pub struct ChunkGuard {
    in_flight: Arc<ChunksInFlight>,
    _memory: Portion,
}

impl Drop for ChunkGuard {
    fn drop(&mut self) {
        self.in_flight.count.fetch_sub(1, Ordering::Relaxed);
        self.in_flight.written.notify_one();
    }
}

/// The sending half of a response body.
pub(crate) struct BodySender {
    parts: mpsc::Sender<Part>,
    in_flight: Arc<ChunksInFlight>,
    /// The reserved slot for the end.
    end_permit: Option<mpsc::OwnedPermit<Part>>,
    pool: Arc<Pool>,
}

/// The caller disconnected.
pub(crate) struct CallerGone;

impl BodySender {
    /// Creates the two halves of a response body.
    pub(crate) fn open(pool: &Arc<Pool>) -> (BodySender, mpsc::Receiver<Part>) {
        let (parts, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS + 1);
        let body_sender = BodySender {
            end_permit: parts.clone().try_reserve_owned().ok(),
            parts,
            in_flight: Arc::default(),
            pool: pool.clone(),
        };
        (body_sender, receiver)
    }

    /// Waits until another chunk can probably be sent, or the caller has disconnected.
    pub(crate) async fn writable(&self) {
        let freed = async {
            while !self.is_empty() && self.pool.available() < EXPECTED_CHUNK_BYTES {
                self.in_flight.written.notified().await;
            }
        };
        tokio::select! {
            () = freed => {}
            () = self.closed() => {}
        }
    }

    /// Sends a chunk to the caller, after waiting until memory allows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub(crate) async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let mut memory = Portion::without_free_bytes(&self.pool);
        while !self.is_empty() && !memory.grow(bytes.len()) {
            tokio::select! {
                () = self.in_flight.written.notified() => {}
                () = self.closed() => return Err(CallerGone),
            }
        }
        self.in_flight.count.fetch_add(1, Ordering::Relaxed);
        let guard = ChunkGuard {
            in_flight: self.in_flight.clone(),
            _memory: memory,
        };
        let chunk = Chunk::new(bytes, guard);
        let sent = self.parts.send(Part::Chunk(chunk)).await;
        sent.map_err(|_| CallerGone)
    }

    /// Sends the first chunk, whose memory has already been allocated.
    pub(crate) fn send_first(&self, first: Chunk) {
        if self.parts.try_send(Part::Chunk(first)).is_err() {
            log::debug!("a caller disconnected before its response began");
        }
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.parts.closed().await;
    }

    /// Marks the response as complete.
    pub(crate) fn finish(&mut self) {
        if let Some(permit) = self.end_permit.take() {
            permit.send(Part::End);
        }
    }

    /// Returns whether the caller is still connected.
    pub(crate) fn is_connected(&self) -> bool {
        !self.parts.is_closed()
    }

    fn is_empty(&self) -> bool {
        self.in_flight.count.load(Ordering::Relaxed) == 0
    }
}
