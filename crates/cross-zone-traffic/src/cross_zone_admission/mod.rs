//! Admission of sessions that cross between zones: which may start, which are capped, and in which order caps are lifted.
//!
//! The placement module chooses the server and rung of a request; this module states how it may choose from other zones.
//! Paid sessions have priority over the budget: they cross when their own zone can't serve them, and the overdraft is
//! counted with its cause. Previews repay it: they stay in their own zone, or at their lowest rung, until the debt has
//! drained. After a bounded time the rest of the overdraft is written off.
mod budget_pool;
mod crossing_session;
mod policies;
mod quotas;
mod rate_caps;
mod status;
mod types;

pub use crankpaddle::CrossZonePolicy;
pub use types::{
    BudgetStatus, CrossZoneLimit, OverdraftCause, PolicyChange, RateCapChanges, SessionStart,
};

use crate::budget::FrontPosition;
use crate::quota_share::UsageReports;
use crate::BYTES_PER_KB;
use budget_pool::{BudgetKey, BudgetPool};
use crankpaddle_time::Time;
use crossing_session::CrossingSession;
use policies::ZoneClass;
use std::collections::{BTreeMap, BTreeSet};

/// Weight of a session that ended in the mean session length.
const SESSION_LENGTH_WEIGHT: f64 = 0.05;
/// The shortest length that is assumed of a session.
const MIN_SESSION_SECONDS: f64 = 0.1;

/// The traffic of one front, whose viewers are in one zone, from other zones.
#[derive(Clone, Debug)]
pub struct CrossZoneAdmission {
    /// By class: whether it has priority over budgets.
    paid_classes: Vec<bool>,
    pools: BTreeMap<BudgetKey, BudgetPool>,
    sessions: BTreeMap<u64, CrossingSession>,
    /// By the zone of the servers.
    usage_reports: BTreeMap<u8, UsageReports>,
    /// Servers that are up, by zone.
    servers_up: BTreeMap<u8, BTreeSet<u32>>,
    /// The policies that were last returned as changes.
    notified_policies: BTreeMap<ZoneClass, CrossZonePolicy>,
    mean_session_seconds: f64,
}

impl CrossZoneAdmission {
    /// `paid_classes`: for each class whether it has priority over budgets. A zone without a budget is unlimited.
    /// `mean_session_seconds`: assumed until sessions have ended.
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

    /// Changes the budgets and the position; sessions and debt stay. A zone that has no budget any more is unlimited;
    /// sessions to which another budget applies from now on are counted there.
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

    /// The budget that applies to a class: its own, or that of the zone.
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

    /// The debt of a budget divided by its burst; 0 where there is no budget.
    fn budget_level(&mut self, now: Time, key: BudgetKey) -> f64 {
        self.pools
            .get_mut(&key)
            .map_or(0.0, |pool| pool.budget.level(now))
    }

    /// A session starts to cross; returns the bytes that were reserved beyond its budget.
    pub fn session_started(&mut self, now: Time, start: SessionStart) -> f64 {
        if self.sessions.contains_key(&start.session) {
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
            rate_since: now,
            sent_bytes: 0.0,
            is_capped: false,
            overdraft_cause: (overdrawn_bytes > 0.0).then_some(start.overdraft_cause),
        };
        self.sessions.insert(start.session, session);
        overdrawn_bytes
    }

    /// Whether a budget is for a paid class alone.
    fn is_paid_budget(&self, key: BudgetKey) -> bool {
        key.class.is_some_and(|class| self.is_paid(class))
    }

    /// Charges the overdraft of a paid class with a budget of its own to the budgets of the zone's other classes.
    fn charge_other_budgets(&mut self, now: Time, overdrawn: BudgetKey, bytes: f64) {
        if !self.is_paid_budget(overdrawn) {
            return; // The classes that repay are under the same budget.
        }
        let repaying: Vec<BudgetKey> = self
            .budget_keys()
            .into_iter()
            .filter(|key| key.zone == overdrawn.zone && !self.is_paid_budget(*key))
            .collect();
        for key in &repaying {
            if let Some(pool) = self.pools.get_mut(key) {
                pool.budget.charge(now, bytes / repaying.len() as f64);
            }
        }
    }

    /// The rate of a session changed.
    pub(crate) fn rate_changed(&mut self, now: Time, session: u64, rate_kb: f64) {
        let Some(session) = self.sessions.get_mut(&session) else {
            return;
        };
        let pool = self.pools.get_mut(&session.budget);
        session.continue_at(rate_kb, now, self.mean_session_seconds, pool);
    }

    /// A session ended.
    pub fn session_ended(&mut self, now: Time, session: u64) {
        let Some(session) = self.sessions.remove(&session) else {
            return;
        };
        let seconds = session.age_seconds(now).max(MIN_SESSION_SECONDS);
        self.mean_session_seconds += SESSION_LENGTH_WEIGHT * (seconds - self.mean_session_seconds);
        if let Some(pool) = self.pools.get_mut(&session.budget) {
            pool.correct(now, &session, session.sent_bytes_by(now));
        }
    }

    /// Replaces the servers of a zone that are up.
    pub fn update_servers(&mut self, zone: u8, servers: BTreeSet<u32>) {
        self.servers_up.insert(zone, servers);
    }

    /// A server reports what it sends to this front's zone for all fronts, kB a second by class; `at`: the time that the
    /// report describes.
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

    /// A server is lost: it sends nothing until it reports again.
    pub(crate) fn server_lost(&mut self, zone: u8, server: u32) {
        self.usage_reports
            .entry(zone)
            .or_default()
            .server_removed(server);
        self.servers_up.entry(zone).or_default().remove(&server);
    }

    /// Charges the bytes sent since the previous call, updates the quotas, and returns which sessions are to be capped or
    /// uncapped; call it about once a second.
    pub fn tick(&mut self, now: Time) -> RateCapChanges {
        let rate_by_budget = self.charge_sessions(now);
        self.update_quotas(now, &rate_by_budget);
        self.update_rate_caps(now)
    }
}
