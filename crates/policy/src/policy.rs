//! Event handling and the periodic tick of one session controller.
use crate::interface::{Action, Endpoint, EndpointListKind, Event, Time};
use crate::regions::REPRESENTATIVE_SESSIONS;
use crate::state::{Actions, EndedAttempt, PlacementPolicy, TimeArithmetic, SECOND};

pub(crate) const STALL_THRESHOLD_NS: u64 = SECOND / 2; // A tick this late shows that this process stalled.
pub(crate) const INITIAL_SESSION_SECONDS: f64 = 30.0; // Mean session length assumed at the start.
pub(crate) const INITIAL_COMPLETED: f64 = 3.0; // Weight of that assumption, in completed sessions.
pub(crate) const INITIAL_SETUP_TIME_NS: f64 = 0.15 * SECOND as f64; // Mean set-up time assumed at the start.
pub(crate) const ARRIVAL_WINDOW_SECONDS: f64 = 15.0; // Time constant of the arrival counts.
const ARRIVAL_WINDOW_REQUESTS: f64 = 10.0; // The time constant grows until it spans this many requests.

impl PlacementPolicy {
    /// Handles one event and appends the resulting actions to `actions`, in the order to carry them out.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.advance_clock(now, actions);
        match event {
            Event::EndpointList(kind, entries) => self.apply_endpoints(kind, entries, actions),
            Event::SessionRequested(request) => self.handle_request(now, request, actions),
            Event::SessionAdopted(request, server) => self.session_adopted(now, request, server),
            Event::SessionEstablished { request, server, setup_time, .. } => {
                self.session_established(request, server, setup_time);
            }
            Event::SessionUpdated { request, server, update } => {
                self.session_updated(request, server, update);
                self.relieve(now, server, actions);
            }
            Event::AttemptEnded { request, server, outcome, is_final, report, .. } => {
                let ended = EndedAttempt { request, server, outcome, is_final, report };
                self.attempt_ended(now, &ended, actions);
            }
            Event::CrossZonePolicyChanged { zone, class, policy } => {
                self.cross_zone_policies.insert((zone, class), policy);
            }
            Event::MaxRungChanged { request, max_rung } => self.change_max_rung(request, max_rung, actions),
            Event::ClientLeft(request) => self.client_left(request),
            Event::Timer(_) => self.tick(now, actions),
            Event::HealthCheckCompleted { server, report, .. } => self.apply_report(now, server, &report),
            Event::ReplicaCountChanged(count) => self.settings.replica_count = count,
            Event::PeerMessage { .. } => {}
        }
    }

    /// Advances the clock to an event and detects stalls of this process; the first event starts the timer.
    fn advance_clock(&mut self, now: Time, actions: &mut Actions) {
        if self.last_tick.is_none() {
            self.last_tick = Some(now);
            actions.push(Action::SetTimer { at: now.plus(SECOND), token: 0 });
            if self.settings.discovery_on_request {
                actions.push(Action::SubscribeEndpoints);
            }
        }
        // After a stall, answers that this process had no time to read would look like server time-outs.
        if self.last_tick.is_some_and(|tick| now > tick.plus(SECOND + STALL_THRESHOLD_NS)) {
            self.stall_detected_at = now;
        }
        self.now = now;
    }

    /// Applies an endpoint list. After a failed discovery request, subscribes again, once a second at most.
    fn apply_endpoints(&mut self, kind: EndpointListKind, entries: Vec<Endpoint>, actions: &mut Actions) {
        let now = self.now;
        if kind == EndpointListKind::Failed {
            if self.settings.discovery_on_request && now.since(self.endpoints_refreshed_at) > SECOND {
                self.endpoints_refreshed_at = now;
                actions.push(Action::SubscribeEndpoints);
            }
            return;
        }
        self.endpoints_refreshed_at = now;
        if kind != EndpointListKind::Delta {
            self.remove_unlisted(&entries);
        }
        for endpoint in entries {
            self.update_endpoint(now, endpoint);
        }
        self.refresh_aggregates(now);
    }

    fn update_endpoint(&mut self, now: Time, endpoint: Endpoint) {
        let server = self.servers.entry(endpoint.server).or_default();
        server.next_slot_start = server.next_slot_start.max(self.started_at);
        let slow_start_until = endpoint.started_at.plus(self.settings.slow_start_duration);
        if endpoint.started_at > server.endpoint.started_at && slow_start_until > now {
            server.restarted(now, slow_start_until);
        }
        self.record_endpoint(endpoint);
    }

    /// The periodic work, once a second: discovery, eviction, load aggregates, the price and promotions.
    fn tick(&mut self, now: Time, actions: &mut Actions) {
        let Some(last_tick) = self.last_tick else { return };
        if now <= last_tick {
            return;
        }
        let elapsed = now.seconds_since(last_tick);
        let established = self.sessions.values().filter(|session| session.is_established()).count();
        self.session_seconds += elapsed * established as f64;
        self.last_tick = Some(now);
        actions.push(Action::SetTimer { at: now.plus(SECOND), token: 0 });
        self.decay_arrivals(elapsed);
        let list_age = now.since(self.endpoints_refreshed_at);
        if self.settings.discovery_on_request && list_age > self.settings.max_discovery_age / 2 {
            self.endpoints_refreshed_at = now;
            actions.push(Action::FetchEndpoints);
        }
        self.evict_removed(now);
        self.refresh_aggregates(now);
        let weight = (self.fleet.own_sessions * elapsed / REPRESENTATIVE_SESSIONS).min(1.0);
        let mean_kb = self.fleet.own_rate_kb / self.fleet.own_sessions.max(1.0);
        self.mean_session_kb += weight * (mean_kb - self.mean_session_kb);
        self.reprice();
        let in_use = self.servers.iter().filter(|(_, server)| !server.sessions.is_empty());
        let ids: Vec<_> = in_use.map(|(id, _)| *id).collect();
        for id in ids {
            self.promote(now, id, actions);
        }
    }

    /// Decays the arrival counts exponentially over `elapsed` seconds.
    fn decay_arrivals(&mut self, elapsed: f64) {
        let rate = self.arrivals.requests / self.arrivals.seconds.max(1.0);
        let by_time = 1.0 / (ARRIVAL_WINDOW_SECONDS * self.pause_factor());
        let factor = (-elapsed * by_time.min(rate / ARRIVAL_WINDOW_REQUESTS)).exp();
        self.arrivals.decay(factor, elapsed);
        for server in self.servers.values_mut() {
            server.arrivals *= factor;
        }
    }
}
