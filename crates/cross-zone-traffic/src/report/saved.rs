//! Converts a report that a previous incarnation of the front saved into the totals to restore.
use super::names::purpose_from_name;
use super::types::{FlowReport, TrafficReport};
use super::{from_milliseconds, TrafficNames};
use crate::usage_accounting::{Flow, SavedFlow, OTHER_FLOWS};
use crate::windows::SpanTotal;
use std::collections::BTreeMap;

impl TrafficReport {
    /// The saved totals of each flow. Flows with a name that is no longer configured are added to [`OTHER_FLOWS`], so that no
    /// bytes are lost when a zone or class is renamed.
    #[must_use]
    pub fn saved_flows(&self, names: &TrafficNames) -> Vec<SavedFlow> {
        let mut saved_by_flow: BTreeMap<Flow, SavedFlow> = BTreeMap::new();
        for report in &self.flows {
            let flow = report.to_flow(names).unwrap_or(OTHER_FLOWS);
            saved_by_flow
                .entry(flow)
                .or_insert_with(|| empty_saved_flow(flow))
                .add(report);
        }
        saved_by_flow.into_values().collect()
    }
}

impl FlowReport {
    /// The flow with numbers instead of names; `None` if a name is not configured.
    fn to_flow(&self, names: &TrafficNames) -> Option<Flow> {
        Some(Flow {
            from: names.zone_number(&self.from)?,
            to: names.zone_number(&self.to)?,
            class: names.class_number(&self.class)?,
            tenant: names.tenant_number(&self.tenant)?,
            group: names.group_number(&self.group)?,
            purpose: purpose_from_name(&self.purpose)?,
        })
    }
}

fn empty_saved_flow(flow: Flow) -> SavedFlow {
    SavedFlow {
        flow,
        measured_bytes: 0,
        corrected_bytes: 0,
        estimated_bytes: 0,
        overstated_bytes: 0,
        hours: Vec::new(),
    }
}

impl SavedFlow {
    /// Adds the totals and hours of a saved report.
    fn add(&mut self, report: &FlowReport) {
        self.measured_bytes = self.measured_bytes.saturating_add(report.measured_bytes);
        self.corrected_bytes = self.corrected_bytes.saturating_add(report.corrected_bytes);
        self.estimated_bytes = self.estimated_bytes.saturating_add(report.estimated_bytes);
        self.overstated_bytes = self
            .overstated_bytes
            .saturating_add(report.overstated_bytes);
        let hours = report.hours.iter().map(|hour| SpanTotal {
            start: from_milliseconds(hour.at_ms),
            bytes: hour.bytes,
        });
        self.hours.extend(hours);
    }
}
