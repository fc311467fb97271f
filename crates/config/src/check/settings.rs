//! Assembles the settings of the decision module from the checked sections.
use super::fleet::FleetSettings;
use super::front::Replica;
use super::ladder::LadderSettings;
use super::rules::RuleSettings;
use crankpaddle::{SessionClass, Settings};

/// The checked values that go into the settings.
pub(super) struct SettingsParts {
    pub(super) replica: Replica,
    pub(super) zone: usize,
    pub(super) classes: Vec<SessionClass>,
    pub(super) fleet: FleetSettings,
    pub(super) ladder: LadderSettings,
    pub(super) tenant_quota: Vec<f64>,
    pub(super) rules: RuleSettings,
}

pub(super) fn settings(parts: SettingsParts) -> Settings {
    let SettingsParts {
        replica,
        fleet,
        ladder,
        rules,
        ..
    } = parts;
    Settings {
        replica_index: replica.index,
        replica_count: replica.count,
        zone: parts.zone as u8,
        classes: parts.classes,
        rung_kb: ladder.rung_kb,
        rung_utility: ladder.rung_utility,
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
        shortfall_cost: ladder.shortfall_cost,
        rung_change_cost_seconds: ladder.rung_change_cost_seconds,
        tenant_quota: parts.tenant_quota,
        over_quota_weight: rules.over_quota_weight,
        discovery_on_request: false,
        max_discovery_age: 0,
        max_attempts: rules.max_attempts,
        max_retry_after: rules.max_retry_after,
        health_checks_allowed: false,
        gossip_allowed: false,
        cancel_allowed: true,
        slow_start_duration: rules.slow_start_duration,
        slow_start_min_factor: rules.slow_start_min_factor,
        overload_multiple: rules.overload_multiple,
        overload_window: rules.overload_window,
        retry_budget_min: rules.retry_budget.min,
        retry_budget_ratio: rules.retry_budget.ratio,
        retry_budget_window: rules.retry_budget.window,
        cross_zone_price: rules.cross_zone_price,
        migration_price: 0.0,
    }
}
