//! The end of attempts, and sessions that are adopted.
use super::attempt::{Attempt, AttemptState};
use super::server_releases::ServerRelease;
use super::EventLoop;
use crate::shared::LinkId;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, Input, LoadReport, PlayerId, ServerId, SetUpResult, Time,
};
use crankpaddle_net::{clock, CloseReason};
use crankpaddle_node_protocol::rtsp;
use crankpaddle_node_protocol::viewers::cause;
use std::time::Duration;

/// How long after a set-up was abandoned its session is still released if the server accepts it late.
const LATE_ANSWER_PERIOD: Duration = Duration::from_secs(10);

impl EventLoop {
    /// Ends an attempt that has no answer: no session was established.
    pub(super) fn complete_set_up(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        if let Some(ended) = self.remove_attempt(attempt) {
            tracing::debug!(session_id = %ended.session_id, attempt_id = attempt.0, ?outcome, "attempt failed");
            self.notify_core(Input::SetUpCompleted(
                attempt,
                SetUpResult::Ended(outcome, report),
            ));
        }
    }

    /// Removes an attempt from all tables.
    pub(super) fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        let is_established = attempt.state.is_established();
        tracing::debug!(session_id = %attempt.session_id, attempt_id = id.0, server_id = attempt.server.0, established = is_established, "attempt ended");
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            if server.attempts.get(&attempt.session_id) == Some(&id) {
                server.attempts.remove(&attempt.session_id);
            }
            server.established -= usize::from(is_established);
        }
        let link = attempt.state.link();
        if let Some(link) = link.and_then(|link| self.links.get_mut(&link)) {
            link.pending.retain(|pending| *pending != id);
        }
        Some(attempt)
    }

    /// Abandons an attempt. Its server may still answer it.
    pub(super) fn abandon_attempt(&mut self, id: AttemptId, server: ServerId) {
        let Some(attempt) = self.remove_attempt(id) else {
            return;
        };
        let session_id = attempt.session_id;
        tracing::debug!(%session_id, attempt_id = id.0, server_id = server.0, sent = attempt.state.is_sent(), "attempt abandoned");
        match attempt.state {
            AttemptState::Queued | AttemptState::AwaitingLink(_) => {} // Nothing was written.
            AttemptState::Established { link, .. } => {
                let release = ServerRelease::new(server, session_id, cause::CANCELLED);
                self.release_at_server(link, release);
            }
            AttemptState::Sent { link, .. } if self.holds_only_unsent(link) => {
                self.reset_link(link);
            }
            AttemptState::Sent { link, sent_at } => {
                let now = clock::now();
                if let Some(at) = self.servers.get_mut(&server) {
                    let expires_at = now + LATE_ANSWER_PERIOD;
                    at.abandoned.insert(session_id, expires_at);
                }
                self.note_silence(link, sent_at, now);
                self.send_to_server(server, Some(link), rtsp::cancel(session_id));
            }
        }
    }

    /// Whether no attempt waits for an answer on a link and some of what was written to it has not been sent.
    ///
    /// Why: if the server does not read, an unsent set-up would begin when it reads again, long after its viewer has left.
    /// Closing the connection cancels all that is in progress on it, so a close replaces the cancel. If other attempts wait on
    /// the same link, it stays open.
    fn holds_only_unsent(&self, link: LinkId) -> bool {
        self.links
            .get(&link)
            .is_some_and(|link| link.pending.is_empty() && link.has_unsent())
    }

    /// Drops what a link has not sent, and closes it.
    fn reset_link(&mut self, id: LinkId) {
        if let Some(outbox) = self.links.get(&id).and_then(super::Link::outbox) {
            outbox.socket().reset(CloseReason::Unresponsive);
        }
        self.close_link(id, CloseReason::Unresponsive);
    }

    /// Marks a link as unresponsive if nothing came on it since an attempt was sent, for longer than a connect may take.
    fn note_silence(&mut self, id: LinkId, sent_at: Time, now: Time) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let connect_timeout = Duration::from_nanos(self.shared.config.fleet.connect_timeout);
        if link.last_received <= sent_at && now.duration_since(sent_at) > connect_timeout {
            link.mark_unresponsive(now);
        }
    }

    /// Records a session that plays at a server already.
    pub(super) fn adopt(&mut self, player: PlayerId, attempt: AttemptId, server: ServerId) {
        let now = clock::now();
        let Some(session_id) = self.sessions.get(&player).map(|session| session.session_id) else {
            return;
        };
        let Some(at) = self.servers.get_mut(&server) else {
            return;
        };
        at.attempts.insert(session_id, attempt);
        at.established += 1;
        at.health.session_established(now);
        let record = Attempt {
            player,
            session_id,
            server,
            rung: 0,
            deadline: now,
            connect_attempts: 0,
            state: AttemptState::Established {
                link: None,
                sent_at: now,
            },
        };
        self.attempts.insert(attempt, record);
    }
}
