//! Conversion of times on the wire. Viewers, servers and the directory use milliseconds.
use crankpaddle_time::nanoseconds;
use std::time::Duration;

const NANOSECONDS_PER_MILLISECOND: u64 = 1_000_000;

/// A duration of whole milliseconds. It saturates at the range of the clock, 584 years.
pub(super) fn from_milliseconds(milliseconds: u64) -> Duration {
    Duration::from_nanos(milliseconds.saturating_mul(NANOSECONDS_PER_MILLISECOND))
}

/// A duration of milliseconds with a fraction, rounded down to nanoseconds.
pub(super) fn from_fractional_milliseconds(milliseconds: f64) -> Duration {
    Duration::from_nanos((milliseconds * NANOSECONDS_PER_MILLISECOND as f64) as u64)
}

/// The whole milliseconds of a duration, rounded down.
pub(super) fn to_milliseconds(duration: Duration) -> u64 {
    nanoseconds(duration) / NANOSECONDS_PER_MILLISECOND
}
