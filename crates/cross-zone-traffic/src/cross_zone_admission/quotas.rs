//! This front's quota of each budget, from its own usage and the reports of servers.
use super::budget_pool::{BudgetKey, BudgetPool};
use super::{CrossZoneAdmission, CrossZonePolicy};
use crate::quota_share::{ObservedUsage, UsageReports};
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The least rate that usage is divided by, kB a second; a budget may be 0.
const MIN_BUDGET_RATE_KB: f64 = 1e-9;

impl CrossZoneAdmission {
    /// A request of a class arrived: where a budget holds it back, this front has demand for more of that budget.
    pub fn session_requested(&mut self, now: Time, class: u8) {
        for zone in self.budgeted_zones() {
            if self.policy(now, zone, class) == CrossZonePolicy::Allowed {
                continue;
            }
            let key = self.budget_key(zone, class);
            if let Some(pool) = key.and_then(|key| self.pools.get_mut(&key)) {
                pool.quota_share.request_more(now);
            }
        }
    }

    /// Zones whose servers' reports this front needs now: it has demand for more than its quota of a budget, or holds more
    /// than an equal one.
    #[must_use]
    pub fn zones_observed(&self, now: Time) -> BTreeSet<u8> {
        let needs_reports = |pool: &BudgetPool| {
            pool.quota_share.has_demand(now) || pool.quota_share.exceeds_equal_quota()
        };
        self.pools
            .iter()
            .filter(|(_, pool)| needs_reports(pool))
            .map(|(key, _)| key.zone)
            .collect()
    }

    /// Charges each session for the bytes that it sent, and sums the rates, kB a second, by budget.
    ///
    /// Why not only at the end of a session: sessions that end early return a part of their reservation at once, while long
    /// ones would be charged for the rest only when they end, and until then all fronts together would exceed the budget
    /// (by a third, measured in a test).
    pub(super) fn charge_sessions(&mut self, now: Time) -> BTreeMap<BudgetKey, f64> {
        let mut rate_by_budget: BTreeMap<BudgetKey, f64> = BTreeMap::new();
        // One pass over all sessions: this runs between players' requests and their responses.
        for session in self.sessions.values_mut() {
            let pool = self.pools.get_mut(&session.budget);
            session.continue_at(session.rate_kb, now, self.mean_session_seconds, pool);
            *rate_by_budget.entry(session.budget).or_default() += session.rate_kb;
        }
        rate_by_budget
    }

    /// Updates this front's quota of each budget.
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
            let quota = pool.quota_share.update(now, own_usage, all_fronts);
            pool.budget.set_quota(now, quota);
        }
    }

    /// What crosses under a budget for all fronts, kB a second; `None` where a server that is up has no recent report.
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
