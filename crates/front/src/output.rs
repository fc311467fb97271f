//! The outputs of a core: answers, notifications and orders that its driver carries out.
use crate::ids::{AttemptId, Call, PlayerId};
use crankpaddle::{RequestId, ServerId, Time};
use crankpaddle_recovery::{RecoveryStage, StageEvidence};
use std::time::Duration;

/// Why a request was rejected: no attempt of it ran, it may be sent again to any front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// No server that holds the title has capacity or may be used now.
    NoCapacity,
    /// Its own zone has no capacity, and its class may not be served from another zone now.
    CrossZoneForbidden,
    /// The front itself is overloaded and sheds load.
    Overload,
    /// Too many requests are pending, in all or of this player.
    TooManyPending,
    /// The front is shutting down.
    ShuttingDown,
    /// The front recovers from a power loss, and other classes are served first.
    Recovering,
}

/// Why a request failed: an attempt may have run.
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
    /// The key names a paid session that has ended; a new session needs a new key.
    KeySpent,
}

/// The one answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The session plays.
    Established {
        /// The session.
        session: RequestId,
        /// Its attempt, which identifies the session at the server.
        attempt: AttemptId,
        /// The server.
        server: ServerId,
        /// The rung in force.
        rung: u8,
    },
    /// Rejected: none of it ran, and the request may be sent again to any front.
    Rejected {
        /// Why.
        reason: RejectReason,
        /// How long the viewer is asked to wait before its next request; `None`: no advice.
        retry_after: Option<Duration>,
    },
    /// Failed; the set-up may have had an effect.
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
    /// The rung of its session changes.
    RungChanged(u8),
    /// Its session has ended.
    SessionEnded {
        /// Why.
        reason: SessionEndReason,
        /// How long the viewer is asked to wait before its next request; `None`: no advice.
        retry_after: Option<Duration>,
    },
    /// Its session migrates: the player opens it again with the same key.
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

/// What a server is requested to set up.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUpOrder {
    /// The idempotency key that the player chose for the session.
    pub key: String,
    /// Class, an index into the settings' classes.
    pub class: u8,
    /// Tenant, an index into the settings' tenants.
    pub tenant: u16,
    /// Title.
    pub title: u64,
    /// The rung to start at.
    pub rung: u8,
}

/// An action that the driver of a core carries out; outputs are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answer a call; its only answer.
    Answer(Call, Answer),
    /// Notify a player.
    Notify(PlayerId, RequestId, Notification),
    /// Send one attempt to a server. Answered by [`Input::SetUpCompleted`](crate::Input::SetUpCompleted) unless it is
    /// abandoned first.
    StartSetUp {
        /// The attempt.
        attempt: AttemptId,
        /// Its request.
        request: RequestId,
        /// Its number within the request, from 0.
        number: u8,
        /// The server.
        server: ServerId,
        /// What to set up.
        order: SetUpOrder,
        /// When the attempt times out.
        until: Time,
    },
    /// An adopted session is tracked as this attempt from now on.
    SessionAdopted {
        /// The player that the session belongs to.
        player: PlayerId,
        /// Its attempt.
        attempt: AttemptId,
        /// The server where it plays.
        server: ServerId,
    },
    /// A session found at a server is tracked as this attempt from now on; `None`: its key names another session, and
    /// this one has to be ended.
    FoundSessionHandled {
        /// The token of [`Input::SessionFound`](crate::Input::SessionFound).
        token: u64,
        /// Its attempt.
        attempt: Option<AttemptId>,
        /// The server where it plays.
        server: ServerId,
    },
    /// The staged recovery reached a stage.
    StageReached(RecoveryStage, StageEvidence),
    /// Stop waiting for an attempt and make sure that the server drops what it may have set up.
    AbandonAttempt(AttemptId, ServerId),
    /// Set the rung of a playing session.
    SetRung(AttemptId, ServerId, u8),
    /// End a playing session at its server.
    TearDown(AttemptId, ServerId),
    /// Check a server's health; answered by [`Input::HealthCheckCompleted`](crate::Input::HealthCheckCompleted).
    HealthCheck(ServerId),
    /// Subscribe to changes of the endpoint list.
    SubscribeEndpoints,
    /// Fetch the full endpoint list once.
    FetchEndpoints,
    /// A line of the placement policy for the log.
    Log(String),
}
