//! Reads the settings of a replica from JSON. The simulator adapter and the front node share this code, so that both
//! decide by the same values.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod document;
mod error;
pub use error::SettingsError;

use crankpaddle::{Idempotency, LoadField, RetryScope, SessionClass, Settings};
use document::{Facts, Family, Limits, Scope, Semantics, Service};

/// The settings of the policy, with the names of the classes, tenants, zones and kinds of servers that it knows only by
/// index.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Settings of the policy.
    pub settings: Settings,
    /// Names and meanings of the fields of a load report, in the order in which the simulator sends their values.
    pub fields: Vec<(String, LoadField)>,
    /// Names of the classes, in the order of their numbers.
    pub classes: Vec<String>,
    /// Timeout of a request of each class, nanoseconds; 0 if the document states none.
    pub deadlines: Vec<u64>,
    /// Names of the tenants, in the order of their numbers.
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of their numbers; empty if the document states none.
    pub zones: Vec<String>,
    /// Names of the kinds of servers, in the order of their numbers; empty if the document states none.
    pub kinds: Vec<String>,
    /// Timeout of a connection attempt, nanoseconds.
    pub connect_timeout: u64,
    /// Time after which idle connections are closed, nanoseconds; 0 if the document states none.
    pub idle_timeout: u64,
}

/// Parses the JSON document of the settings. Unknown keys are ignored.
///
/// # Errors
/// Fails if the text is not valid JSON, if something that the policy needs is missing, or if values contradict each
/// other.
pub fn parse_settings(text: &[u8]) -> Result<FleetSettings, SettingsError> {
    let document: Facts = serde_json::from_slice(text)?;
    validate(&document)?;
    Ok(FleetSettings {
        fields: report_fields(&document.telemetry.fields),
        classes: document
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
        deadlines: document
            .classes
            .iter()
            .map(|class| class.deadline)
            .collect(),
        tenants: document
            .tenants
            .iter()
            .map(|tenant| tenant.name.clone())
            .collect(),
        zones: document.zones.clone(),
        kinds: document.kinds.clone(),
        connect_timeout: document.limits.connect_timeout,
        idle_timeout: document.limits.idle_timeout,
        settings: policy_settings(document),
    })
}

/// Checks what the types of the document cannot express: lengths of lists and numbers that must not be 0.
fn validate(document: &Facts) -> Result<(), SettingsError> {
    let fleet = &document.fleet;
    let classes = document.classes.len();
    for (field, entries) in [
        ("class-top", fleet.max_rung.len()),
        ("lowest-rung", fleet.min_rung.len()),
        ("rate-factor", fleet.rate_factor.len()),
    ] {
        if entries < classes {
            return Err(SettingsError::MissingEntries {
                field,
                entries,
                classes,
            });
        }
    }
    if fleet.rung_kb.is_empty() || fleet.rung_kb.len() != fleet.rung_utility.len() {
        return Err(SettingsError::RungsDiffer);
    }
    if fleet.cells == 0 || fleet.racks == 0 || document.replica_count == 0 || classes == 0 {
        return Err(SettingsError::Empty);
    }
    Ok(())
}

/// Maps the field names of load reports to the fields that the policy knows.
fn report_fields(names: &[String]) -> Vec<(String, LoadField)> {
    let field = |name: &str| match name {
        "active" => LoadField::Streams,
        "cpu" => LoadField::LinkUtilization,
        "x0" => LoadField::LinkDemand,
        "x1" => LoadField::UplinkDemand,
        _ => LoadField::Other,
    };
    names
        .iter()
        .map(|name| (name.clone(), field(name)))
        .collect()
}

/// Builds the classes of sessions. [`validate`] has made sure that the lists in `fleet` have an entry for each of them.
fn classes(fleet: &Family, services: &[Service]) -> Vec<SessionClass> {
    let services = services.iter().enumerate();
    services
        .map(|(index, service)| class(fleet, index, service))
        .collect()
}

fn class(fleet: &Family, index: usize, class: &Service) -> SessionClass {
    SessionClass {
        latency_objective: class.latency_objective,
        idempotency: idempotency(class),
        retry_window: class.retry_window,
        priority_weight: class.priority_weight,
        min_rung: fleet.min_rung[index],
        max_rung: fleet.max_rung[index],
        rate_factor: fleet.rate_factor[index],
        max_sessions_per_title: fleet
            .max_sessions_per_title
            .get(index)
            .copied()
            .unwrap_or(0),
        live: fleet.is_live.get(index).copied().unwrap_or(false),
    }
}

fn idempotency(class: &Service) -> Idempotency {
    match (&class.idempotency, &class.retry_scope) {
        (Semantics::Free, _) => Idempotency::Idempotent,
        (Semantics::SingleShot, _) => Idempotency::AtMostOnce,
        (Semantics::Guarded, Scope::All) => Idempotency::IdempotentWithin(RetryScope::All),
        (Semantics::Guarded, Scope::Zone) => Idempotency::IdempotentWithin(RetryScope::Zone),
        (Semantics::Guarded, Scope::Cell) => Idempotency::IdempotentWithin(RetryScope::Cell),
    }
}

/// Longest Retry-After that clients respect, nanoseconds; 0 if they respect none.
fn max_retry_after(limits: &Limits) -> u64 {
    if limits.retry_after_followed {
        limits.max_retry_after
    } else {
        0
    }
}

fn policy_settings(document: Facts) -> Settings {
    let (fleet, limits, rules) = (document.fleet, document.limits, document.rules);
    let classes = classes(&fleet, &document.classes);
    let tenants = document.tenants.iter();
    let tenant_quota = tenants.map(|tenant| tenant.quota_per_second).collect();
    let has_retry_budget = rules.retry_budget_min.is_some() || rules.retry_budget_ratio.is_some();
    Settings {
        replica_index: document.replica_index,
        replica_count: document.replica_count,
        zone: document.zone,
        classes,
        rung_kb: fleet.rung_kb,
        rung_utility: fleet.rung_utility,
        cells: fleet.cells,
        racks: fleet.racks,
        stream_capacity: fleet.stream_capacity,
        fleet_link_kb: fleet.fleet_link_kb,
        link_kb: fleet.link_kb,
        uplink_kb: fleet.uplink_kb,
        server_rejection_threshold: fleet.server_rejection_threshold,
        shared_stream_factor: fleet.shared_stream_factor,
        update_delay: fleet.update_delay,
        update_interval: fleet.update_interval,
        shortfall_cost: fleet.shortfall_cost,
        rung_change_cost_seconds: fleet.rung_change_cost_seconds,
        tenant_quota,
        over_quota_weight: document.over_quota_weight,
        discovery_on_request: document.discovery == "ask",
        max_discovery_age: rules.max_discovery_age,
        max_attempts: limits.max_attempts,
        max_retry_after: max_retry_after(&limits),
        health_checks_allowed: limits.health_checks_allowed,
        gossip_allowed: limits.gossip_allowed,
        cancel_allowed: limits.cancel_allowed,
        slow_start_duration: rules.slow_start_duration,
        slow_start_min_factor: rules.slow_start_min_factor,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_window,
        retry_budget_min: has_retry_budget.then(|| rules.retry_budget_min.unwrap_or(0.0)),
        retry_budget_ratio: rules.retry_budget_ratio.unwrap_or(0.0),
        retry_budget_window: rules.retry_budget_window,
        cross_zone_price: document.prices.cross_zone,
        migration_price: document.prices.migration,
    }
}
