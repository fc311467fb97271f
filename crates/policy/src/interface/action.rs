//! Actions that the embedder carries out.
use super::{RequestId, ServerId, Time};

/// An action that the embedder carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up to a server.
    StartAttempt {
        /// The request that is attempted.
        request: RequestId,
        /// The server that is to set up the session.
        server: ServerId,
        /// Time allowed for the set-up, nanoseconds; 0 means until the deadline of the request.
        timeout: u64,
    },
    /// Set the rung: that of the attempt that follows, or of an established session.
    SetRung {
        /// The request of the attempt or session.
        request: RequestId,
        /// The rung to set, counted from 0.
        rung: u8,
    },
    /// Final answer: rejected; the client may send the request again.
    Reject {
        /// The request that is rejected.
        request: RequestId,
        /// Time after which the client may retry, nanoseconds; 0 means that no time is stated.
        retry_after: u64,
    },
    /// Final answer: failed; an attempt may have been executed and must not be repeated.
    Fail(RequestId),
    /// Cancel an attempt that is in progress.
    CancelAttempt {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt within the request, counted from 0.
        attempt: u8,
    },
    /// Remove the session from its server; it returns as a new request.
    MigrateSession(RequestId),
    /// Send [`Event::Timer`](super::Event::Timer) at a given time.
    SetTimer {
        /// When to send the event.
        at: Time,
        /// The token to pass in the event.
        token: u32,
    },
    /// Send a health check to a server.
    HealthCheck(ServerId),
    /// Subscribe to changes of the endpoint list.
    SubscribeEndpoints,
    /// Request the full endpoint list once.
    FetchEndpoints,
    /// Send a message to all other replicas.
    Broadcast(Vec<u8>),
    /// Write a line to the log.
    Log(String),
}
