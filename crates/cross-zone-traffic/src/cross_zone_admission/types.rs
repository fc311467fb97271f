//! Inputs and results of cross-zone admission.
use crate::budget::SharedBudget;
use crankpaddle::CrossZonePolicy;
use std::collections::BTreeMap;

/// Why a paid session was served from another zone although the budget was exhausted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OverdraftCause {
    /// No server of the front's own zone was up.
    LocalZoneDown,
    /// The front's own zone had no free capacity, or none of its servers holds the title.
    LocalZoneFull,
}

/// A budget for the traffic from a zone to that of the front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrossZoneLimit {
    /// The zone of the servers.
    pub from_zone: u8,
    /// The only class to which the budget applies. `None` if it applies to all classes that have no budget of their own.
    pub class: Option<u8>,
    /// The limits that all fronts share.
    pub shared: SharedBudget,
}

/// A session that starts on a server of another zone.
#[derive(Clone, Copy, Debug)]
pub struct CrossingSessionStart {
    /// Id of the session, unique within the front.
    pub session_id: u64,
    /// Zone of the server.
    pub from: u8,
    /// Number of the class, an index into the configured classes.
    pub class: u8,
    /// Rate at the rung where it starts, in kB per second.
    pub rate_kb: f64,
    /// Rate at its lowest rung, in kB per second.
    pub lowest_rate_kb: f64,
    /// Cause to record if the session exceeds the budget.
    pub overdraft_cause: OverdraftCause,
}

/// A change of the policy for serving a class from a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyChange {
    /// The zone of the servers.
    pub zone: u8,
    /// Number of the class, an index into the configured classes.
    pub class: u8,
    /// The policy that applies from now on.
    pub policy: CrossZonePolicy,
}

/// The sessions whose rate cap changes, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RateCapChanges {
    /// Sessions to cap at their lowest rung.
    pub cap: Vec<u64>,
    /// Sessions whose cap to lift.
    pub uncap: Vec<u64>,
}

/// The state of one budget in this front.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    /// Zone, class and limits of the budget.
    pub limit: CrossZoneLimit,
    /// This front's quota, as a fraction of the budget, 0 to 1.
    pub quota: f64,
    /// Debt divided by this front's quota of the burst. From 1 on, only paid sessions may start; infinite if the rate is 0.
    pub level: f64,
    /// Current rate of paid sessions under this budget, in kB per second.
    pub paid_kb: f64,
    /// Current rate of the other sessions under this budget, in kB per second.
    pub other_kb: f64,
    /// Bytes beyond the budget since the budget was configured, by cause.
    pub overdraft_bytes: BTreeMap<OverdraftCause, f64>,
    /// Bytes of overdraft that were written off instead of repaid, since the budget was configured.
    pub written_off_bytes: f64,
    /// Number of sessions that are capped at their lowest rung because of this budget.
    pub capped_sessions: usize,
}
