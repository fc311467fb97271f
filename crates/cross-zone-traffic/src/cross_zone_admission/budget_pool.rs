//! One budget with this front's quota of it, its overdrafts, and whether it is short.
use super::types::{CrossZoneLimit, OverdraftCause};
use super::CrossingSession;
use crate::budget::{Budget, FrontPosition, SharedBudget};
use crate::quota_share::QuotaShare;
use crankpaddle_time::Time;
use std::collections::BTreeMap;

/// From this level of the budget on only paid sessions start to cross ...
pub(super) const SHORT_LEVEL: f64 = 1.0;
/// ... until it has fallen to this level. Why the gap: without it each session that ends lets one start, and the policy
/// alternates. The cost is a part of the burst that stays unused.
const AMPLE_LEVEL: f64 = 0.9;

/// Identifies a budget; the order is that in which budgets are visited and reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BudgetKey {
    /// The zone of the servers.
    pub(super) zone: u8,
    /// The only class that it applies to; `None`: all without a budget of their own.
    pub(super) class: Option<u8>,
}

impl From<&CrossZoneLimit> for BudgetKey {
    fn from(limit: &CrossZoneLimit) -> BudgetKey {
        BudgetKey {
            zone: limit.from,
            class: limit.class,
        }
    }
}

/// A budget and its state in this front.
#[derive(Clone, Debug)]
pub(super) struct BudgetPool {
    pub(super) budget: Budget,
    pub(super) quota_share: QuotaShare,
    pub(super) is_short: bool,
    /// When sessions were last capped for it; [`Time::ZERO`] before the first time.
    pub(super) last_relief: Time,
    /// Bytes beyond the budget so far, by cause.
    pub(super) overdraft_bytes: BTreeMap<OverdraftCause, f64>,
}

impl BudgetPool {
    pub(super) fn new(shared: SharedBudget, position: FrontPosition) -> BudgetPool {
        BudgetPool {
            budget: Budget::new(shared, position),
            quota_share: QuotaShare::new(position.equal_quota()),
            is_short: false,
            last_relief: Time::ZERO,
            overdraft_bytes: BTreeMap::new(),
        }
    }

    pub(super) fn reconfigure(&mut self, shared: SharedBudget, position: FrontPosition) {
        self.budget.reconfigure(shared, position);
        if self.quota_share.equal_quota() != position.equal_quota() {
            self.quota_share = QuotaShare::new(position.equal_quota());
        }
    }

    /// Corrects what is reserved for a session to the bytes that it is now expected to send in all.
    pub(super) fn correct(&mut self, now: Time, session: &CrossingSession, expected_bytes: f64) {
        let reserved_bytes = session.reserved_bytes;
        let is_overdrawn = session.overdraft_cause.is_some();
        self.budget
            .correct(now, reserved_bytes, expected_bytes, is_overdrawn);
        let overdraft = session
            .overdraft_cause
            .and_then(|cause| self.overdraft_bytes.get_mut(&cause));
        if let Some(bytes) = overdraft {
            *bytes = (*bytes + expected_bytes - reserved_bytes).max(0.0);
        }
    }

    /// Updates and returns whether the budget is short.
    pub(super) fn update_shortage(&mut self, now: Time) -> bool {
        let threshold = if self.is_short {
            AMPLE_LEVEL
        } else {
            SHORT_LEVEL
        };
        self.is_short = self.budget.level(now) >= threshold;
        self.is_short
    }
}
