//! The outputs of a core: answers, notifications and actions that its driver carries out.
use crate::ids::{AttemptId, PlayerCall, PlayerId};
use crankpaddle::{RequestId, ServerId, Time};
use crankpaddle_recovery::{RecoveryStage, StageEvidence};
use std::time::Duration;

/// Why a request was rejected. No attempt of it ran, so it may be sent again to any front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Each server that holds the title is at capacity or must not be used now.
    NoCapacity,
    /// The request's own zone has no capacity, and its class may not be served from another zone now.
    CrossZoneForbidden,
    /// The front itself is overloaded and sheds load.
    Overload,
    /// Too many requests are pending, in total or for this player.
    TooManyPending,
    /// The front is shutting down.
    ShuttingDown,
    /// The front recovers from a power loss, and other classes are served first.
    Recovering,
}

/// Why a request failed. An attempt of it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// A server did not answer an attempt in time.
    NoAnswer,
    /// A server answered with an error.
    ServerError,
    /// The connection to a server was lost while an attempt was outstanding.
    ConnectionLost,
    /// The attempt was cancelled, for instance because its player left.
    Cancelled,
    /// The key names a paid session that has ended. A new session needs a new key.
    KeySpent,
}

/// The one answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The session is established at a server.
    Established {
        /// The request that the session was established for.
        session: RequestId,
        /// Its attempt, which identifies the session at the server.
        attempt: AttemptId,
        /// The server where the session plays.
        server: ServerId,
        /// The rung in force.
        rung: u8,
    },
    /// The request was rejected. No attempt of it ran, so it may be sent again to any front.
    Rejected {
        /// Why the request was rejected.
        reason: RejectReason,
        /// How long the viewer is asked to wait before its next request; `None` gives no advice.
        retry_after: Option<Duration>,
    },
    /// The request failed. Its set-up may have had an effect at a server.
    Failed(FailureReason),
    /// Another connection reattached to the session with its key and gets the answer.
    Superseded,
    /// The session was closed as requested.
    Closed,
    /// There is no such session, or it belongs to another player.
    UnknownSession,
}

/// A message to a player that is not the answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notification {
    /// The session continues at this rung.
    RungChanged(u8),
    /// The session has ended.
    SessionEnded {
        /// Why the session ended.
        reason: SessionEndReason,
        /// How long the viewer is asked to wait before its next request; `None` gives no advice.
        retry_after: Option<Duration>,
    },
    /// The session migrates. The player has to open it again with the same key.
    Migrate,
}

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionEndReason {
    /// It ran to its end.
    Finished,
    /// Its server was lost.
    ServerLost,
    /// Another connection reattached to it.
    Superseded,
    /// The front is shutting down.
    ShuttingDown,
}

/// The session that a server is requested to set up.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpOrder {
    /// The idempotency key that the player chose for the session.
    pub key: String,
    /// Class, an index into the settings' classes.
    pub class: u8,
    /// Tenant, an index into the settings' tenants.
    pub tenant: u16,
    /// Number of the title to play.
    pub title: u64,
    /// The rung to start at.
    pub rung: u8,
}

/// An action for the driver of a core, which carries the outputs out in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a call. This is its only answer.
    Answer(PlayerCall, Answer),
    /// Send a notification about a session to its player.
    Notify(PlayerId, RequestId, Notification),
    /// Send one attempt to a server. The driver reports the result by
    /// [`Input::SetUpCompleted`](crate::Input::SetUpCompleted) unless the attempt is abandoned first.
    StartSetUp {
        /// The id under which the driver reports the result.
        attempt: AttemptId,
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        number: u8,
        /// The server to which the attempt is sent.
        server: ServerId,
        /// What to set up.
        order: SetUpOrder,
        /// When the attempt times out.
        deadline: Time,
    },
    /// An adopted session is tracked as this attempt from now on.
    SessionAdopted {
        /// The player that the session belongs to.
        player: PlayerId,
        /// Identifies the session at its server from now on.
        attempt: AttemptId,
        /// The server where it plays.
        server: ServerId,
    },
    /// A session that a previous incarnation set up is tracked from now on, or has to be ended.
    FoundSessionHandled {
        /// The token of [`Input::SessionFound`](crate::Input::SessionFound).
        token: u64,
        /// Identifies the session at its server from now on. `None` if the core already knows the key, so that this
        /// session has to be ended.
        attempt: Option<AttemptId>,
        /// The server where it plays.
        server: ServerId,
    },
    /// The staged recovery reached a stage, on the given evidence.
    StageReached(RecoveryStage, StageEvidence),
    /// Stop waiting for an attempt and make sure that the server drops what it may have set up.
    AbandonAttempt(AttemptId, ServerId),
    /// Set the rung of a playing session.
    SetRung(AttemptId, ServerId, u8),
    /// End a playing session at its server.
    TearDown(AttemptId, ServerId),
    /// Check a server's health. The driver reports the result by
    /// [`Input::HealthCheckCompleted`](crate::Input::HealthCheckCompleted).
    HealthCheck(ServerId),
    /// Subscribe to changes of the endpoint list.
    SubscribeEndpoints,
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    /// Write a line of the placement policy to the log.
    Log(String),
}
