//! The messages that the event loop receives from all other coroutines through one queue.
use crate::player::PlayerConnection;
use crankpaddle_api::describe::Fleet;
use crankpaddle_config::Config;
use crankpaddle_front::{
    AttemptId, AttemptOutcome, EndpointListKind, Input, PlayerId, ServerId, SessionUpdate,
    SetUpResult,
};
use crankpaddle_server_protocol::event_stream::{StreamStart, TrafficCounts};
use crankpaddle_server_protocol::list::EndpointListBody;
use crankpaddle_server_protocol::session_inventory::SessionInventory;
use crankpaddle_time::Time;
use may::sync::mpsc;
use std::sync::Arc;

/// A message to the event loop. Times are readings of [`crankpaddle_net::clock`].
pub(crate) enum EventLoopMessage {
    /// A player's WebSocket connection was established.
    PlayerConnected { player: Arc<PlayerConnection> },
    /// A player called a method that the core decides on.
    PlayerRequest { input: Input },
    /// A player's connection was closed.
    PlayerDisconnected { player: PlayerId },
    /// A server answered a set-up, or the attempt failed without an answer.
    SetUpCompleted {
        attempt: AttemptId,
        result: SetUpResult,
    },
    /// A server sent a message, or could not be reached.
    Server {
        server: ServerId,
        message: ServerMessage,
    },
    /// An operator changed the budgets. Those of `config` replace the current ones.
    BudgetsChanged { config: Box<Config> },
    /// The traffic report was requested. It is sent to `reply` as JSON.
    TrafficReportRequested { reply: mpsc::Sender<String> },
    /// The list service sent an endpoint list, full or a delta.
    EndpointListReceived {
        kind: EndpointListKind,
        list: EndpointListBody,
    },
    /// The subscription to the list service failed or ended.
    EndpointListUnavailable,
    /// The intent of an attempt is on disk, or if `is_durable` is false, the store failed to write it.
    IntentWritten {
        attempt: AttemptId,
        is_durable: bool,
    },
    /// The status of recovery was requested. It is sent to `reply`, or `None` if no store is configured.
    FleetStatusRequested { reply: mpsc::Sender<Option<Fleet>> },
    /// The number of known fronts changed. `fronts` includes this one.
    FleetSizeChanged { fronts: u32 },
    /// A graceful shutdown was requested.
    DrainRequested,
}

/// A message about one server. Sessions and attempts are identified by their names at the server.
pub(crate) enum ServerMessage {
    /// The server's event stream started, in response to a request sent at `requested_at`.
    StreamStarted {
        start: StreamStart,
        requested_at: Time,
    },
    /// The server closed its event stream, so it was alive until now.
    StreamClosed,
    /// The server can't be reached, as a request sent at `requested_at` showed. Its sessions are ended.
    Unreachable { requested_at: Time },
    /// The server reported updates of a session.
    SessionUpdated {
        session_name: String,
        updates: Vec<SessionUpdate>,
    },
    /// A session ended at the server.
    SessionEnded {
        session_name: String,
        outcome: AttemptOutcome,
        /// Total media bytes sent for the session; `None` if the server does not count them.
        sent_bytes: Option<u64>,
    },
    /// The server reported the bytes sent for sessions and its traffic to other zones.
    TrafficCounted { counts: TrafficCounts },
    /// The server answered a teardown.
    TearDownCompleted {
        session_name: String,
        /// Total media bytes that the server sent for the session.
        sent_bytes: u64,
    },
    /// The server sent its inventory of this front's sessions.
    InventoryReceived { inventory: SessionInventory },
    /// The server's inventory could not be fetched.
    InventoryUnavailable,
    /// The server was requested to fence an attempt of a previous incarnation, and confirmed it or did not.
    FenceCompleted {
        attempt_name: String,
        is_confirmed: bool,
    },
}
