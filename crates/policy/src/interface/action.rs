//! Actions: what the embedder is to do.
use super::{RequestId, ServerId, Time};

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a set-up to a server.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time allowed, nanoseconds; 0: until the request times out.
        timeout: u64,
    },
    /// Set the rung, before an attempt or of an established session.
    SetRung {
        /// The request.
        request: RequestId,
        /// The rung.
        rung: u8,
    },
    /// Final answer: rejected.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client may retry, nanoseconds; 0: not stated.
        retry_after: u64,
    },
    /// Final answer: failed; an attempt may have been executed.
    Fail(RequestId),
    /// Cancel an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
    },
    /// Remove the session from its server; it returns as a new request.
    MigrateSession(RequestId),
    /// Call [`Event::Timer`](super::Event::Timer) with this token at that time.
    SetTimer {
        /// When.
        at: Time,
        /// The timer's token.
        token: u32,
    },
    /// Send a health check to a server.
    HealthCheck(ServerId),
    /// Subscribe to changes of the endpoint list.
    SubscribeEndpoints,
    /// Request the complete endpoint list once.
    FetchEndpoints,
    /// Send a message to all other replicas.
    Broadcast(Vec<u8>),
    /// Write a line to the log.
    Log(String),
}
