//! State that all coroutines of a node share: the event loop's inbox, the table of viewers' connections, and counters.
use crate::budget::ResourceBudget;
use crate::connection_table::ConnectionTable;
use crate::event_loop::delivery::DeliveryStatus;
use crate::health::ConnectFailure;
use crate::input_gate::{InputGate, QueuedInput};
use crate::viewer_connection::{ConnectionId, ViewerConnection};
use crankpaddle_net::{AcceptHandle, CloseReason, IdleSweeper, ReadEnd, Socket, WriteBuffer};
use crankpaddle_node_protocol::config::Config;
use crankpaddle_node_protocol::directory::ServerList;
use crankpaddle_node_protocol::{rtsp, viewers};
use crankpaddle_time::Time;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// The id of a connection to a server. Ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkId(pub(crate) u64);

/// How a connection to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkEnd {
    /// The server closed or reset it between two messages.
    ByServer(ReadEnd),
    /// No connection to the server could be established.
    ConnectFailed(ConnectFailure),
    /// This node closed it.
    ByNode(CloseReason),
    /// Its input could not be parsed, or ended within a message.
    Malformed,
}

/// A message to the event loop from another coroutine or thread.
pub(crate) enum InboxMessage {
    /// A viewer has connected.
    ViewerConnected(Arc<ViewerConnection>),
    /// A viewer sent a message.
    FromViewer {
        connection: ConnectionId,
        message: viewers::Message,
        /// When the message was read from the socket.
        received_at: Time,
        /// Dropped when the message is handled.
        queued: QueuedInput,
    },
    /// A viewer's connection has ended.
    ViewerDisconnected(ConnectionId, DeliveryStatus),
    /// A connect to a server completed.
    ConnectCompleted(LinkId, Result<Arc<WriteBuffer>, ConnectFailure>),
    /// A server sent these messages, which were read from the socket in one piece. The last field is dropped when the last of them
    /// is handled.
    FromServer(LinkId, Vec<rtsp::Message>, Option<QueuedInput>),
    /// A connection to a server has ended.
    LinkClosed(LinkId, LinkEnd, DeliveryStatus),
    /// The directory has a new list.
    EndpointList(ServerList),
    /// Begin a graceful shutdown.
    Drain,
}

/// The numbers of set-ups, sessions, connections and table entries of a node. Logged as `counts`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Set-ups that the core has accepted for a decision and that have no answer.
    pub waiting: usize,
    /// Sessions that are established by a set-up or adopted, and have not ended.
    pub playing: usize,
    /// Open connections from viewers.
    pub viewers: usize,
    /// Connections to servers, including those that are being opened or closed.
    pub links: usize,
    /// Entries of the event loop's tables: sessions, attempts, abandoned set-ups, and messages that no connection accepted.
    pub entries: usize,
    /// Memory for messages of viewers that were read and are not handled, in bytes.
    pub queued_input_bytes: usize,
}

/// Counters of rejected or dropped input since the start, by kind. Logged with the counts as `dropped`.
#[derive(Debug, Default)]
pub(crate) struct DropCounters {
    /// Viewers' connections that were closed because of a malformed message.
    pub(crate) malformed: AtomicU64,
    /// Readers of connections to viewers or servers that did not return: they panicked or overflowed their stack.
    pub(crate) aborted_readers: AtomicU64,
    /// Set-ups with a field that is missing or out of range.
    pub(crate) out_of_range: AtomicU64,
    /// Set-ups with the id of a session that exists.
    pub(crate) duplicate: AtomicU64,
    /// Set-ups rejected because their connection had too many unanswered ones.
    pub(crate) too_many_pending: AtomicU64,
    /// Sessions that were handed over and not adopted because there were too many sessions.
    pub(crate) adoptions: AtomicU64,
    /// Connections to servers that were closed because of a malformed message.
    pub(crate) broken_links: AtomicU64,
    /// Servers' responses that no attempt waited for.
    pub(crate) unexpected_responses: AtomicU64,
}

/// State that all coroutines of a node share.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) budget: ResourceBudget,
    pub(crate) connections: ConnectionTable,
    pub(crate) sweeper: IdleSweeper,
    pub(crate) drop_counters: DropCounters,
    /// Number of descriptors of connections to servers, including connections that are being closed.
    pub(crate) link_descriptors: AtomicUsize,
    /// Whether a reader that waited for its input gate was woken since the event loop last looked.
    pub(crate) has_woken_readers: Arc<AtomicBool>,
    /// [`Counts::waiting`], set by the event loop.
    pub(crate) waiting: AtomicUsize,
    /// [`Counts::playing`], set by the event loop.
    pub(crate) playing: AtomicUsize,
    /// [`Counts::entries`], set by the event loop.
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
        let budget = ResourceBudget::new(&config.limits);
        let shared = Shared {
            budget,
            connections: ConnectionTable::new(budget.max_viewers),
            sweeper: IdleSweeper::start(SWEEP_INTERVAL),
            drop_counters: DropCounters::default(),
            link_descriptors: AtomicUsize::new(0),
            has_woken_readers: Arc::default(),
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

    /// Sends a message to the event loop. It is lost if the event loop has ended.
    pub(crate) fn send(&self, message: InboxMessage) {
        let _ = self.inbox.send(message);
    }

    /// The gate for the input of a connection.
    pub(crate) fn input_gate(&self, socket: &Arc<Socket>) -> Arc<InputGate> {
        Arc::new(InputGate::new(
            socket.clone(),
            self.budget.max_queued_input_bytes,
            self.has_woken_readers.clone(),
        ))
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

    /// Stops accepting after the connections that the kernel has already established.
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
            links: self.link_descriptors.load(Ordering::Relaxed),
            entries: self.entries.load(Ordering::Relaxed),
            queued_input_bytes: self.connections.queued_input_bytes(),
        }
    }
}

/// Counts and logs a reader that did not return, which is a fault of this program.
pub(crate) fn report_aborted_reader(shared: &Shared, connection: &'static str, id: u64) {
    increment(&shared.drop_counters.aborted_readers);
    tracing::error!(connection, id, "reader aborted, its connection is closed");
}

pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
