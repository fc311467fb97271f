//! Events: what the embedder reports.
use super::{CrossZonePolicy, Endpoint, EndpointListKind, LoadReport, RequestId, ServerId, Time};

/// A viewer's request for a session.
#[derive(Clone, Debug, Default)]
pub struct SessionRequest {
    /// The request.
    pub request: RequestId,
    /// The viewer; the same when it comes again.
    pub viewer: u64,
    /// Class, an index into [`Settings::classes`](super::Settings::classes).
    pub class: u8,
    /// Tenant, an index into [`Settings::tenant_quota`](super::Settings::tenant_quota).
    pub tenant: u16,
    /// Title.
    pub title: u64,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub cell_count: u32,
    /// Highest rung the viewer can use.
    pub max_rung: u8,
    /// When the request times out.
    pub deadline: Time,
    /// Estimate of how long it will be watched, nanoseconds.
    pub duration_hint: Option<u64>,
    /// Whether it is a client's retry.
    pub is_retry: bool,
    /// Whether it returns from a migration.
    pub is_migration: bool,
}

/// How an attempt, or a health check, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server completed it.
    Completed,
    /// The server answered with an error; the attempt may have been executed.
    ServerError,
    /// The server rejected it; it was not executed.
    Rejected,
    /// No answer in time; it may have been executed.
    Timeout,
    /// No connection; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// It was cancelled; it may have been executed.
    Cancelled,
    /// It was not sent.
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
    /// Part of its rate that the server delivers.
    DeliveryRatio(f64),
    /// The rung in force.
    Rung(u8),
    /// What is asked of the link over its capacity.
    LinkDemand(f64),
    /// What is asked of the rack's uplink over its capacity.
    UplinkDemand(f64),
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list was received.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A viewer requests a session.
    SessionRequested(SessionRequest),
    /// A session was established before this replica started; its attempt has number 0.
    SessionAdopted(SessionRequest, ServerId),
    /// An attempt succeeded: its session is established.
    SessionEstablished {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// Time since the attempt was sent.
        setup_time: u64,
    },
    /// An update on one of this replica's sessions.
    SessionUpdated {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// The update.
        update: SessionUpdate,
    },
    /// An attempt ended, or the session that it had established.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Whether the request has its final answer.
        is_final: bool,
        /// The load report that came with it.
        report: LoadReport,
    },
    /// From now on sessions of a class may be served from a zone like this; until then, freely.
    CrossZonePolicyChanged {
        /// The zone of the servers.
        zone: u8,
        /// The class.
        class: u8,
        /// How.
        policy: CrossZonePolicy,
    },
    /// The highest rung of a session changed; a session above it is demoted.
    MaxRungChanged {
        /// The request.
        request: RequestId,
        /// The rung.
        max_rung: u8,
    },
    /// The viewer left; no answer is expected any more.
    ClientLeft(RequestId),
    /// A timer that [`Action::SetTimer`](super::Action::SetTimer) set is due.
    Timer(u32),
    /// A health check ended.
    HealthCheckCompleted {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came with it.
        report: LoadReport,
    },
    /// Number of replicas as far as is known, this one included; in place of [`Settings::replica_count`](super::Settings::replica_count).
    ReplicaCountChanged(u32),
    /// A message of another replica.
    PeerMessage {
        /// The replica's number.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}
