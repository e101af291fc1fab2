//! A budget for retries: a share of successes, so that retries never multiply an overload.

/// Tokens that one success earns.
const EARN: f64 = 0.1;
/// Tokens kept at most.
const MOST: f64 = 50.0;
/// Tries that one request gets at most.
pub const MOST_ATTEMPTS: u32 = 4;

/// The budget of one entry host.
#[derive(Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { tokens: MOST / 2.0 }
    }
}

impl Budget {
    /// Notes a success.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARN).min(MOST);
    }

    /// Takes the price of a retry, if the budget holds it and the request has tries left.
    pub fn spend(&mut self, attempt: u32) -> bool {
        if attempt >= MOST_ATTEMPTS || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
