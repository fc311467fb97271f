//! Flows, which bytes are grouped by (zones, class, tenant, title group and purpose), and the byte totals of each flow.
use crate::windows::{Span, SpanTotal, WindowedBytes};
use crankpaddle_time::Time;
use std::collections::BTreeMap;

/// The outcome of the attempt that bytes were sent for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// The session was established at the first attempt.
    #[default]
    FirstAttempt,
    /// The session was established at a retry.
    Retry,
    /// The attempt failed: it never became a session.
    FailedAttempt,
}

/// The properties by which bytes are grouped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Zone of the server.
    pub from: u8,
    /// Zone of the viewer, which is also that of the front.
    pub to: u8,
    /// Number of the class, an index into the configured classes.
    pub class: u8,
    /// Number of the tenant, an index into the configured tenants; 0 if none are configured.
    pub tenant: u16,
    /// Number of the title group; 0 for titles without a group.
    pub group: u16,
    /// The outcome of the attempt that the bytes were sent for.
    pub purpose: Purpose,
}

impl Flow {
    /// Whether the flow goes from one zone to a different one.
    #[must_use]
    pub fn crosses(&self) -> bool {
        self.from != self.to
    }
}

/// The flow under which bytes are counted if there are more than [`super::UsageConfig::max_flows`] flows.
pub const OTHER_FLOWS: Flow = Flow {
    from: u8::MAX,
    to: u8::MAX,
    class: u8::MAX,
    tenant: u16::MAX,
    group: u16::MAX,
    purpose: Purpose::FirstAttempt,
};

/// How the number of settled bytes was determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ByteSource {
    /// Counted by the server.
    Measured,
    /// Estimated from the rate of the rung, multiplied by the reported share delivered.
    Corrected,
    /// Estimated from the rate of the rung alone.
    Estimated,
}

/// Settled bytes of a flow, by how their number was determined.
#[derive(Clone, Debug, Default)]
pub struct FlowTotals {
    /// Bytes counted by servers.
    pub measured: WindowedBytes,
    /// Bytes estimated from the rate of the rung, multiplied by the reported share delivered.
    pub corrected: WindowedBytes,
    /// Bytes estimated from the rate of the rung alone.
    pub estimated: WindowedBytes,
    /// Bytes that were settled, but not sent according to the final count of their session.
    pub overstated_bytes: u64,
}

impl FlowTotals {
    fn sources(&self) -> [&WindowedBytes; 3] {
        [&self.measured, &self.corrected, &self.estimated]
    }

    pub(super) fn source_mut(&mut self, source: ByteSource) -> &mut WindowedBytes {
        match source {
            ByteSource::Measured => &mut self.measured,
            ByteSource::Corrected => &mut self.corrected,
            ByteSource::Estimated => &mut self.estimated,
        }
    }

    /// All bytes of the flow, less the overstated ones.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.sources()
            .iter()
            .fold(0u64, |sum, windows| sum.saturating_add(windows.total()))
            .saturating_sub(self.overstated_bytes)
    }

    /// Bytes in recent spans, by the start of the span, without the spans that had none.
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

    /// Replaces the totals by saved ones. The saved hours, which are sums over all sources, are added to the measured bytes.
    /// This does no harm, because hours are only reported as such sums; the totals of the sources stay separate.
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

/// Adds to the total of a span, which saturates instead of overflowing.
pub(super) fn add_saturating(bytes_by_start: &mut BTreeMap<Time, u64>, start: Time, bytes: u64) {
    let total = bytes_by_start.entry(start).or_default();
    *total = total.saturating_add(bytes);
}

/// The totals of a flow that are saved for the next incarnation of the front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedFlow {
    /// The flow to which the totals belong.
    pub flow: Flow,
    /// Bytes counted by servers.
    pub measured_bytes: u64,
    /// Bytes estimated from the rate of the rung, multiplied by the reported share delivered.
    pub corrected_bytes: u64,
    /// Bytes estimated from the rate of the rung alone.
    pub estimated_bytes: u64,
    /// Bytes that were settled, but not sent according to the final count of their session.
    pub overstated_bytes: u64,
    /// Bytes of recent hours, summed over the three sources.
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

/// The totals of a bounded number of flows.
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

    /// The totals of a flow, which are created if needed; those of [`OTHER_FLOWS`] if there are too many flows.
    pub(super) fn entry(&mut self, flow: Flow) -> &mut FlowTotals {
        let has_entry = self.totals.contains_key(&flow) || self.totals.len() < self.max_flows;
        let flow = if has_entry { flow } else { OTHER_FLOWS };
        self.totals.entry(flow).or_default()
    }
}
