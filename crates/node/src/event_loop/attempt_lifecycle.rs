//! Completion and abandonment of attempts.
use super::attempt::{AttemptRecord, AttemptState};
use super::server_releases::ServerRelease;
use super::EventLoop;
use crate::shared::LinkId;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, Input, LoadReport, ServerId, SetUpResult, Time,
};
use crankpaddle_net::{clock, CloseReason};
use crankpaddle_node_protocol::rtsp;
use crankpaddle_node_protocol::viewers::cause;
use std::time::Duration;

/// If a server accepts a set-up within this time after it was abandoned, the session is released.
pub(super) const LATE_ACCEPTANCE_PERIOD: Duration = Duration::from_secs(10);

impl EventLoop {
    /// Ends an attempt that established no session, and reports its outcome to the core.
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

    /// Removes an attempt from all tables and returns its record.
    pub(super) fn remove_attempt(&mut self, id: AttemptId) -> Option<AttemptRecord> {
        let attempt = self.attempts.remove(&id)?;
        let is_established = attempt.state.is_established();
        tracing::debug!(session_id = %attempt.session_id, attempt_id = id.0, server_id = attempt.server.0, established = is_established, "attempt ended");
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            if server.attempts.get(&attempt.session_id) == Some(&id) {
                server.attempts.remove(&attempt.session_id);
            }
            server.established -= usize::from(is_established);
            server.unconfirmed.remove(id);
        }
        let link = attempt.state.link();
        if let Some(link) = link.and_then(|link| self.links.get_mut(&link)) {
            link.pending.retain(|pending| *pending != id);
        }
        Some(attempt)
    }

    /// Abandons an attempt: releases its session if it is established, and cancels its set-up if that was sent.
    ///
    /// The server may still accept a cancelled set-up; the session is then released.
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
            AttemptState::Sent { link, .. } if self.is_safe_to_reset(link) => {
                self.reset_link(link);
            }
            AttemptState::Sent { link, sent_at } => {
                let now = clock::now();
                if let Some(server_record) = self.servers.get_mut(&server) {
                    let expires_at = now + LATE_ACCEPTANCE_PERIOD;
                    server_record.abandoned.insert(session_id, expires_at);
                }
                self.mark_if_unresponsive(link, sent_at, now);
                self.send_to_server(server, Some(link), rtsp::cancel(session_id));
            }
        }
    }

    /// Whether a link has unsent bytes and no attempt waits for an answer on it, so that resetting it fails no other set-up.
    ///
    /// If the server does not read, an unsent set-up would begin when it reads again, long after its viewer has left. Closing
    /// the connection cancels everything that is in progress on it, so the close replaces the cancel. If other attempts wait on
    /// the same link, it stays open.
    fn is_safe_to_reset(&self, link: LinkId) -> bool {
        self.links
            .get(&link)
            .is_some_and(|link| link.pending.is_empty() && link.has_unsent())
    }

    /// Discards the unsent bytes of a link and closes it.
    fn reset_link(&mut self, id: LinkId) {
        if let Some(outbox) = self.links.get(&id).and_then(super::LinkRecord::outbox) {
            outbox.socket().reset(CloseReason::Unresponsive);
        }
        self.close_link(id, CloseReason::Unresponsive);
    }

    /// Marks a link as unresponsive if nothing was received on it since an attempt was sent at `sent_at`, and that is longer
    /// ago than the connect timeout.
    fn mark_if_unresponsive(&mut self, id: LinkId, sent_at: Time, now: Time) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let connect_timeout = Duration::from_nanos(self.shared.config.fleet.connect_timeout);
        if link.last_received <= sent_at && now.duration_since(sent_at) > connect_timeout {
            link.mark_unresponsive(now);
        }
    }
}
