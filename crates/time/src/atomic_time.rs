//! A point in time that threads or coroutines share.
use crate::Time;
use std::sync::atomic::{AtomicU64, Ordering};

/// A [`Time`] that threads or coroutines share and that is read and written atomically, without a lock.
#[derive(Debug)]
pub struct AtomicTime(AtomicU64);

impl AtomicTime {
    /// A shared point in time with the initial value `time`.
    #[must_use]
    pub const fn new(time: Time) -> AtomicTime {
        AtomicTime(AtomicU64::new(time.as_nanos()))
    }

    /// Reads the time with this memory ordering.
    pub fn load(&self, ordering: Ordering) -> Time {
        Time(self.0.load(ordering))
    }

    /// Replaces the time, whether the new one is earlier or later.
    pub fn store(&self, time: Time, ordering: Ordering) {
        self.0.store(time.as_nanos(), ordering);
    }

    /// Replaces the value if `time` is later than it.
    pub fn fetch_max(&self, time: Time, ordering: Ordering) {
        self.0.fetch_max(time.as_nanos(), ordering);
    }
}
