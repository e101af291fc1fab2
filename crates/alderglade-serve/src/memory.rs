//! Memory for data buffered on behalf of callers and backend servers that read slowly. The total is bounded, whatever
//! their number.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes that a request may buffer without using the pool: about as much as the HTTP library buffers for its
/// connection.
const FREE_BYTES: usize = 8 * 1024;

/// The memory that may be used by all requests together.
#[derive(Debug)]
pub struct Pool {
    available: AtomicUsize,
}

impl Pool {
    /// Creates a pool of `bytes` bytes.
    pub fn new(bytes: usize) -> Arc<Pool> {
        Arc::new(Pool {
            available: AtomicUsize::new(bytes),
        })
    }

    /// Returns the number of available bytes.
    pub fn available(&self) -> usize {
        self.available.load(Ordering::Relaxed)
    }
}

/// The memory used by one request; returned to the pool on drop.
#[derive(Debug)]
pub struct Portion {
    pool: Arc<Pool>,
    /// Bytes in use.
    used: usize,
    /// Bytes among them that were taken from the pool.
    pooled: usize,
    /// Bytes that may be used without the pool.
    free: usize,
}

impl Portion {
    /// Creates an empty portion.
    pub fn new(pool: &Arc<Pool>) -> Portion {
        Portion {
            pool: pool.clone(),
            used: 0,
            pooled: 0,
            free: FREE_BYTES,
        }
    }

    /// Creates an empty portion all of whose bytes are taken from the pool. For one of many pieces of a request, since
    /// otherwise each piece would have free bytes.
    pub fn without_free_bytes(pool: &Arc<Pool>) -> Portion {
        Portion {
            pool: pool.clone(),
            used: 0,
            pooled: 0,
            free: 0,
        }
    }

    /// Allocates `bytes` more bytes; returns whether the pool had them. Allocates nothing if it had not.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.used + bytes;
        let more = used.saturating_sub(self.free).saturating_sub(self.pooled);
        let available = &self.pool.available;
        let take = |available: usize| available.checked_sub(more);
        let has_room = available
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok();
        if has_room {
            self.used = used;
            self.pooled += more;
        }
        has_room
    }

    /// Returns all bytes.
    pub fn release(&mut self) {
        self.used = 0;
        let pooled = std::mem::take(&mut self.pooled);
        self.pool.available.fetch_add(pooled, Ordering::Relaxed);
    }
}

impl Drop for Portion {
    fn drop(&mut self) {
        self.release();
    }
}
