//! Bytes by flow: counted by servers, or estimated from the current rung and the share delivered where no count arrived.
//!
//! Servers send cumulative counts of each session while it plays and when it ends. They may arrive late, duplicated, out
//! of order or not at all; since a count is cumulative, a missing one costs nothing and a duplicate changes nothing.
//! Bytes are settled when their time is so old that a count of it would have arrived: between two counts they are spread
//! evenly (measured); beyond the last one they follow the current rung, times the share that the server reported as
//! delivered (corrected), or the rung alone (estimated). Settled bytes stay in their second. If a later count is below the
//! settled bytes, the difference is subtracted from the total of the flow (overstated). So totals agree with the servers
//! in the end, and can decrease by the overstated bytes of a session.
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

/// How usage is accounted.
#[derive(Clone, Copy, Debug)]
pub struct UsageConfig {
    /// Bytes are settled at this age; counts and reports are waited for until then.
    pub settle_delay: Duration,
    /// A delivery report holds until the next, but no longer than this.
    pub delivery_report_ttl: Duration,
    /// Flows with totals of their own; those beyond are counted under [`OTHER_FLOWS`].
    pub max_flows: usize,
}

/// Counts bytes by flow.
#[derive(Clone, Debug)]
pub struct UsageAccount {
    config: UsageConfig,
    totals: TotalsByFlow,
    sessions: BTreeMap<u64, SessionUsage>,
    delivery: DeliveryReports,
    now: Time,
    dropped_late_reports: u64,
    /// The session that was settled last in the present round.
    last_settled: Option<u64>,
}

impl UsageAccount {
    /// An empty account.
    #[must_use]
    pub fn new(config: UsageConfig) -> UsageAccount {
        UsageAccount {
            totals: TotalsByFlow::new(config.max_flows),
            sessions: BTreeMap::new(),
            delivery: DeliveryReports::new(config.delivery_report_ttl),
            now: Time::ZERO,
            dropped_late_reports: 0,
            last_settled: None,
            config,
        }
    }

    /// A session starts; a session that is known already stays as it is.
    pub fn session_started(
        &mut self,
        session: u64,
        flow: Flow,
        server: u32,
        rate_kb: f64,
        at: Time,
    ) {
        let at = self.advance_clock(at);
        self.sessions
            .entry(session)
            .or_insert_with(|| SessionUsage::new(flow, server, rate_kb, at));
    }

    /// The rate of a session changes.
    pub fn rate_changed(&mut self, session: u64, rate_kb: f64, at: Time) {
        let at = self.advance_clock(at);
        if let Some(usage) = self.sessions.get_mut(&session) {
            usage.change_rate(rate_kb, at);
        }
    }

    /// A server has counted `bytes` for a session from its start until a time.
    pub fn bytes_counted(&mut self, session: u64, bytes: u64, at: Time) {
        let at = self.advance_clock(at);
        match self.sessions.get_mut(&session) {
            Some(usage) => usage.record_count(bytes, at, &self.delivery),
            None => self.dropped_late_reports += 1,
        }
    }

    /// A session ends. It is retained until a count of its end would have arrived.
    pub fn session_ended(&mut self, session: u64, at: Time) {
        let at = self.advance_clock(at);
        if let Some(usage) = self.sessions.get_mut(&session) {
            usage.end(at);
        }
    }

    /// The server's final count of a session: all bytes that it sent.
    pub fn final_bytes_counted(&mut self, session: u64, bytes: u64) {
        match self.sessions.get_mut(&session) {
            Some(usage) => usage.record_final_count(bytes),
            None => self.dropped_late_reports += 1,
        }
    }

    /// Adds bytes that belong to no session, sent by a time: those of a failed attempt.
    pub fn add_measured(&mut self, flow: Flow, bytes: u64, at: Time) {
        let at = self.advance_clock(at);
        if bytes > 0 {
            self.totals.entry(flow).measured.add(at, bytes);
        }
    }

    /// A server reports the share of all rates that it delivered at a time. A duplicate changes nothing, and the order of
    /// reports does not matter.
    pub fn delivery_reported(&mut self, server: u32, share: f64, at: Time) {
        let latest_accepted = self.now + self.config.settle_delay;
        if !share.is_finite() || at > latest_accepted {
            return;
        }
        if at < self.settle_horizon() {
            self.dropped_late_reports += 1;
            return;
        }
        self.delivery.record(server, share.clamp(0.0, 1.0), at);
    }

    /// Settles the bytes that are old enough, of up to `max_sessions` sessions so that a call takes bounded time; returns
    /// whether the round over all sessions is complete. Call it until it is, about once a second. A time that goes back
    /// changes nothing.
    pub fn settle(&mut self, now: Time, max_sessions: usize) -> bool {
        self.advance_clock(now);
        let horizon = self.settle_horizon();
        let visited = self.settle_next_sessions(horizon, max_sessions);
        let complete = visited < max_sessions;
        if complete {
            self.last_settled = None;
            self.delivery.prune(horizon);
        }
        complete
    }

    /// Settles the next sessions of the round and removes those that are over; the number of sessions visited.
    fn settle_next_sessions(&mut self, horizon: Time, max_sessions: usize) -> usize {
        let after_last = self.last_settled.map_or(Bound::Unbounded, Bound::Excluded);
        let next_sessions = self
            .sessions
            .range_mut((after_last, Bound::Unbounded))
            .take(max_sessions);
        let mut visited = 0;
        let mut completed = Vec::new();
        for (session, usage) in next_sessions {
            visited += 1;
            self.last_settled = Some(*session);
            usage.settle(horizon, &self.delivery, &mut self.totals);
            if usage.has_ended_by(horizon) {
                completed.push(*session);
            }
        }
        for session in completed {
            self.sessions.remove(&session);
        }
        visited
    }

    /// Advances the clock, which never goes back. Returns the given time, or the settlement horizon if that is later.
    fn advance_clock(&mut self, at: Time) -> Time {
        self.now = self.now.max(at);
        at.max(self.settle_horizon())
    }

    fn settle_horizon(&self) -> Time {
        self.now - self.config.settle_delay
    }

    /// Flows and their settled bytes.
    pub fn flows(&self) -> impl Iterator<Item = (&Flow, &FlowTotals)> {
        self.totals.iter()
    }

    /// Settled bytes of the flows that a filter accepts.
    #[must_use]
    pub fn total(&self, accepts: impl Fn(&Flow) -> bool) -> u64 {
        self.flows()
            .filter(|(flow, _)| accepts(flow))
            .fold(0, |sum, (_, totals)| sum.saturating_add(totals.total()))
    }

    /// Bytes of recent spans, by the start of the span, of the flows that a filter accepts.
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

    /// Sessions that are active or wait for their last counts.
    #[must_use]
    pub fn unsettled_sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Counts and reports that arrived after their time was settled and their session was removed.
    #[must_use]
    pub fn dropped_late_reports(&self) -> u64 {
        self.dropped_late_reports
    }

    /// The totals that must survive a restart.
    #[must_use]
    pub fn snapshot(&self) -> Vec<SavedFlow> {
        self.flows()
            .map(|(flow, totals)| SavedFlow::new(*flow, totals))
            .collect()
    }

    /// Restores what a previous incarnation saved; only into an empty account, so that nothing is counted twice. False
    /// where the account is not empty.
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
