//! The bytes of one session: its rates, the counts of its server, and the time up to which they are settled.
use super::delivery_reports::DeliveryReports;
use super::flow::{ByteSource, Flow, TotalsByFlow};
use crate::{nanoseconds_between, BYTES_PER_KB, NANOSECONDS_PER_SECOND};
use crankpaddle_time::{nanoseconds, Time};
use std::time::Duration;

/// Maximum number of unsettled counts retained for a session. Counts are cumulative, so the oldest can be dropped without
/// losing bytes.
const MAX_UNSETTLED_COUNTS: usize = 16;
/// Each settlement step ends at the next full second or earlier, because totals are kept by second.
const SECOND: Duration = Duration::from_secs(1);
/// Minimum length of a settlement step: the resolution of [`Time`].
const MIN_STEP: Duration = Duration::from_nanos(1);

/// A rate that applies from a point in time on.
#[derive(Clone, Copy, Debug)]
struct RateChange {
    at: Time,
    rate_kb: f64,
}

/// A cumulative count: the bytes that the server had sent by a point in time.
#[derive(Clone, Copy, Debug)]
struct CumulativeCount {
    at: Time,
    bytes: u64,
}

/// A session that is active, or that has ended and waits for its final count.
#[derive(Clone, Debug)]
pub(super) struct SessionUsage {
    flow: Flow,
    server: u32,
    /// Ordered by time. The first one applies at `settled_until`.
    rates: Vec<RateChange>,
    /// Ordered by time. After each settlement, only those later than `settled_until` remain.
    unsettled_counts: Vec<CumulativeCount>,
    /// The bytes up to this time are included in the totals.
    settled_until: Time,
    /// Number of bytes included in the totals.
    settled_bytes: u64,
    /// Fraction of a byte that is not included in the totals yet.
    byte_fraction: f64,
    ended_at: Option<Time>,
    /// The server's final count.
    final_bytes: Option<u64>,
}

/// A rate estimated from the rung and the delivery share.
#[derive(Clone, Copy, Debug)]
struct RateEstimate {
    rate_kb: f64,
    source: ByteSource,
    /// When another rung or delivery share may start to apply.
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

    /// Records a cumulative count. Ignores it if the final count has arrived.
    pub(super) fn record_count(&mut self, bytes: u64, at: Time, delivery: &DeliveryReports) {
        if self.final_bytes.is_some() {
            return;
        }
        // If the bytes up to that time are already settled, move the count to just after the settled time and add the
        // estimate of the bytes sent in between.
        let effective_at = at.max(self.settled_until + MIN_STEP);
        let bytes_sent_since = self.estimated_bytes(at, effective_at, delivery);
        self.insert_count(CumulativeCount {
            at: effective_at,
            bytes: bytes.saturating_add(bytes_sent_since as u64),
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
        // Cumulative counts never decrease, so ignore a count that contradicts its neighbours.
        if below_earlier || above_later {
            return;
        }
        match counts.get_mut(index) {
            Some(existing) if existing.at == count.at => {
                existing.bytes = existing.bytes.max(count.bytes);
            }
            _ => counts.insert(index, count),
        }
        if counts.len() > MAX_UNSETTLED_COUNTS {
            counts.remove(0);
        }
    }

    /// Ends the session. Has no effect on a session that has already ended.
    pub(super) fn end(&mut self, at: Time) {
        self.ended_at = self.ended_at.or(Some(at.max(self.settled_until)));
    }

    /// Records the server's final count. A second final count does not replace the first one, but counts above it are removed
    /// as well.
    pub(super) fn record_final_count(&mut self, bytes: u64) {
        self.final_bytes = self.final_bytes.or(Some(bytes));
        // Counts are cumulative, so none can exceed the final one.
        self.unsettled_counts.retain(|count| count.bytes <= bytes);
    }

    /// Whether the session ended at or before the horizon.
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

    /// Replaces the counts at and after the end of the session by the final count, if it has arrived.
    fn apply_final_count(&mut self) {
        let (Some(end), Some(bytes)) = (self.ended_at, self.final_bytes) else {
            return;
        };
        self.unsettled_counts.retain(|count| count.at < end);
        let at = end.max(self.settled_until + MIN_STEP);
        self.unsettled_counts.push(CumulativeCount { at, bytes });
    }

    /// The next settlement step. It ends at the next full second, count, rate change or delivery report, or at `until`.
    fn next_step(&self, until: Time, delivery: &DeliveryReports) -> SettlementStep {
        let start = self.settled_until;
        let next_second = next_second_after(start);
        let next_count = self.unsettled_counts.iter().find(|count| count.at > start);
        if let Some(count) = next_count {
            let end = until.min(count.at).min(next_second);
            let remaining_bytes = count.bytes.saturating_sub(self.settled_bytes) as f64;
            return SettlementStep {
                end,
                bytes: remaining_bytes * nanoseconds_between(start, end)
                    / nanoseconds_between(start, count.at),
                source: ByteSource::Measured,
                ends_at_count: count.at == end,
            };
        }
        let estimate = self.estimate_at(start, delivery);
        let end = until
            .min(estimate.valid_until)
            .min(next_second)
            .max(start + MIN_STEP);
        SettlementStep {
            end,
            bytes: bytes_between(estimate.rate_kb, start, end),
            source: estimate.source,
            ends_at_count: false,
        }
    }

    /// Adds the whole bytes of a step to the totals and keeps the fraction for the next step.
    fn settle_step(&mut self, step: SettlementStep, totals: &mut TotalsByFlow) {
        let start = self.settled_until;
        self.byte_fraction += step.bytes;
        let integer_bytes = if step.ends_at_count {
            // Up to a count, the exact sum is an integer, so any fraction is a rounding error.
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

    /// Discards the rates and counts that are no longer needed for settlement.
    fn discard_settled(&mut self) {
        let current = self.rate_index_at(self.settled_until);
        self.rates.drain(..current);
        let settled_until = self.settled_until;
        self.unsettled_counts
            .retain(|count| count.at > settled_until);
    }

    /// Settles the difference between the final count and the settled bytes, if the count arrived after they were estimated.
    fn settle_difference(&mut self, totals: &mut TotalsByFlow) {
        let Some(final_bytes) = self.final_bytes else {
            return;
        };
        if let Some(missing_bytes) = final_bytes.checked_sub(self.settled_bytes) {
            self.add_to_totals(
                totals,
                ByteSource::Measured,
                self.settled_until,
                missing_bytes,
            );
            return;
        }
        let overstated_bytes = self.settled_bytes - final_bytes;
        let flow_totals = totals.entry(self.flow);
        flow_totals.overstated_bytes = flow_totals
            .overstated_bytes
            .saturating_add(overstated_bytes);
        self.settled_bytes = final_bytes;
    }

    fn add_to_totals(
        &mut self,
        totals: &mut TotalsByFlow,
        source: ByteSource,
        at: Time,
        bytes: u64,
    ) {
        // The number of flows is bounded, and a flow without bytes must not take one of the entries.
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

    /// Estimated bytes between two points in time, up to the end of the session.
    fn estimated_bytes(&self, from: Time, to: Time, delivery: &DeliveryReports) -> f64 {
        let to = self.ended_at.map_or(to, |end| end.min(to));
        let mut at = from;
        let mut bytes = 0.0;
        while at < to {
            let estimate = self.estimate_at(at, delivery);
            let step_end = to.min(estimate.valid_until).max(at + MIN_STEP);
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
