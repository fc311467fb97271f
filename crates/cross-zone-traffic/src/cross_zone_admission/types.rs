//! Inputs and results of admission.
use crate::budget::SharedBudget;
use crankpaddle::CrossZonePolicy;
use std::collections::BTreeMap;

/// Why a paid session crossed beyond the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverdraftCause {
    /// No server of the front's own zone was up.
    LocalZoneDown,
    /// The front's own zone had no capacity, or does not hold the title.
    LocalZoneFull,
}

/// A budget for the traffic from a zone to that of the front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneLimit {
    /// The zone of the servers.
    pub from: u8,
    /// The only class that the budget applies to; `None`: all classes without a budget of their own.
    pub class: Option<u8>,
    /// What all fronts share.
    pub shared: SharedBudget,
}

/// A session that starts to cross.
#[derive(Clone, Copy, Debug)]
pub struct SessionStart {
    /// The session.
    pub session: u64,
    /// The zone of its server.
    pub from: u8,
    /// Its class.
    pub class: u8,
    /// Its rate, kB a second.
    pub rate_kb: f64,
    /// The rate of its lowest rung, kB a second.
    pub lowest_rate_kb: f64,
    /// The cause that is recorded if the session exceeds the budget.
    pub overdraft_cause: OverdraftCause,
}

/// A change of how a class may be served from a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyChange {
    /// The zone of the servers.
    pub zone: u8,
    /// The class.
    pub class: u8,
    /// The policy from now on.
    pub policy: CrossZonePolicy,
}

/// Sessions whose rate cap changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RateCapChanges {
    /// Sessions to be capped at their lowest rung.
    pub cap: Vec<u64>,
    /// Sessions whose cap is lifted.
    pub uncap: Vec<u64>,
}

/// The state of one budget.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    /// The budget.
    pub limit: CrossZoneLimit,
    /// This front's quota of it, 0 to 1.
    pub quota: f64,
    /// Debt divided by this front's quota of the burst.
    pub level: f64,
    /// kB a second of paid sessions that cross under it now.
    pub paid_kb: f64,
    /// kB a second of the other sessions that cross under it now.
    pub other_kb: f64,
    /// Bytes beyond it so far, by cause.
    pub overdraft_bytes: BTreeMap<OverdraftCause, f64>,
    /// Bytes of debt that were written off.
    pub written_off_bytes: f64,
    /// Sessions capped at their lowest rung for it now.
    pub capped_sessions: usize,
}
