//! The parts of the bench's day files that the import reads. The serialized names are those of the files.
use serde::Deserialize;
use serde_json::Value;

/// A day file. Times are in microseconds and sizes in kB, except where a name says otherwise.
#[derive(Deserialize)]
pub(super) struct DayFile {
    pub(super) site: String,
    pub(super) kind: String,
    pub(super) length: u64,
    pub(super) zones: Vec<String>,
    pub(super) traffic: Traffic,
    pub(super) clients: Clients,
    pub(super) discovery: Discovery,
    pub(super) classes: Vec<Class>,
    pub(super) tiers: Vec<Tier>,
    pub(super) servers: Vec<Value>,
    pub(super) balancers: Vec<Value>,
    #[serde(rename = "troubles")]
    pub(super) faults: Vec<BenchFault>,
    #[serde(rename = "fam")]
    pub(super) family: Family,
    #[serde(rename = "fall_multiple")]
    pub(super) overload_multiple: f64,
    #[serde(rename = "fall_for")]
    pub(super) overload_window: u64,
    pub(super) allow: Allow,
}

#[derive(Deserialize)]
pub(super) struct Traffic {
    pub(super) load: f64,
}

#[derive(Deserialize)]
pub(super) struct Clients {
    pub(super) honour: f64,
    pub(super) max_retry_after: u64,
}

#[derive(Deserialize)]
pub(super) struct Discovery {
    #[serde(rename = "notice")]
    pub(super) list_delay: u64,
}

#[derive(Deserialize)]
pub(super) struct Allow {
    pub(super) max_attempts: u32,
}

#[derive(Deserialize)]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) share: f64,
    pub(super) work: f64,
    #[serde(rename = "aim")]
    pub(super) latency_objective: u64,
    pub(super) deadline: u64,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
    pub(super) effect: String,
    pub(super) group: String,
    #[serde(rename = "window")]
    pub(super) idempotency_window: u64,
}

#[derive(Deserialize)]
pub(super) struct Tier {
    pub(super) kinds: Vec<Machine>,
    #[serde(rename = "stated_cold")]
    pub(super) slow_start_duration: u64,
    #[serde(rename = "stated_cold_from")]
    pub(super) slow_start_min_factor: f64,
}

#[derive(Deserialize)]
pub(super) struct Machine {
    pub(super) name: String,
    pub(super) cores: u32,
}

/// The common properties of the servers and titles of a site.
#[derive(Deserialize)]
pub(super) struct Family {
    pub(super) capacity: f64,
    pub(super) cells: u32,
    pub(super) core_kb: f64,
    pub(super) core_slots: f64,
    #[serde(rename = "life_s")]
    pub(super) session_length_s: f64,
    pub(super) racks: u32,
    #[serde(rename = "rates")]
    pub(super) rung_kb: Vec<f64>,
    #[serde(rename = "worth")]
    pub(super) rung_utility: Vec<f64>,
    pub(super) uplink_kb: Vec<f64>,
    #[serde(rename = "uses")]
    pub(super) class_terms: Vec<ClassTerms>,
    #[serde(rename = "stall")]
    pub(super) shortfall_cost: f64,
    #[serde(rename = "switch_s")]
    pub(super) switch_seconds: f64,
    #[serde(rename = "see")]
    pub(super) report_delay: u64,
    #[serde(rename = "tell")]
    pub(super) report_interval: u64,
    pub(super) title_zipf: f64,
    pub(super) titles: u32,
    pub(super) copies: f64,
    pub(super) returns: f64,
    #[serde(rename = "rejoin_us")]
    pub(super) return_after: f64,
    pub(super) guard: f64,
    pub(super) join: f64,
}

#[derive(Deserialize)]
pub(super) struct ClassTerms {
    #[serde(rename = "floor")]
    pub(super) lowest_rung: u32,
    #[serde(rename = "top")]
    pub(super) highest_rung: u32,
    #[serde(rename = "scale")]
    pub(super) rate_factor: f64,
    pub(super) seats: f64,
    pub(super) live: bool,
}

/// A fault. The meaning of `size`, `extra` and `targets` depends on its kind.
#[derive(Deserialize)]
pub(super) struct BenchFault {
    pub(super) kind: String,
    pub(super) at: u64,
    #[serde(rename = "len")]
    pub(super) length: u64,
    pub(super) size: f64,
    pub(super) extra: f64,
    #[serde(rename = "on")]
    pub(super) targets: Vec<u32>,
    #[serde(rename = "which")]
    pub(super) zone_index: usize,
    #[serde(default)]
    pub(super) steps: Vec<RestartStep>,
}

/// A step of a rolling restart, at which the servers with these numbers stop.
#[derive(Deserialize)]
pub(super) struct RestartStep {
    pub(super) at: u64,
    pub(super) stop: Vec<u32>,
}
