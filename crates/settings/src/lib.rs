//! The settings that a front is given at its start, from JSON to the library's terms. The simulator's adapter and the
//! front node read them with the same code, so that both decide on the same figures.
#![allow(clippy::struct_excessive_bools, clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
use crankpaddle::{Class, Idempotency, LoadField, RetryScope, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Facts {
    index: u32,
    siblings: u32,
    #[serde(default)]
    az: u8,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    services: Vec<Service>,
    family_info: Family,
    limits: Limits,
    rules: Rules,
    #[serde(default)]
    telemetry: Telemetry,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    parties: Vec<Party>,
    #[serde(default = "one")]
    over_share_worth: f64,
    #[serde(default)]
    discovery: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Service {
    #[serde(default)]
    name: String,
    aim: u64,
    #[serde(default)]
    deadline: u64,
    semantics: Semantics,
    #[serde(default)]
    key_scope: Scope,
    #[serde(default)]
    memory_span: u64,
    worth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "snake_case")]
enum Scope {
    #[default]
    All,
    #[serde(alias = "az", alias = "campus")]
    Zone,
    #[serde(alias = "slot-no")]
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Family {
    cells: u32,
    cabinets: u32,
    class_top: Vec<u8>,
    lowest_rung: Vec<u8>,
    rate_factor: Vec<f64>,
    #[serde(default)]
    licence_cap: Vec<u32>,
    #[serde(default)]
    is_live: Vec<bool>,
    fleet_kb: f64,
    #[serde(default)]
    guard: f64,
    #[serde(default = "one")]
    join: f64,
    kb_per_weight: f64,
    level_kb: Vec<f64>,
    rung_worth: Vec<f64>,
    places_by_kind: Vec<u32>,
    #[serde(default)]
    see: u64,
    #[serde(default)]
    shortfall_cost: f64,
    #[serde(default)]
    switch_s: f64,
    #[serde(default)]
    told_every: u64,
    uplink_kb: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Limits {
    attempts_cap: u32,
    #[serde(default = "quarter_second")]
    connect_timeout: u64,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    max_retry_after: u64,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    may_tell: bool,
    #[serde(default)]
    probing: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    #[serde(default)]
    ask_within: u64,
    extra_floor: Option<f64>,
    extra_share: Option<f64>,
    #[serde(default)]
    budget_window: u64,
    cold_share: f64,
    cold: u64,
    tip_multiple: f64,
    fall: u64,
}

#[derive(Deserialize, Default)]
struct Telemetry {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case", default)]
struct Prices {
    cross_zone: f64,
    moves: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Party {
    #[serde(default)]
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

fn one() -> f64 {
    1.0
}

fn quarter_second() -> u64 {
    250_000_000
}

/// What was read: the module's settings, and the names that stand for its numbers outside of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// The module's settings.
    pub settings: Settings,
    /// Figures of a load report, in the order in which the simulator sends them, with their names.
    pub fields: Vec<(String, LoadField)>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// How long a viewer waits at most, for each class, nanoseconds.
    pub deadlines: Vec<u64>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of servers.
    pub kinds: Vec<String>,
    /// A connection that does not come up within this time never will, nanoseconds.
    pub connect_timeout: u64,
}

/// Reads the settings.
///
/// # Errors
/// They are no JSON, lack what the module needs, or contradict themselves.
pub fn parse(text: &[u8]) -> Result<Fleet, String> {
    let f: Facts = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let family = f.family_info;
    for (name, n) in [
        ("class-top", family.class_top.len()),
        ("lowest-rung", family.lowest_rung.len()),
        ("rate-factor", family.rate_factor.len()),
    ] {
        if n < f.services.len() {
            return Err(format!(
                "family-info.{name} has {n} entries for {} classes",
                f.services.len()
            ));
        }
    }
    if family.level_kb.is_empty() || family.level_kb.len() != family.rung_worth.len() {
        return Err("family-info.level-kb and rung-worth must name the same rungs".into());
    }
    if family.cells == 0 || family.cabinets == 0 || f.siblings == 0 || f.services.is_empty() {
        return Err("cells, cabinets, siblings and services must not be empty".into());
    }
    let classes = f.services.iter().enumerate().map(|(i, s)| Class {
        latency_objective: s.aim,
        idempotency: match (&s.semantics, &s.key_scope) {
            (Semantics::Free, _) => Idempotency::Idempotent,
            (Semantics::SingleShot, _) => Idempotency::AtMostOnce,
            (Semantics::Guarded, Scope::All) => Idempotency::IdempotentWithin(RetryScope::All),
            (Semantics::Guarded, Scope::Zone) => Idempotency::IdempotentWithin(RetryScope::Zone),
            (Semantics::Guarded, Scope::Cell) => Idempotency::IdempotentWithin(RetryScope::Cell),
        },
        retry_window: s.memory_span,
        priority_weight: s.worth,
        min_rung: family.lowest_rung[i],
        max_rung: family.class_top[i],
        rate_factor: family.rate_factor[i],
        max_sessions_per_title: family.licence_cap.get(i).copied().unwrap_or(0),
        live: family.is_live.get(i).copied().unwrap_or(false),
    });
    let field = |name: &str| match name {
        "active" => LoadField::Streams,
        "cpu" => LoadField::LinkUtilization,
        "x0" => LoadField::LinkDemand,
        "x1" => LoadField::UplinkDemand,
        _ => LoadField::Other,
    };
    let fields = f.telemetry.fields.into_iter().map(|name| {
        let field = field(&name);
        (name, field)
    });
    let names = f.services.iter().map(|s| s.name.clone()).collect();
    let deadlines = f.services.iter().map(|s| s.deadline).collect();
    let rationed = f.rules.extra_floor.is_some() || f.rules.extra_share.is_some();
    let settings = Settings {
        front_index: f.index,
        replica_count: f.siblings,
        zone: f.az,
        classes: classes.collect(),
        rung_kb: family.level_kb,
        rung_utility: family.rung_worth,
        cells: family.cells,
        racks: family.cabinets,
        stream_capacity: family.places_by_kind,
        fleet_link_kb: family.fleet_kb,
        link_kb: family.kb_per_weight,
        uplink_kb: family.uplink_kb,
        server_rejection_threshold: family.guard,
        shared_stream_factor: family.join,
        update_delay: family.see,
        update_interval: family.told_every,
        shortfall_cost: family.shortfall_cost,
        rung_change_cost_seconds: family.switch_s,
        tenant_quota: f.parties.iter().map(|p| p.quota_per_s).collect(),
        over_quota_weight: f.over_share_worth,
        discovery_on_request: f.discovery == "ask",
        max_discovery_age: f.rules.ask_within,
        max_attempts: f.limits.attempts_cap,
        max_retry_after: if f.limits.retry_after {
            f.limits.max_retry_after
        } else {
            0
        },
        health_checks_allowed: f.limits.probing,
        gossip_allowed: f.limits.may_tell,
        cancel_allowed: f.limits.cancel,
        slow_start_duration: f.rules.cold,
        slow_start_min_factor: f.rules.cold_share,
        overload_multiple: f.rules.tip_multiple,
        overload_window: f.rules.fall,
        retry_budget_min: rationed.then(|| f.rules.extra_floor.unwrap_or(0.0)),
        retry_budget_ratio: f.rules.extra_share.unwrap_or(0.0),
        retry_budget_window: f.rules.budget_window,
        cross_zone_price: f.prices.cross_zone,
        migration_price: f.prices.moves,
    };
    Ok(Fleet {
        settings,
        fields: fields.collect(),
        classes: names,
        deadlines,
        tenants: f.parties.into_iter().map(|p| p.name).collect(),
        zones: f.azs,
        kinds: f.kinds,
        connect_timeout: f.limits.connect_timeout,
    })
}
