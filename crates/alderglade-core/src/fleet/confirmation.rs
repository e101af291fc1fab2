//! Requests for the age of other hosts' copies of the store's state.
//!
//! The time that an answer confirms depends on when its request was sent. Only the process that sent it knows that: an
//! answer names a request, not a time, and counts only if this process sent that request. It may be late, duplicated or
//! out of order, since it confirms nothing after the request.

use super::message::{Confirmation, ConfirmationRequest};
use super::request_number::RequestNumbers;
use crate::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a request may be answered. Keys are trusted for a shorter time.
const REQUEST_LIFETIME: Duration = Duration::from_secs(10);

/// An answer to no request of this process that may still be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownRequest;

/// The confirmation requests of one process.
#[derive(Debug)]
pub struct ConfirmationRequests {
    numbers: RequestNumbers,
    /// When the requests were sent, by their numbers.
    sent: BTreeMap<u64, Time>,
}

impl ConfirmationRequests {
    /// Creates a state without requests.
    pub fn new(numbers: RequestNumbers) -> ConfirmationRequests {
        ConfirmationRequests {
            numbers,
            sent: BTreeMap::new(),
        }
    }

    /// Creates a request, which may be sent to several hosts.
    pub fn create(&mut self, now: Time) -> ConfirmationRequest {
        self.sent.retain(|_, at| now.since(*at) <= REQUEST_LIFETIME);
        let number = self.numbers.take();
        self.sent.insert(number, now);
        ConfirmationRequest { number }
    }

    /// Returns the time up to which the sender of an answer knew all that the store had accepted, or `None` if the sender
    /// has no confirmed state. How long the request was on its way is unknown, so the age is subtracted from the time at
    /// which it was sent.
    ///
    /// # Errors
    ///
    /// Returns an error if this process did not send the request.
    pub fn confirmed_until(&self, answer: &Confirmation) -> Result<Option<Time>, UnknownRequest> {
        let sent_at = *self.sent.get(&answer.number).ok_or(UnknownRequest)?;
        Ok(answer.age.map(|age| sent_at - age))
    }
}
