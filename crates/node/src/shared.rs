//! What all parts of a node share: the hub's queue, the viewers' connections, counters.
use crate::budget::Budget;
use crate::connection_table::{Conn, ConnId, Viewers};
use crate::health::Dialed;
use crankpaddle_net::{IdleSweeper, WriteBuffer};
use crankpaddle_node_protocol::config::Config;
use crankpaddle_node_protocol::directory::List;
use crankpaddle_node_protocol::{rtsp, viewers};
use may::sync::mpsc::{channel, Receiver, Sender};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// A connection to a server; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct LinkId(pub u64);

/// What the hub hears.
pub(crate) enum Msg {
    /// A viewer's connection is there.
    Joined(Arc<Conn>),
    /// A viewer said something; when it was read.
    Viewer(ConnId, viewers::Message, u64),
    /// A viewer's connection is gone.
    Gone(ConnId),
    /// A connect came out.
    Dialed(LinkId, Dialed, Option<Arc<WriteBuffer>>),
    /// A server said this, read at once.
    Server(LinkId, Vec<rtsp::Message>),
    /// A connection to a server is gone; whether because what came on it could not be read.
    LinkDown(LinkId, bool),
    /// The directory told a list.
    List(List),
    /// Take nothing new.
    Drain,
}

/// What a node holds at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Set-ups without an answer.
    pub waiting: usize,
    /// Sessions that stand.
    pub playing: usize,
    /// Connections from viewers.
    pub viewers: usize,
    /// Connections to servers, those under way included.
    pub links: usize,
    /// Entries of the hub's maps of sessions, attempts and what is still to be released.
    pub entries: usize,
}

/// What was shed, by kind; told with the counts in the log.
#[derive(Debug, Default)]
pub(crate) struct Shed {
    pub unreadable: AtomicU64,
    pub out_of_range: AtomicU64,
    pub twice: AtomicU64,
    pub crowded: AtomicU64,
    pub broken_links: AtomicU64,
    pub stray: AtomicU64,
}

pub(crate) struct Shared {
    pub config: Config,
    pub budget: Budget,
    pub viewers: Viewers,
    pub sweeper: IdleSweeper,
    pub shed: Shed,
    pub links: AtomicUsize,
    pub waiting: AtomicUsize,
    pub playing: AtomicUsize,
    pub entries: AtomicUsize,
    inbox: Sender<Msg>,
    nameserver: Mutex<SocketAddr>,
}

/// Connections are looked through so often for those whose time has come.
const SWEEP: Duration = Duration::from_millis(100);

impl Shared {
    pub(crate) fn new(config: Config) -> (Arc<Shared>, Receiver<Msg>) {
        let (inbox, receiver) = channel();
        let budget = Budget::new(&config.limits);
        let shared = Shared {
            budget,
            viewers: Viewers::new(budget.viewers),
            sweeper: IdleSweeper::start(SWEEP),
            shed: Shed::default(),
            links: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            playing: AtomicUsize::new(0),
            entries: AtomicUsize::new(0),
            inbox,
            nameserver: Mutex::new(config.nameserver),
            config,
        };
        (Arc::new(shared), receiver)
    }

    pub(crate) fn tell(&self, msg: Msg) {
        let _ = self.inbox.send(msg); // The hub may have ended.
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

    pub(crate) fn counts(&self) -> Counts {
        Counts {
            waiting: self.waiting.load(Ordering::Relaxed),
            playing: self.playing.load(Ordering::Relaxed),
            viewers: self.viewers.count(),
            links: self.links.load(Ordering::Relaxed),
            entries: self.entries.load(Ordering::Relaxed),
        }
    }
}

pub(crate) fn count(of: &AtomicU64) {
    of.fetch_add(1, Ordering::Relaxed);
}
