//! A token bucket, which limits datagrams or bytes to a fixed rate that does not depend on the number of members.
#[cfg(test)]
mod tests;

use crankpaddle_time::{nanoseconds, Time};

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A bucket of tokens that is refilled at a fixed rate. It holds the tokens of one second at most.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A bucket that starts full, with the tokens of one second.
    pub(crate) fn new(tokens_per_second: f64, now: Time) -> TokenBucket {
        TokenBucket {
            tokens_per_second,
            tokens: tokens_per_second,
            refilled_at: now,
        }
    }

    /// Takes `amount` tokens if at least the fraction `reserve` of the bucket's capacity remains after that. Returns whether
    /// they were taken.
    pub(crate) fn try_take(&mut self, now: Time, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        let is_available = self.tokens - amount >= reserve * self.tokens_per_second;
        if is_available {
            self.tokens -= amount;
        }
        is_available
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.duration_since(self.refilled_at);
        let seconds = nanoseconds(elapsed) as f64 / NANOSECONDS_PER_SECOND;
        self.tokens = (self.tokens + seconds * self.tokens_per_second).min(self.tokens_per_second);
        self.refilled_at = now.max(self.refilled_at);
    }
}
