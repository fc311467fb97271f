//! State of a media server, as known to one replica.
use super::{LoadEstimate, TimeArithmetic};
use crate::interface::{Endpoint, Lifecycle, RequestId, Time};
use std::collections::BTreeSet;

/// A media server that was in an endpoint list.
#[derive(Default)]
pub(crate) struct ServerRecord {
    /// Its latest entry in an endpoint list.
    pub(crate) endpoint: Endpoint,
    /// Index of its uplink group.
    pub(crate) uplink_group: usize,
    /// Highest number of streams that it can run; infinite if its kind has no limit.
    pub(crate) stream_capacity: f64,
    /// Load of its link.
    pub(crate) link: LoadEstimate,
    /// Summed rate of our own sessions there, kB per second.
    pub(crate) own_rate_kb: f64,
    /// Our own sessions there.
    pub(crate) sessions: BTreeSet<RequestId>,
    /// Number of slots in each region, lowest rung first.
    pub(crate) region_slots: Vec<u32>,
    /// When the regions were last sized; `None` before the first time.
    pub(crate) regions_sized_at: Option<Time>,
    /// Whether its link was measured since a promotion was last considered here.
    pub(crate) measured_since_promotion: bool,
    /// Its share of the recent arrivals; decays like the total.
    pub(crate) arrivals: f64,
    /// The short delivery that currently lasts, if any.
    pub(crate) short_delivery: Option<ShortDelivery>,
    /// No set-up goes there before this time, after failures.
    pub(crate) ejected_until: Time,
    /// Length of the last ejection, nanoseconds; 0 if there was none.
    pub(crate) ejection_duration: u64,
    /// When it was last ejected.
    pub(crate) last_ejected_at: Time,
    /// Successful attempts that an ejected server still needs until it takes all requests again; 0 in normal operation.
    /// Until then it gets one trial at a time, of idempotent classes only.
    pub(crate) trials_left: u32,
    /// Whether a connection failed or broke since the server last started or completed a set-up.
    pub(crate) connection_failed: bool,
    /// End of its slow start; in the past if it is not in slow start.
    pub(crate) slow_start_until: Time,
    /// In slow start, no set-up goes there before this time.
    pub(crate) next_slow_start_attempt: Time,
    /// In slow start, no set-up goes there in an admission slot that began before this time.
    pub(crate) next_slot_start: Time,
    /// Sessions there are not demoted for an overload before this time.
    pub(crate) next_relief: Time,
}

impl ServerRecord {
    /// Whether it is listed as ready and no connection to it failed.
    pub(crate) fn is_up(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::Ready && !self.connection_failed
    }

    /// Whether it is no longer listed.
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::Removed
    }

    /// Records a restart: begins a slow start and clears earlier failures.
    pub(crate) fn restarted(&mut self, now: Time, slow_start_until: Time) {
        self.slow_start_until = slow_start_until.max(self.slow_start_until);
        self.connection_failed = false;
        self.ejected_until = now;
        self.next_slot_start = now;
    }

    /// Uses the current admission slot for a set-up. In slow start, the next may follow after `pause` nanoseconds.
    pub(crate) fn use_slot(&mut self, now: Time, pause: u64) {
        self.next_slow_start_attempt = now.plus(pause);
        self.next_slot_start = now.plus(1);
    }

    /// Records a measurement of the link that is `age` nanoseconds old.
    pub(crate) fn record_link_fill(&mut self, now: Time, fill: f64, age: u64) {
        self.link.record_fill(now, fill, age);
        self.measured_since_promotion = true;
    }
}

/// A period in which a server delivered less than the rate of its sessions.
#[derive(Clone, Copy)]
pub(crate) struct ShortDelivery {
    /// When the first report of it was received.
    pub(crate) since: Time,
    /// When it was last reported.
    pub(crate) reported_at: Time,
}
