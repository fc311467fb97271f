//! The limit on what a member sends, in datagrams and in bytes per second.
use crate::token_bucket::TokenBucket;
use crankpaddle_time::Time;

/// A token bucket each for datagrams and for bytes. A datagram is sent only if both allow it.
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

    /// Takes the tokens for a datagram of this size if at least the fraction `reserve` of the budget remains after that.
    /// Returns whether the datagram may be sent.
    pub(super) fn try_take(&mut self, now: Time, size: usize, reserve: f64) -> bool {
        self.datagrams.try_take(now, 1.0, reserve) && self.bytes.try_take(now, size as f64, reserve)
    }
}
