//! A point in time that coroutines share.
use crankpaddle_time::Time;
use std::sync::atomic::{AtomicU64, Ordering};

/// A [`Time`] that is read and written without a lock.
pub(crate) struct AtomicTime(AtomicU64);

impl AtomicTime {
    pub(crate) fn new(time: Time) -> AtomicTime {
        AtomicTime(AtomicU64::new(time.as_nanos()))
    }

    pub(crate) fn load(&self, ordering: Ordering) -> Time {
        Time(self.0.load(ordering))
    }

    pub(crate) fn store(&self, time: Time, ordering: Ordering) {
        self.0.store(time.as_nanos(), ordering);
    }
}
