//! The messages that the event loop receives from all other coroutines, in one queue.
use crate::player::Player;
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

/// An event for the event loop. Times are of [`crankpaddle_net::clock`].
pub(crate) enum Message {
    /// A player's WebSocket connection was established.
    PlayerConnected { player: Arc<Player> },
    /// A player called a method that the core decides on.
    PlayerRequest { input: Input },
    /// A player's connection was closed.
    PlayerDisconnected { player: PlayerId },
    /// A server answered a set-up, or the attempt failed.
    SetUpCompleted {
        attempt: AttemptId,
        result: SetUpResult,
    },
    /// A server sent something, or could not be reached.
    Server {
        server: ServerId,
        message: ServerMessage,
    },
    /// An operator changed the budgets: those of this configuration replace the ones in force.
    BudgetsChanged { config: Box<Config> },
    /// The traffic report was requested; it is sent to `reply` as JSON.
    TrafficReportRequested { reply: mpsc::Sender<String> },
    /// The list service sent an endpoint list, full or a delta.
    EndpointListReceived {
        kind: EndpointListKind,
        list: EndpointListBody,
    },
    /// The subscription to the list service failed or ended.
    EndpointListUnavailable,
    /// The store wrote the intent of an attempt, or failed to: then `is_durable` is false.
    IntentWritten {
        attempt: AttemptId,
        is_durable: bool,
    },
    /// The status of recovery was requested; `None` is sent to `reply` where no store is configured.
    FleetStatusRequested { reply: mpsc::Sender<Option<Fleet>> },
    /// The number of known fronts changed; this front is included.
    FleetSizeChanged { fronts: u32 },
    /// A graceful shutdown was requested.
    DrainRequested,
}

/// An event of one server. Sessions and attempts have their names at the server.
pub(crate) enum ServerMessage {
    /// Its event stream began, in response to a request sent at `requested_at`.
    StreamStarted {
        start: StreamStart,
        requested_at: Time,
    },
    /// It closed its event stream; it was alive until now.
    StreamClosed,
    /// It can't be reached, as a request sent at `requested_at` showed: its sessions are ended.
    Unreachable { requested_at: Time },
    /// It reported updates of a session.
    SessionUpdated {
        session_name: String,
        updates: Vec<SessionUpdate>,
    },
    /// A session ended there.
    SessionEnded {
        session_name: String,
        outcome: AttemptOutcome,
        /// All media bytes that were sent for it, where the server counts them.
        sent_bytes: Option<u64>,
    },
    /// It counted the bytes of sessions and the traffic to other zones.
    TrafficCounted { counts: TrafficCounts },
    /// It answered a teardown with all media bytes that it had sent.
    TearDownCompleted {
        session_name: String,
        sent_bytes: u64,
    },
    /// It sent its inventory of this front's sessions.
    InventoryReceived { inventory: SessionInventory },
    /// Its inventory could not be fetched.
    InventoryUnavailable,
    /// An attempt of a previous incarnation was fenced there, or the server did not confirm it.
    FenceCompleted {
        attempt_name: String,
        is_confirmed: bool,
    },
}
