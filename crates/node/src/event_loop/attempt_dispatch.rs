//! Dispatch of set-ups: each attempt is checked once more, assigned a link, and written to it.
//!
//! An attempt enters the dispatch queue when the core starts it, and again when the link that it waits for is connected.
//! Attempts are dispatched after the core has decided on all messages that were received. Right before that, each attempt is
//! checked: its viewer must still be waiting, as far as the kernel knows, and the core must still allow the attempt.
use super::attempt::{AttemptRecord, AttemptState};
use super::link::LinkPurpose;
use super::wire_time::to_milliseconds;
use super::EventLoop;
use crate::shared::LinkId;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, Input, LoadReport, ServerId, SetUpOrder, SetUpResult, Time,
};
use crankpaddle_net::{clock, CloseReason, PeerState};
use crankpaddle_node_protocol::{rtsp, Tag};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// An attempt in the dispatch queue.
pub(super) struct QueuedAttempt {
    attempt: AttemptId,
    /// The link that was opened for it, if that is connected.
    link: Option<LinkId>,
    /// When it was queued.
    ready_since: Time,
}

/// How long a set-up is deferred while its viewer's connection has unread input, which may contain the cancel.
const MAX_DEFERRAL: Duration = Duration::from_millis(50);
/// Maximum age of unread input with which a set-up is sent after [`MAX_DEFERRAL`]. Both periods together keep a set-up from
/// being sent more than a tenth of a second after its viewer has left.
const MAX_INPUT_AGE: Duration = Duration::from_millis(50);
/// Interval at which deferred set-ups are checked again. All sockets are read in between.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How often a link is looked for on behalf of one set-up of which nothing was written.
const MAX_CONNECT_ATTEMPTS: u32 = 2;
/// Maximum number of links to one server. Each set-up in progress has a link of its own up to this number; further set-ups
/// share links.
const MAX_LINKS_PER_SERVER: usize = 8;

/// What to do with an attempt in the dispatch queue.
enum DispatchDecision {
    Dispatch,
    Defer,
    Withdraw,
}

impl EventLoop {
    pub(super) fn start_attempt(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        order: &SetUpOrder,
        deadline: Time,
    ) {
        let Some(session_id) = Tag::parse(&order.key) else {
            return;
        };
        let Some(player) = self.players.get(&session_id).copied() else {
            return;
        };
        if !self.sessions.contains_key(&player) {
            return;
        }
        let Some(server_record) = self.servers.get_mut(&server) else {
            return self.notify_core(Input::SetUpCompleted(
                attempt,
                SetUpResult::Ended(AttemptOutcome::NotSent, LoadReport::new()),
            ));
        };
        server_record.attempts.insert(session_id, attempt);
        server_record.abandoned.remove(&session_id);
        let record = AttemptRecord {
            player,
            session_id,
            server,
            rung: order.rung,
            deadline,
            connect_attempts: 0,
            state: AttemptState::Queued,
        };
        self.attempts.insert(attempt, record);
        self.queue_for_dispatch(attempt, None);
    }

    /// Adds an attempt to the dispatch queue. It is dispatched on `link` if that is usable then.
    pub(super) fn queue_for_dispatch(&mut self, id: AttemptId, link: Option<LinkId>) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.state = AttemptState::Queued;
        }
        self.dispatch_queue.push_back(QueuedAttempt {
            attempt: id,
            link,
            ready_since: clock::now(),
        });
    }

    /// Goes through the dispatch queue once and dispatches the attempts that are ready.
    ///
    /// Each attempt is checked again, because between the decision and the first byte its viewer may close or cancel, its
    /// server may drain or restart, or its admission slot at a server in slow start may pass. A connect takes up to a second,
    /// and so do decisions on a flood of requests where the node has a small share of a core. A set-up of which nothing was
    /// written has not run, so it can be withdrawn without effect. A cancel that is still on the network is not noticed.
    pub(super) fn dispatch_queued(&mut self) {
        for _ in 0..self.dispatch_queue.len() {
            let Some(queued) = self.dispatch_queue.pop_front() else {
                return;
            };
            match self.dispatch_decision(&queued) {
                None => {} // The attempt was abandoned, or sent already.
                Some(DispatchDecision::Dispatch) => self.dispatch(queued.attempt, queued.link),
                Some(DispatchDecision::Defer) => self.dispatch_queue.push_back(queued),
                Some(DispatchDecision::Withdraw) => self.withdraw(queued.attempt),
            }
        }
    }

    fn withdraw(&mut self, attempt: AttemptId) {
        tracing::debug!(
            attempt_id = attempt.0,
            "set-up withdrawn before it was sent"
        );
        self.complete_set_up(attempt, AttemptOutcome::NotSent, LoadReport::new());
    }

    fn dispatch_decision(&self, queued: &QueuedAttempt) -> Option<DispatchDecision> {
        let attempt = self.attempts.get(&queued.attempt)?;
        if attempt.state.is_sent() {
            return None;
        }
        let now = clock::now();
        if !self.core.may_send(now, queued.attempt) {
            return Some(DispatchDecision::Withdraw);
        }
        let session = self.sessions.get(&attempt.player);
        let Some(connection) =
            session.and_then(|session| self.connections.get(&session.connection))
        else {
            return Some(DispatchDecision::Withdraw); // No viewer waits for its answer.
        };
        // A message that was read and not yet handled may be the cancel, however long ago it was read.
        if connection.queued_messages.load(Ordering::Acquire) > 0 {
            return Some(DispatchDecision::Defer);
        }
        let is_deferred_for_long = now >= queued.ready_since + MAX_DEFERRAL;
        let is_input_recent = now < connection.outbox.input_drained_at() + MAX_INPUT_AGE;
        Some(match connection.outbox.socket().peer_state() {
            PeerState::Idle => DispatchDecision::Dispatch,
            PeerState::Ended => DispatchDecision::Defer, // Its reader is about to report the end.
            PeerState::HasUnread if is_deferred_for_long && is_input_recent => {
                DispatchDecision::Dispatch
            }
            PeerState::HasUnread => DispatchDecision::Defer,
        })
    }

    /// Finds a link for a set-up of which nothing was written, and writes the set-up or waits for the link to connect.
    ///
    /// A link is looked for a second time, because a new connection may be reset at once, and the server would then be
    /// considered unreachable.
    fn dispatch(&mut self, id: AttemptId, preferred: Option<LinkId>) {
        if preferred.is_some_and(|link| self.write_set_up(id, link)) {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let server = attempt.server;
        attempt.connect_attempts += 1;
        if attempt.connect_attempts > MAX_CONNECT_ATTEMPTS {
            return self.connect_failed(id);
        }
        if self.dispatch_on_free_link(id, server) {
            return;
        }
        if let Some(link) = self.open_link_for_set_up(server) {
            return self.await_link(id, link);
        }
        self.dispatch_on_shared_link(id, server);
    }

    fn connect_failed(&mut self, attempt: AttemptId) {
        self.complete_set_up(attempt, AttemptOutcome::ConnectFailed, LoadReport::new());
    }

    /// Writes a set-up on the server's most recently used link without pending attempts, if there is one. Set-ups have links of
    /// their own while there are enough, so that a malformed response fails no other set-up.
    fn dispatch_on_free_link(&mut self, id: AttemptId, server: ServerId) -> bool {
        while let Some(link) =
            self.find_link(server, |link| link.is_usable() && link.pending.is_empty())
        {
            if self.write_set_up(id, link) {
                return true;
            }
            self.close_link(link, CloseReason::WriteFailed);
        }
        false
    }

    /// Opens another link to a server if there is capacity. For a server without any link, an idle link of another server is
    /// closed if needed.
    fn open_link_for_set_up(&mut self, server: ServerId) -> Option<LinkId> {
        let links = self
            .servers
            .get(&server)
            .map_or(0, |server| server.links.len());
        let has_capacity = self.has_link_capacity() && links < MAX_LINKS_PER_SERVER;
        if has_capacity || links == 0 && self.close_link_for(server, LinkPurpose::Send) {
            return self.connect(server, LinkPurpose::Send);
        }
        None
    }

    /// Assigns a set-up to the link with the fewest pending attempts, preferring connected links to connecting ones.
    ///
    /// Connecting links are used as well: if all links are connecting, a server that is only slow to accept would otherwise be
    /// considered unreachable. A link whose earlier bytes the server has not read gets no further set-up, as the set-up would
    /// begin only when the server reads again, and its viewer may have left by then.
    fn dispatch_on_shared_link(&mut self, id: AttemptId, server: ServerId) {
        let Some(link) = self.least_loaded_link(server) else {
            return self.connect_failed(id);
        };
        if self
            .links
            .get(&link)
            .is_some_and(super::LinkRecord::is_connecting)
        {
            self.await_link(id, link);
        } else if !self.write_set_up(id, link) {
            self.connect_failed(id);
            self.close_link(link, CloseReason::WriteFailed);
        }
    }

    fn least_loaded_link(&self, server: ServerId) -> Option<LinkId> {
        let candidates = self.servers.get(&server)?.links.iter().filter_map(|id| {
            let link = self.links.get(id)?;
            (link.is_connecting() || link.is_usable()).then_some((*id, link))
        });
        candidates
            .min_by_key(|(_, link)| (link.is_connecting(), link.pending.len()))
            .map(|(id, _)| id)
    }

    /// Makes an attempt wait for a link to connect; its set-up is written then.
    fn await_link(&mut self, id: AttemptId, link_id: LinkId) {
        if let Some(link) = self.links.get_mut(&link_id) {
            link.pending.push(id);
        }
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.state = AttemptState::AwaitingLink(link_id);
        }
    }

    /// Writes an attempt's set-up to a link; false if not a single byte of it was sent.
    fn write_set_up(&mut self, id: AttemptId, link_id: LinkId) -> bool {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return false;
        };
        let Some(link) = self.links.get_mut(&link_id) else {
            return false;
        };
        let (Some(outbox), Some(session)) = (link.outbox(), self.sessions.get(&attempt.player))
        else {
            return false;
        };
        let now = clock::now();
        let classes = &self.shared.config.fleet.classes;
        let class = classes.get(usize::from(session.class));
        let message = rtsp::set_up(&rtsp::ServerSetUp {
            tag: attempt.session_id,
            title: &session.title,
            class: class.map_or("", String::as_str),
            patience: to_milliseconds(attempt.deadline.duration_since(now)).max(1),
            rung: attempt.rung,
            blob: session.description(),
        });
        // All conditions are checked before the first byte is written: after that, the set-up may have run.
        if !link.is_usable() || !outbox.socket().is_open() || !outbox.push(&message) {
            return false;
        }
        tracing::debug!(session_id = %attempt.session_id, attempt_id = id.0, server_id = attempt.server.0, link_id = link_id.0, rung = attempt.rung, "set-up sent");
        attempt.state = AttemptState::Sent {
            link: link_id,
            sent_at: now,
        };
        link.pending.push(id);
        if let Some(server) = self.servers.get_mut(&link.server) {
            server.links.retain(|other| *other != link_id);
            server.links.push(link_id);
        }
        true
    }
}
