//! The state of each budget, for reports.
use super::budget_pool::BudgetKey;
use super::types::{BudgetStatus, CrossZoneLimit};
use super::CrossZoneAdmission;
use crankpaddle_time::Time;

impl CrossZoneAdmission {
    /// The current state of each budget, ordered by zone and class.
    pub fn budget_statuses(&mut self, now: Time) -> Vec<BudgetStatus> {
        self.budget_keys()
            .into_iter()
            .filter_map(|key| self.budget_status(now, key))
            .collect()
    }

    fn budget_status(&mut self, now: Time, key: BudgetKey) -> Option<BudgetStatus> {
        let level = self.budget_level(now, key);
        let pool = self.pools.get(&key)?;
        Some(BudgetStatus {
            limit: CrossZoneLimit {
                from_zone: key.zone,
                class: key.class,
                shared: *pool.budget.shared(),
            },
            quota: pool.budget.quota(),
            level,
            paid_kb: self.crossing_rate_kb(key, true),
            other_kb: self.crossing_rate_kb(key, false),
            overdraft_bytes: pool.overdraft_bytes.clone(),
            written_off_bytes: pool.budget.written_off_bytes(),
            capped_sessions: self
                .sessions_of(key)
                .filter(|(_, session)| session.is_capped)
                .count(),
        })
    }

    /// Current rate of the paid or of the other sessions under a budget, in kB per second.
    fn crossing_rate_kb(&self, key: BudgetKey, is_paid: bool) -> f64 {
        let rate_kb: f64 = self
            .sessions_of(key)
            .filter(|(_, session)| session.is_paid == is_paid)
            .map(|(_, session)| session.rate_kb)
            .sum();
        rate_kb + 0.0 // An empty sum of floats is -0.0, which reports must not show.
    }
}
