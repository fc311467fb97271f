//! The state of one budget in this front: its debt, the front's quota, the overdrafts, and whether it is exhausted.
use super::types::{CrossZoneLimit, OverdraftCause};
use super::CrossingSession;
use crate::budget::{FrontBudget, FrontPosition, SharedBudget};
use crate::quota_share::AdaptiveQuota;
use crankpaddle_time::Time;
use std::collections::BTreeMap;

/// A budget becomes exhausted at this level (debt divided by burst). Then only paid sessions may start to cross.
pub(super) const EXHAUSTED_LEVEL: f64 = 1.0;
/// A budget stays exhausted until its level has fallen below this one. Without this hysteresis, each session that ends would
/// let another one start, and the policy would alternate. The cost is that a part of the burst stays unused.
const RECOVERED_LEVEL: f64 = 0.9;

/// Identifies a budget. Budgets are processed and reported in the order of their keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BudgetKey {
    /// The zone of the servers.
    pub(super) zone: u8,
    /// The only class to which the budget applies; `None` if it applies to all classes that have no budget of their own.
    pub(super) class: Option<u8>,
}

impl From<&CrossZoneLimit> for BudgetKey {
    fn from(limit: &CrossZoneLimit) -> BudgetKey {
        BudgetKey {
            zone: limit.from_zone,
            class: limit.class,
        }
    }
}

/// The state of a budget in this front.
#[derive(Clone, Debug)]
pub(super) struct BudgetPool {
    pub(super) budget: FrontBudget,
    pub(super) adaptive_quota: AdaptiveQuota,
    pub(super) is_exhausted: bool,
    /// When sessions were last capped because of this budget; [`Time::ZERO`] before the first time.
    pub(super) last_capped_at: Time,
    /// Bytes beyond the budget since the budget was configured, by cause.
    pub(super) overdraft_bytes: BTreeMap<OverdraftCause, f64>,
}

impl BudgetPool {
    pub(super) fn new(shared: SharedBudget, position: FrontPosition) -> BudgetPool {
        BudgetPool {
            budget: FrontBudget::new(shared, position),
            adaptive_quota: AdaptiveQuota::new(position.equal_quota()),
            is_exhausted: false,
            last_capped_at: Time::ZERO,
            overdraft_bytes: BTreeMap::new(),
        }
    }

    pub(super) fn reconfigure(&mut self, shared: SharedBudget, position: FrontPosition) {
        self.budget.reconfigure(shared, position);
        if self.adaptive_quota.equal_quota() != position.equal_quota() {
            self.adaptive_quota = AdaptiveQuota::new(position.equal_quota());
        }
    }

    /// Corrects a session's reservation to the total number of bytes that it is now expected to send.
    pub(super) fn correct_reservation(
        &mut self,
        now: Time,
        session: &CrossingSession,
        expected_bytes: f64,
    ) {
        let reserved_bytes = session.reserved_bytes;
        let is_overdrawn = session.overdraft_cause.is_some();
        self.budget
            .correct_reservation(now, reserved_bytes, expected_bytes, is_overdrawn);
        let overdraft = session
            .overdraft_cause
            .and_then(|cause| self.overdraft_bytes.get_mut(&cause));
        if let Some(bytes) = overdraft {
            *bytes = (*bytes + expected_bytes - reserved_bytes).max(0.0);
        }
    }

    /// Updates and returns whether the budget is exhausted.
    pub(super) fn update_exhaustion(&mut self, now: Time) -> bool {
        let threshold = if self.is_exhausted {
            RECOVERED_LEVEL
        } else {
            EXHAUSTED_LEVEL
        };
        self.is_exhausted = self.budget.level(now) >= threshold;
        self.is_exhausted
    }
}
