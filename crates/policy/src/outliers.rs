//! Failing and starting servers: ejection, trial requests, and admission slots during slow start.
use crate::interface::{Lifecycle, ServerId, Settings, Time};
use crate::regions::MAX_COUNTED_STREAMS;
use crate::state::{PlacementPolicy, ServerRecord, TimeArithmetic, SECOND};

const MIN_EJECTION_NS: u64 = SECOND; // Length of the first ejection; each further one is twice as long.
const MAX_EJECTION_NS: u64 = 8 * SECOND; // Longest ejection.
const REQUIRED_TRIALS: u32 = 3; // Successes in a row after which an ejected server takes all requests again.
const OVERLAPPING_WINDOWS: f64 = 2.0; // Slots that overlap a window begin in it or in the one before it.
const STUCK_SETUP_TIMES: f64 = 4.0; // An attempt pending for this many mean set-up times is stuck.
const MIN_STUCK_NS: f64 = 0.3 * SECOND as f64; // Shortest time after which an attempt counts as stuck.

impl ServerRecord {
    /// Records a failure: ejects the server, longer each time, then requires trials by idempotent classes.
    pub(crate) fn record_failure(&mut self, now: Time) {
        self.trials_left = REQUIRED_TRIALS;
        if now < self.ejected_until {
            return;
        }
        let recovered = now.since(self.last_ejected_at) > 2 * MAX_EJECTION_NS;
        let next_duration = if recovered { 0 } else { self.ejection_duration * 2 };
        self.last_ejected_at = now;
        self.ejection_duration = next_duration.clamp(MIN_EJECTION_NS, MAX_EJECTION_NS);
        self.ejected_until = now.plus(self.ejection_duration);
    }

    /// Begins a slow start of `duration` after a connection failed or broke, unless one was begun already.
    pub(crate) fn record_connection_failure(&mut self, now: Time, duration: u64) {
        if self.connection_failed {
            return;
        }
        self.connection_failed = true;
        self.slow_start_until = self.slow_start_until.max(now.plus(duration));
        self.next_slot_start = self.next_slot_start.max(now);
    }

    /// Records a success: counts a trial, and begins a slow start of `duration` if connections had failed.
    pub(crate) fn record_success(&mut self, now: Time, duration: u64) {
        self.trials_left = self.trials_left.saturating_sub(1);
        if self.connection_failed {
            self.connection_failed = false;
            self.slow_start_until = self.slow_start_until.max(now.plus(duration));
        }
    }
}

impl PlacementPolicy {
    /// Whether a set-up may go to a server now: ready, not ejected or stuck, no trial or slot to wait for.
    pub(crate) fn is_usable(&self, now: Time, id: ServerId, idempotent: bool) -> bool {
        let Some(server) = self.servers.get(&id) else { return false };
        if server.endpoint.lifecycle != Lifecycle::Ready || now < server.ejected_until {
            return false;
        }
        let in_flight = || self.sessions_at(server).filter(|(_, session)| !session.is_established());
        let on_trial = server.trials_left > 0 && (!idempotent || in_flight().next().is_some());
        if on_trial || self.must_wait_for_slot(now, id, server) {
            return false;
        }
        let max_wait = (STUCK_SETUP_TIMES * self.mean_setup_time).max(MIN_STUCK_NS) as u64;
        // Attempts that waited during a stall of this process are not the server's fault.
        !in_flight().any(|(_, session)| now.since(session.rung_set_at.max(self.stall_detected_at)) > max_wait)
    }

    /// Whether a server is in slow start and this replica has no unused admission slot there now.
    fn must_wait_for_slot(&self, now: Time, id: ServerId, server: &ServerRecord) -> bool {
        if now >= server.slow_start_until {
            return false;
        }
        let slot = open_slot(&self.settings, server, id, now);
        now < server.next_slow_start_attempt || slot.is_none_or(|start| start < server.next_slot_start)
    }
}

/// Nanoseconds between a replica's admission slots at a server in slow start. In any overload window, all
/// replicas together have at most one slot more than the set-ups that do not overload the server.
pub(crate) fn slow_start_interval(settings: &Settings, server: &ServerRecord) -> u64 {
    let setups_per_nanosecond = server.stream_capacity.min(MAX_COUNTED_STREAMS)
        / settings.slow_start_duration.max(1) as f64
        * settings.slow_start_min_factor
        * settings.overload_multiple;
    let replicas = f64::from(settings.replica_count.max(1));
    (replicas * OVERLAPPING_WINDOWS / setups_per_nanosecond.max(1e-12)) as u64
}

/// Start of this replica's open admission slot at a server in slow start, if any; a slot allows one set-up.
/// All replicas share a grid from the listed start time, because slots counted from each replica's own
/// set-ups drift until they coincide. The cost is that many replicas leave a server in slow start idle.
pub(crate) fn open_slot(settings: &Settings, server: &ServerRecord, id: ServerId, now: Time) -> Option<Time> {
    let replicas = u64::from(settings.replica_count.max(1));
    let interval = slow_start_interval(settings, server).max(1);
    let position = (u64::from(settings.replica_index) + u64::from(id.0)) % replicas;
    let first_offset = (interval as f64 * (position as f64 + 0.5) / replicas as f64) as u64;
    let slot_age = now.since(server.endpoint.started_at).checked_sub(first_offset)? % interval;
    (slot_age <= settings.overload_window).then(|| Time(now.0 - slot_age))
}
