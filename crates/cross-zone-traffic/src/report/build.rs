//! Builds a front's report from its traffic controller.
use super::names::purpose_name;
use super::types::{BudgetReport, ByteTotals, FlowReport, TrafficReport};
use super::{to_milliseconds, TrafficNames};
use crate::cross_zone_admission::{BudgetStatus, OverdraftCause};
use crate::traffic_controller::TrafficController;
use crate::usage_accounting::{Flow, FlowTotals};
use crate::windows::Span;
use crankpaddle_time::Time;
use std::collections::BTreeMap;

impl TrafficReport {
    /// Creates the report of a front. `zone` is the zone of the front, and `names` are the names that the report contains
    /// instead of numbers.
    pub fn from_controller(
        controller: &mut TrafficController,
        front: u32,
        zone: u8,
        names: &TrafficNames,
        now: Time,
    ) -> TrafficReport {
        let budgets = controller
            .budget_statuses(now)
            .iter()
            .map(|status| budget_report(status, zone, names))
            .collect();
        let account = controller.usage();
        let flows = account
            .flows()
            .map(|(flow, totals)| flow_report(flow, totals, names))
            .collect();
        TrafficReport {
            front,
            at_ms: to_milliseconds(now),
            flows,
            budgets,
            unsettled_sessions: account.unsettled_sessions() as u64,
            dropped_late_reports: account.dropped_late_reports(),
        }
    }
}

fn budget_report(status: &BudgetStatus, zone: u8, names: &TrafficNames) -> BudgetReport {
    let class = status.limit.class.map(|class| names.class(class));
    BudgetReport {
        from: names.zone(status.limit.from_zone),
        to: names.zone(zone),
        class: class.unwrap_or_default(),
        rate_kb: status.limit.shared.rate_kb,
        quota: status.quota,
        level: status.level.is_finite().then_some(status.level),
        paid_kb: status.paid_kb,
        other_kb: status.other_kb,
        overdraft_zone_down_bytes: overdraft_bytes(status, OverdraftCause::LocalZoneDown),
        overdraft_zone_full_bytes: overdraft_bytes(status, OverdraftCause::LocalZoneFull),
        written_off_bytes: status.written_off_bytes as u64,
        capped_sessions: status.capped_sessions as u64,
    }
}

fn overdraft_bytes(status: &BudgetStatus, cause: OverdraftCause) -> u64 {
    status.overdraft_bytes.get(&cause).copied().unwrap_or(0.0) as u64
}

fn flow_report(flow: &Flow, totals: &FlowTotals, names: &TrafficNames) -> FlowReport {
    FlowReport {
        from: names.zone(flow.from),
        to: names.zone(flow.to),
        class: names.class(flow.class),
        tenant: names.tenant(flow),
        group: names.group(flow.group),
        purpose: purpose_name(flow.purpose).to_owned(),
        crosses: flow.crosses(),
        bytes: totals.total(),
        measured_bytes: totals.measured.total(),
        corrected_bytes: totals.corrected.total(),
        estimated_bytes: totals.estimated.total(),
        overstated_bytes: totals.overstated_bytes,
        minutes: byte_totals(totals.recent(Span::Minute)),
        hours: byte_totals(totals.recent(Span::Hour)),
    }
}

fn byte_totals(bytes_by_start: BTreeMap<Time, u64>) -> Vec<ByteTotals> {
    bytes_by_start
        .into_iter()
        .map(|(start, bytes)| ByteTotals {
            at_ms: to_milliseconds(start),
            bytes,
        })
        .collect()
}
