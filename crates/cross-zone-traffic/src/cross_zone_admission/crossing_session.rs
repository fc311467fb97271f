//! A session that crosses between zones: its rate, the bytes that it sent, and those that are reserved for it.
use super::budget_pool::{BudgetKey, BudgetPool};
use super::types::OverdraftCause;
use crate::{nanoseconds_between, BYTES_PER_KB, NANOSECONDS_PER_SECOND};
use crankpaddle_time::Time;

/// A session whose server is in another zone than its viewer.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrossingSession {
    /// The budget that it is counted in.
    pub(super) budget: BudgetKey,
    pub(super) is_paid: bool,
    pub(super) rate_kb: f64,
    pub(super) lowest_rate_kb: f64,
    /// Its rate before it was capped, kB a second.
    pub(super) uncapped_rate_kb: f64,
    /// Bytes that are reserved for it.
    pub(super) reserved_bytes: f64,
    pub(super) started_at: Time,
    /// Since when it has the present rate.
    pub(super) rate_since: Time,
    /// Bytes that it sent before `rate_since`.
    pub(super) sent_bytes: f64,
    pub(super) is_capped: bool,
    /// Why it was reserved beyond the budget, if it was.
    pub(super) overdraft_cause: Option<OverdraftCause>,
}

impl CrossingSession {
    /// Bytes that it has sent by now.
    pub(super) fn sent_bytes_by(&self, now: Time) -> f64 {
        self.sent_bytes + self.rate_kb * BYTES_PER_KB * seconds_between(self.rate_since, now)
    }

    /// Time since it started.
    pub(super) fn age_seconds(&self, now: Time) -> f64 {
        seconds_between(self.started_at, now)
    }

    /// Accounts for the bytes sent until now and continues at a rate. The reservation is corrected to the bytes that the
    /// session has sent and will send in `remaining_seconds` at that rate.
    pub(super) fn continue_at(
        &mut self,
        rate_kb: f64,
        now: Time,
        remaining_seconds: f64,
        pool: Option<&mut BudgetPool>,
    ) {
        self.sent_bytes = self.sent_bytes_by(now);
        self.rate_kb = rate_kb;
        self.rate_since = now.max(self.rate_since);
        let expected_bytes = self.sent_bytes + rate_kb * BYTES_PER_KB * remaining_seconds;
        if let Some(pool) = pool {
            pool.correct(now, self, expected_bytes);
        }
        self.reserved_bytes = expected_bytes;
    }
}

fn seconds_between(from: Time, to: Time) -> f64 {
    nanoseconds_between(from, to) / NANOSECONDS_PER_SECOND
}
