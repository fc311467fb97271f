//! Points in time, the same type in every package.
//!
//! A [`Time`] is a point, a [`Duration`] the distance between two: neither can be taken for the other, nor for a plain
//! number. No arithmetic overflows: a point beyond the range is [`Time::MAX`], one before it [`Time::ZERO`].
#![forbid(unsafe_code)]
mod atomic_time;

pub use atomic_time::AtomicTime;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point on a clock that only increases, in nanoseconds.
///
/// On a real clock these count from the Unix epoch, in a simulation from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The earliest point: the origin of the clock.
    pub const ZERO: Time = Time(0);
    /// The latest point. As a deadline it stands for none.
    pub const MAX: Time = Time(u64::MAX);

    /// Nanoseconds since the origin of the clock, for wire formats and stored records.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// How long after `earlier` this is; zero if it is not later.
    #[must_use]
    pub const fn duration_since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        Time(self.0.saturating_add(nanoseconds(duration)))
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        Time(self.0.saturating_sub(nanoseconds(duration)))
    }
}

/// Whole nanoseconds of a duration, for wire formats and stored records; `u64::MAX` if there are more (584 years).
#[must_use]
pub fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
