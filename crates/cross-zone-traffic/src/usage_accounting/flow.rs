//! Flows (zones, class, tenant and title group of bytes), and their totals by how the bytes are known.
use crate::windows::{Span, SpanTotal, Windows};
use crankpaddle_time::Time;
use std::collections::BTreeMap;

/// What the bytes of an attempt were used for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// A session that was established at its first attempt.
    #[default]
    FirstAttempt,
    /// A session that was established at a retry.
    Retry,
    /// An attempt that never became a session.
    FailedAttempt,
}

/// The zones, class, tenant, title group and purpose of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Zone of the server.
    pub from: u8,
    /// Zone of the viewer, which is that of the front.
    pub to: u8,
    /// Class number.
    pub class: u8,
    /// Tenant number.
    pub tenant: u16,
    /// Number of the title group.
    pub group: u16,
    /// What the bytes were used for.
    pub purpose: Purpose,
}

impl Flow {
    /// Whether the flow goes from one zone to another.
    #[must_use]
    pub fn crosses(&self) -> bool {
        self.from != self.to
    }
}

/// The flow under which all flows beyond [`super::UsageConfig::max_flows`] are counted.
pub const OTHER_FLOWS: Flow = Flow {
    from: u8::MAX,
    to: u8::MAX,
    class: u8::MAX,
    tenant: u16::MAX,
    group: u16::MAX,
    purpose: Purpose::FirstAttempt,
};

/// How settled bytes are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ByteSource {
    /// Counted by the server.
    Measured,
    /// Estimated from rung and time, corrected by a report of the share delivered.
    Corrected,
    /// Estimated from rung and time alone.
    Estimated,
}

/// Settled bytes of a flow, by how they are known.
#[derive(Clone, Debug, Default)]
pub struct FlowTotals {
    /// Counted by servers.
    pub measured: Windows,
    /// Estimated from rung and time, corrected by a report of the share delivered.
    pub corrected: Windows,
    /// Estimated from rung and time alone.
    pub estimated: Windows,
    /// Bytes that were settled, but never sent according to a later count.
    pub overstated_bytes: u64,
}

impl FlowTotals {
    fn sources(&self) -> [&Windows; 3] {
        [&self.measured, &self.corrected, &self.estimated]
    }

    pub(super) fn source_mut(&mut self, source: ByteSource) -> &mut Windows {
        match source {
            ByteSource::Measured => &mut self.measured,
            ByteSource::Corrected => &mut self.corrected,
            ByteSource::Estimated => &mut self.estimated,
        }
    }

    /// All bytes of the flow, less those overstated.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.sources()
            .iter()
            .fold(0u64, |sum, windows| sum.saturating_add(windows.total()))
            .saturating_sub(self.overstated_bytes)
    }

    /// Bytes of the recent spans in which there were any, by the start of the span.
    #[must_use]
    pub fn recent(&self, span: Span) -> BTreeMap<Time, u64> {
        let mut bytes_by_start = BTreeMap::new();
        for windows in self.sources() {
            for total in windows.recent(span) {
                if total.bytes > 0 {
                    add_saturating(&mut bytes_by_start, total.start, total.bytes);
                }
            }
        }
        bytes_by_start
    }

    /// Replaces the totals by saved ones. The saved hours of all sources are added to the windows of measured bytes:
    /// hours are only reported as sums over all sources, while the totals of the sources are separate.
    pub(super) fn restore(&mut self, saved: &SavedFlow) {
        for hour in &saved.hours {
            self.measured.add(hour.start, hour.bytes);
        }
        self.measured.set_total(saved.measured_bytes);
        self.corrected.set_total(saved.corrected_bytes);
        self.estimated.set_total(saved.estimated_bytes);
        self.overstated_bytes = saved.overstated_bytes;
    }
}

/// Adds to the total of a span, which stays at the maximum rather than overflow.
pub(super) fn add_saturating(bytes_by_start: &mut BTreeMap<Time, u64>, start: Time, bytes: u64) {
    let total = bytes_by_start.entry(start).or_default();
    *total = total.saturating_add(bytes);
}

/// Totals of a flow as saved by a previous incarnation of the front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedFlow {
    /// The flow.
    pub flow: Flow,
    /// Bytes counted by servers.
    pub measured_bytes: u64,
    /// Estimated bytes, corrected by delivery reports.
    pub corrected_bytes: u64,
    /// Bytes estimated from rung and time alone.
    pub estimated_bytes: u64,
    /// Bytes that were settled and never sent.
    pub overstated_bytes: u64,
    /// Recent hours, with the bytes of all three sources.
    pub hours: Vec<SpanTotal>,
}

impl SavedFlow {
    pub(super) fn new(flow: Flow, totals: &FlowTotals) -> SavedFlow {
        SavedFlow {
            flow,
            measured_bytes: totals.measured.total(),
            corrected_bytes: totals.corrected.total(),
            estimated_bytes: totals.estimated.total(),
            overstated_bytes: totals.overstated_bytes,
            hours: totals
                .recent(Span::Hour)
                .into_iter()
                .map(|(start, bytes)| SpanTotal { start, bytes })
                .collect(),
        }
    }
}

/// Totals by flow, of a bounded number of flows.
#[derive(Clone, Debug)]
pub(super) struct TotalsByFlow {
    max_flows: usize,
    totals: BTreeMap<Flow, FlowTotals>,
}

impl TotalsByFlow {
    pub(super) fn new(max_flows: usize) -> TotalsByFlow {
        TotalsByFlow {
            max_flows,
            totals: BTreeMap::new(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.totals.is_empty()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Flow, &FlowTotals)> {
        self.totals.iter()
    }

    /// The totals of a flow, or those of [`OTHER_FLOWS`] where there are too many flows.
    pub(super) fn entry(&mut self, flow: Flow) -> &mut FlowTotals {
        let has_entry = self.totals.contains_key(&flow) || self.totals.len() < self.max_flows;
        let flow = if has_entry { flow } else { OTHER_FLOWS };
        self.totals.entry(flow).or_default()
    }
}
