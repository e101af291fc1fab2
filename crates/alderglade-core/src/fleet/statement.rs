//! What a backend server states about itself in an answer, apart from the answer's content.

use std::time::Duration;

/// The statement of the server that sent an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Statement {
    /// Whether the server is leaving.
    pub leaving: bool,
    /// How long the host that receives the answer should send nothing more to the server.
    pub backoff: Option<Duration>,
    /// The rate of requests that the server accepts from all hosts together.
    pub rate: Option<Rate>,
    /// How much longer the server is cold, if stated.
    pub cold: Option<Duration>,
}

/// A positive rate of requests per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// The lowest rate. A server that accepts less still gets a request every five seconds, because otherwise no host
    /// would learn that it accepts more again.
    const MIN: f64 = 0.2;
    /// The highest rate; higher ones aren't distinguished.
    const MAX: f64 = 1_000_000.0;

    /// Creates a rate, or returns `None` if the number is negative or not a number.
    pub fn per_second(number: f64) -> Option<Rate> {
        let is_rate = number >= 0.0;
        is_rate.then(|| Rate(number.clamp(Rate::MIN, Rate::MAX)))
    }

    /// Returns the requests per second.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns the time from one request to the next.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.0)
    }
}
