//! The retry budget: retries are limited to a share of successes, so that they never multiply an
//! overload.

/// Retry tokens added by one success.
const TOKENS_PER_SUCCESS: f64 = 0.1;
/// Maximum number of retry tokens in the budget. A new budget starts with half of them.
const MAX_TOKENS: f64 = 50.0;
/// Maximum number of attempts of one request, the first one included.
pub const MAX_ATTEMPTS: u32 = 4;

/// The retry budget of one entry host.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            tokens: MAX_TOKENS / 2.0,
        }
    }
}

impl Budget {
    /// Records a success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Takes one token for a retry of a request that has made `attempt` attempts. Returns `false` if
    /// the budget or the request's attempts are exhausted.
    pub fn try_spend(&mut self, attempt: u32) -> bool {
        if attempt >= MAX_ATTEMPTS || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
