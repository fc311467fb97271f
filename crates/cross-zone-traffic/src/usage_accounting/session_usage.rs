//! The bytes of one session: its rates, the counts of its server, and how far both are settled.
use super::delivery_reports::DeliveryReports;
use super::flow::{ByteSource, Flow, TotalsByFlow};
use crate::{nanoseconds_between, BYTES_PER_KB, NANOSECONDS_PER_SECOND};
use crankpaddle_time::{nanoseconds, Time};
use std::time::Duration;

/// Unsettled counts retained for a session. Counts are cumulative, so the oldest is dropped when there are more.
const MAX_UNSETTLED_COUNTS: usize = 16;
/// A settlement step lasts no longer than until the next full second, since totals are kept by second.
const SECOND: Duration = Duration::from_secs(1);
/// The smallest distance between two points in time; no step is shorter.
const SMALLEST_STEP: Duration = Duration::from_nanos(1);

/// A rate that applies from a time on.
#[derive(Clone, Copy, Debug)]
struct RateChange {
    at: Time,
    rate_kb: f64,
}

/// A cumulative count: what the server had sent by a time.
#[derive(Clone, Copy, Debug)]
struct CumulativeCount {
    at: Time,
    bytes: u64,
}

/// A session that is active, or that waits for its last counts.
#[derive(Clone, Debug)]
pub(super) struct SessionUsage {
    flow: Flow,
    server: u32,
    /// By time; the first one applies at `settled_until`.
    rates: Vec<RateChange>,
    /// By time; those after `settled_until`.
    unsettled_counts: Vec<CumulativeCount>,
    /// Bytes up to this time are in the totals.
    settled_until: Time,
    /// Bytes that are in the totals.
    settled_bytes: u64,
    /// The fraction of a byte that is not in the totals yet.
    byte_fraction: f64,
    ended_at: Option<Time>,
    final_bytes: Option<u64>,
}

/// The rate that rung and delivery share give from a time on.
#[derive(Clone, Copy, Debug)]
struct RateEstimate {
    rate_kb: f64,
    source: ByteSource,
    valid_until: Time,
}

/// The bytes between `settled_until` and the end of a settlement step.
#[derive(Clone, Copy, Debug)]
struct SettlementStep {
    end: Time,
    bytes: f64,
    source: ByteSource,
    /// Whether the step ends exactly at a count.
    ends_at_count: bool,
}

impl SessionUsage {
    pub(super) fn new(flow: Flow, server: u32, rate_kb: f64, at: Time) -> SessionUsage {
        let rate_kb = rate_kb.max(0.0);
        SessionUsage {
            flow,
            server,
            rates: vec![RateChange { at, rate_kb }],
            unsettled_counts: Vec::new(),
            settled_until: at,
            settled_bytes: 0,
            byte_fraction: 0.0,
            ended_at: None,
            final_bytes: None,
        }
    }

    /// Changes the rate of a session that has not ended.
    pub(super) fn change_rate(&mut self, rate_kb: f64, at: Time) {
        if self.ended_at.is_none() {
            let rate_kb = rate_kb.max(0.0);
            self.rates.push(RateChange { at, rate_kb });
        }
    }

    /// Records a cumulative count; nothing after the final one.
    pub(super) fn record_count(&mut self, bytes: u64, at: Time, delivery: &DeliveryReports) {
        if self.final_bytes.is_some() {
            return;
        }
        // The bytes up to that time may be settled already. Then the estimate of those sent since is added.
        let effective_at = at.max(self.settled_until + SMALLEST_STEP);
        let sent_since = self.estimated_bytes(at, effective_at, delivery);
        self.insert_count(CumulativeCount {
            at: effective_at,
            bytes: bytes.saturating_add(sent_since as u64),
        });
    }

    fn insert_count(&mut self, count: CumulativeCount) {
        let counts = &mut self.unsettled_counts;
        let index = counts.partition_point(|earlier| earlier.at < count.at);
        let below_earlier = index
            .checked_sub(1)
            .is_some_and(|previous| counts[previous].bytes > count.bytes);
        let above_later = counts
            .get(index)
            .is_some_and(|later| later.bytes < count.bytes);
        // Cumulative counts never decrease: a count that contradicts its neighbours arrived out of order.
        if below_earlier || above_later {
            return;
        }
        match counts.get_mut(index) {
            Some(same) if same.at == count.at => same.bytes = same.bytes.max(count.bytes),
            _ => counts.insert(index, count),
        }
        if counts.len() > MAX_UNSETTLED_COUNTS {
            counts.remove(0);
        }
    }

    /// Ends the session; a second end changes nothing.
    pub(super) fn end(&mut self, at: Time) {
        self.ended_at = self.ended_at.or(Some(at.max(self.settled_until)));
    }

    /// Records the server's final count. A second one does not replace it, but counts above it are removed too.
    pub(super) fn record_final_count(&mut self, bytes: u64) {
        self.final_bytes = self.final_bytes.or(Some(bytes));
        // No earlier count may exceed the final one.
        self.unsettled_counts.retain(|count| count.bytes <= bytes);
    }

    /// Whether the session ended at or before a time.
    pub(super) fn has_ended_by(&self, horizon: Time) -> bool {
        self.ended_at.is_some_and(|end| end <= horizon)
    }

    /// Settles the session up to the horizon or its end.
    pub(super) fn settle(
        &mut self,
        horizon: Time,
        delivery: &DeliveryReports,
        totals: &mut TotalsByFlow,
    ) {
        let until = self.ended_at.map_or(horizon, |end| end.min(horizon));
        self.apply_final_count();
        while self.settled_until < until {
            let step = self.next_step(until, delivery);
            self.settle_step(step, totals);
        }
        self.discard_settled();
        if self.has_ended_by(horizon) {
            self.settle_difference(totals);
        }
    }

    /// Places the final count at the end of the session, whenever it arrived.
    fn apply_final_count(&mut self) {
        let (Some(end), Some(bytes)) = (self.ended_at, self.final_bytes) else {
            return;
        };
        self.unsettled_counts.retain(|count| count.at < end);
        let at = end.max(self.settled_until + SMALLEST_STEP);
        self.unsettled_counts.push(CumulativeCount { at, bytes });
    }

    /// The next step: no longer than until the next second, count, rate change or delivery report.
    fn next_step(&self, until: Time, delivery: &DeliveryReports) -> SettlementStep {
        let start = self.settled_until;
        let next_second = next_second_after(start);
        let next_count = self.unsettled_counts.iter().find(|count| count.at > start);
        if let Some(count) = next_count {
            let end = until.min(count.at).min(next_second);
            let remaining = count.bytes.saturating_sub(self.settled_bytes) as f64;
            return SettlementStep {
                end,
                bytes: remaining * nanoseconds_between(start, end)
                    / nanoseconds_between(start, count.at),
                source: ByteSource::Measured,
                ends_at_count: count.at == end,
            };
        }
        let estimate = self.estimate_at(start, delivery);
        let end = until
            .min(estimate.valid_until)
            .min(next_second)
            .max(start + SMALLEST_STEP);
        SettlementStep {
            end,
            bytes: bytes_between(estimate.rate_kb, start, end),
            source: estimate.source,
            ends_at_count: false,
        }
    }

    fn settle_step(&mut self, step: SettlementStep, totals: &mut TotalsByFlow) {
        let start = self.settled_until;
        self.byte_fraction += step.bytes;
        let integer_bytes = if step.ends_at_count {
            // Up to a count the sum is an integer; only rounding errors make it less.
            self.byte_fraction.round()
        } else {
            self.byte_fraction.floor()
        };
        self.byte_fraction = if step.ends_at_count {
            0.0
        } else {
            self.byte_fraction - integer_bytes
        };
        self.add_to_totals(totals, step.source, start, integer_bytes as u64);
        self.settled_until = step.end;
    }

    /// Discards the rates and counts that settlement no longer needs.
    fn discard_settled(&mut self) {
        let current = self.rate_index_at(self.settled_until);
        self.rates.drain(..current);
        let settled_until = self.settled_until;
        self.unsettled_counts
            .retain(|count| count.at > settled_until);
    }

    /// Settles the difference between the settled bytes and a final count that arrived after they were estimated.
    fn settle_difference(&mut self, totals: &mut TotalsByFlow) {
        let Some(final_bytes) = self.final_bytes else {
            return;
        };
        if let Some(missing) = final_bytes.checked_sub(self.settled_bytes) {
            self.add_to_totals(totals, ByteSource::Measured, self.settled_until, missing);
            return;
        }
        let overstated = self.settled_bytes - final_bytes;
        let flow_totals = totals.entry(self.flow);
        flow_totals.overstated_bytes = flow_totals.overstated_bytes.saturating_add(overstated);
        self.settled_bytes = final_bytes;
    }

    fn add_to_totals(
        &mut self,
        totals: &mut TotalsByFlow,
        source: ByteSource,
        at: Time,
        bytes: u64,
    ) {
        // Why: the number of flows is bounded, and a flow without bytes must not count.
        if bytes == 0 {
            return;
        }
        totals.entry(self.flow).source_mut(source).add(at, bytes);
        self.settled_bytes = self.settled_bytes.saturating_add(bytes);
    }

    fn rate_index_at(&self, at: Time) -> usize {
        self.rates
            .iter()
            .rposition(|rate| rate.at <= at)
            .unwrap_or(0)
    }

    fn estimate_at(&self, at: Time, delivery: &DeliveryReports) -> RateEstimate {
        let index = self.rate_index_at(at);
        let next_change = self
            .rates
            .get(index + 1)
            .map_or(Time::MAX, |change| change.at);
        let rung_rate_kb = self.rates.get(index).map_or(0.0, |change| change.rate_kb);
        let delivered = delivery.share_at(self.server, at);
        RateEstimate {
            rate_kb: rung_rate_kb * delivered.share.unwrap_or(1.0),
            source: if delivered.share.is_some() {
                ByteSource::Corrected
            } else {
                ByteSource::Estimated
            },
            valid_until: next_change.min(delivered.valid_until),
        }
    }

    /// Estimated bytes between two times.
    fn estimated_bytes(&self, from: Time, to: Time, delivery: &DeliveryReports) -> f64 {
        let to = self.ended_at.map_or(to, |end| end.min(to));
        let mut at = from;
        let mut bytes = 0.0;
        while at < to {
            let estimate = self.estimate_at(at, delivery);
            let step_end = to.min(estimate.valid_until).max(at + SMALLEST_STEP);
            bytes += bytes_between(estimate.rate_kb, at, step_end);
            at = step_end;
        }
        bytes
    }
}

fn bytes_between(rate_kb: f64, from: Time, to: Time) -> f64 {
    rate_kb * BYTES_PER_KB * nanoseconds_between(from, to) / NANOSECONDS_PER_SECOND
}

fn next_second_after(at: Time) -> Time {
    let second = nanoseconds(SECOND);
    Time((at.as_nanos() / second + 1) * second)
}
