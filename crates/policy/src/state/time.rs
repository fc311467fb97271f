//! Saturating arithmetic on points in time, in nanoseconds, the unit of the settings.
use crate::interface::Time;

/// Nanoseconds per second.
pub(crate) const SECOND: u64 = 1_000_000_000;

/// Saturating sums and differences of points in time.
pub(crate) trait TimeArithmetic {
    /// The point in time `duration` nanoseconds later.
    fn plus(self, duration: u64) -> Time;

    /// Nanoseconds since `earlier`; 0 if it is not earlier.
    fn since(self, earlier: Time) -> u64;

    /// Seconds since `earlier`; 0 if it is not earlier.
    fn seconds_since(self, earlier: Time) -> f64;
}

impl TimeArithmetic for Time {
    fn plus(self, duration: u64) -> Time {
        Time(self.0.saturating_add(duration))
    }

    fn since(self, earlier: Time) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    fn seconds_since(self, earlier: Time) -> f64 {
        self.since(earlier) as f64 / SECOND as f64
    }
}
