//! The inputs of a core: what players, servers, peers and the recovery of a previous incarnation report to it.
use crate::ids::{AttemptId, Call, PlayerId};
use crate::keys::RequestOutcome;
use crankpaddle::{
    AttemptOutcome, CrossZonePolicy, Endpoint, EndpointListKind, LoadReport, RequestId, ServerId,
    SessionUpdate, Time,
};
use std::time::Duration;

/// A player's request for a session, with all names resolved to indexes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenRequest {
    /// Idempotency key chosen by the player, the same over its reconnects: it names one session.
    pub key: String,
    /// The viewer; the same when he requests another session.
    pub viewer: u64,
    /// Class, an index into the settings' classes.
    pub class: u8,
    /// Tenant, an index into the settings' tenants.
    pub tenant: u16,
    /// Title.
    pub title: u64,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold the title.
    pub cell_count: u32,
    /// Highest rung that the player can use.
    pub max_rung: u8,
    /// How long the viewer waits from when the request was read; limited by the class's own bound.
    pub max_wait: Duration,
    /// Expected viewing time.
    pub duration_hint: Option<Duration>,
    /// Whether the player states that this is a retry.
    pub is_retry: bool,
    /// Whether the player states that it reopens a session that was migrated.
    pub is_migration: bool,
}

/// The result of a set-up at a server.
#[derive(Clone, Debug, PartialEq)]
pub enum SetUpResult {
    /// The session plays; the load report that came with the answer, empty if there was none.
    Started(LoadReport),
    /// The session was not established.
    Ended(AttemptOutcome, LoadReport),
}

/// An event that a core handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A player requests a session.
    Open {
        /// The call to answer.
        call: Call,
        /// The request.
        open: OpenRequest,
        /// When the message was read off the socket.
        received: Time,
    },
    /// A player reattaches to its session, or to its pending request.
    Resume {
        /// The call to answer.
        call: Call,
        /// The tenant that the session was opened for.
        tenant: u16,
        /// The key that the session was opened with.
        key: String,
    },
    /// A player ends its session.
    Close {
        /// The call to answer.
        call: Call,
        /// The session.
        session: RequestId,
    },
    /// A session that was established before this front started plays at a server; no call waits for an answer.
    /// Answered by [`Output::SessionAdopted`](crate::Output::SessionAdopted) unless its key is already known.
    Adopt {
        /// The player that the session belongs to.
        player: PlayerId,
        /// The request that the session was set up for.
        open: OpenRequest,
        /// The server where it plays.
        server: ServerId,
    },
    /// A player withdraws its pending requests and ends its sessions, at once and without an answer.
    Leave(PlayerId),
    /// A player's connection is closed.
    PlayerDisconnected(PlayerId),
    /// An endpoint list, full or incremental.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A set-up has a result.
    SetUpCompleted(AttemptId, SetUpResult),
    /// Sending an attempt is deferred by the front itself, so that it has not left (`true`), or it is sent now (`false`).
    /// An attempt without this input is sent at once.
    SendDeferred(AttemptId, bool),
    /// A server reported a change of a playing session.
    SessionUpdated(AttemptId, SessionUpdate),
    /// A playing session ended at its server: `Completed` when it ran to its end, `Reset` when the server was lost.
    SessionEnded(AttemptId, AttemptOutcome, LoadReport),
    /// The policy for serving a class from another zone changed.
    CrossZonePolicyChanged {
        /// The zone of the servers.
        zone: u8,
        /// The class.
        class: u8,
        /// The policy in force from now on.
        policy: CrossZonePolicy,
    },
    /// A playing session is limited to its lowest rung (`true`), or may use all rungs that its viewer can use (`false`).
    RateCapped(AttemptId, bool),
    /// A health check has a result.
    HealthCheckCompleted(ServerId, AttemptOutcome, LoadReport),
    /// Number of known fronts in the fleet, including this one and those that may only be unreachable.
    FleetSizeChanged(u32),
    /// The endpoint list is known, so servers can be polled for the set-ups of the previous incarnation.
    EndpointsKnown,
    /// Every listed server has reported its sessions, or is unreachable.
    ReconciliationCompleted,
    /// All sessions and keys found by reconciliation were handed in after
    /// [`Output::StageReached`](crate::Output::StageReached), so the queued requests can be served.
    ServiceResumed,
    /// A paid set-up of a previous incarnation may have run under this key.
    KeyUnresolved {
        /// The tenant of the key.
        tenant: u16,
        /// The key.
        key: String,
    },
    /// The outcome of a paid key of a previous incarnation is known.
    KeyResolved {
        /// The tenant of the key.
        tenant: u16,
        /// The key.
        key: String,
        /// The class of the request.
        class: u8,
        /// The outcome of the request; `None`: it never ran.
        outcome: Option<RequestOutcome>,
    },
    /// A server holds a session that a previous incarnation set up. Answered by
    /// [`Output::FoundSessionHandled`](crate::Output::FoundSessionHandled).
    SessionFound {
        /// Identifies this session in the answer.
        token: u64,
        /// The request that the session was set up for.
        open: OpenRequest,
        /// The server where it plays.
        server: ServerId,
    },
    /// Accept no new sessions from now on.
    Drain,
    /// End all sessions and answer all pending requests: the front stops.
    Stop,
}
