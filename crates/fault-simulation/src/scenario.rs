//! Cases: what is done to a fleet, step by step, and the claims about it that are checked. They are read from protobuf text
//! format.
mod action;
mod built_in;
mod claim;
mod fronts;
mod parser;
#[cfg(test)]
mod tests;

pub use action::{Build, CaseAction, DelayRange, DiskState, HostAction};
pub use built_in::BUILT_IN_CASES;
pub use claim::{Claim, TimeBound};
pub use fronts::FrontSet;
pub use parser::parse_case;

use std::time::Duration;

/// A step of a case.
#[derive(Clone, Debug, PartialEq)]
pub enum CaseStep {
    /// Carries out an action.
    Action(CaseAction),
    /// Lets this much time pass.
    Run(Duration),
    /// Starts a new measurement: accusations, restarts and recovered sessions count from this time on (`mark`).
    BeginMeasurement,
    /// Checks a claim, and waits for it to hold within its time limit.
    Claim {
        /// The text by which the result is reported.
        name: String,
        /// The condition to check.
        claim: Claim,
    },
}

/// A case whose text was read without errors.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetCase {
    /// Name by which the case is selected and reported.
    pub name: String,
    /// One line that describes the faults of the case.
    pub description: String,
    /// Fronts that run at the start of the case; by default all.
    pub initial_fronts: FrontSet,
    /// Seeds in the configuration of all fronts, through which they join the fleet; by default front 0.
    pub seeds: FrontSet,
    /// Actions, pauses and claims, in the order in which they are carried out.
    pub steps: Vec<CaseStep>,
    /// Name of the scenario whose traffic and servers the case runs with on real processes; by default `calm`.
    pub day: String,
    /// Whether fronts have disks and players reconnect with their keys, even if the case has no power failures.
    pub has_disks: bool,
}

impl FleetCase {
    /// Whether the case writes entries of the gossip state; only simulated fleets support this so far.
    #[must_use]
    pub fn needs_gossip_state(&self) -> bool {
        self.steps
            .iter()
            .any(|step| matches!(step, CaseStep::Action(CaseAction::WriteEntry { .. })))
    }

    /// Whether the case needs real processes with disks, because it asks for them or acts on hosts.
    #[must_use]
    pub fn needs_disks(&self) -> bool {
        let acts_on_hosts = |step: &CaseStep| matches!(step, CaseStep::Action(CaseAction::Host(_)));
        self.has_disks || self.steps.iter().any(acts_on_hosts)
    }
}
