//! What the coroutines of a front share.
use crate::connection_pool::Pool;
use crate::names::Names;
use crate::player::Player;
use crankpaddle_api::describe::Fleet;
use crankpaddle_config::{Config, Limits};
use crankpaddle_front::{
    AttemptId, AttemptOutcome, EndpointListKind, Input, PlayerId, ServerId, SessionUpdate,
};
use crankpaddle_net::IdleSweeper;
use crankpaddle_server_protocol::event_stream::{StreamStart, TrafficCounts};
use crankpaddle_server_protocol::list::EndpointListBody;
use crankpaddle_server_protocol::session_inventory::SessionInventory;
use may::sync::mpsc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// What the hub is told.
pub(crate) enum Msg {
    /// A player connected.
    Joined(Arc<Player>),
    /// A player said something that the core wants to know.
    Player(Input),
    /// A player's connection is gone.
    Gone(PlayerId),
    /// A server answered, or did not.
    Server(Input),
    /// A server's stream said its first word; the call for it began at that time.
    Hello(ServerId, StreamStart, u64),
    /// A server's stream told of a session, by its name there.
    Notes(String, Vec<SessionUpdate>),
    /// A session is over at its server; with all that was sent for it, where it is counted.
    Over(String, AttemptOutcome, Option<u64>),
    /// A server counted sessions and what crosses.
    Traffic(ServerId, TrafficCounts),
    /// A server's last word on a session that was torn down: all that it sent.
    Sent(String, u64),
    /// The budgets of this configuration hold from now on.
    Budgets(Box<Config>),
    /// Someone wants the report of traffic.
    Report(mpsc::Sender<String>),
    /// A server's stream was ended by the server: until now it lived.
    Broke(ServerId),
    /// A server can't be reached any more; so it was when the call began at that time.
    Lost(ServerId, u64),
    /// The list service said this.
    List(EndpointListKind, EndpointListBody),
    /// The list service can't be reached.
    ListFailed,
    /// A server told what it holds and ran of this front, or can't be asked.
    Book(ServerId, Option<SessionInventory>),
    /// An attempt of a former life was ended at a server, so that it can't run any more; or that is not certain.
    Fenced(ServerId, String, bool),
    /// It is on disk that an attempt may have left, or can't be written.
    Stored(AttemptId, bool),
    /// Someone wants to know what is known of this front's past.
    Fleet(mpsc::Sender<Option<Fleet>>),
    /// So many fronts of the fleet are known, this one with them.
    Members(u32),
    /// End.
    Drain,
}

pub(crate) struct Shared {
    pub config: Config,
    /// The other fronts, where there are any.
    pub peers: Option<crate::membership_runner::Link>,
    pub names: Names,
    pub pool: Pool,
    /// Looks often: attempts and streams.
    pub quick: IdleSweeper,
    /// Looks seldom: players.
    pub slow: IdleSweeper,
    pub connections: AtomicUsize,
    pub players: std::sync::Mutex<Vec<std::sync::Weak<Player>>>,
    /// Inputs of players that the hub has not seen yet.
    pub queued: AtomicUsize,
    pub waiting: AtomicUsize,
    pub playing: AtomicUsize,
    pub draining: AtomicBool,
    /// Rung changes and teardowns that are under way.
    pub controls: AtomicUsize,
    inbox: mpsc::Sender<Msg>,
}

impl Shared {
    pub(crate) fn new(
        config: Config,
        peers: Option<crate::membership_runner::Link>,
        name: Option<String>,
    ) -> (Arc<Shared>, mpsc::Receiver<Msg>) {
        let (inbox, receiver) = mpsc::channel();
        let shared = Shared {
            peers,
            names: Names::new(name),
            pool: Pool::default(),
            quick: IdleSweeper::start(Duration::from_millis(50)),
            slow: IdleSweeper::start(Duration::from_millis(500)),
            connections: AtomicUsize::new(0),
            players: std::sync::Mutex::default(),
            queued: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            playing: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            controls: AtomicUsize::new(0),
            config,
            inbox,
        };
        (Arc::new(shared), receiver)
    }

    pub(crate) fn tell(&self, msg: Msg) {
        if matches!(msg, Msg::Player(_)) {
            self.queued.fetch_add(1, Ordering::Relaxed);
        }
        let _ = self.inbox.send(msg); // After the hub's end nobody needs to know.
    }

    pub(crate) fn limits(&self) -> &Limits {
        &self.config.limits
    }

    pub(crate) fn connect_within(&self) -> Duration {
        Duration::from_nanos(self.config.limits.connect)
    }
}
