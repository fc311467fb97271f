//! A session that crosses between zones: its rate, the bytes that it has sent, and the bytes reserved for it.
use super::budget_pool::{BudgetKey, BudgetPool};
use super::types::OverdraftCause;
use crate::{nanoseconds_between, BYTES_PER_KB, NANOSECONDS_PER_SECOND};
use crankpaddle_time::Time;

/// A session whose server is in another zone than its viewer.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrossingSession {
    /// The budget to which its bytes are charged.
    pub(super) budget: BudgetKey,
    pub(super) is_paid: bool,
    pub(super) rate_kb: f64,
    pub(super) lowest_rate_kb: f64,
    /// Rate before it was last capped, in kB per second; the rate at its start if it never was.
    pub(super) uncapped_rate_kb: f64,
    /// Bytes reserved in the budget.
    pub(super) reserved_bytes: f64,
    pub(super) started_at: Time,
    /// The bytes up to this time are included in `sent_bytes`.
    pub(super) accounted_until: Time,
    /// Bytes sent by `accounted_until`.
    pub(super) sent_bytes: f64,
    pub(super) is_capped: bool,
    /// Why it exceeded the budget; `None` if it conformed when it started.
    pub(super) overdraft_cause: Option<OverdraftCause>,
}

impl CrossingSession {
    /// Bytes sent by `now`, estimated from the rate.
    pub(super) fn sent_bytes_by(&self, now: Time) -> f64 {
        self.sent_bytes + self.rate_kb * BYTES_PER_KB * seconds_between(self.accounted_until, now)
    }

    /// Seconds since its start.
    pub(super) fn age_seconds(&self, now: Time) -> f64 {
        seconds_between(self.started_at, now)
    }

    /// Adds the bytes sent by `now` and sets the rate from then on. Corrects the reservation to the bytes sent so far plus
    /// those that the session will send in `remaining_seconds` at the new rate.
    pub(super) fn update_rate(
        &mut self,
        rate_kb: f64,
        now: Time,
        remaining_seconds: f64,
        pool: Option<&mut BudgetPool>,
    ) {
        self.sent_bytes = self.sent_bytes_by(now);
        self.rate_kb = rate_kb;
        self.accounted_until = now.max(self.accounted_until);
        let expected_bytes = self.sent_bytes + rate_kb * BYTES_PER_KB * remaining_seconds;
        if let Some(pool) = pool {
            pool.correct_reservation(now, self, expected_bytes);
        }
        self.reserved_bytes = expected_bytes;
    }
}

fn seconds_between(from: Time, to: Time) -> f64 {
    nanoseconds_between(from, to) / NANOSECONDS_PER_SECOND
}
