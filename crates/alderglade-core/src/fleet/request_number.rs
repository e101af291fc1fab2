//! Numbers of requests to other hosts, which the answers repeat.
//!
//! A host may start again under the address of its former process and get answers to what that one asked. So the numbers
//! of each process begin anywhere.

/// The numbers of one process's requests.
#[derive(Debug, Clone)]
pub struct RequestNumbers {
    last: u64,
}

impl RequestNumbers {
    /// Creates numbers that follow `first`, which is random.
    pub fn new(first: u64) -> RequestNumbers {
        RequestNumbers { last: first }
    }

    /// Returns the next number.
    pub fn take(&mut self) -> u64 {
        self.last = self.last.wrapping_add(1);
        self.last
    }
}
