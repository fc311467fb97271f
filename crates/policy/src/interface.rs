//! What goes into a [`PlacementPolicy`](crate::PlacementPolicy) and what comes out of it. No choice is made in this file.
//!
//! Times and durations are in nanoseconds; rates in kB a second; rungs count from 0, the lowest.

/// A media server, the same at every front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// One request for a session; a viewer who comes again has a new one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A point on a clock that only increases, in nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

/// What a set-up of a class may do if it is made twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be set up again, and rejected, without harm.
    Idempotent,
    /// Once an attempt may have run: again only in its group and within a time.
    IdempotentWithin(RetryScope),
    /// Set up once: again, or rejected, only when no earlier attempt can have run.
    AtMostOnce,
}

/// The servers that may repeat an attempt of a guarded class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// Any server.
    All,
    /// Those of the first attempt's zone.
    Zone,
    /// Those of its cell.
    Cell,
}

/// A class of sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Wanted bound for a set-up.
    pub latency_objective: u64,
    /// What a second set-up may do.
    pub idempotency: Idempotency,
    /// For guarded classes: how long after an attempt it may be repeated.
    pub retry_window: u64,
    /// Worth of a second at a rung of worth 1.
    pub priority_weight: f64,
    /// Lowest rung that may be set.
    pub min_rung: u8,
    /// Highest rung of the class.
    pub max_rung: u8,
    /// Its rates over those of the ladder.
    pub rate_factor: f64,
    /// Sessions of one title that a front may hold; 0: no cap.
    pub max_sessions_per_title: u32,
    /// Whether viewers of one title share a stream.
    pub live: bool,
}

/// One figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadField {
    /// Streams run or being set up.
    Streams,
    /// Share of the link that is asked, 1 at most.
    LinkUtilization,
    /// What is asked of the link over what it gives.
    LinkDemand,
    /// The same of the rack's uplink.
    UplinkDemand,
    /// Anything else.
    Other,
}

/// A load report: the figures that came, in no fixed order; empty when none came.
pub type LoadReport = Vec<(LoadField, f64)>;

/// What holds for a front from its start. The default is all zero: name what your fleet has.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// This front's number among its siblings, itself included.
    pub front_index: u32,
    /// Number of fronts.
    pub replica_count: u32,
    /// The front's zone.
    pub zone: u8,
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Rates of the rungs.
    pub rung_kb: Vec<f64>,
    /// What each rung earns, 1 at most.
    pub rung_utility: Vec<f64>,
    /// Number of cells that titles are laid over.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// Streams a server of each kind runs at most.
    pub stream_capacity: Vec<u32>,
    /// All links together at the start.
    pub fleet_link_kb: f64,
    /// Link of a server for each unit of its weight (rough).
    pub link_kb: f64,
    /// Mean uplink of a rack.
    pub uplink_kb: f64,
    /// A server rejects set-ups while so much of its link is asked; 0: never.
    pub server_rejection_threshold: f64,
    /// What a further viewer of a live stream adds, as a part of the rate; 1: nothing is shared.
    pub shared_stream_factor: f64,
    /// How late notes are.
    pub update_delay: u64,
    /// Time between notes of the link; 0: none.
    pub update_interval: u64,
    /// Points of worth lost for each point of the rate missing under 98 in 100.
    pub shortfall_cost: f64,
    /// A change of rung costs so many seconds of the class's worth.
    pub rung_change_cost_seconds: f64,
    /// Each tenant's requests a second within its share, over all fronts.
    pub tenant_quota: Vec<f64>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_quota_weight: f64,
    /// Whether discovery only speaks when asked.
    pub discovery_on_request: bool,
    /// Where it must be asked: how long a front may go without.
    pub max_discovery_age: u64,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Longest advice to stay away that clients follow; 0: none follow any.
    pub max_retry_after: u64,
    /// Whether servers may be probed.
    pub health_checks_allowed: bool,
    /// Whether fronts may send each other messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Time after which a server that started is warm.
    pub slow_start_duration: u64,
    /// Part of its capacity that a server starts with at least.
    pub slow_start_min_factor: f64,
    /// A cold server falls when sent more than this multiple of its present pace ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: u64,
    /// Further attempts allowed however light the traffic; `None`: no allowance is set.
    pub retry_budget_min: Option<f64>,
    /// Further attempts allowed for each request taken.
    pub retry_budget_ratio: f64,
    /// Time over which the allowance is counted.
    pub retry_budget_window: u64,
    /// Points of the result that a session's move between zones costs, as a fraction.
    pub cross_zone_price: f64,
    /// What moving every session once costs, as a fraction of the result.
    pub migration_price: f64,
}

/// State of a server in a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// Runs.
    Ready,
    /// Ends its work; nothing new may go there.
    Draining,
    /// Is no more.
    #[default]
    Removed,
}

/// One entry of the list of servers.
#[derive(Clone, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its kind, an index into [`Settings::stream_capacity`].
    pub kind: u16,
    /// Its cell.
    pub cell: u16,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its size against other servers.
    pub weight: f64,
    /// Its last start; zero: long past.
    pub started_at: Time,
}

/// How a list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only what changed.
    Delta,
    /// All there is.
    Full,
    /// All there was when last heard; may be outdated.
    Cached,
    /// A call to discovery failed; nothing is listed.
    Failed,
}

/// A viewer's request for a session.
#[derive(Clone, Debug, Default)]
pub struct SessionRequest {
    /// The request.
    pub request: RequestId,
    /// The viewer; the same when it comes again.
    pub viewer: u64,
    /// Class, an index into [`Settings::classes`].
    pub class: u8,
    /// Tenant, an index into [`Settings::tenant_quota`].
    pub tenant: u16,
    /// Title.
    pub title: u64,
    /// First cell that holds the title.
    pub first_cell: u32,
    /// Cells in a row that hold it.
    pub cell_count: u32,
    /// Highest rung the viewer can use.
    pub max_rung: u8,
    /// When the viewer gives up.
    pub deadline: Time,
    /// A guess of how long it is watched, if there is one.
    pub duration_hint: Option<u64>,
    /// Whether it is known to come again.
    pub is_retry: bool,
    /// Whether it comes back from a move.
    pub is_migration: bool,
}

/// How an attempt, or a probe, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Completed,
    /// The server answered with an error; it may have run.
    ServerError,
    /// Turned away unseen; it never ran.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the server may have executed an attempt that ended like this.
    pub(crate) fn may_have_executed(self) -> bool {
        !matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// A note on a playing session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SessionUpdate {
    /// Share of the rate delivered at the server.
    DeliveryRatio(f64),
    /// The rung in force.
    Rung(u8),
    /// What is asked of the link over what it gives.
    LinkDemand(f64),
    /// The same of the rack's uplink.
    UplinkDemand(f64),
}

/// How sessions of a class may be served from another zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CrossZonePolicy {
    /// Like from any other.
    #[default]
    Allowed,
    /// Only where no free zone has room.
    LastResort,
    /// None starts there, none is raised there.
    Forbidden,
}

/// What a front hears. `took` is the time since the attempt was sent.
#[derive(Clone, Debug)]
pub enum Event {
    /// A list of servers.
    EndpointList(EndpointListKind, Vec<Endpoint>),
    /// A viewer wants a session.
    SessionRequested(SessionRequest),
    /// A session that was under way at the start; its attempt has number 0.
    SessionAdopted(SessionRequest, ServerId),
    /// An attempt's session plays.
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
    /// A note on one of this front's sessions.
    SessionUpdated {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// What it tells.
        update: SessionUpdate,
    },
    /// An attempt ended; `closed` tells that the request has its final answer.
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
    /// From now on sessions of a class may be served from a zone like this; before it is told, freely.
    CrossZonePolicyChanged {
        /// The zone of the servers.
        zone: u8,
        /// The class.
        class: u8,
        /// How.
        policy: CrossZonePolicy,
    },
    /// The highest rung of a session, from now on; one that plays higher is lowered.
    MaxRungChanged {
        /// The request.
        request: RequestId,
        /// The rung.
        max_rung: u8,
    },
    /// The viewer left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A timer that the front set.
    Timer(u32),
    /// A probe's result.
    HealthCheckCompleted {
        /// The server.
        server: ServerId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The load report that came with it.
        report: LoadReport,
    },
    /// So many fronts are in the fleet as far as is known, this one with them; in place of [`Settings::replica_count`].
    ReplicaCountChanged(u32),
    /// A message of a sibling.
    PeerMessage {
        /// The sibling's number.
        from: u32,
        /// What it says.
        bytes: Vec<u8>,
    },
}

/// What is estimated of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// The server.
    pub server: ServerId,
    /// What is asked of its link over the link's capacity.
    pub link_fill: f64,
    /// The same of its uplink.
    pub uplink_fill: f64,
    /// Whether a set-up of an idempotent class may go there.
    pub usable: bool,
}

/// What a front wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Set the session up at a server; 0: until the viewer gives up.
    StartAttempt {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time allowed; 0: until the viewer gives up.
        timeout: u64,
    },
    /// Set the rung, before an attempt or while it plays.
    SetRung {
        /// The request.
        request: RequestId,
        /// The rung.
        rung: u8,
    },
    /// Final answer: rejected; come back after `stay_away` (0: no advice).
    Reject {
        /// The request.
        request: RequestId,
        /// When to come back; 0: no advice.
        retry_after: u64,
    },
    /// Final answer: failed, perhaps with effect.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u8,
    },
    /// Take the session off its server; it comes back as a new request.
    MigrateSession(RequestId),
    /// Call [`Event::Timer`] with this token at that time.
    SetTimer {
        /// When.
        at: Time,
        /// What the timer is called with.
        token: u32,
    },
    /// Probe a server.
    HealthCheck(ServerId),
    /// Subscribe to changes of the list.
    SubscribeEndpoints,
    /// Ask for the whole list once.
    FetchEndpoints,
    /// Send a message to all siblings.
    Broadcast(Vec<u8>),
    /// A line for the log.
    Log(String),
}
