//! A media server as one replica sees it.
use super::{LoadEstimate, Nanoseconds};
use crate::interface::{Endpoint, Lifecycle, RequestId, Time};
use std::collections::BTreeSet;

/// A media server that an endpoint list named.
#[derive(Default)]
pub(crate) struct Server {
    /// Its last entry in a list.
    pub(crate) endpoint: Endpoint,
    /// Index of the uplink group that it is in.
    pub(crate) uplink_group: usize,
    /// Streams that it runs at most.
    pub(crate) stream_capacity: f64,
    /// What is asked of its link.
    pub(crate) link: LoadEstimate,
    /// Rates of our own sessions there, kB a second.
    pub(crate) own_rate_kb: f64,
    /// Our own sessions there.
    pub(crate) sessions: BTreeSet<RequestId>,
    /// Slots of each region, lowest rung first.
    pub(crate) region_slots: Vec<u32>,
    /// When the regions were sized.
    pub(crate) regions_sized_at: Option<Time>,
    /// Whether its link was measured since a promotion was last considered here.
    pub(crate) measured_since_promotion: bool,
    /// Its part of the recent requests.
    pub(crate) arrivals: f64,
    /// Short delivery that lasts.
    pub(crate) short_delivery: Option<ShortDelivery>,
    /// No set-up goes there before this time, after failures.
    pub(crate) ejected_until: Time,
    /// Length of the last ejection, nanoseconds.
    pub(crate) ejection_duration: u64,
    /// When it was last ejected.
    pub(crate) last_ejected_at: Time,
    /// Successes that are still wanted after an ejection; until then it gets trials only.
    pub(crate) trials_left: u32,
    /// Whether a connection failed or broke since the server last started or served.
    pub(crate) connection_failed: bool,
    /// End of its slow start.
    pub(crate) slow_start_until: Time,
    /// In slow start, no set-up goes there before this time ...
    pub(crate) next_slow_start_attempt: Time,
    /// ... nor in an admission slot that began before this one.
    pub(crate) next_slot_start: Time,
    /// Sessions there are not demoted before this time.
    pub(crate) next_relief: Time,
}

impl Server {
    /// Whether it is listed as ready and no connection to it failed.
    pub(crate) fn is_up(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::Ready && !self.connection_failed
    }

    /// Whether it is no longer listed.
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::Removed
    }

    /// It started again, and warms up until then.
    pub(crate) fn restarted(&mut self, now: Time, slow_start_until: Time) {
        self.slow_start_until = slow_start_until.max(self.slow_start_until);
        self.connection_failed = false;
        self.ejected_until = now;
        self.next_slot_start = now;
    }

    /// A set-up goes there in the present admission slot; in slow start the next may follow after `pause`.
    pub(crate) fn use_slot(&mut self, now: Time, pause: u64) {
        self.next_slow_start_attempt = now.plus(pause);
        self.next_slot_start = now.plus(1);
    }

    /// Takes a measurement of the link that is `age` nanoseconds old.
    pub(crate) fn measure_link(&mut self, now: Time, fill: f64, age: u64) {
        self.link.measure(now, fill, age);
        self.measured_since_promotion = true;
    }
}

/// A time of short delivery at a server.
#[derive(Clone, Copy)]
pub(crate) struct ShortDelivery {
    /// When it began.
    pub(crate) since: Time,
    /// When it was last reported.
    pub(crate) reported_at: Time,
}
