//! Updates this front's quota of each budget from the front's own usage and the reports of servers.
use super::budget_pool::{BudgetKey, BudgetPool};
use super::{CrossZoneAdmission, CrossZonePolicy};
use crate::quota_share::{ObservedUsage, UsageReports};
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Lower bound of the divisor when usage is divided by a budget's rate, in kB per second, because that rate may be 0.
const MIN_BUDGET_RATE_KB: f64 = 1e-9;

impl CrossZoneAdmission {
    /// Handles the arrival of a request: records demand for each budget that does not allow its class to cross freely.
    pub fn session_requested(&mut self, now: Time, class: u8) {
        for zone in self.budgeted_zones() {
            if self.policy(now, zone, class) == CrossZonePolicy::Allowed {
                continue;
            }
            let key = self.budget_key(zone, class);
            if let Some(pool) = key.and_then(|key| self.pools.get_mut(&key)) {
                pool.adaptive_quota.record_demand(now);
            }
        }
    }

    /// The zones from which this front needs the usage reports of every server: those with a budget for which it has demand,
    /// or of which its quota is larger than an equal one.
    #[must_use]
    pub fn zones_to_observe(&self, now: Time) -> BTreeSet<u8> {
        let needs_reports = |pool: &BudgetPool| {
            pool.adaptive_quota.has_demand(now) || pool.adaptive_quota.exceeds_equal_quota()
        };
        self.pools
            .iter()
            .filter(|(_, pool)| needs_reports(pool))
            .map(|(key, _)| key.zone)
            .collect()
    }

    /// Charges each session for the bytes that it has sent. Returns the sum of the sessions' rates by budget, in kB per
    /// second.
    ///
    /// Charging only at the end of a session would exceed the budget: sessions that end early return a part of their
    /// reservation at once, while long ones would be charged for the bytes beyond their reservation only when they end. In
    /// a test, all fronts together exceeded the budget by a third.
    pub(super) fn charge_sessions(&mut self, now: Time) -> BTreeMap<BudgetKey, f64> {
        let mut rate_by_budget: BTreeMap<BudgetKey, f64> = BTreeMap::new();
        // A single pass over all sessions, because requests of players wait while this runs.
        for session in self.sessions.values_mut() {
            let pool = self.pools.get_mut(&session.budget);
            session.update_rate(session.rate_kb, now, self.mean_session_seconds, pool);
            *rate_by_budget.entry(session.budget).or_default() += session.rate_kb;
        }
        rate_by_budget
    }

    /// Updates this front's quota of each budget; `rate_by_budget` is its own usage in kB per second.
    pub(super) fn update_quotas(&mut self, now: Time, rate_by_budget: &BTreeMap<BudgetKey, f64>) {
        for key in self.budget_keys() {
            let all_fronts = self.usage_of_all_fronts(now, key);
            let Some(pool) = self.pools.get_mut(&key) else {
                continue;
            };
            let budget_rate_kb = pool.budget.shared().rate_kb.max(MIN_BUDGET_RATE_KB);
            let own_rate_kb = rate_by_budget.get(&key).copied().unwrap_or(0.0);
            let all_fronts = all_fronts.map(|observed| ObservedUsage {
                at: observed.at,
                usage: observed.usage / budget_rate_kb,
            });
            let own_usage = own_rate_kb / budget_rate_kb;
            let quota = pool.adaptive_quota.update(now, own_usage, all_fronts);
            pool.budget.set_quota(now, quota);
        }
    }

    /// Usage of a budget by all fronts, in kB per second; `None` if a server that is up has no recent report.
    fn usage_of_all_fronts(&self, now: Time, key: BudgetKey) -> Option<ObservedUsage> {
        let applies_to = |class: u8| self.budget_key(key.zone, class) == Some(key);
        let servers = self
            .servers_up
            .get(&key.zone)
            .into_iter()
            .flatten()
            .copied();
        match self.usage_reports.get(&key.zone) {
            Some(reports) => reports.total(now, servers, applies_to),
            None => UsageReports::default().total(now, servers, applies_to),
        }
    }
}
