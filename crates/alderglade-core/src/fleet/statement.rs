//! What a backend server says of itself in an answer, beside the answer.

use std::time::Duration;

/// What one answer says of the server that gave it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// Whether the server is leaving.
    pub leaving: bool,
    /// For how long the server wants nothing more from the host that it answers.
    pub backoff: Option<Duration>,
    /// The most requests that the server takes, from all hosts together.
    pub rate: Option<Rate>,
    /// How much longer the server is cold, if it says so.
    pub cold: Option<Duration>,
}

/// Requests a second; more than zero.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// The least rate that is kept to: who takes less gets a request each five seconds, or nobody would learn that it takes
    /// more again.
    const LEAST: f64 = 0.2;
    /// The greatest rate that is told apart.
    const MOST: f64 = 1_000_000.0;

    /// Makes a rate; gives `None` where the number is none.
    pub fn per_second(number: f64) -> Option<Rate> {
        let is_rate = number >= 0.0;
        is_rate.then(|| Rate(number.clamp(Rate::LEAST, Rate::MOST)))
    }

    /// Gives the requests a second.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Gives the time from one request to the next.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.0)
    }
}
