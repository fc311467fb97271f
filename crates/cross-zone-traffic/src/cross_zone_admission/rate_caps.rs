//! Rate caps: which sessions are held at their lowest rung to relieve a budget, and in which order caps are lifted.
use super::budget_pool::{BudgetKey, SHORT_LEVEL};
use super::types::RateCapChanges;
use super::CrossZoneAdmission;
use crankpaddle_time::Time;
use std::time::Duration;

/// Over this level previews that cross are capped. Overdrafts of paid sessions and reduced quotas cause it.
const RELIEF_LEVEL: f64 = 1.5;
/// Up to this level caps are lifted, one at each tick, that of the cheapest session first.
const RESTORE_LEVEL: f64 = 0.6;
/// Time between two reliefs of a budget: the effect of a cap must first show.
const RELIEF_INTERVAL: Duration = Duration::from_secs(2);

/// A session that may be capped.
struct CapCandidate {
    session: u64,
    /// What the cap saves, kB a second.
    saving_kb: f64,
}

impl CrossZoneAdmission {
    /// Caps and uncaps sessions of each budget.
    pub(super) fn update_rate_caps(&mut self, now: Time) -> RateCapChanges {
        let mut changes = RateCapChanges::default();
        for key in self.budget_keys() {
            self.cap_sessions(now, key, &mut changes);
            self.uncap_cheapest(now, key, &mut changes);
        }
        changes
    }

    /// Caps previews, the most expensive first, until the debt is within the burst.
    fn cap_sessions(&mut self, now: Time, key: BudgetKey, changes: &mut RateCapChanges) {
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        let next_relief = pool.last_relief + RELIEF_INTERVAL;
        if pool.budget.level(now) <= RELIEF_LEVEL || now < next_relief {
            return;
        }
        pool.last_relief = now;
        for candidate in self.cap_candidates(key) {
            if self.budget_level(now, key) <= SHORT_LEVEL {
                return;
            }
            self.cap(now, candidate.session);
            changes.cap.push(candidate.session);
        }
    }

    /// Sessions under a budget that may be capped, the most expensive first.
    fn cap_candidates(&self, key: BudgetKey) -> Vec<CapCandidate> {
        let mut candidates: Vec<CapCandidate> = self
            .sessions_of(key)
            .filter(|(_, session)| !session.is_paid && session.rate_kb > session.lowest_rate_kb)
            .map(|(id, session)| CapCandidate {
                session: id,
                saving_kb: session.rate_kb - session.lowest_rate_kb,
            })
            .collect();
        candidates.sort_by(|left, right| {
            let most_expensive_first = right.saving_kb.total_cmp(&left.saving_kb);
            most_expensive_first.then(left.session.cmp(&right.session))
        });
        candidates
    }

    fn cap(&mut self, now: Time, id: u64) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_capped = true;
            session.uncapped_rate_kb = session.rate_kb;
            let lowest_rate_kb = session.lowest_rate_kb;
            self.rate_changed(now, id, lowest_rate_kb);
        }
    }

    /// Lifts the cap of the session whose rate before it was the lowest.
    fn uncap_cheapest(&mut self, now: Time, key: BudgetKey, changes: &mut RateCapChanges) {
        if self.budget_level(now, key) > RESTORE_LEVEL {
            return;
        }
        let cheapest = self
            .sessions_of(key)
            .filter(|(_, session)| session.is_capped)
            .min_by(|(_, left), (_, right)| {
                left.uncapped_rate_kb.total_cmp(&right.uncapped_rate_kb)
            })
            .map(|(id, _)| id);
        let Some(id) = cheapest else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.is_capped = false;
            changes.uncap.push(id);
        }
    }
}
