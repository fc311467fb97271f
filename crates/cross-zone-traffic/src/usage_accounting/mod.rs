//! Accounts for the bytes of each flow, as counted by servers, or estimated from the rung where no count arrived.
//!
//! Servers send cumulative byte counts of each session while it plays and when it ends. Counts may arrive late, duplicated,
//! out of order or not at all. Since they are cumulative, a missing count loses no bytes and a duplicate changes nothing.
//!
//! Bytes are settled, that is, added to the totals, once they are so old that a count of their time should have arrived:
//! - Bytes between two counts are spread evenly over the time between them (measured).
//! - Bytes after the last count follow from the rate of the current rung, multiplied by the share that the server reported
//!   as delivered (corrected), or from the rate alone if there is no such report (estimated).
//!
//! Settled bytes stay in the second in which they were counted. If the final count of a session is below its settled bytes,
//! the difference is subtracted from the total of the flow (overstated). So the totals finally agree with those of the
//! servers, but they can decrease by the overstated bytes of a session.
mod delivery_reports;
mod flow;
mod session_usage;

pub use flow::{Flow, FlowTotals, Purpose, SavedFlow, OTHER_FLOWS};

use crate::windows::Span;
use crankpaddle_time::Time;
use delivery_reports::DeliveryReports;
use flow::TotalsByFlow;
use session_usage::SessionUsage;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Delays and limits of the usage account.
#[derive(Clone, Copy, Debug)]
pub struct UsageConfig {
    /// Age at which bytes are settled. Counts and reports that arrive later may be dropped.
    pub settle_delay: Duration,
    /// A delivery report applies until the next one, but no longer than this.
    pub delivery_report_ttl: Duration,
    /// Maximum number of flows with separate totals. Bytes of further flows are counted under [`OTHER_FLOWS`].
    pub max_flows: usize,
}

/// Tracks the bytes of sessions and adds them to the totals of their flows.
#[derive(Clone, Debug)]
pub struct UsageAccount {
    config: UsageConfig,
    totals: TotalsByFlow,
    sessions: BTreeMap<u64, SessionUsage>,
    delivery: DeliveryReports,
    /// The latest time that a caller supplied.
    latest_time: Time,
    dropped_late_reports: u64,
    /// The session that was settled last in the current round; `None` at the start of a round.
    last_settled: Option<u64>,
}

impl UsageAccount {
    /// Creates an account without sessions and bytes.
    #[must_use]
    pub fn new(config: UsageConfig) -> UsageAccount {
        UsageAccount {
            totals: TotalsByFlow::new(config.max_flows),
            sessions: BTreeMap::new(),
            delivery: DeliveryReports::new(config.delivery_report_ttl),
            latest_time: Time::ZERO,
            dropped_late_reports: 0,
            last_settled: None,
            config,
        }
    }

    /// Handles the start of a session. Ignores a session that is already known.
    pub fn session_started(
        &mut self,
        session_id: u64,
        flow: Flow,
        server: u32,
        rate_kb: f64,
        at: Time,
    ) {
        let at = self.advance_clock(at);
        self.sessions
            .entry(session_id)
            .or_insert_with(|| SessionUsage::new(flow, server, rate_kb, at));
    }

    /// Handles a change of a session's rate.
    pub fn rate_changed(&mut self, session_id: u64, rate_kb: f64, at: Time) {
        let at = self.advance_clock(at);
        if let Some(usage) = self.sessions.get_mut(&session_id) {
            usage.change_rate(rate_kb, at);
        }
    }

    /// Handles a server's cumulative count: it had sent `bytes` of a session by the time `at`.
    pub fn bytes_counted(&mut self, session_id: u64, bytes: u64, at: Time) {
        let at = self.advance_clock(at);
        match self.sessions.get_mut(&session_id) {
            Some(usage) => usage.record_count(bytes, at, &self.delivery),
            None => self.dropped_late_reports += 1,
        }
    }

    /// Handles the end of a session, which is retained until its final count should have arrived.
    pub fn session_ended(&mut self, session_id: u64, at: Time) {
        let at = self.advance_clock(at);
        if let Some(usage) = self.sessions.get_mut(&session_id) {
            usage.end(at);
        }
    }

    /// Handles the server's final count of a session: the number of all bytes that it sent.
    pub fn final_bytes_counted(&mut self, session_id: u64, bytes: u64) {
        match self.sessions.get_mut(&session_id) {
            Some(usage) => usage.record_final_count(bytes),
            None => self.dropped_late_reports += 1,
        }
    }

    /// Adds bytes that a server counted for a failed attempt, which belong to no session.
    pub fn add_measured_bytes(&mut self, flow: Flow, bytes: u64, at: Time) {
        let at = self.advance_clock(at);
        if bytes > 0 {
            self.totals.entry(flow).measured.add(at, bytes);
        }
    }

    /// Handles a server's report of the share of the sum of its sessions' rates that it delivered at a point in time.
    /// Reports may arrive in any order, and a duplicate changes nothing. Ignores shares that are not finite, and reports of a
    /// time further in the future than the settlement delay.
    pub fn delivery_reported(&mut self, server: u32, share: f64, at: Time) {
        let latest_accepted = self.latest_time + self.config.settle_delay;
        if !share.is_finite() || at > latest_accepted {
            return;
        }
        if at < self.settle_horizon() {
            self.dropped_late_reports += 1;
            return;
        }
        self.delivery.record(server, share.clamp(0.0, 1.0), at);
    }

    /// Settles the bytes that are old enough, for at most `max_sessions` sessions, so that a call takes bounded time. Returns
    /// whether this completes a round over all sessions. A round should be run about once a second, by repeated calls. If
    /// `now` is earlier than in a previous call, it has no effect.
    pub fn settle(&mut self, now: Time, max_sessions: usize) -> bool {
        self.advance_clock(now);
        let horizon = self.settle_horizon();
        let visited = self.settle_next_sessions(horizon, max_sessions);
        let is_complete = visited < max_sessions;
        if is_complete {
            self.last_settled = None;
            self.delivery.prune(horizon);
        }
        is_complete
    }

    /// Settles the next sessions of the round and removes those that ended by the horizon. Returns the number of sessions
    /// visited.
    fn settle_next_sessions(&mut self, horizon: Time, max_sessions: usize) -> usize {
        let after_last = self.last_settled.map_or(Bound::Unbounded, Bound::Excluded);
        let next_sessions = self
            .sessions
            .range_mut((after_last, Bound::Unbounded))
            .take(max_sessions);
        let mut visited = 0;
        let mut completed = Vec::new();
        for (session_id, usage) in next_sessions {
            visited += 1;
            self.last_settled = Some(*session_id);
            usage.settle(horizon, &self.delivery, &mut self.totals);
            if usage.has_ended_by(horizon) {
                completed.push(*session_id);
            }
        }
        for session_id in completed {
            self.sessions.remove(&session_id);
        }
        visited
    }

    /// Advances the latest time, which never goes back. Returns `at`, or the settlement horizon if that is later.
    fn advance_clock(&mut self, at: Time) -> Time {
        self.latest_time = self.latest_time.max(at);
        at.max(self.settle_horizon())
    }

    /// Bytes up to this time are old enough to be settled.
    fn settle_horizon(&self) -> Time {
        self.latest_time - self.config.settle_delay
    }

    /// All flows and their settled bytes.
    pub fn flows(&self) -> impl Iterator<Item = (&Flow, &FlowTotals)> {
        self.totals.iter()
    }

    /// Sum of the settled bytes of the flows that `accepts` selects.
    #[must_use]
    pub fn total(&self, accepts: impl Fn(&Flow) -> bool) -> u64 {
        self.flows()
            .filter(|(flow, _)| accepts(flow))
            .fold(0, |sum, (_, totals)| sum.saturating_add(totals.total()))
    }

    /// Bytes in recent spans, by the start of the span, summed over the flows that `accepts` selects.
    #[must_use]
    pub fn recent(&self, span: Span, accepts: impl Fn(&Flow) -> bool) -> BTreeMap<Time, u64> {
        let mut bytes_by_start = BTreeMap::new();
        for (_, totals) in self.flows().filter(|(flow, _)| accepts(flow)) {
            for (start, bytes) in totals.recent(span) {
                flow::add_saturating(&mut bytes_by_start, start, bytes);
            }
        }
        bytes_by_start
    }

    /// Number of sessions that are active or wait for their final counts.
    #[must_use]
    pub fn unsettled_sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Number of counts whose session was already removed, and of delivery reports whose time was already settled.
    #[must_use]
    pub fn dropped_late_reports(&self) -> u64 {
        self.dropped_late_reports
    }

    /// The totals of all flows, to be saved for the next incarnation.
    #[must_use]
    pub fn snapshot(&self) -> Vec<SavedFlow> {
        self.flows()
            .map(|(flow, totals)| SavedFlow::new(*flow, totals))
            .collect()
    }

    /// Restores the totals that a previous incarnation saved. Returns false, and changes nothing, if this account has totals
    /// already, so that no bytes are counted twice.
    pub fn restore(&mut self, saved_flows: &[SavedFlow]) -> bool {
        if !self.totals.is_empty() {
            return false;
        }
        for saved in saved_flows {
            self.totals.entry(saved.flow).restore(saved);
        }
        true
    }
}
