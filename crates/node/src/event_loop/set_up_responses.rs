//! Responses of servers to set-ups.
use super::server_messages::release_outcome;
use super::server_releases::ServerRelease;
use super::EventLoop;
use crate::shared::{increment, InboxMessage, LinkEnd, LinkId};
use crankpaddle_front::{
    AttemptId, AttemptOutcome, Input, LoadReport, ServerId, SetUpResult, Time,
};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::rtsp::{self, status};
use crankpaddle_node_protocol::viewers::cause;
use crankpaddle_node_protocol::Tag;

/// A release that was read together with the answer before it.
struct ImmediateRelease {
    outcome: AttemptOutcome,
    report: LoadReport,
}

impl EventLoop {
    /// `known`: the attempt that the server has under the session of the response.
    pub(super) fn handle_set_up_response(
        &mut self,
        link: LinkId,
        server: ServerId,
        known: Option<AttemptId>,
        status: u16,
        message: &rtsp::Message,
    ) {
        let now = clock::now();
        tracing::debug!(
            link_id = link.0,
            server_id = server.0,
            session_id = message.session.map(display),
            status,
            known = known.is_some(),
            "set-up response received"
        );
        let Some(attempt) = known.filter(|id| self.is_awaiting_answer_on(*id, link)) else {
            let is_accepted_unknown = known.is_none() && status == status::OK;
            return self.handle_unexpected_response(link, server, is_accepted_unknown, message);
        };
        let report = self.load_report(message);
        if status != status::OK {
            return self.complete_set_up(attempt, failure_outcome(status), report);
        }
        let Some(description) = message.text() else {
            // The set-up ran, but its description can't be passed on in a viewer's line.
            increment(&self.shared.drop_counters.broken_links);
            return self.link_ended(link, LinkEnd::Malformed);
        };
        self.set_answered_description(attempt, description);
        // Why: a session may have ended when its response is read: a viewer leaves at once if far too little is delivered, and
        // the release follows the response directly. The message that the session is established would then reach a viewer that
        // has left, and count as no answer at all. Only a release that was read together with the response is found.
        if let Some(release) = self.release_behind(server, message.session) {
            self.notify_core(Input::SessionEnded(
                attempt,
                release.outcome,
                release.report,
            ));
            self.notify_core(Input::SetUpCompleted(attempt, SetUpResult::Started(report)));
            self.remove_attempt(attempt);
            return;
        }
        self.set_up_accepted(attempt, link, server, now, report);
    }

    fn is_awaiting_answer_on(&self, attempt: AttemptId, link: LinkId) -> bool {
        self.attempts
            .get(&attempt)
            .is_some_and(|attempt| attempt.state.is_awaiting_answer_on(link))
    }

    /// Releases the session if its set-up was abandoned and the server accepted it after all. Any other response that no attempt
    /// waits for, and a second response to one set-up, is dropped.
    fn handle_unexpected_response(
        &mut self,
        link: LinkId,
        server: ServerId,
        is_accepted_unknown: bool,
        message: &rtsp::Message,
    ) {
        let session_id = message.session.filter(|_| is_accepted_unknown);
        if let Some(session_id) = session_id {
            if self.take_abandoned(server, session_id) {
                let release = ServerRelease::new(server, session_id, cause::CANCELLED);
                return self.release_at_server(Some(link), release);
            }
        }
        increment(&self.shared.drop_counters.unexpected_responses);
    }

    fn take_abandoned(&mut self, server: ServerId, session_id: Tag) -> bool {
        self.servers
            .get_mut(&server)
            .is_some_and(|server| server.abandoned.remove(&session_id).is_some())
    }

    /// Keeps the server's description for the answer.
    ///
    /// Why it is set before the core is notified: every answer that reports the session as established must carry it. For
    /// sessions that had ended already the viewer's own description was sent, and the session counted as never answered.
    fn set_answered_description(&mut self, attempt: AttemptId, description: &str) {
        let Some(attempt) = self.attempts.get(&attempt) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&attempt.player) {
            session.set_answered_description(description);
        }
    }

    fn set_up_accepted(
        &mut self,
        id: AttemptId,
        link: LinkId,
        server: ServerId,
        now: Time,
        report: LoadReport,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.state = attempt.state.accepted();
        if let Some(link) = self.links.get_mut(&link) {
            link.pending.retain(|pending| *pending != id);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.established += 1;
            server.health.session_established(now);
        }
        self.notify_core(Input::SetUpCompleted(id, SetUpResult::Started(report)));
    }

    /// The release of this session by its server, if it was read together with the message that is being handled.
    fn release_behind(&self, server: ServerId, session: Option<Tag>) -> Option<ImmediateRelease> {
        let is_of_server = |link| {
            self.links
                .get(link)
                .is_some_and(|link| link.server == server)
        };
        let queued = self
            .message_queue
            .iter()
            .filter_map(|message| match message {
                InboxMessage::FromServer(link, messages) if is_of_server(link) => Some(messages),
                _ => None,
            });
        let release = queued
            .flatten()
            .find(|message| message.session == session && message.is_release())?;
        Some(ImmediateRelease {
            outcome: release_outcome(release),
            report: self.load_report(release),
        })
    }
}

/// What a response that does not accept a set-up means for the attempt.
fn failure_outcome(status: u16) -> AttemptOutcome {
    match status {
        status::NOT_ENOUGH_BANDWIDTH => AttemptOutcome::Rejected,
        status::SESSION_NOT_FOUND => AttemptOutcome::NotSent,
        status::GATEWAY_TIMEOUT => AttemptOutcome::Reset,
        _ => AttemptOutcome::ServerError,
    }
}
