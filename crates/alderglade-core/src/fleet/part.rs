//! Parts of prompts, such as a system prompt or a document, which requests share.

use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A part of a prompt, identified by the number that its caller states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(u64);

impl Part {
    /// Creates the part with an id, which is a hexadecimal number of any case. Another text stands for its digest.
    pub fn from_id(id: &str) -> Part {
        let is_number = id.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(id, 16).ok().filter(|_| is_number);
        Part(number.unwrap_or_else(|| xxh3_64(id.as_bytes())))
    }

    /// Creates the part with a number.
    pub(super) fn from_number(number: u64) -> Part {
        Part(number)
    }

    /// Returns the number.
    pub(super) fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}
