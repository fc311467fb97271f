//! Admission of sessions whose server is in another zone than their viewer: which may start, which are capped at their
//! lowest rung, and in which order caps are lifted.
//!
//! The placement module chooses the server and rung of each request. This module tells it, by a [`CrossZonePolicy`] for
//! each zone and class, whether it may choose servers of other zones. Paid sessions have priority over the budget: they
//! cross when their own zone can't serve them, even if the budget is exhausted, and the overdraft is recorded with its
//! cause. Previews repay the overdraft: they stay in their own zone, or at their lowest rung, until the debt has drained.
//! Overdraft that is not repaid within a bounded time is written off.
mod budget_pool;
mod crossing_session;
mod policies;
mod quotas;
mod rate_caps;
mod status;
mod types;

pub use crankpaddle::CrossZonePolicy;
pub use types::{
    BudgetStatus, CrossZoneLimit, CrossingSessionStart, OverdraftCause, PolicyChange,
    RateCapChanges,
};

use crate::budget::FrontPosition;
use crate::quota_share::UsageReports;
use crate::BYTES_PER_KB;
use budget_pool::{BudgetKey, BudgetPool};
use crankpaddle_time::Time;
use crossing_session::CrossingSession;
use policies::ZoneClass;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of each ended session in the moving average of session lengths.
const SESSION_LENGTH_WEIGHT: f64 = 0.05;
/// Lower bound of session lengths, which determine the bytes to reserve.
const MIN_SESSION_SECONDS: f64 = 0.1;

/// Decides for one front, all of whose viewers are in one zone, which sessions may be served from other zones.
#[derive(Clone, Debug)]
pub struct CrossZoneAdmission {
    /// Whether each class has priority over budgets, indexed by class number.
    paid_classes: Vec<bool>,
    pools: BTreeMap<BudgetKey, BudgetPool>,
    /// The sessions that cross under a budget, by session id.
    sessions: BTreeMap<u64, CrossingSession>,
    /// Reports of the servers, by the zone of the servers.
    usage_reports: BTreeMap<u8, UsageReports>,
    /// The servers that are up, by zone.
    servers_up: BTreeMap<u8, BTreeSet<u32>>,
    /// The policies as last returned by [`CrossZoneAdmission::policy_changes`].
    notified_policies: BTreeMap<ZoneClass, CrossZonePolicy>,
    mean_session_seconds: f64,
}

impl CrossZoneAdmission {
    /// Creates the admission of a front without sessions.
    ///
    /// `paid_classes` tells for each class whether it has priority over budgets. Traffic from zones without a budget is
    /// unlimited. `mean_session_seconds` is the initial value of the mean session length.
    #[must_use]
    pub fn new(
        paid_classes: Vec<bool>,
        limits: &[CrossZoneLimit],
        position: FrontPosition,
        mean_session_seconds: f64,
    ) -> CrossZoneAdmission {
        let mut admission = CrossZoneAdmission {
            paid_classes,
            pools: BTreeMap::new(),
            sessions: BTreeMap::new(),
            usage_reports: BTreeMap::new(),
            servers_up: BTreeMap::new(),
            notified_policies: BTreeMap::new(),
            mean_session_seconds: mean_session_seconds.max(MIN_SESSION_SECONDS),
        };
        admission.reconfigure(limits, position);
        admission
    }

    /// Changes the budgets and the position; sessions and debt are kept. A zone that no longer has a budget becomes
    /// unlimited. Sessions to which another budget applies from now on are counted there.
    pub fn reconfigure(&mut self, limits: &[CrossZoneLimit], position: FrontPosition) {
        let configured: BTreeSet<BudgetKey> = limits.iter().map(BudgetKey::from).collect();
        self.pools.retain(|key, _| configured.contains(key));
        for limit in limits {
            let pool = self
                .pools
                .entry(BudgetKey::from(limit))
                .or_insert_with(|| BudgetPool::new(limit.shared, position));
            pool.reconfigure(limit.shared, position);
        }
    }

    /// The budget that applies to a class: the one for this class alone, else the general one of the zone. `None` if the
    /// class is unlimited.
    fn budget_key(&self, zone: u8, class: u8) -> Option<BudgetKey> {
        [Some(class), None]
            .map(|class| BudgetKey { zone, class })
            .into_iter()
            .find(|key| self.pools.contains_key(key))
    }

    fn budget_keys(&self) -> Vec<BudgetKey> {
        self.pools.keys().copied().collect()
    }

    fn budgeted_zones(&self) -> BTreeSet<u8> {
        self.pools.keys().map(|key| key.zone).collect()
    }

    fn sessions_of(&self, key: BudgetKey) -> impl Iterator<Item = (u64, &CrossingSession)> {
        self.sessions
            .iter()
            .filter(move |(_, session)| session.budget == key)
            .map(|(id, session)| (*id, session))
    }

    fn is_paid(&self, class: u8) -> bool {
        self.paid_classes
            .get(usize::from(class))
            .copied()
            .unwrap_or(false)
    }

    /// The debt of a budget divided by its burst tolerance; 0 if the budget does not exist.
    fn budget_level(&mut self, now: Time, key: BudgetKey) -> f64 {
        self.pools
            .get_mut(&key)
            .map_or(0.0, |pool| pool.budget.level(now))
    }

    /// Handles the start of a session that crosses zones: reserves the bytes that it is expected to send. Returns the bytes
    /// that were reserved beyond its budget; 0 if it conforms, is already known or is unlimited.
    pub fn session_started(&mut self, now: Time, start: CrossingSessionStart) -> f64 {
        if self.sessions.contains_key(&start.session_id) {
            return 0.0;
        }
        let Some(key) = self.budget_key(start.from, start.class) else {
            return 0.0;
        };
        let Some(pool) = self.pools.get_mut(&key) else {
            return 0.0;
        };
        let expected_bytes = start.rate_kb * BYTES_PER_KB * self.mean_session_seconds;
        let overdrawn_bytes = pool.budget.reserve(now, expected_bytes);
        if overdrawn_bytes > 0.0 {
            *pool
                .overdraft_bytes
                .entry(start.overdraft_cause)
                .or_default() += overdrawn_bytes;
            self.charge_other_budgets(now, key, overdrawn_bytes);
        }
        let session = CrossingSession {
            budget: key,
            is_paid: self.is_paid(start.class),
            rate_kb: start.rate_kb,
            lowest_rate_kb: start.lowest_rate_kb,
            uncapped_rate_kb: start.rate_kb,
            reserved_bytes: expected_bytes,
            started_at: now,
            accounted_until: now,
            sent_bytes: 0.0,
            is_capped: false,
            overdraft_cause: (overdrawn_bytes > 0.0).then_some(start.overdraft_cause),
        };
        self.sessions.insert(start.session_id, session);
        overdrawn_bytes
    }

    /// Whether a budget applies to a single class, and that class is paid.
    fn is_paid_budget(&self, key: BudgetKey) -> bool {
        key.class.is_some_and(|class| self.is_paid(class))
    }

    /// Distributes the overdraft of a budget for one paid class evenly among the zone's budgets that include other classes,
    /// because paid sessions are never held back to repay it.
    fn charge_other_budgets(&mut self, now: Time, overdrawn: BudgetKey, bytes: f64) {
        if !self.is_paid_budget(overdrawn) {
            return; // The other classes, which repay the overdraft, share this budget.
        }
        let repaying: Vec<BudgetKey> = self
            .budget_keys()
            .into_iter()
            .filter(|key| key.zone == overdrawn.zone && !self.is_paid_budget(*key))
            .collect();
        for key in &repaying {
            if let Some(pool) = self.pools.get_mut(key) {
                pool.budget
                    .charge_overdraft(now, bytes / repaying.len() as f64);
            }
        }
    }

    /// Handles a change of a session's rate.
    pub(crate) fn rate_changed(&mut self, now: Time, session_id: u64, rate_kb: f64) {
        let Some(session) = self.sessions.get_mut(&session_id) else {
            return;
        };
        let pool = self.pools.get_mut(&session.budget);
        session.update_rate(rate_kb, now, self.mean_session_seconds, pool);
    }

    /// Handles the end of a session: corrects its reservation to the bytes that it sent.
    pub fn session_ended(&mut self, now: Time, session_id: u64) {
        let Some(session) = self.sessions.remove(&session_id) else {
            return;
        };
        let seconds = session.age_seconds(now).max(MIN_SESSION_SECONDS);
        self.mean_session_seconds += SESSION_LENGTH_WEIGHT * (seconds - self.mean_session_seconds);
        if let Some(pool) = self.pools.get_mut(&session.budget) {
            pool.correct_reservation(now, &session, session.sent_bytes_by(now));
        }
    }

    /// Replaces the set of servers of a zone that are up.
    pub fn set_servers_up(&mut self, zone: u8, servers: BTreeSet<u32>) {
        self.servers_up.insert(zone, servers);
    }

    /// Handles a server's report of what it sends to this front's zone for the sessions of all fronts, in kB per second by
    /// class. `at` is the time to which the report refers.
    pub fn usage_reported(
        &mut self,
        zone: u8,
        server: u32,
        at: Time,
        rate_kb_by_class: BTreeMap<u8, f64>,
    ) {
        self.usage_reports
            .entry(zone)
            .or_default()
            .record(server, at, rate_kb_by_class);
    }

    /// Handles the loss of a server, which sends nothing until it reports again.
    pub(crate) fn server_lost(&mut self, zone: u8, server: u32) {
        self.usage_reports
            .entry(zone)
            .or_default()
            .remove_server(server);
        self.servers_up.entry(zone).or_default().remove(&server);
    }

    /// Charges the bytes sent since the previous call, updates the quotas, and returns the sessions to cap or uncap. Must be
    /// called about once a second.
    pub fn tick(&mut self, now: Time) -> RateCapChanges {
        let rate_by_budget = self.charge_sessions(now);
        self.update_quotas(now, &rate_by_budget);
        self.update_rate_caps(now)
    }
}
