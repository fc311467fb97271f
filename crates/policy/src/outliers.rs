//! Servers that fail or warm up: ejection, trials, and admission slots during slow start.
use crate::interface::{Lifecycle, ServerId, Settings, Time};
use crate::regions::MAX_PLACES;
use crate::state::{Nanoseconds, PlacementPolicy, Server, SECOND};

const EJECTION_MIN: u64 = SECOND; // First ejection of a server that failed, nanoseconds.
const EJECTION_MAX: u64 = 8 * SECOND; // It doubles with each up to this.
const TRIALS: u32 = 3; // Successes in a row after which a server that was ejected is trusted again.
const SLOTS_IN_WINDOW: f64 = 2.0; // Windows in which slots begin that meet one window: it, and one before it.
const STUCK_SETUPS: f64 = 4.0; // An attempt that is out for so many usual set-up times is stuck ...
const STUCK_MIN: f64 = 0.3 * SECOND as f64; // ... but not before this time, nanoseconds.

impl Server {
    /// Records a failure: the server is ejected, longer each time, then on trial with idempotent classes.
    pub(crate) fn record_failure(&mut self, now: Time) {
        self.trials_left = TRIALS;
        if now < self.ejected_until {
            return;
        }
        let recovered = now.since(self.last_ejected_at) > 2 * EJECTION_MAX;
        let longer = if recovered { 0 } else { self.ejection_duration * 2 };
        self.last_ejected_at = now;
        self.ejection_duration = longer.clamp(EJECTION_MIN, EJECTION_MAX);
        self.ejected_until = now.plus(self.ejection_duration);
    }

    /// Begins a slow start of `duration` after a connection failed or broke, unless one has begun already.
    pub(crate) fn record_connection_failure(&mut self, now: Time, duration: u64) {
        if self.connection_failed {
            return;
        }
        self.connection_failed = true;
        self.slow_start_until = self.slow_start_until.max(now.plus(duration));
        self.next_slot_start = self.next_slot_start.max(now);
    }

    /// Records a success: one trial less, and a slow start of `duration` from now if connections had failed.
    pub(crate) fn record_success(&mut self, now: Time, duration: u64) {
        self.trials_left = self.trials_left.saturating_sub(1);
        if self.connection_failed {
            self.connection_failed = false;
            self.slow_start_until = self.slow_start_until.max(now.plus(duration));
        }
    }
}

impl PlacementPolicy {
    /// Whether a set-up may go to a server now: ready, not ejected or stuck, and no trial or slot forbids it.
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
        let patience = (STUCK_SETUPS * self.mean_setup_time).max(STUCK_MIN) as u64;
        // Why: attempts that waited while we stood still ourselves are not the server's fault.
        !in_flight().any(|(_, session)| now.since(session.rung_set_at.max(self.stall_detected_at)) > patience)
    }

    /// Whether a server is in slow start and this replica has no admission slot that it may use now.
    fn must_wait_for_slot(&self, now: Time, id: ServerId, server: &Server) -> bool {
        if now >= server.slow_start_until {
            return false;
        }
        let slot = admission_slot(&self.settings, server, id, now);
        now < server.next_slow_start_attempt || slot.is_none_or(|start| start < server.next_slot_start)
    }
}

/// Nanoseconds between a replica's admission slots at a server in slow start: all replicas' slots that meet a
/// window of the rule are what the rule allows in it, and one more at most.
pub(crate) fn slow_start_interval(settings: &Settings, server: &Server) -> u64 {
    let setups_per_nanosecond = server.stream_capacity.min(MAX_PLACES)
        / settings.slow_start_duration.max(1) as f64
        * settings.slow_start_min_factor
        * settings.overload_multiple;
    let replicas = f64::from(settings.replica_count.max(1));
    (replicas * SLOTS_IN_WINDOW / setups_per_nanosecond.max(1e-12)) as u64
}

/// When this replica's present admission slot at a server in slow start began, if it is in one; each allows a
/// set-up. Why: slots counted from each replica's own set-ups drift until they meet; so all are on one grid
/// from the start that the list states. The price: many replicas leave a server in slow start idle.
pub(crate) fn admission_slot(settings: &Settings, server: &Server, id: ServerId, now: Time) -> Option<Time> {
    let replicas = u64::from(settings.replica_count.max(1));
    let interval = slow_start_interval(settings, server).max(1);
    let position = (u64::from(settings.front_index) + u64::from(id.0)) % replicas;
    let first = (interval as f64 * (position as f64 + 0.5) / replicas as f64) as u64;
    let into_slot = now.since(server.endpoint.started_at).checked_sub(first)? % interval;
    (into_slot <= settings.overload_window).then(|| Time(now.0 - into_slot))
}
