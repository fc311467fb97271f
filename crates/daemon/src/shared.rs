//! State that the coroutines of a front share: configuration, connections, counters and the event loop's
//! queue.
//!
//! The counters for `GET /health` and for back-pressure are independent of each other, and no other memory is
//! published through them, so `Relaxed` is enough. Only the counter of pending controls needs an ordering; see
//! [`Shared::control_completed`].
use crate::connection_pool::ConnectionPool;
use crate::membership_runner::MembershipHandle;
use crate::message::{EventLoopMessage, ServerMessage};
use crate::names::AttemptNames;
use crate::player::PlayerConnection;
use crankpaddle_config::{Config, Limits};
use crankpaddle_front::ServerId;
use crankpaddle_net::IdleSweeper;
use may::sync::mpsc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// Time between two sweeps of connections to servers, whose deadlines are tenths of seconds.
const SERVER_SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two sweeps of players' connections. It is longer because their deadlines are seconds and there are
/// many connections.
const PLAYER_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A front's work in progress at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkInProgress {
    /// Number of requests that have no answer yet.
    pub waiting: usize,
    /// Number of established sessions.
    pub playing: usize,
}

/// State that the coroutines of a front share.
pub(crate) struct Shared {
    pub config: Config,
    /// `None` if the configuration has no peers.
    pub membership: Option<MembershipHandle>,
    pub names: AttemptNames,
    pub pool: ConnectionPool,
    /// Closes expired connections to servers.
    pub server_sweeper: IdleSweeper,
    /// Closes expired connections of players.
    pub player_sweeper: IdleSweeper,
    /// Connected players; entries of dropped ones are removed by [`Shared::visit_players`].
    players: Mutex<Vec<Weak<PlayerConnection>>>,
    /// Accepted connections that are open, WebSocket or not.
    connections: AtomicUsize,
    /// Requests of players in the event loop's queue.
    queued_requests: AtomicUsize,
    /// Messages about servers in the event loop's queue.
    queued_server_messages: AtomicUsize,
    waiting: AtomicUsize,
    playing: AtomicUsize,
    is_draining: AtomicBool,
    /// Rung changes and teardowns that were not sent or given up yet.
    pending_controls: AtomicUsize,
    inbox: mpsc::Sender<EventLoopMessage>,
}

impl Shared {
    /// Creates the shared state, and the queue that the event loop reads. If `front_name` is `None`, the front gets a
    /// random name.
    pub(crate) fn new(
        config: Config,
        membership: Option<MembershipHandle>,
        front_name: Option<String>,
    ) -> (Arc<Shared>, mpsc::Receiver<EventLoopMessage>) {
        let (inbox, receiver) = mpsc::channel();
        let shared = Shared {
            membership,
            names: AttemptNames::new(front_name),
            pool: ConnectionPool::default(),
            server_sweeper: IdleSweeper::start(SERVER_SWEEP_INTERVAL),
            player_sweeper: IdleSweeper::start(PLAYER_SWEEP_INTERVAL),
            players: Mutex::default(),
            connections: AtomicUsize::new(0),
            queued_requests: AtomicUsize::new(0),
            queued_server_messages: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            playing: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            pending_controls: AtomicUsize::new(0),
            config,
            inbox,
        };
        (Arc::new(shared), receiver)
    }

    /// Queues a message for the event loop; after the loop has ended, the message is dropped.
    pub(crate) fn send(&self, message: EventLoopMessage) {
        if matches!(message, EventLoopMessage::PlayerRequest { .. }) {
            self.queued_requests.fetch_add(1, Ordering::Relaxed);
        }
        if matches!(message, EventLoopMessage::Server { .. }) {
            self.queued_server_messages.fetch_add(1, Ordering::Relaxed);
        }
        let _ = self.inbox.send(message);
    }

    /// Queues a message about a server for the event loop.
    pub(crate) fn send_from_server(&self, server: ServerId, message: ServerMessage) {
        self.send(EventLoopMessage::Server { server, message });
    }

    /// Counts that the event loop took a [`EventLoopMessage::PlayerRequest`] from the queue.
    pub(crate) fn request_dequeued(&self) {
        self.queued_requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts that the event loop took a [`EventLoopMessage::Server`] from the queue.
    pub(crate) fn server_message_dequeued(&self) {
        self.queued_server_messages.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether the event loop's queue holds more than twice as many requests of players as the front may have pending.
    pub(crate) fn has_request_backlog(&self) -> bool {
        self.queued_requests.load(Ordering::Relaxed) > self.max_queued()
    }

    /// Whether the event loop's queue holds more messages about servers than it may hold requests of players.
    pub(crate) fn has_server_backlog(&self) -> bool {
        self.queued_server_messages.load(Ordering::Relaxed) > self.max_queued()
    }

    fn max_queued(&self) -> usize {
        self.config.terms.max_pending.saturating_mul(2)
    }

    /// The configured limits and timeouts.
    pub(crate) fn limits(&self) -> &Limits {
        &self.config.limits
    }

    /// Longest time to connect to a server or to the list service.
    pub(crate) fn connect_timeout(&self) -> Duration {
        self.config.limits.connect_timeout
    }

    /// Counts an accepted connection.
    pub(crate) fn connection_opened(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the close of an accepted connection.
    pub(crate) fn connection_closed(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Number of accepted connections that are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Publishes the core's work in progress to other coroutines.
    pub(crate) fn publish_work_in_progress(&self, work: WorkInProgress) {
        self.waiting.store(work.waiting, Ordering::Relaxed);
        self.playing.store(work.playing, Ordering::Relaxed);
    }

    /// The work in progress as last published.
    pub(crate) fn work_in_progress(&self) -> WorkInProgress {
        WorkInProgress {
            waiting: self.waiting.load(Ordering::Relaxed),
            playing: self.playing.load(Ordering::Relaxed),
        }
    }

    /// Marks the front as draining; this can't be undone.
    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether the front is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Counts a rung change or teardown that was queued for a server.
    pub(crate) fn control_queued(&self) {
        self.pending_controls.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a queued rung change or teardown as sent or given up.
    ///
    /// This is not `Relaxed`, because the event loop stops when it reads zero in [`Shared::has_pending_controls`]: all
    /// effects of the control must be visible before that.
    pub(crate) fn control_completed(&self) {
        self.pending_controls.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether any rung change or teardown is still queued or being sent.
    pub(crate) fn has_pending_controls(&self) -> bool {
        self.pending_controls.load(Ordering::Acquire) > 0
    }

    /// Adds a player to those that [`Shared::visit_players`] visits, until the player is dropped.
    pub(crate) fn register_player(&self, player: &Arc<PlayerConnection>) {
        self.players
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Arc::downgrade(player));
    }

    /// Calls `visit` for each connected player and removes dropped ones. `visit` must not wait, because it runs under
    /// a lock.
    pub(crate) fn visit_players(&self, mut visit: impl FnMut(&PlayerConnection)) {
        self.players
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .retain(|player| {
                let Some(player) = player.upgrade() else {
                    return false;
                };
                visit(&player);
                true
            });
    }
}
