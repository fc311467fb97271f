//! How a set-up leaves the node: checked once more, given a link, written.
//!
//! An attempt that the core decides on joins the dispatch queue; so does one whose link came up. Attempts are dispatched after
//! all that was received has been decided on, each checked right before: whether its viewer still waits, as far as the kernel
//! knows, and whether the core still lets it go.
use super::attempt::{Attempt, AttemptState};
use super::wire_time::whole_milliseconds;
use super::EventLoop;
use crate::shared::LinkId;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, Input, LoadReport, ServerId, SetUpOrder, SetUpResult, Time,
};
use crankpaddle_net::{clock, Peer};
use crankpaddle_node_protocol::{rtsp, Tag};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// An attempt in the dispatch queue.
pub(super) struct QueuedAttempt {
    attempt: AttemptId,
    /// The link that came up for it.
    link: Option<LinkId>,
    /// Since when it could be dispatched.
    ready_since: Time,
}

/// While more of its viewer's connection is to be read, a set-up is deferred for so long at most: a tenth of a second after a
/// viewer has gone none may begin, and the viewer's last message may lie behind much else.
const MAX_DEFERRAL: Duration = Duration::from_millis(50);
/// Deferred set-ups are checked again after this time, in which all sockets are read.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(1);
/// How often a link is looked for, for one set-up of which nothing was written.
const MAX_CONNECT_ATTEMPTS: u32 = 2;
/// Links to one server at most, each with one set-up in progress; beyond, set-ups share links.
const MAX_LINKS_PER_SERVER: usize = 8;
/// Descriptors of links that are being closed, beyond those of the budget.
const MAX_CLOSING_LINKS: usize = 8;

/// What becomes of an attempt in the dispatch queue.
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
        let Some(at) = self.servers.get_mut(&server) else {
            return self.notify_core(Input::SetUpCompleted(
                attempt,
                SetUpResult::Ended(AttemptOutcome::NotSent, LoadReport::new()),
            ));
        };
        at.attempts.insert(session_id, attempt);
        at.abandoned.remove(&session_id);
        let record = Attempt {
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

    /// Queues an attempt; it is dispatched on `link` if that is good.
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

    /// Dispatches what is ready, once through the queue.
    ///
    /// Why: between the decision and the first byte a viewer may close or cancel, a server drain or restart, or an admission slot
    /// at a server that warms up pass: connects take up to a second, and decisions on a flood of requests a good part of one on a
    /// small share of a core. What was not written has not run, so it can be withdrawn without effect. What crosses a viewer's
    /// last message on the network is dispatched all the same.
    pub(super) fn dispatch_queued(&mut self) {
        for _ in 0..self.dispatch_queue.len() {
            let Some(queued) = self.dispatch_queue.pop_front() else {
                return;
            };
            match self.dispatch_decision(&queued) {
                None => {} // It was abandoned.
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
        let session = self.sessions.get(&attempt.player)?;
        let connection = self.connections.get(&session.connection)?;
        let has_queued_messages = connection.queued_messages.load(Ordering::Acquire) > 0;
        Some(match connection.outbox.socket().peer_state() {
            Peer::Ended => DispatchDecision::Defer, // Its reader is about to find that it ended.
            Peer::Quiet if !has_queued_messages => DispatchDecision::Dispatch,
            _ if now >= queued.ready_since + MAX_DEFERRAL => DispatchDecision::Dispatch,
            _ => DispatchDecision::Defer,
        })
    }

    /// Finds a link for a set-up of which nothing was written yet.
    ///
    /// Why: a connection may be reset right when it is new, and the server be taken for one that can't be connected to; so
    /// the search is retried once.
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

    /// Writes a set-up on the server's most recently used free link, if it has one. Each set-up has a link of its own while there
    /// are enough: a malformed answer then spoils no other.
    fn dispatch_on_free_link(&mut self, id: AttemptId, server: ServerId) -> bool {
        while let Some(link) =
            self.find_link(server, |link| link.is_usable() && link.pending.is_empty())
        {
            if self.write_set_up(id, link) {
                return true;
            }
            self.close_link(link);
        }
        false
    }

    /// Opens another link to a server, if there is capacity. A server without any may take the descriptor of an idle link.
    fn open_link_for_set_up(&mut self, server: ServerId) -> Option<LinkId> {
        let links = self
            .servers
            .get(&server)
            .map_or(0, |server| server.links.len());
        let has_capacity = self.has_link_capacity() && links < MAX_LINKS_PER_SERVER;
        if has_capacity || links == 0 && self.close_idle_link() {
            return self.connect(server);
        }
        None
    }

    /// Puts a set-up on the link with the fewest others, one that is up before one that is connecting.
    ///
    /// Why: while all its links are still connecting none is up; a server that is only busy accepting would be taken for one that
    /// can't be connected to. One that does not read what was written before takes nothing more: the set-up would begin when the
    /// server reads again, whatever has become of its viewer.
    fn dispatch_on_shared_link(&mut self, id: AttemptId, server: ServerId) {
        let Some(link) = self.least_loaded_link(server) else {
            return self.connect_failed(id);
        };
        if self
            .links
            .get(&link)
            .is_some_and(super::Link::is_connecting)
        {
            self.await_link(id, link);
        } else if !self.write_set_up(id, link) {
            self.connect_failed(id);
            self.close_link(link);
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

    /// Whether another link may be opened; those that are being closed hold their descriptors still.
    ///
    /// Why: connects that were given up hold their descriptors until they time out; not counted, as where a list replaces many
    /// servers at once, they would take those of viewers.
    pub(super) fn has_link_capacity(&self) -> bool {
        let descriptors = self.shared.links.load(Ordering::Relaxed);
        let budget = self.shared.budget.links;
        self.links.len() < budget && descriptors < budget + MAX_CLOSING_LINKS
    }

    /// The set-up is written when this link comes up.
    fn await_link(&mut self, id: AttemptId, link_id: LinkId) {
        if let Some(link) = self.links.get_mut(&link_id) {
            link.pending.push(id);
        }
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.state = AttemptState::AwaitingLink(link_id);
        }
    }

    /// Writes an attempt's set-up; false if not a byte of it was sent.
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
        let message = rtsp::set_up(&rtsp::SetUp {
            tag: attempt.session_id,
            title: &session.title,
            class: class.map_or("", String::as_str),
            patience: whole_milliseconds(attempt.deadline.duration_since(now)).max(1),
            rung: attempt.rung,
            blob: session.description(),
        });
        // Why: what is written into a connection that was just closed may have run for all that is known.
        if !link.is_usable() || !outbox.socket().is_open() || !outbox.push(&message) {
            return false;
        }
        tracing::trace!(session_id = %attempt.session_id, server_id = attempt.server.0, link_id = link_id.0, rung = attempt.rung, "set-up sent");
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
