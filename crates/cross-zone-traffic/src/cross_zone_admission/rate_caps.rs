//! Rate caps: which sessions are held at their lowest rung to reduce the debt of a budget, and in which order caps are
//! lifted.
use super::budget_pool::{BudgetKey, EXHAUSTED_LEVEL};
use super::types::RateCapChanges;
use super::CrossZoneAdmission;
use crankpaddle_time::Time;
use std::time::Duration;

/// Above this level, previews that cross are capped. The level gets there by overdrafts of paid sessions, or when the
/// front's quota is reduced.
const CAP_LEVEL: f64 = 1.5;
/// At or below this level, one cap is lifted at each tick, starting with the session that has the lowest uncapped rate.
const UNCAP_LEVEL: f64 = 0.6;
/// Minimum time between two rounds of caps for a budget, so that the first round takes effect before the next.
const MIN_CAP_INTERVAL: Duration = Duration::from_secs(2);

/// A session that may be capped.
struct CapCandidate {
    session_id: u64,
    /// Rate that the cap saves, in kB per second.
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

    /// Caps previews, those with the largest saving first, until the debt is within the burst.
    fn cap_sessions(&mut self, now: Time, key: BudgetKey, changes: &mut RateCapChanges) {
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        let next_cap_at = pool.last_capped_at + MIN_CAP_INTERVAL;
        if pool.budget.level(now) <= CAP_LEVEL || now < next_cap_at {
            return;
        }
        pool.last_capped_at = now;
        for candidate in self.cap_candidates(key) {
            if self.budget_level(now, key) <= EXHAUSTED_LEVEL {
                return;
            }
            self.cap(now, candidate.session_id);
            changes.cap.push(candidate.session_id);
        }
    }

    /// The sessions under a budget that may be capped, those with the largest saving first.
    fn cap_candidates(&self, key: BudgetKey) -> Vec<CapCandidate> {
        let mut candidates: Vec<CapCandidate> = self
            .sessions_of(key)
            .filter(|(_, session)| !session.is_paid && session.rate_kb > session.lowest_rate_kb)
            .map(|(id, session)| CapCandidate {
                session_id: id,
                saving_kb: session.rate_kb - session.lowest_rate_kb,
            })
            .collect();
        candidates.sort_by(|left, right| {
            let largest_saving_first = right.saving_kb.total_cmp(&left.saving_kb);
            largest_saving_first.then(left.session_id.cmp(&right.session_id))
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

    /// Lifts the cap of the capped session whose uncapped rate is the lowest.
    fn uncap_cheapest(&mut self, now: Time, key: BudgetKey, changes: &mut RateCapChanges) {
        if self.budget_level(now, key) > UNCAP_LEVEL {
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
