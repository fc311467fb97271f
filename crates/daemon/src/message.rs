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
    /// A player connected.
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
    /// The budgets of this configuration apply from now on.
    BudgetsChanged { config: Box<Config> },
    /// The traffic report is requested.
    TrafficReportRequested { reply: mpsc::Sender<String> },
    /// The list service sent a list.
    EndpointListReceived {
        kind: EndpointListKind,
        list: EndpointListBody,
    },
    /// The list service can't be reached.
    EndpointListUnavailable,
    /// The intent of an attempt was written to the store, or the write failed.
    IntentWritten {
        attempt: AttemptId,
        is_durable: bool,
    },
    /// The state of recovery is requested; the reply is `None` where no store is configured.
    FleetStatusRequested { reply: mpsc::Sender<Option<Fleet>> },
    /// The number of known fronts changed; this front is included.
    FleetSizeChanged { fronts: u32 },
    /// The front shall drain and stop.
    DrainRequested,
}

/// What one server sent, or that it could not be reached. Sessions and attempts are named as the server knows them.
pub(crate) enum ServerMessage {
    /// Its event stream began, in response to a call made at `called_at`.
    StreamStarted { start: StreamStart, called_at: Time },
    /// It closed its event stream; it was alive until now.
    StreamClosed,
    /// It can't be reached, as a call made at `called_at` showed.
    Unreachable { called_at: Time },
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
    /// It answered with the sessions that it holds and ran for this front.
    InventoryReceived { inventory: SessionInventory },
    /// Its inventory could not be fetched.
    InventoryUnavailable,
    /// An attempt of a previous incarnation was fenced there, or that could not be confirmed.
    FenceCompleted {
        attempt_name: String,
        is_confirmed: bool,
    },
}
