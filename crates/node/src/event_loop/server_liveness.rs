//! Checks whether servers with sessions are alive, and ends the sessions at those that are not.
use super::{EventLoop, Link};
use crankpaddle_front::{AttemptId, AttemptOutcome, Input, LoadReport, ServerId, Time};
use crankpaddle_net::CloseReason;

impl EventLoop {
    /// Connects to a server from which messages are needed if it has no link or is silent.
    pub(super) fn ensure_observed(&mut self, id: ServerId, now: Time) {
        let has_link = self.find_link(id, Link::is_responsive).is_some();
        let is_connecting = self.find_link(id, Link::is_connecting).is_some();
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if !server.is_listed {
            if server.links.is_empty() {
                self.server_lost(id);
            }
            return;
        }
        let is_needed = server.established > 0 || !server.deferred.is_empty();
        let wants_connect =
            is_needed && !is_connecting && server.health.wants_connect(now, has_link);
        if wants_connect && (self.has_link_capacity() || self.close_idle_link()) {
            self.connect(id);
        }
    }

    /// The list reports that a server began a new incarnation at `started_at`, or has another address now: sessions of the
    /// previous incarnation have ended.
    ///
    /// Why: a machine that failed and restarted sends nothing about its previous incarnation, while messages of the new one show
    /// that it is alive; sessions of the previous one would never end here, and set-ups and releases would be written to dead
    /// connections. The list may be late, so sessions that were set up after `started_at` go on. If the server's clock is
    /// ahead of ours, sessions that it set up in the time by which it is ahead end too.
    pub(super) fn new_incarnation(&mut self, id: ServerId, started_at: Time, has_moved: bool) {
        if has_moved {
            self.cancel_connects(id);
        }
        let is_previous = |time: Time| has_moved || time < started_at;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.deferred.clear();
        let links = server.links.clone();
        let lost = self.established_attempts(id, is_previous);
        self.end_sessions(id, lost);
        for link in links {
            let is_stale = self
                .links
                .get(&link)
                .is_some_and(|link| !link.is_connecting() && is_previous(link.connect_started_at));
            if is_stale {
                self.close_link(link, CloseReason::PeerReplaced);
            }
        }
    }

    /// A server is lost: all sessions there have ended.
    pub(super) fn server_lost(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.deferred.clear();
        server.abandoned.clear();
        let lost = self.established_attempts(id, |_| true);
        self.end_sessions(id, lost);
        self.close_links(id, CloseReason::PeerReplaced);
    }

    /// The ids of the established attempts at a server whose set-up was sent at a time for which `sent` holds, in order.
    fn established_attempts(&self, id: ServerId, sent: impl Fn(Time) -> bool) -> Vec<AttemptId> {
        let Some(server) = self.servers.get(&id) else {
            return Vec::new();
        };
        let mut established: Vec<AttemptId> = server
            .attempts
            .values()
            .copied()
            .filter(|attempt| {
                self.attempts
                    .get(attempt)
                    .is_some_and(|attempt| attempt.state.is_established_and_sent(&sent))
            })
            .collect();
        established.sort_unstable();
        established
    }

    /// Ends sessions that were lost with their server.
    fn end_sessions(&mut self, server: ServerId, lost: Vec<AttemptId>) {
        if !lost.is_empty() {
            tracing::info!(server_id = server.0, sessions = lost.len(), "server lost");
        }
        for attempt in lost {
            self.remove_attempt(attempt);
            self.notify_core(Input::SessionEnded(
                attempt,
                AttemptOutcome::Reset,
                LoadReport::new(),
            ));
        }
    }
}
