//! State that the coroutines of a front share: configuration, connections, counters and the event loop's
//! queue.
//!
//! The counters for `GET /health` and for back-pressure are independent figures: no other memory is published
//! through them, so `Relaxed` is enough. Only the count of queued controls orders anything; see
//! [`Shared::control_completed`].
use crate::connection_pool::ConnectionPool;
use crate::membership_runner::MembershipHandle;
use crate::message::{Message, ServerMessage};
use crate::names::AttemptNames;
use crate::player::Player;
use crankpaddle_config::{Config, Limits};
use crankpaddle_front::ServerId;
use crankpaddle_net::IdleSweeper;
use may::sync::mpsc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// Connections to servers are swept this often: their deadlines are tenths of seconds.
const SERVER_SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Connections of players are swept this often: their deadlines are seconds, and there are many.
const PLAYER_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// A front's work in progress at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests without an answer.
    pub waiting: usize,
    /// Established sessions.
    pub playing: usize,
}

/// State that the coroutines of a front share.
pub(crate) struct Shared {
    pub config: Config,
    /// The other fronts, where any are configured.
    pub membership: Option<MembershipHandle>,
    pub names: AttemptNames,
    pub pool: ConnectionPool,
    /// Closes expired connections to servers.
    pub server_sweeper: IdleSweeper,
    /// Closes expired connections of players.
    pub player_sweeper: IdleSweeper,
    players: Mutex<Vec<Weak<Player>>>,
    connections: AtomicUsize,
    queued_requests: AtomicUsize,
    waiting: AtomicUsize,
    playing: AtomicUsize,
    is_draining: AtomicBool,
    pending_controls: AtomicUsize,
    inbox: mpsc::Sender<Message>,
}

impl Shared {
    /// The shared state, and the queue that the event loop reads. `front_name`: where none is given, one is
    /// drawn.
    pub(crate) fn new(
        config: Config,
        membership: Option<MembershipHandle>,
        front_name: Option<String>,
    ) -> (Arc<Shared>, mpsc::Receiver<Message>) {
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
            waiting: AtomicUsize::new(0),
            playing: AtomicUsize::new(0),
            is_draining: AtomicBool::new(false),
            pending_controls: AtomicUsize::new(0),
            config,
            inbox,
        };
        (Arc::new(shared), receiver)
    }

    /// Queues a message for the event loop. After the loop's end it is dropped.
    pub(crate) fn send(&self, message: Message) {
        if matches!(message, Message::PlayerRequest { .. }) {
            self.queued_requests.fetch_add(1, Ordering::Relaxed);
        }
        let _ = self.inbox.send(message);
    }

    /// Queues what a server sent.
    pub(crate) fn send_from_server(&self, server: ServerId, message: ServerMessage) {
        self.send(Message::Server { server, message });
    }

    /// The event loop took a [`Message::PlayerRequest`] from the queue.
    pub(crate) fn request_dequeued(&self) {
        self.queued_requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether the event loop's queue holds too many requests of players.
    pub(crate) fn has_request_backlog(&self) -> bool {
        let most = self.config.terms.max_pending.saturating_mul(2);
        self.queued_requests.load(Ordering::Relaxed) > most
    }

    /// The limits of the configuration.
    pub(crate) fn limits(&self) -> &Limits {
        &self.config.limits
    }

    /// How long a connection to a server may take.
    pub(crate) fn connect_timeout(&self) -> Duration {
        self.config.limits.connect
    }

    /// A connection was accepted.
    pub(crate) fn connection_opened(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// An accepted connection was closed.
    pub(crate) fn connection_closed(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Accepted connections that are open.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Publishes the core's counts.
    pub(crate) fn publish_counts(&self, counts: Counts) {
        self.waiting.store(counts.waiting, Ordering::Relaxed);
        self.playing.store(counts.playing, Ordering::Relaxed);
    }

    /// The counts as last published.
    pub(crate) fn counts(&self) -> Counts {
        Counts {
            waiting: self.waiting.load(Ordering::Relaxed),
            playing: self.playing.load(Ordering::Relaxed),
        }
    }

    /// The front is draining from now on; this is never taken back.
    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    /// Whether the front is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// A rung change or teardown was queued for a server.
    pub(crate) fn control_queued(&self) {
        self.pending_controls.fetch_add(1, Ordering::AcqRel);
    }

    /// A queued rung change or teardown was sent or given up.
    ///
    /// Why not `Relaxed`: the event loop stops when it reads zero in [`Shared::has_pending_controls`], so
    /// whatever the control did must have happened before that.
    pub(crate) fn control_completed(&self) {
        self.pending_controls.fetch_sub(1, Ordering::AcqRel);
    }

    /// Whether rung changes or teardowns have not been sent yet.
    pub(crate) fn has_pending_controls(&self) -> bool {
        self.pending_controls.load(Ordering::Acquire) > 0
    }

    /// Adds a player to those of [`Shared::visit_players`], until it is dropped.
    pub(crate) fn register_player(&self, player: &Arc<Player>) {
        self.players
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Arc::downgrade(player));
    }

    /// Visits each connected player and removes those that are gone. `visit` must not wait: it runs under a
    /// lock.
    pub(crate) fn visit_players(&self, mut visit: impl FnMut(&Player)) {
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
