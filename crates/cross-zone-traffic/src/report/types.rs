//! The report of a front's traffic, as it is published and saved.
// The descriptions in api/ contain the doc comments and names of these types word for word; they stay as published.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Bytes of a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields, rename = "Bytes")] // The published name.
pub struct ByteTotals {
    /// When it began, milliseconds since 1970.
    pub at_ms: u64,
    /// How many.
    pub bytes: u64,
}

/// A flow and its bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct FlowReport {
    /// Zone of the servers.
    pub from: String,
    /// Zone of the viewers.
    pub to: String,
    /// Class.
    pub class: String,
    /// Tenant; empty where there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// Group of titles; empty for those without one.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub group: String,
    /// `playing`, `again` (played at a further attempt) or `nothing`.
    pub purpose: String,
    /// Whether it goes between halls.
    pub crosses: bool,
    /// All bytes: those of the three kinds less the overstated.
    pub bytes: u64,
    /// Counted by servers.
    pub measured_bytes: u64,
    /// Estimated, with a report of the share delivered.
    pub corrected_bytes: u64,
    /// Estimated from rung and time alone.
    pub estimated_bytes: u64,
    /// Told before and found not to have been sent.
    pub overstated_bytes: u64,
    /// Late minutes.
    pub minutes: Vec<ByteTotals>,
    /// Late hours.
    pub hours: Vec<ByteTotals>,
}

/// A budget and its use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct BudgetReport {
    /// Zone of the servers.
    pub from: String,
    /// Zone of the viewers.
    pub to: String,
    /// The class that it is for alone; empty: all without one of their own.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub class: String,
    /// What all fronts share, kB a second.
    pub rate_kb: f64,
    /// This front's part of it, 0 to 1.
    #[serde(rename = "part")] // The published name.
    pub quota: f64,
    /// Debt over the part's burst; 1 and more: only paid service starts. Absent where the rate is nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub level: Option<f64>,
    /// What crosses under it now, kB a second: paid service.
    pub paid_kb: f64,
    /// The rest.
    pub other_kb: f64,
    /// Bytes beyond it because no server of the own hall was up.
    #[serde(rename = "overdraft_hall_lost_bytes")] // The published name.
    pub overdraft_zone_down_bytes: u64,
    /// Bytes beyond it because the own hall had no room or not the title.
    #[serde(rename = "overdraft_hall_full_bytes")] // The published name.
    pub overdraft_zone_full_bytes: u64,
    /// Bytes of debt that were not repaid in its time.
    pub written_off_bytes: u64,
    /// Sessions at their lowest rung for it now.
    #[serde(rename = "lowered_sessions")] // The published name.
    pub capped_sessions: u64,
}

/// What a front tells of its traffic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields, rename = "Report")] // The published name.
pub struct TrafficReport {
    /// The front's number.
    pub front: u32,
    /// When, milliseconds since 1970.
    pub at_ms: u64,
    /// Bytes by flow.
    pub flows: Vec<FlowReport>,
    /// Budgets.
    pub budgets: Vec<BudgetReport>,
    /// Sessions that flow or wait for their last count; some of their bytes are not told yet.
    pub unsettled_sessions: u64,
    /// Counts and reports that came too late to matter.
    #[serde(rename = "too_late")] // The published name.
    pub dropped_late_reports: u64,
}
