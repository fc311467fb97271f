//! Merges the reports of several fronts into one.
use super::types::{BudgetReport, ByteTotals, FlowReport, TrafficReport};
use std::collections::btree_map::{BTreeMap, Entry};

/// Identifies a flow by its names. Merged flows are listed in the order of these fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FlowNames {
    from: String,
    to: String,
    class: String,
    tenant: String,
    group: String,
    purpose: String,
}

impl From<&FlowReport> for FlowNames {
    fn from(flow: &FlowReport) -> FlowNames {
        FlowNames {
            from: flow.from.clone(),
            to: flow.to.clone(),
            class: flow.class.clone(),
            tenant: flow.tenant.clone(),
            group: flow.group.clone(),
            purpose: flow.purpose.clone(),
        }
    }
}

/// Identifies a budget by its names. Merged budgets are listed in the order of these fields.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BudgetNames {
    from: String,
    to: String,
    class: String,
}

impl From<&BudgetReport> for BudgetNames {
    fn from(budget: &BudgetReport) -> BudgetNames {
        BudgetNames {
            from: budget.from.clone(),
            to: budget.to.clone(),
            class: budget.class.clone(),
        }
    }
}

/// Merges the reports of several fronts into one. If there are several reports of a front, such as a fetched and a saved one,
/// only the latest one is used.
#[must_use]
pub fn merge(reports: impl IntoIterator<Item = TrafficReport>) -> TrafficReport {
    let mut flows: BTreeMap<FlowNames, FlowReport> = BTreeMap::new();
    let mut budgets: BTreeMap<BudgetNames, BudgetReport> = BTreeMap::new();
    let mut merged = TrafficReport::default();
    for report in latest_by_front(reports).into_values() {
        merged.at_ms = merged.at_ms.max(report.at_ms);
        merged.unsettled_sessions += report.unsettled_sessions;
        merged.dropped_late_reports += report.dropped_late_reports;
        for flow in report.flows {
            merge_entry(&mut flows, FlowNames::from(&flow), flow, FlowReport::add);
        }
        for budget in report.budgets {
            let names = BudgetNames::from(&budget);
            merge_entry(&mut budgets, names, budget, BudgetReport::add);
        }
    }
    merged.flows = flows.into_values().collect();
    merged.budgets = budgets.into_values().collect();
    merged
}

/// The latest report of each front; the first one if several have the same time.
fn latest_by_front(
    reports: impl IntoIterator<Item = TrafficReport>,
) -> BTreeMap<u32, TrafficReport> {
    let mut latest: BTreeMap<u32, TrafficReport> = BTreeMap::new();
    for report in reports {
        let is_newer = latest
            .get(&report.front)
            .is_none_or(|latest| report.at_ms > latest.at_ms);
        if is_newer {
            latest.insert(report.front, report);
        }
    }
    latest
}

/// Inserts a report, or adds it to the merged one that has the same names.
fn merge_entry<Names: Ord, Report>(
    merged: &mut BTreeMap<Names, Report>,
    names: Names,
    report: Report,
    add: impl FnOnce(&mut Report, &Report),
) {
    match merged.entry(names) {
        Entry::Vacant(vacant) => {
            vacant.insert(report);
        }
        Entry::Occupied(occupied) => add(occupied.into_mut(), &report),
    }
}

impl FlowReport {
    /// Adds the bytes of another front's report of the same flow.
    fn add(&mut self, other: &FlowReport) {
        self.bytes = self.bytes.saturating_add(other.bytes);
        self.measured_bytes = self.measured_bytes.saturating_add(other.measured_bytes);
        self.corrected_bytes = self.corrected_bytes.saturating_add(other.corrected_bytes);
        self.estimated_bytes = self.estimated_bytes.saturating_add(other.estimated_bytes);
        self.overstated_bytes = self.overstated_bytes.saturating_add(other.overstated_bytes);
        self.minutes = merge_spans(&self.minutes, &other.minutes);
        self.hours = merge_spans(&self.hours, &other.hours);
    }
}

impl BudgetReport {
    /// Adds another front's report of the same budget. The merged level is the highest one.
    fn add(&mut self, other: &BudgetReport) {
        self.quota += other.quota;
        self.level = self.level.into_iter().chain(other.level).reduce(f64::max);
        self.paid_kb += other.paid_kb;
        self.other_kb += other.other_kb;
        self.overdraft_zone_down_bytes += other.overdraft_zone_down_bytes;
        self.overdraft_zone_full_bytes += other.overdraft_zone_full_bytes;
        self.written_off_bytes += other.written_off_bytes;
        self.capped_sessions += other.capped_sessions;
    }
}

fn merge_spans(left: &[ByteTotals], right: &[ByteTotals]) -> Vec<ByteTotals> {
    let mut bytes_by_start: BTreeMap<u64, u64> = BTreeMap::new();
    for span in left.iter().chain(right) {
        let bytes = bytes_by_start.entry(span.at_ms).or_default();
        *bytes = bytes.saturating_add(span.bytes);
    }
    bytes_by_start
        .into_iter()
        .map(|(at_ms, bytes)| ByteTotals { at_ms, bytes })
        .collect()
}
