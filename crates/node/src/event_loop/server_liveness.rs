//! Checks whether servers with sessions are alive, and ends the sessions at servers that are not.
use super::link::LinkPurpose;
use super::{EventLoop, LinkRecord};
use crankpaddle_front::{AttemptId, AttemptOutcome, Input, LoadReport, ServerId, Time};
use crankpaddle_net::CloseReason;
use crankpaddle_node_protocol::{rtsp, Tag};

/// The session id in probes. It is no viewer's, and not that of the policy's health checks.
pub(super) const PROBE_SESSION: &str = "ffffffffffffffff";

impl EventLoop {
    /// Connects to a server with sessions or deferred messages if it has no link or is silent, or if a release may have been lost
    /// with a link.
    ///
    /// A server that is not listed is not connected to. It is lost when its last link has ended.
    pub(super) fn ensure_monitored(&mut self, id: ServerId, now: Time) {
        let has_link = self.find_link(id, LinkRecord::is_responsive).is_some();
        let is_connecting = self.find_link(id, LinkRecord::is_connecting).is_some();
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
        if !is_needed || is_connecting {
            return;
        }
        let purpose = if server.health.should_connect(now, has_link) {
            LinkPurpose::CheckLiveness
        } else if server.unconfirmed.is_refresh_due(now) && server.health.may_connect(now) {
            LinkPurpose::ReceiveReleases
        } else {
            return;
        };
        if self.has_link_capacity() || self.close_link_for(id, purpose) {
            self.connect(id, purpose);
        }
    }

    /// Requests a response on each open link of a server that does not accept further connections. If the settings allow no health
    /// checks, the server is lost only once it is silent.
    pub(super) fn probe_links(&mut self, id: ServerId, now: Time) {
        let may_probe = self.shared.config.fleet.settings.health_checks_allowed;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let Some(session) = Tag::parse(PROBE_SESSION) else {
            return;
        };
        if !may_probe || !server.health.begin_probe(now) {
            return;
        }
        tracing::debug!(server_id = id.0, "server probed, it accepts no connection");
        let probe = rtsp::health_check(session);
        let links = server.links.iter().filter_map(|link| self.links.get(link));
        for outbox in links.filter_map(LinkRecord::outbox) {
            outbox.push(&probe);
        }
    }

    /// Ends the sessions and closes the links of a server's previous incarnation, when the endpoint list reports that a new one
    /// began at `started_at` or that the server has another address.
    ///
    /// A machine that failed and restarted sends nothing about its previous incarnation, while messages of the new one show
    /// that it is alive. Sessions of the previous incarnation would therefore never end here, and set-ups and releases would be
    /// written to dead connections. The list may be late, so sessions that were set up after `started_at` go on. If the
    /// server's clock is ahead of this node's, sessions that were set up within that difference end too.
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

    /// Ends all sessions at a server that is lost, and closes its links.
    pub(super) fn server_lost(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.deferred.clear();
        server.abandoned.clear();
        server.health.server_lost();
        let lost = self.established_attempts(id, |_| true);
        self.end_sessions(id, lost);
        self.close_links(id, CloseReason::PeerReplaced);
    }

    /// The established attempts at a server for whose time of sending `predicate` holds, in ascending order of their ids.
    fn established_attempts(
        &self,
        id: ServerId,
        predicate: impl Fn(Time) -> bool,
    ) -> Vec<AttemptId> {
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
                    .is_some_and(|attempt| attempt.state.is_established_and_sent(&predicate))
            })
            .collect();
        established.sort_unstable();
        established
    }

    /// Ends sessions that were lost with their server, and reports them to the core.
    pub(super) fn end_sessions(&mut self, server: ServerId, lost: Vec<AttemptId>) {
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
