//! Exponential backoff between retries.
use std::time::Duration;

/// Most doublings that are computed, so that the factor can't overflow. Each maximum in this crate is reached with fewer.
const MAX_DOUBLINGS: u32 = 16;

/// A pause between retries that doubles with each consecutive failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExponentialBackoff {
    pub(crate) initial: Duration,
    pub(crate) max: Duration,
}

impl ExponentialBackoff {
    /// The pause after this many doublings.
    pub(crate) fn pause(self, doublings: u32) -> Duration {
        let factor = 1 << doublings.min(MAX_DOUBLINGS);
        self.initial.saturating_mul(factor).min(self.max)
    }
}
