//! Handling of what viewers send: set-ups, requests to end a session, echo requests, and the end of their connections.
use super::session::{RemovalReason, SessionRecord, SessionState};
use super::wire_time::{from_fractional_milliseconds, from_milliseconds, to_milliseconds};
use super::{longest_wait, ConnectionId, EventLoop};
use crate::shared::increment;
use crankpaddle_front::{Input, OpenRequest, PlayerCall, PlayerId, Time};
use crankpaddle_net::{clock, CloseReason};
use crankpaddle_node_protocol::viewers::{self, cause, InvalidField, Message, SetUpParams};
use crankpaddle_node_protocol::Tag;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// A valid set-up request, in the protocol's form and in the core's.
pub(super) struct ValidSetUp {
    pub(super) params: SetUpParams,
    pub(super) open: OpenRequest,
}

impl EventLoop {
    pub(super) fn handle_viewer_message(
        &mut self,
        connection: ConnectionId,
        message: Message,
        received_at: Time,
    ) {
        match message {
            Message::Start(set_up) => self.handle_set_up(connection, &set_up, received_at),
            Message::Finish { tag, cause } => self.handle_finish(connection, tag, cause),
            Message::Echo(tag) => {
                self.send_to_viewer(connection, &viewers::echoed(tag));
            }
            Message::Idle => {}
        }
    }

    fn handle_set_up(
        &mut self,
        connection: ConnectionId,
        set_up: &viewers::ViewerSetUp,
        received_at: Time,
    ) {
        if self.is_closed_here(connection) {
            // The request crossed the close, so the viewer sends it once more, on another connection.
            tracing::debug!(session_id = %set_up.tag, connection_id = connection.0, "set-up not accepted, its connection is being closed");
            return;
        }
        let request = self.validate_set_up(set_up);
        if self.players.contains_key(&set_up.tag) {
            return self.handle_duplicate(connection, set_up.tag, request.as_ref().ok());
        }
        let request = match request {
            Ok(request) => request,
            Err(error) => return self.reject_invalid(connection, set_up, error),
        };
        match request.params.current_server.clone() {
            Some(server) => self.adopt_session(connection, set_up.tag, &server, request),
            None => self.open_session(connection, set_up, request, received_at),
        }
    }

    /// Whether this node has closed its side of a connection, so that no answer can be sent on it.
    fn is_closed_here(&self, connection: ConnectionId) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(|connection| !connection.is_open())
    }

    /// Handles a set-up with the id of a session that exists. An adoption is ignored, because it may name a session that was
    /// adopted already. For any other set-up the connection is closed without an answer: an answer would name the id, and would
    /// be mistaken for the answer to the first set-up.
    fn handle_duplicate(
        &mut self,
        connection: ConnectionId,
        session_id: Tag,
        request: Option<&ValidSetUp>,
    ) {
        let is_adoption = request.is_some_and(|request| request.params.current_server.is_some());
        if !is_adoption {
            increment(&self.shared.drop_counters.duplicate);
            tracing::debug!(%session_id, connection_id = connection.0, "duplicate set-up");
            self.close_for_duplicate(connection);
        }
    }

    fn reject_invalid(
        &mut self,
        connection: ConnectionId,
        set_up: &viewers::ViewerSetUp,
        error: InvalidField,
    ) {
        tracing::debug!(session_id = %set_up.tag, field = error.0, opts = ?set_up.opts, "invalid set-up");
        increment(&self.shared.drop_counters.out_of_range);
        self.send_to_viewer(
            connection,
            &viewers::finish(set_up.tag, cause::INVALID, None),
        );
    }

    fn open_session(
        &mut self,
        connection: ConnectionId,
        set_up: &viewers::ViewerSetUp,
        request: ValidSetUp,
        received_at: Time,
    ) {
        let ValidSetUp { params, open } = request;
        let session_id = set_up.tag;
        let Some(viewer) = self.connections.get(&connection) else {
            return;
        };
        let pending = viewer.pending_set_ups.load(Ordering::Relaxed);
        if pending >= self.shared.budget.max_pending_set_ups_per_connection {
            increment(&self.shared.drop_counters.too_many_pending);
            tracing::debug!(%session_id, connection_id = connection.0, pending, "set-up rejected, too many pending on its connection");
            let retry_after =
                Duration::from_nanos(self.shared.config.fleet.settings.max_retry_after);
            let message =
                viewers::finish(session_id, cause::CONGESTION, retry_after_ms(retry_after));
            self.send_to_viewer(connection, &message);
            return;
        }
        viewer.pending_set_ups.fetch_add(1, Ordering::AcqRel);
        viewer.extend_output_deadline(received_at + open.max_wait);
        tracing::debug!(%session_id, connection_id = connection.0, opts = ?set_up.opts, "set-up received");
        let description = set_up.blob.clone().unwrap_or_default();
        let player = self.insert_session(SessionRecord {
            session_id,
            connection,
            class: open.class,
            title: params.title_text,
            state: SessionState::AwaitingAnswer { description },
        });
        self.notify_core(Input::Open {
            call: PlayerCall { player, number: 0 },
            request: open,
            received_at,
        });
    }

    /// Adds a session to the tables and returns the id by which the core knows it.
    pub(super) fn insert_session(&mut self, session: SessionRecord) -> PlayerId {
        self.last_player_id += 1;
        let player = PlayerId(self.last_player_id);
        self.players.insert(session.session_id, player);
        self.sessions.insert(player, session);
        player
    }

    /// Parses the fields of a set-up, and looks up the names of its class and its tenant in the settings.
    fn validate_set_up(&self, set_up: &viewers::ViewerSetUp) -> Result<ValidSetUp, InvalidField> {
        let params = set_up.set_up_params()?;
        let open = self.build_open_request(set_up.tag, &params)?;
        Ok(ValidSetUp { params, open })
    }

    /// Converts a set-up's parameters into the core's request. Fails if a field is not valid under the settings.
    fn build_open_request(
        &self,
        session_id: Tag,
        params: &SetUpParams,
    ) -> Result<OpenRequest, InvalidField> {
        let fleet = &self.shared.config.fleet;
        let class = fleet
            .classes
            .iter()
            .position(|class| *class == params.class)
            .ok_or(InvalidField("class"))?;
        let tenant = self.tenant_index(params.tenant.as_deref())?;
        let max_wait = from_milliseconds(params.max_wait_ms);
        let is_adoption = params.current_server.is_some();
        if !is_adoption && max_wait > longest_wait(fleet.deadlines[class]) {
            return Err(InvalidField("left"));
        }
        let settings = &fleet.settings;
        if params.first_cell >= settings.cells {
            return Err(InvalidField("home"));
        }
        if params.cell_count > settings.cells {
            return Err(InvalidField("copies"));
        }
        if usize::from(params.max_rung) >= settings.rung_kb.len() {
            return Err(InvalidField("top"));
        }
        Ok(OpenRequest {
            key: session_id.as_str().to_owned(),
            viewer: params.viewer,
            class: class as u8,
            tenant: tenant as u16,
            title: params.title,
            first_cell: params.first_cell,
            cell_count: params.cell_count,
            max_rung: params.max_rung,
            max_wait,
            duration_hint: params.duration_hint_ms.map(from_fractional_milliseconds),
            is_retry: params.is_retry,
            is_migration: params.is_migration,
        })
    }

    /// A tenant's index in the settings. Without tenants in the settings all set-ups use index 0, and must name no tenant.
    ///
    /// With tenants in the settings, a set-up that names none is invalid, as it would be counted against the first tenant.
    fn tenant_index(&self, name: Option<&str>) -> Result<usize, InvalidField> {
        let tenants = &self.shared.config.fleet.tenants;
        match name {
            None if tenants.is_empty() => Ok(0),
            None => Err(InvalidField("tenant")),
            Some(name) => tenants
                .iter()
                .position(|tenant| tenant == name)
                .ok_or(InvalidField("tenant")),
        }
    }

    fn handle_finish(&mut self, connection: ConnectionId, session_id: Tag, reason: u16) {
        tracing::debug!(%session_id, connection_id = connection.0, reason, "finish received");
        if let Some(player) = self.players.get(&session_id).copied() {
            let Some(session) = self.sessions.get(&player) else {
                return;
            };
            // A pending set-up may be cancelled only on the connection that it came on. An established session may be ended on
            // any connection.
            if session.is_established() || session.connection == connection {
                self.release_cause = reason;
                self.end_session(player, RemovalReason::FinishedByViewer);
                self.release_cause = cause::CANCELLED;
            }
        }
        self.send_to_viewer(connection, &viewers::finished(session_id));
    }

    /// Removes a session whose viewer has left it, and reports that to the core.
    pub(super) fn end_session(&mut self, player: PlayerId, reason: RemovalReason) {
        if self.remove_session(player, reason).is_some() {
            self.notify_core(Input::PlayerLeft(player));
        }
    }

    pub(super) fn viewer_disconnected(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.session_connections.retain(|other| *other != id);
        if connection.pending_set_ups.load(Ordering::Relaxed) == 0 {
            return; // Most connections have none, so the search through all sessions is rarely needed.
        }
        let pending: Vec<PlayerId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.connection == id && !session.is_established())
            .map(|(player, _)| *player)
            .collect();
        for player in pending {
            self.end_session(player, RemovalReason::ViewerDisconnected);
        }
    }

    pub(super) fn remove_session(
        &mut self,
        player: PlayerId,
        reason: RemovalReason,
    ) -> Option<SessionRecord> {
        let session = self.sessions.remove(&player)?;
        tracing::debug!(session_id = %session.session_id, ?reason, established = session.is_established(), "session removed");
        self.players.remove(&session.session_id);
        if !session.is_established() {
            self.set_up_answered(session.connection);
        }
        Some(session)
    }

    /// Decrements a connection's count of pending set-ups, and marks the connection as used now.
    pub(super) fn set_up_answered(&self, connection: ConnectionId) {
        if let Some(connection) = self.connections.get(&connection) {
            connection.pending_set_ups.fetch_sub(1, Ordering::AcqRel);
            connection.set_last_used(clock::now());
        }
    }

    fn close_for_duplicate(&self, connection: ConnectionId) {
        if let Some(connection) = self.connections.get(&connection) {
            connection.outbox.socket().close(CloseReason::DuplicateId);
        }
    }
}

/// Retry advice in milliseconds, as the protocol has it; `None` if it is less than one.
pub(super) fn retry_after_ms(retry_after: Duration) -> Option<u64> {
    let milliseconds = to_milliseconds(retry_after);
    (milliseconds > 0).then_some(milliseconds)
}
