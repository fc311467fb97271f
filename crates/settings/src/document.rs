//! The JSON document of the settings, with its key names mapped to those of the policy. The types are named as in the
//! documentation of the format, because serde puts their names into error messages
//! (`expected struct Rules with 8 elements`).
//!
//! Durations are in nanoseconds and rates in kB per second. The fields are documented at
//! [`Settings`](crankpaddle::Settings), [`SessionClass`](crankpaddle::SessionClass) and [`FleetSettings`](super::FleetSettings).
use serde::Deserialize;

/// The top level of the settings document; its sections have types of their own.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Facts {
    #[serde(rename = "index")]
    pub(crate) replica_index: u32,
    #[serde(rename = "siblings")]
    pub(crate) replica_count: u32,
    #[serde(default, rename = "az")]
    pub(crate) zone: u8,
    #[serde(default, rename = "azs")]
    pub(crate) zones: Vec<String>,
    #[serde(default)]
    pub(crate) kinds: Vec<String>,
    #[serde(rename = "services")]
    pub(crate) classes: Vec<Service>,
    #[serde(rename = "family-info")]
    pub(crate) fleet: Family,
    pub(crate) limits: Limits,
    pub(crate) rules: Rules,
    #[serde(default)]
    pub(crate) telemetry: Telemetry,
    #[serde(default)]
    pub(crate) prices: Prices,
    #[serde(default, rename = "parties")]
    pub(crate) tenants: Vec<Party>,
    #[serde(default = "one", rename = "over-share-worth")]
    pub(crate) over_quota_weight: f64,
    #[serde(default)]
    pub(crate) discovery: String,
}

/// A class of sessions, apart from its rungs and rates, which are in [`Family`].
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Service {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "aim")]
    pub(crate) latency_objective: u64,
    #[serde(default)]
    pub(crate) deadline: u64,
    #[serde(rename = "semantics")]
    pub(crate) idempotency: Semantics,
    #[serde(default, rename = "key-scope")]
    pub(crate) retry_scope: Scope,
    #[serde(default, rename = "memory-span")]
    pub(crate) retry_window: u64,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
}

/// Whether an attempt of a class may be repeated.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Semantics {
    /// At any time and at any server.
    Free,
    /// Within the retry scope and window of the class.
    Guarded,
    /// Only if no earlier attempt can have been executed.
    SingleShot,
}

/// The servers at which an attempt of a [`Semantics::Guarded`] class may be repeated.
#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Scope {
    #[default]
    All,
    #[serde(alias = "az", alias = "campus")]
    Zone,
    #[serde(alias = "slot-no")]
    Cell,
}

/// The ladder of rungs, the servers and the links. Lists by class are in the order of [`Facts::classes`], lists by rung
/// begin with the lowest.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Family {
    pub(crate) cells: u32,
    #[serde(rename = "cabinets")]
    pub(crate) racks: u32,
    #[serde(rename = "class-top")]
    pub(crate) max_rung: Vec<u8>,
    #[serde(rename = "lowest-rung")]
    pub(crate) min_rung: Vec<u8>,
    pub(crate) rate_factor: Vec<f64>,
    #[serde(default, rename = "licence-cap")]
    pub(crate) max_sessions_per_title: Vec<u32>,
    #[serde(default)]
    pub(crate) is_live: Vec<bool>,
    #[serde(rename = "fleet-kb")]
    pub(crate) fleet_link_kb: f64,
    #[serde(default, rename = "guard")]
    pub(crate) server_rejection_threshold: f64,
    #[serde(default = "one", rename = "join")]
    pub(crate) shared_stream_factor: f64,
    #[serde(rename = "kb-per-weight")]
    pub(crate) link_kb: f64,
    #[serde(rename = "level-kb")]
    pub(crate) rung_kb: Vec<f64>,
    #[serde(rename = "rung-worth")]
    pub(crate) rung_utility: Vec<f64>,
    #[serde(rename = "places-by-kind")]
    pub(crate) stream_capacity: Vec<u32>,
    #[serde(default, rename = "see")]
    pub(crate) update_delay: u64,
    #[serde(default)]
    pub(crate) shortfall_cost: f64,
    #[serde(default, rename = "switch-s")]
    pub(crate) rung_change_cost_seconds: f64,
    #[serde(default, rename = "told-every")]
    pub(crate) update_interval: u64,
    pub(crate) uplink_kb: f64,
}

/// What a replica may do, and its limits.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent permissions of the format"
)]
pub(crate) struct Limits {
    #[serde(rename = "attempts-cap")]
    pub(crate) max_attempts: u32,
    #[serde(default = "quarter_second")]
    pub(crate) connect_timeout: u64,
    #[serde(default, rename = "conn-idle")]
    pub(crate) idle_timeout: u64,
    #[serde(default, rename = "cancel")]
    pub(crate) cancel_allowed: bool,
    #[serde(default)]
    pub(crate) max_retry_after: u64,
    #[serde(default, rename = "retry-after")]
    pub(crate) retry_after_followed: bool,
    #[serde(default, rename = "may-tell")]
    pub(crate) gossip_allowed: bool,
    #[serde(default, rename = "probing")]
    pub(crate) health_checks_allowed: bool,
}

/// The rules for discovery, retries and slow start.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Rules {
    #[serde(default, rename = "ask-within")]
    pub(crate) max_discovery_age: u64,
    #[serde(rename = "extra-floor")]
    pub(crate) retry_budget_min: Option<f64>,
    #[serde(rename = "extra-share")]
    pub(crate) retry_budget_ratio: Option<f64>,
    #[serde(default, rename = "budget-window")]
    pub(crate) retry_budget_window: u64,
    #[serde(rename = "cold-share")]
    pub(crate) slow_start_min_factor: f64,
    #[serde(rename = "cold")]
    pub(crate) slow_start_duration: u64,
    #[serde(rename = "tip-multiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "fall")]
    pub(crate) overload_window: u64,
}

/// The content of load reports.
#[derive(Deserialize, Default)]
pub(crate) struct Telemetry {
    /// Names of the fields of a load report, in the order in which the simulator sends their values.
    #[serde(default)]
    pub(crate) fields: Vec<String>,
}

/// Costs of decisions, as fractions of the result.
#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct Prices {
    pub(crate) cross_zone: f64,
    #[serde(rename = "moves")]
    pub(crate) migration: f64,
}

/// A tenant, with its quota of requests per second over all replicas.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct Party {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(default, rename = "quota-per-s")]
    pub(crate) quota_per_second: f64,
}

/// Default of factors that have no effect unless they are set.
fn one() -> f64 {
    1.0
}

/// Default of the timeout of a connection attempt, nanoseconds.
fn quarter_second() -> u64 {
    250_000_000
}
