//! The inputs of a core: what players, servers, peers and the recovery of a previous incarnation report to it.
use crate::ids::{AttemptId, PlayerCall, PlayerId};
use crate::keys::RequestOutcome;
use crankpaddle::{
    AttemptOutcome, CrossZonePolicy, Endpoint, EndpointListKind, LoadReport, RequestId, ServerId,
    SessionUpdate, Time,
};
use std::time::Duration;

/// A player's request for a session, with all names resolved to indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenRequest {
    /// Idempotency key chosen by the player. It names one session, and the player sends the same key after a
    /// reconnect.
    pub key: String,
    /// Identifies the viewer; the same in all requests of one viewer.
    pub viewer: u64,
    /// Class, an index into the settings' classes.
    pub class: u8,
    /// Tenant, an index into the settings' tenants.
    pub tenant: u16,
    /// Number of the requested title.
    pub title: u64,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold the title.
    pub cell_count: u32,
    /// Highest rung that the player can use.
    pub max_rung: u8,
    /// How long the viewer waits, counted from when the request was read. The core limits it to
    /// [`CoreConfig::max_wait`](crate::CoreConfig::max_wait) of the class.
    pub max_wait: Duration,
    /// Expected viewing time; `None` if the player did not state it.
    pub duration_hint: Option<Duration>,
    /// Whether the player states that this is a retry.
    pub is_retry: bool,
    /// Whether the player states that it reopens a session that was migrated.
    pub is_migration: bool,
}

/// The result of a set-up at a server.
#[derive(Clone, Debug, PartialEq)]
pub enum SetUpResult {
    /// The session plays. The load report is the one that came with the answer, empty if there was none.
    Started(LoadReport),
    /// The session was not established; the outcome states whether the attempt may have run.
    Ended(AttemptOutcome, LoadReport),
}

/// Whether the front has sent an attempt to its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendState {
    /// The front defers it, so no server has received it.
    Deferred,
    /// It was sent or is about to be sent, so it may run.
    Sent,
}

/// Whether the rungs of a session are limited beyond what its viewer can use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateCap {
    /// The session may use each rung up to the highest that its viewer can use.
    None,
    /// The session may use the lowest rung only.
    LowestRung,
}

/// An event that a core handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A player requests a session.
    Open {
        /// The call to answer.
        call: PlayerCall,
        /// What the player requests: its key, class, tenant, title and limits.
        request: OpenRequest,
        /// When the message was read off the socket.
        received_at: Time,
    },
    /// A player reattaches to its session, or to its pending request.
    Resume {
        /// The call to answer.
        call: PlayerCall,
        /// The tenant that the session was opened for.
        tenant: u16,
        /// The key that the session was opened with.
        key: String,
    },
    /// A player ends its session.
    Close {
        /// The call to answer.
        call: PlayerCall,
        /// The request that the session was established for.
        session: RequestId,
    },
    /// A session that was established before this front started plays at a server, and no call waits for an answer.
    /// Handled by [`Output::SessionAdopted`](crate::Output::SessionAdopted) unless its key is already known.
    AdoptSession {
        /// The player that the session belongs to.
        player: PlayerId,
        /// The request that the session was set up for.
        open: OpenRequest,
        /// The server where it plays.
        server: ServerId,
    },
    /// A player withdraws its pending requests and ends its sessions, at once and without an answer.
    PlayerLeft(PlayerId),
    /// A player's connection is closed.
    PlayerDisconnected(PlayerId),
    /// A full or incremental endpoint list was received.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A server answered a set-up, or the set-up ended without an answer.
    SetUpCompleted(AttemptId, SetUpResult),
    /// The front defers sending an attempt, or sends a deferred one now. An attempt for which this input never comes
    /// counts as sent from the start.
    SendStateChanged(AttemptId, SendState),
    /// A server reported a change of a playing session.
    SessionUpdated(AttemptId, SessionUpdate),
    /// A playing session ended at its server: `Completed` when it ran to its end, `Reset` when the server was lost.
    SessionEnded(AttemptId, AttemptOutcome, LoadReport),
    /// The policy for serving a class from another zone changed.
    CrossZonePolicyChanged {
        /// The zone of the servers.
        zone: u8,
        /// Class, an index into the settings' classes.
        class: u8,
        /// The policy that applies from now on.
        policy: CrossZonePolicy,
    },
    /// The rate cap of a playing session was set or lifted.
    RateCapChanged(AttemptId, RateCap),
    /// A health check ended; the outcome states whether the server answered.
    HealthCheckCompleted(ServerId, AttemptOutcome, LoadReport),
    /// The number of known fronts in the fleet changed. It includes this front and fronts that do not respond but may
    /// be running.
    FleetSizeChanged(u32),
    /// The endpoint list is known, so servers can be polled for the set-ups of the previous incarnation.
    EndpointsKnown,
    /// Each listed server has reported its sessions or is unreachable.
    ReconciliationCompleted,
    /// All sessions and keys that reconciliation found were passed to the core, so it can serve the queued requests.
    /// Sent after [`Output::StageReached`](crate::Output::StageReached).
    ServiceResumed,
    /// A paid set-up of a previous incarnation may have run under this key. Its outcome is not known yet.
    KeyUnresolved {
        /// The tenant of the key.
        tenant: u16,
        /// The key of the request, as in [`OpenRequest::key`].
        key: String,
    },
    /// The outcome of a paid key of a previous incarnation is known.
    KeyResolved {
        /// The tenant of the key.
        tenant: u16,
        /// The key of the request, as in [`OpenRequest::key`].
        key: String,
        /// The class of the request.
        class: u8,
        /// The outcome of the request; `None` if it never ran.
        outcome: Option<RequestOutcome>,
    },
    /// A server holds a session that a previous incarnation set up. Handled by
    /// [`Output::FoundSessionHandled`](crate::Output::FoundSessionHandled).
    SessionFound {
        /// Chosen by the driver; repeated in the output that handles the session.
        token: u64,
        /// The request that the session was set up for.
        open: OpenRequest,
        /// The server where it plays.
        server: ServerId,
    },
    /// Accept no new sessions from now on.
    Drain,
    /// End all sessions and answer all pending requests, since the front shuts down.
    Stop,
}
