//! Times on the wire, which viewers, servers and the directory state in milliseconds.
use crankpaddle_time::nanoseconds;
use std::time::Duration;

const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// This many milliseconds; the range of the clock (584 years) if there are more.
pub(super) fn from_milliseconds(milliseconds: u64) -> Duration {
    Duration::from_nanos(milliseconds.saturating_mul(NANOSECONDS_PER_MILLISECOND))
}

/// A number of milliseconds that need not be whole, rounded down to nanoseconds.
pub(super) fn from_fractional_milliseconds(milliseconds: f64) -> Duration {
    Duration::from_nanos((milliseconds * NANOSECONDS_PER_MILLISECOND as f64) as u64)
}

/// A duration in milliseconds, rounded down.
pub(super) fn to_milliseconds(duration: Duration) -> u64 {
    nanoseconds(duration) / NANOSECONDS_PER_MILLISECOND
}
