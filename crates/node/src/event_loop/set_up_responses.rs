//! Handling of servers' responses to set-ups.
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

/// A server's release of a session that was read together with the response that accepted it.
struct ImmediateRelease {
    outcome: AttemptOutcome,
    report: LoadReport,
}

impl EventLoop {
    /// Handles a response to a set-up. `known_attempt` is the attempt that this node has at the server for the session that the
    /// response names.
    pub(super) fn handle_set_up_response(
        &mut self,
        link: LinkId,
        server: ServerId,
        known_attempt: Option<AttemptId>,
        status: u16,
        message: &rtsp::Message,
    ) {
        let now = clock::now();
        tracing::debug!(
            link_id = link.0,
            server_id = server.0,
            session_id = message.session.map(display),
            status,
            known = known_attempt.is_some(),
            "set-up response received"
        );
        let Some(attempt) = known_attempt.filter(|id| self.is_awaiting_answer_on(*id, link)) else {
            let is_accepted_unknown = known_attempt.is_none() && status == status::OK;
            return self.handle_unexpected_response(link, server, is_accepted_unknown, message);
        };
        let report = self.load_report(message);
        if status != status::OK {
            return self.complete_set_up(attempt, failure_outcome(status), report);
        }
        let Some(description) = message.text().filter(|text| !text.is_empty()) else {
            // The set-up ran, but its description is missing or not text, and can't be passed on to the viewer.
            increment(&self.shared.drop_counters.broken_links);
            return self.link_ended(link, LinkEnd::Malformed);
        };
        self.set_server_description(attempt, description);
        // A session may have ended by the time its response is read: a viewer leaves at once if far too little is delivered,
        // and the release then follows the response directly. A message that the session is established would reach a viewer
        // that has left, and count as no answer at all. Only a release that was read together with the response is found here.
        if let Some(release) = self.find_immediate_release(server, message.session) {
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

    /// When the attempt times out whose response may have been cut off and is delayed; `None` if it is not delayed.
    ///
    /// It is delayed if its last line has no end, or if bytes that the kernel has received behind it were not read yet. A message
    /// that was read behind it confirms its length.
    pub(super) fn delay_deadline(&self, link: LinkId, message: &rtsp::Message) -> Option<Time> {
        if !message.is_set_up_acceptance() {
            return None;
        }
        let record = self.links.get(&link)?;
        let has_unread = || {
            record
                .outbox()
                .is_some_and(|outbox| outbox.socket().has_unread())
        };
        let may_be_cut_off = !message.ends_with_line_break() || has_unread();
        if !may_be_cut_off || self.has_queued_message(link) {
            return None;
        }
        let server = self.servers.get(&record.server)?;
        let attempt = server.attempts.get(&message.session?)?;
        let attempt = self.attempts.get(attempt)?;
        let is_awaited = attempt.state.is_awaiting_answer_on(link);
        is_awaited.then_some(attempt.deadline)
    }

    /// Whether a message that was read from a link is queued.
    fn has_queued_message(&self, link: LinkId) -> bool {
        self.message_queue
            .iter()
            .any(|message| matches!(message, InboxMessage::FromServer(other, ..) if *other == link))
    }

    /// Handles the responses that were delayed for long enough.
    pub(super) fn release_due_responses(&mut self, now: Time) {
        while let Some((link, response)) = self.delayed_responses.take_due(now) {
            self.handle_server_message(link, &response);
        }
    }

    /// Handles the delayed response of a link, if there is one.
    pub(super) fn release_delayed_response(&mut self, link: LinkId) {
        if let Some(response) = self.delayed_responses.take(link) {
            self.handle_server_message(link, &response);
        }
    }

    fn is_awaiting_answer_on(&self, attempt: AttemptId, link: LinkId) -> bool {
        self.attempts
            .get(&attempt)
            .is_some_and(|attempt| attempt.state.is_awaiting_answer_on(link))
    }

    /// Handles a response that no attempt waits for: releases the session if its set-up was abandoned and the server accepted
    /// it after all. Any other such response is dropped and counted, as is a second response to one set-up.
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

    /// Removes an abandoned set-up from the server's table; false if the session id is not in it.
    fn take_abandoned(&mut self, server: ServerId, session_id: Tag) -> bool {
        self.servers
            .get_mut(&server)
            .is_some_and(|server| server.abandoned.remove(&session_id).is_some())
    }

    /// Stores the server's description of the session for the answer to the viewer.
    ///
    /// It is set before the core is notified, because every answer that reports a session as established must carry it. When it
    /// was set later, viewers whose session had ended already were sent their own description, and the session counted as never
    /// answered.
    fn set_server_description(&mut self, attempt: AttemptId, description: &str) {
        let Some(attempt) = self.attempts.get(&attempt) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&attempt.player) {
            session.set_server_description(description);
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
        attempt.state = attempt.state.to_established();
        if let Some(link) = self.links.get_mut(&link) {
            link.pending.retain(|pending| *pending != id);
        }
        if let Some(server) = self.servers.get_mut(&server) {
            server.established += 1;
            server.health.session_established(now);
        }
        self.notify_core(Input::SetUpCompleted(id, SetUpResult::Started(report)));
    }

    /// The server's release of this session, if it was read together with the message that is being handled.
    fn find_immediate_release(
        &self,
        server: ServerId,
        session: Option<Tag>,
    ) -> Option<ImmediateRelease> {
        let is_of_server = |link| {
            self.links
                .get(link)
                .is_some_and(|link| link.server == server)
        };
        let queued = self
            .message_queue
            .iter()
            .filter_map(|message| match message {
                InboxMessage::FromServer(link, messages, _) if is_of_server(link) => Some(messages),
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

/// The outcome of an attempt whose set-up was answered with a status other than OK.
fn failure_outcome(status: u16) -> AttemptOutcome {
    match status {
        status::NOT_ENOUGH_BANDWIDTH => AttemptOutcome::Rejected,
        status::SESSION_NOT_FOUND => AttemptOutcome::NotSent,
        status::GATEWAY_TIMEOUT => AttemptOutcome::Reset,
        _ => AttemptOutcome::ServerError,
    }
}
