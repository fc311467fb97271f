//! Arithmetic on points in time. Neither end of the range overflows.
use crate::interface::Time;

/// A second in nanoseconds.
pub(crate) const SECOND: u64 = 1_000_000_000;

impl Time {
    /// The point `duration` nanoseconds later.
    pub(crate) fn plus(self, duration: u64) -> Time {
        Time(self.0.saturating_add(duration))
    }

    /// Nanoseconds since `earlier`; 0 if it is not earlier.
    pub(crate) fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Seconds since `earlier`; 0 if it is not earlier.
    pub(crate) fn seconds_since(self, earlier: Time) -> f64 {
        self.since(earlier) as f64 / SECOND as f64
    }
}
