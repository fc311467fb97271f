//! Handling of messages from servers: responses to set-ups and health checks, session updates, and releases.
use super::server_liveness::PROBE_SESSION;
use super::session::RemovalReason;
use super::EventLoop;
use crate::input_gate::QueuedInput;
use crate::shared::{InboxMessage, LinkId};
use crankpaddle_front::{AttemptId, AttemptOutcome, Input, LoadReport, ServerId, SessionUpdate};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::rtsp::{self, cseq, status, Kind, ReportField};
use crankpaddle_node_protocol::viewers::cause;

impl EventLoop {
    /// Handles messages that were read from a link, or delays a response that may have been cut off.
    ///
    /// Any message confirms the length of the response before it, so a delayed response is handled before it. It is queued again for
    /// that time, because a release that follows a response changes how that is handled.
    pub(super) fn receive_from_server(
        &mut self,
        link: LinkId,
        messages: Vec<rtsp::Message>,
        queued: Option<QueuedInput>,
    ) {
        if let Some(confirmed) = self.delayed_responses.take(link) {
            self.message_queue
                .push_front(InboxMessage::FromServer(link, messages, queued));
            return self.handle_server_message(link, &confirmed);
        }
        for message in messages {
            match self.delay_deadline(link, &message) {
                Some(deadline) => {
                    self.delayed_responses
                        .delay(link, message, clock::now(), deadline);
                }
                None => self.handle_server_message(link, &message),
            }
        }
    }

    pub(super) fn handle_server_message(&mut self, id: LinkId, message: &rtsp::Message) {
        let now = clock::now();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.record_received(now);
        let server_id = link.server;
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        server.health.record_received(now);
        let attempt = message
            .session
            .and_then(|session_id| server.attempts.get(&session_id).copied());
        if let Some(attempt) = attempt {
            server.unconfirmed.remove(attempt);
        }
        tracing::trace!(link_id = id.0, server_id = server_id.0, session_id = message.session.map(display),
            kind = ?message.kind, cseq = message.cseq, headers = ?message.headers, known = attempt.is_some(),
            "server message received");
        match &message.kind {
            Kind::Response(100..=199) => {}
            Kind::Response(status) => match message.cseq {
                Some(cseq::SET_UP) => {
                    self.handle_set_up_response(id, server_id, attempt, *status, message);
                }
                Some(cseq::OPTIONS) => self.handle_health_response(server_id, *status, message),
                _ => {} // The acknowledgement of a release.
            },
            Kind::Request(method, _) => match method.as_str() {
                "ANNOUNCE" => self.handle_update(attempt, message),
                "TEARDOWN" => self.handle_release(id, server_id, attempt, message),
                _ => {}
            },
        }
    }

    /// Reports the response to a health check that the policy has requested. That to a probe has served its purpose already.
    fn handle_health_response(&mut self, server: ServerId, status: u16, message: &rtsp::Message) {
        if message
            .session
            .is_some_and(|id| id.as_str() == PROBE_SESSION)
        {
            return;
        }
        let outcome = if status == status::OK {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::ServerError
        };
        let report = self.load_report(message);
        self.notify_core(Input::HealthCheckCompleted(server, outcome, report));
    }

    fn handle_update(&mut self, attempt: Option<AttemptId>, message: &rtsp::Message) {
        let update = message.session_update().and_then(session_update);
        if let (Some(attempt), Some(update)) = (attempt, update) {
            self.notify_core(Input::SessionUpdated(attempt, update));
        }
    }

    /// Acknowledges a server's release of a session, and ends the attempt that it belongs to.
    fn handle_release(
        &mut self,
        link: LinkId,
        server: ServerId,
        attempt: Option<AttemptId>,
        message: &rtsp::Message,
    ) {
        let cseq = message.cseq.unwrap_or(cseq::TEAR_DOWN);
        let acknowledgement = rtsp::acknowledge(cseq, message.session);
        self.send_to_server(server, Some(link), acknowledgement);
        tracing::debug!(
            link_id = link.0,
            server_id = server.0,
            session_id = message.session.map(display),
            cause = message.cause(),
            known = attempt.is_some(),
            "release received"
        );
        if let Some(attempt) = attempt {
            self.attempt_released(attempt, message);
        }
    }

    fn attempt_released(&mut self, id: AttemptId, message: &rtsp::Message) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (player, report) = (attempt.player, self.load_report(message));
        if !attempt.state.is_established() {
            return self.complete_set_up(id, AttemptOutcome::Reset, report);
        }
        let outcome = release_outcome(message);
        self.remove_attempt(id);
        if outcome == AttemptOutcome::Cancelled {
            // The viewer ended the session or it was migrated, so the viewer is not notified.
            self.remove_session(player, RemovalReason::EndedAtServer);
        }
        self.notify_core(Input::SessionEnded(id, outcome, report));
    }

    /// The values of a message's load report for the fields that the settings name, in the order of the settings.
    pub(super) fn load_report(&self, message: &rtsp::Message) -> LoadReport {
        let reported = message.load_report();
        let value_of = |name: &str| {
            let field = reported.iter().find(|field| field.name == name)?;
            Some(field.value)
        };
        let fields = &self.shared.config.fleet.fields;
        fields
            .iter()
            .filter_map(|(name, field)| Some((*field, value_of(name)?)))
            .collect()
    }
}

/// The outcome of an established session that its server releases.
pub(super) fn release_outcome(release: &rtsp::Message) -> AttemptOutcome {
    match release.cause() {
        Some(cause::NORMAL) => AttemptOutcome::Completed,
        Some(cause::CANCELLED) => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Reset,
    }
}

/// Converts a server's update into the core's; `None` for a name that the protocol does not define.
fn session_update(field: ReportField<'_>) -> Option<SessionUpdate> {
    let value = field.value;
    Some(match field.name {
        "served" => SessionUpdate::DeliveryRatio(value),
        "at_rung" => SessionUpdate::Rung(value.clamp(0.0, 255.0).round() as u8),
        "link_use" => SessionUpdate::LinkDemand(value),
        "rack_use" => SessionUpdate::UplinkDemand(value),
        _ => return None,
    })
}
