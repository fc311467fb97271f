//! Reads back the usage account from a report that a previous incarnation of the front saved.
use super::names::purpose_of;
use super::types::{FlowReport, TrafficReport};
use super::{from_milliseconds, TrafficNames};
use crate::usage_accounting::{Flow, SavedFlow, OTHER_FLOWS};
use crate::windows::SpanTotal;
use std::collections::BTreeMap;

impl TrafficReport {
    /// The saved totals by flow. A flow with a name that is no longer known is added to [`OTHER_FLOWS`], so that no byte is
    /// lost when a zone or class is renamed.
    #[must_use]
    pub fn saved_flows(&self, names: &TrafficNames) -> Vec<SavedFlow> {
        let mut saved_by_flow: BTreeMap<Flow, SavedFlow> = BTreeMap::new();
        for report in &self.flows {
            let flow = report.flow(names).unwrap_or(OTHER_FLOWS);
            saved_by_flow
                .entry(flow)
                .or_insert_with(|| empty(flow))
                .add(report);
        }
        saved_by_flow.into_values().collect()
    }
}

impl FlowReport {
    /// The flow by numbers; `None` where a name is not known.
    fn flow(&self, names: &TrafficNames) -> Option<Flow> {
        Some(Flow {
            from: names.zone_number(&self.from)?,
            to: names.zone_number(&self.to)?,
            class: names.class_number(&self.class)?,
            tenant: names.tenant_number(&self.tenant)?,
            group: names.group_number(&self.group)?,
            purpose: purpose_of(&self.purpose)?,
        })
    }
}

fn empty(flow: Flow) -> SavedFlow {
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
