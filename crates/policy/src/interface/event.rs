//! Events that the embedder reports.
use super::{CrossZonePolicy, Endpoint, EndpointListKind, LoadReport, RequestId, ServerId, Time};

/// A viewer's request for a session.
#[derive(Clone, Debug, Default)]
pub struct SessionRequest {
    /// Identifier of the request; each retry has its own.
    pub request: RequestId,
    /// Identifier of the viewer, the same in all requests of that viewer.
    pub viewer: u64,
    /// Class of the session, an index into [`Settings::classes`](super::Settings::classes).
    pub class: u8,
    /// Tenant of the viewer, an index into [`Settings::tenant_quota`](super::Settings::tenant_quota).
    pub tenant: u16,
    /// Identifier of the title to play.
    pub title: u64,
    /// Number of the first cell that holds the title.
    pub first_cell: u32,
    /// Number of consecutive cells that hold the title; it wraps around after the last cell.
    pub cell_count: u32,
    /// Highest rung that the viewer can use.
    pub max_rung: u8,
    /// When the request times out; no attempt is sent after it.
    pub deadline: Time,
    /// Estimated viewing time, nanoseconds; `None` if unknown.
    pub duration_hint: Option<u64>,
    /// Whether the client retries an earlier request.
    pub is_retry: bool,
    /// Whether the session returns after a migration.
    pub is_migration: bool,
}

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server completed the attempt, or the session that it had established.
    Completed,
    /// The server answered with an error; the attempt may have been executed.
    ServerError,
    /// The server rejected the attempt; it was not executed.
    Rejected,
    /// There was no answer in time; the attempt may have been executed.
    Timeout,
    /// No connection could be made; the attempt was not executed.
    ConnectFailed,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// The attempt was cancelled; it may have been executed.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the server may have executed an attempt that ended like this.
    pub(crate) fn may_have_executed(self) -> bool {
        !matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// An update on an established session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionUpdate {
    /// Fraction of the session's rate that the server delivers.
    DeliveryRatio(f64),
    /// The rung that the server currently serves.
    Rung(u8),
    /// Demand on the server's link divided by the link's capacity; may exceed 1.
    LinkDemand(f64),
    /// Demand on the rack's uplink divided by the uplink's capacity; may exceed 1.
    UplinkDemand(f64),
}

/// An event that the embedder reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list was received.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A viewer requests a session.
    SessionRequested(SessionRequest),
    /// A session was established at this server before this replica started. Its attempt has number 0.
    SessionAdopted(SessionRequest, ServerId),
    /// An attempt succeeded: its session is established.
    SessionEstablished {
        /// The request that was attempted.
        request: RequestId,
        /// Number of the attempt within the request, counted from 0.
        attempt: u8,
        /// The server of the session.
        server: ServerId,
        /// Time from sending the attempt to its success, nanoseconds.
        setup_time: u64,
    },
    /// An update on one of this replica's sessions.
    SessionUpdated {
        /// The request of the session.
        request: RequestId,
        /// The server of the session.
        server: ServerId,
        /// What has changed or was measured.
        update: SessionUpdate,
    },
    /// An attempt ended, or the session that it had established.
    AttemptEnded {
        /// The request that was attempted.
        request: RequestId,
        /// Number of the attempt within the request, counted from 0.
        attempt: u8,
        /// The server of the attempt.
        server: ServerId,
        /// How the attempt or session ended.
        outcome: AttemptOutcome,
        /// Whether the request has its final answer, so that no further attempt is wanted.
        is_final: bool,
        /// The load report that came with the end; empty if there was none.
        report: LoadReport,
    },
    /// How sessions of a class may be served from a zone from now on. Without this event they may be served freely.
    CrossZonePolicyChanged {
        /// The zone of the servers.
        zone: u8,
        /// The class, an index into [`Settings::classes`](super::Settings::classes).
        class: u8,
        /// How the servers of the zone may be used.
        policy: CrossZonePolicy,
    },
    /// The highest rung of a session changed; a session above it is demoted.
    MaxRungChanged {
        /// The request of the session.
        request: RequestId,
        /// The new highest rung. The lowest rung of the class stays the lower bound.
        max_rung: u8,
    },
    /// The viewer left and no longer expects an answer.
    ClientLeft(RequestId),
    /// A timer that was set by [`Action::SetTimer`](super::Action::SetTimer) is due; the value is its token.
    Timer(u32),
    /// A health check ended.
    HealthCheckCompleted {
        /// The server that was checked.
        server: ServerId,
        /// How the health check ended.
        outcome: AttemptOutcome,
        /// The load report that came with the answer; empty if there was none.
        report: LoadReport,
    },
    /// Number of replicas that are currently known, including this one. It replaces
    /// [`Settings::replica_count`](super::Settings::replica_count).
    ReplicaCountChanged(u32),
    /// A message from another replica.
    PeerMessage {
        /// Number of the sending replica, counted from 0.
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
}
