//! The type for points in time that all packages use.
//!
//! A [`Time`] is a point in time, and a [`Duration`] is the distance between two points. They are separate types, so that
//! neither can be confused with the other or with a plain number. Arithmetic saturates at [`Time::ZERO`] and [`Time::MAX`]
//! and never overflows.
#![forbid(unsafe_code)]
mod atomic_time;

pub use atomic_time::AtomicTime;
use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A point in time on a clock that never goes back, in nanoseconds since the origin of the clock.
///
/// The origin is the Unix epoch for a real clock, and the start of the simulation for a simulated one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The earliest point in time, which is the origin of the clock.
    pub const ZERO: Time = Time(0);
    /// The latest point in time. As a deadline it means that there is no deadline.
    pub const MAX: Time = Time(u64::MAX);

    /// The nanoseconds since the origin of the clock, for wire formats and stored records.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// The time that has passed since `earlier`; zero if `earlier` is later than this.
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

/// A duration in nanoseconds, for wire formats and stored records; `u64::MAX` if it does not fit into 64 bits (584 years).
#[must_use]
pub fn nanoseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
