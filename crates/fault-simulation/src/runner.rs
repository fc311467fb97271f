//! Runs a case on a cluster and checks its claims.
mod checks;

use crate::cluster::{Cluster, SendRate};
use crate::error::ActionError;
use crate::scenario::{CaseStep, FleetCase};

/// The result of one checked claim.
#[derive(Clone, Debug)]
pub struct ClaimResult {
    /// The text of the claim, with its time limit if it has one.
    pub description: String,
    /// The measurement as text, for example the time after which the claim held.
    pub measurement: String,
    /// Whether the measurement is within the claim's limits.
    pub holds: bool,
}

/// The result of a case.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// The results of the claims, in the order in which they were checked.
    pub claims: Vec<ClaimResult>,
    /// The highest send rate of any front, where each rate is the average over the whole case.
    pub max_send_rate: SendRate,
}

impl CaseResult {
    /// The number of claims that hold, and the number of all claims.
    #[must_use]
    pub fn satisfied_claims(&self) -> (usize, usize) {
        let satisfied = self.claims.iter().filter(|claim| claim.holds).count();
        (satisfied, self.claims.len())
    }
}

/// Runs all steps of a case on a cluster; a claim that doesn't hold does not end the run.
///
/// # Errors
/// An action of the case can't be carried out on this cluster.
pub fn run_case<C: Cluster + ?Sized>(
    case: &FleetCase,
    cluster: &mut C,
) -> Result<CaseResult, ActionError> {
    let mut claims = Vec::new();
    let mut measured_since = cluster.now();
    for step in &case.steps {
        match step {
            CaseStep::Action(action) => cluster.act(action)?,
            CaseStep::Run(time) => cluster.run(*time),
            CaseStep::BeginMeasurement => measured_since = cluster.now(),
            CaseStep::Claim { name, claim } => {
                claims.push(checks::check(name, claim, measured_since, cluster));
            }
        }
    }
    Ok(CaseResult {
        claims,
        max_send_rate: cluster.sent(),
    })
}
