//! Settings of a replica, which are fixed from its start, and the classes of sessions.

/// Whether an attempt of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// An attempt may be repeated, and the request rejected, at any time.
    Idempotent,
    /// Once an attempt may have been executed, it may be repeated only in this scope and within
    /// [`SessionClass::retry_window`].
    IdempotentWithin(RetryScope),
    /// An attempt may be repeated, or the request rejected, only if no earlier attempt can have been executed.
    AtMostOnce,
}

/// The servers at which an attempt may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryScope {
    /// Any server.
    All,
    /// Servers in the zone of the first attempt that may have been executed.
    Zone,
    /// Servers in the cell of that attempt.
    Cell,
}

/// A class of sessions.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionClass {
    /// Target for the duration of a set-up, nanoseconds.
    pub latency_objective: u64,
    /// Whether an attempt may be repeated.
    pub idempotency: Idempotency,
    /// How long after an attempt it may be repeated, nanoseconds; only for [`Idempotency::IdempotentWithin`].
    pub retry_window: u64,
    /// Utility of one second at a rung whose utility is 1.
    pub priority_weight: f64,
    /// Lowest rung at which a session of the class may be served.
    pub min_rung: u8,
    /// Highest rung at which a session of the class may be served.
    pub max_rung: u8,
    /// Factor by which the rates of the class exceed those of the ladder.
    pub rate_factor: f64,
    /// Highest number of concurrent sessions of a title; 0 means no limit.
    pub max_sessions_per_title: u32,
    /// Whether viewers of one title share a stream.
    pub live: bool,
}

/// Settings of a replica. In the default everything is zero or empty, so set at least what describes the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent permissions of a fleet")]
pub struct Settings {
    /// Number of this replica, counted from 0.
    pub replica_index: u32,
    /// Number of replicas, including this one.
    pub replica_count: u32,
    /// Number of the zone of this replica.
    pub zone: u8,
    /// Classes of sessions; requests refer to them by index.
    pub classes: Vec<SessionClass>,
    /// Rates of the rungs, lowest first, kB per second.
    pub rung_kb: Vec<f64>,
    /// Utility of each rung, lowest first; at most 1.
    pub rung_utility: Vec<f64>,
    /// Number of cells over which the titles are distributed.
    pub cells: u32,
    /// Number of racks. The rack of a server is its cell modulo this number.
    pub racks: u32,
    /// Highest number of streams that a server of each kind can run.
    pub stream_capacity: Vec<u32>,
    /// Summed capacity of all links at the start, kB per second.
    pub fleet_link_kb: f64,
    /// Approximate capacity of a server's link for each unit of its weight, kB per second.
    pub link_kb: f64,
    /// Mean capacity of a rack's uplink, kB per second.
    pub uplink_kb: f64,
    /// Fill of its link at which a server rejects set-ups; 0 means never.
    pub server_rejection_threshold: f64,
    /// Fraction of the rate that each further viewer of a live stream adds; 1 means that streams are not shared.
    pub shared_stream_factor: f64,
    /// Age of session updates on arrival, nanoseconds.
    pub update_delay: u64,
    /// Time between updates on the link, nanoseconds; 0 means that there are none.
    pub update_interval: u64,
    /// Utility lost for each unit by which the delivered fraction of the rate falls below 0.98.
    pub shortfall_cost: f64,
    /// Cost of a rung change, in seconds of the class's utility.
    pub rung_change_cost_seconds: f64,
    /// Quota of each tenant over all replicas, requests per second.
    pub tenant_quota: Vec<f64>,
    /// Weight of a request over its tenant's quota, as a fraction of the normal weight.
    pub over_quota_weight: f64,
    /// Whether discovery only answers requests and does not push changes.
    pub discovery_on_request: bool,
    /// Highest age of the endpoint list, nanoseconds; only used with [`Settings::discovery_on_request`].
    pub max_discovery_age: u64,
    /// Highest number of attempts for a request; 0 counts as 1.
    pub max_attempts: u32,
    /// Longest Retry-After that clients respect, nanoseconds; 0 means that they respect none.
    pub max_retry_after: u64,
    /// Whether health checks may be sent.
    pub health_checks_allowed: bool,
    /// Whether replicas may exchange messages.
    pub gossip_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancel_allowed: bool,
    /// Length of a server's slow start, nanoseconds.
    pub slow_start_duration: u64,
    /// Fraction of its capacity that a server has at least at the beginning of its slow start.
    pub slow_start_min_factor: f64,
    /// Multiple of the rate that a server in slow start can serve; more than that overloads it if it lasts for
    /// [`Settings::overload_window`].
    pub overload_multiple: f64,
    /// Time after which a server in slow start is overloaded by too many set-ups, nanoseconds.
    pub overload_window: u64,
    /// Retries that are allowed even without traffic; `None` means that there is no retry budget.
    pub retry_budget_min: Option<f64>,
    /// Additional retries that are allowed for each received request.
    pub retry_budget_ratio: f64,
    /// Window over which requests and retries are counted for the retry budget, nanoseconds.
    pub retry_budget_window: u64,
    /// Cost of serving a session from another zone, as a fraction of the result.
    pub cross_zone_price: f64,
    /// Cost of migrating every session once, as a fraction of the result.
    pub migration_price: f64,
}
