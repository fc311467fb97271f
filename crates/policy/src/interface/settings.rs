//! What holds for a replica from its start: its settings and the classes of sessions.

/// Whether an attempt of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may be attempted again, and rejected, at any time.
    Idempotent,
    /// Once an attempt may have been executed: again only in this scope and within [`Class::retry_window`].
    IdempotentWithin(RetryScope),
    /// Again, or rejected, only if no earlier attempt can have been executed.
    AtMostOnce,
}

/// The servers at which an attempt may be repeated.
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
    /// Wanted bound for the time of a set-up, nanoseconds.
    pub latency_objective: u64,
    /// Whether an attempt may be repeated.
    pub idempotency: Idempotency,
    /// With [`Idempotency::IdempotentWithin`]: how long after an attempt it may be repeated, nanoseconds.
    pub retry_window: u64,
    /// Utility of a second at a rung of utility 1.
    pub priority_weight: f64,
    /// Lowest rung that may be set.
    pub min_rung: u8,
    /// Highest rung of the class.
    pub max_rung: u8,
    /// Its rates over those of the ladder.
    pub rate_factor: f64,
    /// Sessions of one title at once; 0: no cap.
    pub max_sessions_per_title: u32,
    /// Whether viewers of one title share a stream.
    pub live: bool,
}

/// What holds for a replica from its start. The default is all zero: set what the fleet has.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent permissions of a fleet")]
pub struct Settings {
    /// This replica's number, from 0.
    pub front_index: u32,
    /// Number of replicas, this one included.
    pub replica_count: u32,
    /// This replica's zone.
    pub zone: u8,
    /// Classes of sessions.
    pub classes: Vec<Class>,
    /// Rates of the rungs, lowest first, kB a second.
    pub rung_kb: Vec<f64>,
    /// Utility of each rung, 1 at most.
    pub rung_utility: Vec<f64>,
    /// Number of cells that titles are laid over.
    pub cells: u32,
    /// Number of racks; a server's rack is its cell modulo this.
    pub racks: u32,
    /// Streams that a server of each kind runs at most.
    pub stream_capacity: Vec<u32>,
    /// Capacity of all links together at the start, kB a second.
    pub fleet_link_kb: f64,
    /// Capacity of a server's link for each unit of its weight (rough), kB a second.
    pub link_kb: f64,
    /// Mean capacity of a rack's uplink, kB a second.
    pub uplink_kb: f64,
    /// A server rejects set-ups while so much of its link is in use; 0: never.
    pub server_rejection_threshold: f64,
    /// What a further viewer of a live stream adds, as a part of the rate; 1: streams are not shared.
    pub shared_stream_factor: f64,
    /// How old session updates are on arrival, nanoseconds.
    pub update_delay: u64,
    /// Time between updates on the link, nanoseconds; 0: there are none.
    pub update_interval: u64,
    /// Points of utility lost for each point of the rate missing under 98 in 100.
    pub shortfall_cost: f64,
    /// A change of rung costs so many seconds of the class's utility.
    pub rung_change_cost_seconds: f64,
    /// Each tenant's quota over all replicas, requests a second.
    pub tenant_quota: Vec<f64>,
    /// Weight of a request beyond its tenant's quota, as a part of the usual.
    pub over_quota_weight: f64,
    /// Whether discovery only answers requests.
    pub discovery_on_request: bool,
    /// With [`Settings::discovery_on_request`]: how old the endpoint list may become, nanoseconds.
    pub max_discovery_age: u64,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Longest Retry-After that clients follow, nanoseconds; 0: they follow none.
    pub max_retry_after: u64,
    /// Whether health checks may be sent.
    pub health_checks_allowed: bool,
    /// Whether replicas may send each other messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Length of a server's slow start, nanoseconds.
    pub slow_start_duration: u64,
    /// Part of its capacity that a server has at the start of it at least.
    pub slow_start_min_factor: f64,
    /// A server in slow start is overloaded by more than this multiple of the rate that it can serve ...
    pub overload_multiple: f64,
    /// ... for this long, nanoseconds.
    pub overload_window: u64,
    /// Retries allowed however light the traffic; `None`: there is no retry budget.
    pub retry_budget_min: Option<f64>,
    /// Retries allowed for each request received.
    pub retry_budget_ratio: f64,
    /// Time over which the retry budget is counted, nanoseconds.
    pub retry_budget_window: u64,
    /// What serving a session from another zone costs, as a fraction of the result.
    pub cross_zone_price: f64,
    /// What migrating every session once costs, as a fraction of the result.
    pub migration_price: f64,
}
