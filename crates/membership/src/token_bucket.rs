//! A token bucket: a fixed rate of datagrams or bytes, whatever the number of members is.
#[cfg(test)]
mod tests;

use crankpaddle_time::{nanoseconds, Time};

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Tokens of one kind, refilled at a fixed rate up to one second's worth.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    tokens_per_second: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn new(tokens_per_second: f64, now: Time) -> TokenBucket {
        TokenBucket {
            tokens_per_second,
            tokens: tokens_per_second,
            refilled_at: now,
        }
    }

    /// Takes `amount` tokens if `reserve` (a fraction of one second's worth) remains; false if there are too few.
    pub(crate) fn try_take(&mut self, now: Time, amount: f64, reserve: f64) -> bool {
        self.refill(now);
        let enough = self.tokens - amount >= reserve * self.tokens_per_second;
        if enough {
            self.tokens -= amount;
        }
        enough
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.duration_since(self.refilled_at);
        let seconds = nanoseconds(elapsed) as f64 / NANOSECONDS_PER_SECOND;
        self.tokens = (self.tokens + seconds * self.tokens_per_second).min(self.tokens_per_second);
        self.refilled_at = now.max(self.refilled_at);
    }
}
