//! What servers report on their event streams, and that a server can't be reached.
use super::EventLoop;
use crate::message::ServerMessage;
use crankpaddle_cross_zone_traffic::traffic_controller::AttemptEnd;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, EndpointListKind, Input, ServerId, SessionUpdate,
};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::event_stream::{StreamStart, TrafficCounts};
use crankpaddle_time::Time;
use std::time::Duration;

impl EventLoop {
    pub(super) fn handle_server_message(&mut self, server: ServerId, message: ServerMessage) {
        match message {
            ServerMessage::StreamStarted {
                start,
                requested_at,
            } => {
                self.stream_started(server, &start, requested_at);
            }
            ServerMessage::StreamClosed => self.stream_closed(server),
            ServerMessage::Unreachable { requested_at } => {
                self.server_unreachable(server, requested_at);
            }
            ServerMessage::SessionUpdated {
                session_name,
                updates,
            } => self.session_updated(&session_name, updates),
            ServerMessage::SessionEnded {
                session_name,
                outcome,
                sent_bytes,
            } => self.session_ended(&session_name, outcome, sent_bytes),
            ServerMessage::TrafficCounted { counts } => self.traffic_counted(server, &counts),
            ServerMessage::TearDownCompleted {
                session_name,
                sent_bytes,
            } => self.tear_down_completed(&session_name, sent_bytes),
            ServerMessage::InventoryReceived { inventory } => {
                self.inventory_received(server, inventory);
            }
            ServerMessage::InventoryUnavailable => self.inventory_unavailable(server),
            ServerMessage::FenceCompleted {
                attempt_name,
                is_confirmed,
            } => self.fence_completed(server, &attempt_name, is_confirmed),
        }
    }

    fn stream_started(&mut self, server: ServerId, start: &StreamStart, requested_at: Time) {
        self.traffic
            .controller
            .server_connected(server.0, clock::now());
        self.detect_server_start(server, start);
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        let lost = state
            .connection
            .stream_started(&start.boot, &start.sessions, requested_at);
        self.tear_down_unknown_sessions(server, &start.sessions);
        self.sessions_lost(lost);
        self.retry_reconciliation(server);
    }

    /// Ends sessions that a server holds and this front does not: attempts that were abandoned.
    ///
    /// Why only names of this incarnation, where a store is configured: another name may be that of a session
    /// that is just being adopted, or of a process that runs under the same front name.
    fn tear_down_unknown_sessions(&self, server: ServerId, session_names: &[String]) {
        let Some(link) = self
            .servers
            .get(&server)
            .and_then(|state| state.link.as_ref())
        else {
            return;
        };
        for name in session_names {
            if self.attempt_ids.contains_key(name) {
                continue;
            }
            if self.durable.is_none() || self.shared.names.attempt_of(name).is_some() {
                link.tear_down(&self.shared, name);
            }
        }
    }

    /// Passes a server's start to the core, where its event stream shows one that was not known.
    ///
    /// Why: while the list is late or unavailable, a front would send as much to a server that has just
    /// started as to a warmed-up one and overload it (observed: five set-ups of one front within a second of
    /// the start; and after a power loss of a zone with its list service, two fronts without sessions there
    /// met a server a second after its start). So an incarnation other than the known one is a start, and one
    /// of which none was known is as old as the server reports; and while the list service is unavailable,
    /// all servers are subscribed to. The cost: a server that does not report its age, and was not seen since
    /// it started long ago, is taken for warming up until the list gives its start.
    fn detect_server_start(&mut self, server: ServerId, start: &StreamStart) {
        let Some(state) = self.servers.get(&server) else {
            return;
        };
        let is_known = state.connection.incarnation().is_some();
        let is_other = state.connection.is_other_incarnation(&start.boot);
        let now = clock::now();
        let age = start.age_ms.map(Duration::from_millis);
        let started_at = match (is_known, age) {
            (true, _) if !is_other => return,
            (_, Some(age)) => now - age,
            (true, None) => now,
            (false, None) => return,
        };
        if is_other {
            tracing::info!(server_id = server.0, "server restarted");
        }
        self.server_started(server, started_at);
    }

    /// A server started at that time, or later where the list gives a later start.
    pub(super) fn server_started(&mut self, server: ServerId, started_at: Time) {
        let entries = self.endpoints.servers().iter();
        let entry: Vec<_> = entries
            .filter(|entry| entry.id == server.0)
            .cloned()
            .collect();
        let mut endpoints = self.resolve_endpoints(&entry);
        for endpoint in &mut endpoints {
            endpoint.started_at = endpoint.started_at.max(started_at);
        }
        self.handle_core_input(Input::EndpointList(EndpointListKind::Delta, endpoints));
    }

    fn stream_closed(&mut self, server: ServerId) {
        self.traffic.controller.server_alive(server.0, clock::now());
    }

    /// Ends the sessions of a server that can't be reached.
    ///
    /// Why its start is also set to now while the list service is unavailable: it may have started
    /// milliseconds ago, and this front, whose requests failed until then, pauses before the next one. A server
    /// that can't be reached is not warmed up, and its start is seen nowhere else. The cost: a server cut off
    /// from this front alone starts slowly when it can be reached again.
    fn server_unreachable(&mut self, server: ServerId, requested_at: Time) {
        self.traffic.controller.server_lost(server.0);
        if self.is_list_unavailable {
            self.server_started(server, clock::now());
        }
        let lost = self
            .servers
            .get(&server)
            .map(|state| state.connection.sessions_before(requested_at))
            .unwrap_or_default();
        if !lost.is_empty() {
            tracing::warn!(
                server_id = server.0,
                sessions = lost.len(),
                "server unreachable"
            );
        }
        self.sessions_lost(lost);
    }

    fn sessions_lost(&mut self, attempts: Vec<AttemptId>) {
        for attempt in attempts {
            self.end_session(attempt, AttemptOutcome::Reset, AttemptEnd::ServerLost);
        }
    }

    fn session_updated(&mut self, session_name: &str, updates: Vec<SessionUpdate>) {
        let Some(attempt) = self.attempt_ids.get(session_name).copied() else {
            return;
        };
        let server = self.attempts.get(&attempt).map(|live| live.server);
        for update in updates {
            if let (Some(server), SessionUpdate::DeliveryRatio(ratio)) = (server, update) {
                self.traffic
                    .controller
                    .delivery_reported(server.0, ratio, clock::now());
            }
            self.handle_core_input(Input::SessionUpdated(attempt, update));
        }
    }

    fn session_ended(
        &mut self,
        session_name: &str,
        outcome: AttemptOutcome,
        sent_bytes: Option<u64>,
    ) {
        let Some(attempt) = self.attempt_ids.get(session_name).copied() else {
            return;
        };
        self.end_session(attempt, outcome, AttemptEnd::Completed);
        if let Some(sent_bytes) = sent_bytes {
            self.final_bytes_counted(attempt, sent_bytes);
        }
    }

    fn traffic_counted(&mut self, server: ServerId, counts: &TrafficCounts) {
        let mut sent = Vec::new();
        for (session_name, bytes) in &counts.sent {
            if let Some(attempt) = self.attempt_ids.get(session_name) {
                sent.push((*attempt, *bytes));
            }
        }
        self.traffic.add_counts(server, &sent, &counts.crossing);
    }

    fn tear_down_completed(&mut self, session_name: &str, sent_bytes: u64) {
        if let Some(attempt) = self.shared.names.attempt_of(session_name) {
            self.final_bytes_counted(attempt, sent_bytes);
        }
    }

    fn final_bytes_counted(&mut self, attempt: AttemptId, sent_bytes: u64) {
        self.traffic
            .controller
            .final_bytes_counted(attempt.0, sent_bytes, clock::now());
    }
}
