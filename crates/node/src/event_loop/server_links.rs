//! Links to servers: finding, opening, writing and closing them, and ending the attempts on a link that has ended.
use super::delivery::DeliveryStatus;
use super::link::{LinkPurpose, LinkRecord};
use super::server::DeferredMessage;
use super::server_releases::ServerRelease;
use super::{EventLoop, UnsentMessage, RELEASE_RETRY_PERIOD};
use crate::health::ConnectFailure;
use crate::server_connector;
use crate::shared::{LinkEnd, LinkId};
use crankpaddle_front::{AttemptId, AttemptOutcome, LoadReport, ServerId, Time};
use crankpaddle_net::{clock, CloseReason, WriteBuffer};
use crankpaddle_node_protocol::viewers::cause;
use std::sync::Arc;

impl EventLoop {
    /// The most recently used link of a server for which `predicate` holds.
    pub(super) fn find_link(
        &self,
        server: ServerId,
        predicate: impl Fn(&LinkRecord) -> bool,
    ) -> Option<LinkId> {
        let links = &self.servers.get(&server)?.links;
        links
            .iter()
            .rev()
            .copied()
            .find(|id| self.links.get(id).is_some_and(&predicate))
    }

    /// Sends a message on the preferred link if it is open, else on another open link, else on the next link that is connected.
    pub(super) fn send_to_server(
        &mut self,
        server: ServerId,
        preferred: Option<LinkId>,
        bytes: Vec<u8>,
    ) {
        let expires_at = clock::now() + RELEASE_RETRY_PERIOD;
        let message = UnsentMessage { expires_at, bytes };
        self.send_or_defer(server, preferred, message);
    }

    fn send_or_defer(
        &mut self,
        server: ServerId,
        preferred: Option<LinkId>,
        message: UnsentMessage,
    ) {
        if self
            .try_send_to_server(server, preferred, &message.bytes)
            .is_none()
        {
            self.defer_to_server(server, DeferredMessage::Other(message));
        }
    }

    /// Sends a message on the preferred link if it is open, else on another open link of the server. Returns the link that
    /// accepted it.
    pub(super) fn try_send_to_server(
        &self,
        server: ServerId,
        preferred: Option<LinkId>,
        bytes: &[u8],
    ) -> Option<LinkId> {
        let open_preferred =
            preferred.filter(|id| self.links.get(id).is_some_and(LinkRecord::is_open));
        let link_id = open_preferred.or_else(|| self.find_link(server, LinkRecord::is_open));
        let outbox = link_id
            .and_then(|id| self.links.get(&id))
            .and_then(LinkRecord::outbox)?;
        link_id.filter(|_| outbox.push(bytes))
    }

    /// Queues a message until a link to the server is connected. It is dropped if the server is not listed.
    pub(super) fn defer_to_server(&mut self, server: ServerId, message: DeferredMessage) {
        let server = self.servers.get_mut(&server);
        if let Some(server) = server.filter(|server| server.is_listed) {
            server.deferred.push_back(message);
        }
    }

    /// Starts a connect to a server; `None` if the server is not listed.
    pub(super) fn connect(&mut self, id: ServerId, purpose: LinkPurpose) -> Option<LinkId> {
        let server = self.servers.get_mut(&id)?;
        if !server.is_listed {
            return None;
        }
        self.last_link_id += 1;
        let link = LinkId(self.last_link_id);
        server.links.insert(0, link);
        self.links
            .insert(link, LinkRecord::connecting(id, purpose, clock::now()));
        server_connector::connect(&self.shared, link, server.address);
        Some(link)
    }

    pub(super) fn connect_completed(
        &mut self,
        id: LinkId,
        result: Result<Arc<WriteBuffer>, ConnectFailure>,
    ) {
        let now = clock::now();
        let Some(link) = self.links.get(&id) else {
            // The link was closed while the connect was in progress.
            if let Ok(outbox) = result {
                outbox.socket().close(CloseReason::NotNeeded);
            }
            return;
        };
        let server_id = link.server;
        let outcome = result.as_ref().map(|_| ()).map_err(|failure| *failure);
        tracing::debug!(
            link_id = id.0,
            server_id = server_id.0,
            ?outcome,
            "connect completed"
        );
        let is_lost = self
            .servers
            .get_mut(&server_id)
            .is_some_and(|server| server.health.connect_completed(now, outcome));
        match result {
            Ok(outbox) => self.link_connected(id, outbox, now),
            Err(failure) => self.link_failed(id, server_id, failure, is_lost),
        }
    }

    fn link_failed(
        &mut self,
        id: LinkId,
        server: ServerId,
        failure: ConnectFailure,
        is_lost: bool,
    ) {
        self.link_ended(id, LinkEnd::ConnectFailed(failure));
        if !is_lost {
            return;
        }
        let has_link = self
            .find_link(server, |link| !link.is_connecting())
            .is_some();
        let now = clock::now();
        let is_silent = self
            .servers
            .get(&server)
            .is_some_and(|server| server.health.is_silent(now));
        match failure {
            // A process that is shutting down may close its listener while its sessions still run. Its open links show that.
            ConnectFailure::Refused if has_link => {}
            // A machine may also be slow to accept connections while it goes on serving those that it has.
            ConnectFailure::NoResponse if has_link && !is_silent => self.probe_links(server, now),
            _ => self.server_lost(server),
        }
    }

    fn link_connected(&mut self, id: LinkId, outbox: Arc<WriteBuffer>, now: Time) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let server = link.server;
        link.set_connected(outbox, now);
        let (purpose, connect_started_at) = (link.purpose, link.connect_started_at);
        let is_unused = link.pending.is_empty();
        if let Some(server) = self.servers.get_mut(&server) {
            server.unconfirmed.connection_opened(connect_started_at);
        }
        match purpose {
            LinkPurpose::CheckLiveness if is_unused => self.close_older_links(id, server),
            LinkPurpose::ReceiveReleases => self.close_unneeded_links(id, server),
            LinkPurpose::CheckLiveness | LinkPurpose::Send => {}
        }
        self.requeue_pending(id);
        let deferred = self
            .servers
            .get_mut(&server)
            .map(|server| std::mem::take(&mut server.deferred));
        for message in deferred.unwrap_or_default() {
            match message {
                DeferredMessage::Release(release) => self.release_at_server(Some(id), release),
                DeferredMessage::Other(message) => self.send_or_defer(server, Some(id), message),
            }
        }
    }

    /// Closes a server's other links on which nothing is pending, after a link was connected to check whether the server is
    /// alive. The server's silence may be due to the older links.
    fn close_older_links(&mut self, newest: LinkId, server: ServerId) {
        let Some(server) = self.servers.get(&server) else {
            return;
        };
        let has_nothing_pending = |id: &LinkId| {
            self.links
                .get(id)
                .is_some_and(|link| link.pending.is_empty())
        };
        let older: Vec<LinkId> = server
            .links
            .iter()
            .copied()
            .filter(|id| *id != newest && has_nothing_pending(id))
            .collect();
        for link in older {
            self.close_link(link, CloseReason::Unresponsive);
        }
    }

    /// Queues the attempts that wait for a link to connect for dispatch, on this link or on another.
    fn requeue_pending(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let waiting: Vec<AttemptId> = link
            .pending
            .iter()
            .copied()
            .filter(|attempt| {
                self.attempts
                    .get(attempt)
                    .is_some_and(|attempt| attempt.state.is_awaiting_link(id))
            })
            .collect();
        link.pending.retain(|attempt| !waiting.contains(attempt));
        for attempt in waiting {
            self.queue_for_dispatch(attempt, Some(id));
        }
    }

    fn connecting_links(&self, server: ServerId) -> Vec<LinkId> {
        let Some(server) = self.servers.get(&server) else {
            return Vec::new();
        };
        server
            .links
            .iter()
            .copied()
            .filter(|id| self.links.get(id).is_some_and(LinkRecord::is_connecting))
            .collect()
    }

    /// Queues the attempts that wait for a connect to a server for dispatch, so that they are checked again before the connect
    /// completes.
    pub(super) fn requeue_connecting(&mut self, server: ServerId) {
        for link in self.connecting_links(server) {
            self.requeue_pending(link);
        }
    }

    /// Cancels the connects to a server that are in progress, and queues the attempts that wait for them for dispatch.
    ///
    /// The server's address may be another server's by now, which must not get these set-ups.
    pub(super) fn cancel_connects(&mut self, server: ServerId) {
        for link in self.connecting_links(server) {
            self.requeue_pending(link);
            self.close_link(link, CloseReason::PeerReplaced);
        }
    }

    pub(super) fn close_links(&mut self, server: ServerId, reason: CloseReason) {
        let links = self
            .servers
            .get(&server)
            .map(|server| server.links.clone())
            .unwrap_or_default();
        for link in links {
            self.close_link(link, reason);
        }
    }

    /// Handles the end of a link's reader. If this node had not closed the link before, releases may have to be sent again.
    pub(super) fn link_closed(&mut self, id: LinkId, end: LinkEnd, delivery: DeliveryStatus) {
        let is_ended_by_server = self.links.contains_key(&id);
        if let LinkEnd::ByServer(_) = end {
            self.release_delayed_response(id); // The connection ended behind it, so it was whole.
        }
        self.link_ended(id, end);
        if is_ended_by_server {
            self.resend_releases(id, delivery);
        }
    }

    pub(super) fn close_link(&mut self, id: LinkId, reason: CloseReason) {
        self.link_ended(id, LinkEnd::ByNode(reason));
    }

    /// Removes a link that has ended, and ends each attempt on it once.
    ///
    /// There are two outcomes. When a process dies, its connections break, and after the outcome `Reset` the policy treats the
    /// server as warming up. A single connection may also break or carry malformed bytes while the process lives, which the
    /// malformed bytes or another open link show; then the outcome is `ServerError`. In both cases the set-up may have run. The
    /// drawback: if a dying process closes its connections one by one, the first may be taken for a fault of that connection
    /// alone.
    pub(super) fn link_ended(&mut self, id: LinkId, end: LinkEnd) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        self.delayed_responses.take(id); // Its attempt fails like all that are pending on the link.
        let server_id = link.server;
        let is_alive = |link: &LinkRecord| link.is_open() && link.is_responsive();
        let server_is_alive = end == LinkEnd::Malformed
            || !link.pending.is_empty() && self.find_link(server_id, is_alive).is_some();
        let outcome = if server_is_alive {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Reset
        };
        tracing::debug!(
            link_id = id.0,
            server_id = server_id.0,
            ?end,
            pending = link.pending.len(),
            "link closed"
        );
        link.close(match end {
            LinkEnd::ByNode(reason) => reason,
            LinkEnd::ByServer(_) | LinkEnd::ConnectFailed(_) | LinkEnd::Malformed => {
                CloseReason::ReadEnded
            }
        });
        let Some(server) = self.servers.get_mut(&server_id) else {
            return;
        };
        server.links.retain(|other| *other != id);
        if let Some(end) = self.end_that_loses_messages(&link, end) {
            self.mark_unconfirmed(server_id, end);
        }
        for attempt in link.pending {
            self.fail_pending(attempt, server_id, outcome);
        }
        self.ensure_monitored(server_id, clock::now());
    }

    /// Ends an attempt that has no answer, because its link has ended.
    fn fail_pending(&mut self, id: AttemptId, server: ServerId, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if !attempt.state.is_sent() {
            self.complete_set_up(id, AttemptOutcome::ConnectFailed, LoadReport::new());
            return;
        }
        let session_id = attempt.session_id;
        self.complete_set_up(id, outcome, LoadReport::new());
        // The server may have accepted the set-up without its response being received. Without a release, the session would
        // play there without a viewer.
        let release = ServerRelease::new(server, session_id, cause::FAILED);
        self.release_at_server(None, release);
    }
}
