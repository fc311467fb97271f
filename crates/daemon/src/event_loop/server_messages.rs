//! Handles the reports of servers' event streams, and servers that can't be reached.
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

    /// Tears down sessions that a server lists but this front does not know; they come from abandoned attempts.
    ///
    /// If a store is configured, only names that this incarnation gave are torn down. Any other name may belong to a
    /// session that is being adopted, or to another process that runs under the same front name.
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

    /// Detects from a server's event stream that the server started, and passes the time of the start to the core.
    ///
    /// While the endpoint list is late or unavailable, a front would otherwise send as many set-ups to a server that
    /// has just started as to a warmed-up one, and overload it. One front was seen to send five set-ups within a
    /// second of a start. After a power loss of a zone together with its list service, two fronts without sessions in
    /// that zone reached a server one second after its start.
    ///
    /// An incarnation other than the known one means a restart: the server started as long ago as it reports, or now
    /// if it reports no age. If no incarnation was known, the reported age gives the start, and without an age nothing
    /// is passed. While the list service is unavailable, this front subscribes to all servers.
    ///
    /// The cost: a server that restarted long ago without this front noticing, and that reports no age, counts as
    /// warming up until the endpoint list gives its start.
    fn detect_server_start(&mut self, server: ServerId, start: &StreamStart) {
        let Some(state) = self.servers.get(&server) else {
            return;
        };
        let is_known = state.connection.incarnation().is_some();
        let has_restarted = state.connection.is_other_incarnation(&start.boot);
        let now = clock::now();
        let age = start.age_ms.map(Duration::from_millis);
        let started_at = match (is_known, age) {
            (true, _) if !has_restarted => return,
            (_, Some(age)) => now - age,
            (true, None) => now,
            (false, None) => return,
        };
        if has_restarted {
            tracing::info!(server_id = server.0, "server restarted");
        }
        self.server_started(server, started_at);
    }

    /// Passes a server's start to the core: at `started_at`, or later if the endpoint list gives a later start.
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
        self.traffic
            .controller
            .record_server_alive(server.0, clock::now());
    }

    /// Ends the sessions of a server that can't be reached. `requested_at` is the time of the request that failed;
    /// sessions established after it are kept.
    ///
    /// While the list service is unavailable, the server also counts as started now. Nothing else would report its
    /// next start: this front pauses after a failed request, and the server may start during the pause. The cost is a
    /// needless slow start for a server that was only cut off from this front.
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
