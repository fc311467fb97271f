//! Scenarios: cases that say what is done to a fleet and what is claimed of it, read from protobuf text format.
mod action;
mod built_in;
mod claim;
mod fronts;
mod parser;
#[cfg(test)]
mod tests;

pub use action::{Action, Build, DelayRange, DiskState, HostAction};
pub use built_in::CASES;
pub use claim::{Bound, Claim};
pub use fronts::Fronts;
pub use parser::parse;

use std::time::Duration;

/// A step of a case.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// An action is carried out.
    Action(Action),
    /// Time passes.
    Run(Duration),
    /// Accusations and restarts count from here on.
    Mark,
    /// A claim is checked.
    Claim {
        /// The name that it is reported by.
        name: String,
        /// What is claimed.
        claim: Claim,
    },
}

/// A checked case.
#[derive(Clone, Debug, PartialEq)]
pub struct Case {
    /// Its name.
    pub name: String,
    /// A description of it.
    pub description: String,
    /// Fronts that run at first.
    pub first: Fronts,
    /// Fronts through which all join at first.
    pub seeds: Fronts,
    /// Its steps, in order.
    pub steps: Vec<Step>,
    /// The day whose traffic and servers it is played with.
    pub day: String,
    /// Whether fronts have disks, and players reconnect with their keys.
    pub disks: bool,
}

impl Case {
    /// Whether it writes entries of the gossip state, which only runs in virtual time do yet.
    #[must_use]
    pub fn needs_gossip_state(&self) -> bool {
        self.steps
            .iter()
            .any(|step| matches!(step, Step::Action(Action::WriteEntry { .. })))
    }

    /// Whether it needs processes with disks.
    #[must_use]
    pub fn needs_disks(&self) -> bool {
        let acts_on_hosts = |step: &Step| matches!(step, Step::Action(Action::Host(_)));
        self.disks || self.steps.iter().any(acts_on_hosts)
    }
}
