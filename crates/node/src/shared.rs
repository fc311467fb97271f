//! What all parts of a node share: the event loop's inbox, the viewers' connections, counters.
use crate::budget::Budget;
use crate::connection_table::ConnectionTable;
use crate::event_loop::delivery::Delivery;
use crate::health::ConnectFailure;
use crate::viewer_connection::{ConnectionId, ViewerConnection};
use crankpaddle_net::{AcceptHandle, CloseReason, IdleSweeper, ReadEnd, WriteBuffer};
use crankpaddle_node_protocol::config::Config;
use crankpaddle_node_protocol::directory::List;
use crankpaddle_node_protocol::{rtsp, viewers};
use crankpaddle_time::Time;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// A connection to a server; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkId(pub(crate) u64);

/// How a connection to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// The server closed or reset it between two messages.
    ByServer(ReadEnd),
    /// The connect failed.
    ConnectFailed(ConnectFailure),
    /// This node closed it.
    ByNode(CloseReason),
    /// What came on it could not be read, or stopped within a message.
    Malformed,
}

/// What the other coroutines send to the event loop.
pub(crate) enum InboxMessage {
    /// A viewer has connected.
    ViewerConnected(Arc<ViewerConnection>),
    /// A viewer sent something.
    FromViewer {
        connection: ConnectionId,
        message: viewers::Message,
        /// When it was read.
        received_at: Time,
    },
    /// A viewer's connection has ended.
    ViewerDisconnected(ConnectionId, Delivery),
    /// A connect to a server completed.
    ConnectCompleted(LinkId, Result<Arc<WriteBuffer>, ConnectFailure>),
    /// A server sent these messages, which were read at once.
    FromServer(LinkId, Vec<rtsp::Message>),
    /// A connection to a server has ended.
    LinkClosed(LinkId, LinkEnd, Delivery),
    /// The directory has a new list.
    EndpointList(List),
    /// Take no new set-up, and end when nothing is pending.
    Drain,
}

/// What a node holds at a moment, and logs as `counts`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Set-ups that the core has accepted for a decision and that have no answer.
    pub waiting: usize,
    /// Sessions that play: established by a set-up or adopted, and not ended.
    pub playing: usize,
    /// Open connections from viewers.
    pub viewers: usize,
    /// Connections to servers, those that are being opened or closed included.
    pub links: usize,
    /// Entries of the event loop's tables: sessions, attempts, abandoned set-ups, and messages that no connection could take.
    pub entries: usize,
}

/// What was rejected or dropped, by kind; logged with the counts.
#[derive(Debug, Default)]
pub(crate) struct DropCounters {
    /// Viewers' connections that were closed because of a malformed message.
    pub(crate) malformed: AtomicU64,
    /// Set-ups with a field that is missing or out of range.
    pub(crate) out_of_range: AtomicU64,
    /// Set-ups under the id of another one.
    pub(crate) duplicate: AtomicU64,
    /// Set-ups beyond what one connection may have without an answer.
    pub(crate) too_many_pending: AtomicU64,
    /// Servers' connections that were closed because of a malformed message.
    pub(crate) broken_links: AtomicU64,
    /// Servers' responses that no attempt waits for.
    pub(crate) unexpected_responses: AtomicU64,
}

/// What all coroutines of a node share.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) budget: Budget,
    pub(crate) connections: ConnectionTable,
    pub(crate) sweeper: IdleSweeper,
    pub(crate) drop_counters: DropCounters,
    /// Descriptors of connections to servers, those that are being closed included.
    pub(crate) links: AtomicUsize,
    pub(crate) waiting: AtomicUsize,
    pub(crate) playing: AtomicUsize,
    pub(crate) entries: AtomicUsize,
    inbox: Sender<InboxMessage>,
    nameserver: Mutex<SocketAddr>,
    acceptor: OnceLock<AcceptHandle>,
}

/// How often connections are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

impl Shared {
    pub(crate) fn new(config: Config) -> (Arc<Shared>, Receiver<InboxMessage>) {
        let (inbox, receiver) = channel();
        let budget = Budget::new(&config.limits);
        let shared = Shared {
            budget,
            connections: ConnectionTable::new(budget.viewers),
            sweeper: IdleSweeper::start(SWEEP_INTERVAL),
            drop_counters: DropCounters::default(),
            links: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            playing: AtomicUsize::new(0),
            entries: AtomicUsize::new(0),
            inbox,
            nameserver: Mutex::new(config.nameserver),
            acceptor: OnceLock::new(),
            config,
        };
        (Arc::new(shared), receiver)
    }

    /// Sends a message to the event loop.
    pub(crate) fn send(&self, message: InboxMessage) {
        let _ = self.inbox.send(message); // The event loop may have ended.
    }

    pub(crate) fn nameserver(&self) -> SocketAddr {
        *self
            .nameserver
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_nameserver(&self, address: SocketAddr) {
        *self
            .nameserver
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = address;
    }

    pub(crate) fn set_acceptor(&self, acceptor: AcceptHandle) {
        let _ = self.acceptor.set(acceptor); // It is set once, at the start.
    }

    /// Accepts the connections that are established, and then no more.
    pub(crate) fn stop_accepting(&self) {
        if let Some(acceptor) = self.acceptor.get() {
            acceptor.stop();
        }
    }

    /// Whether no further connection will be accepted.
    pub(crate) fn has_stopped_accepting(&self) -> bool {
        self.acceptor.get().is_some_and(AcceptHandle::has_stopped)
    }

    pub(crate) fn counts(&self) -> Counts {
        Counts {
            waiting: self.waiting.load(Ordering::Relaxed),
            playing: self.playing.load(Ordering::Relaxed),
            viewers: self.connections.count(),
            links: self.links.load(Ordering::Relaxed),
            entries: self.entries.load(Ordering::Relaxed),
        }
    }
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
