//! The budget of what a member sends, in datagrams and in bytes.
use crate::token_bucket::TokenBucket;
use crankpaddle_time::Time;

/// Both must allow a datagram.
#[derive(Clone)]
pub(super) struct SendBudget {
    datagrams: TokenBucket,
    bytes: TokenBucket,
}

impl SendBudget {
    pub(super) fn new(datagrams_per_second: f64, bytes_per_second: f64, now: Time) -> SendBudget {
        SendBudget {
            datagrams: TokenBucket::new(datagrams_per_second, now),
            bytes: TokenBucket::new(bytes_per_second, now),
        }
    }

    /// Whether a datagram of this size may be sent while `reserve` (a fraction) of the budget remains.
    pub(super) fn try_take(&mut self, now: Time, size: usize, reserve: f64) -> bool {
        self.datagrams.try_take(now, 1.0, reserve) && self.bytes.try_take(now, size as f64, reserve)
    }
}
