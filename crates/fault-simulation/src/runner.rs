//! Runs a case on a cluster and checks what it claims.
mod checks;

use crate::cluster::{Cluster, SendRate};
use crate::error::ActionError;
use crate::scenario::{Case, Step};

/// A checked claim.
#[derive(Clone, Debug)]
pub struct ClaimResult {
    /// What is claimed, with its bound.
    pub claim: String,
    /// What was measured.
    pub measured: String,
    /// Whether the claim holds.
    pub holds: bool,
}

/// The result of a case.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// Its claims.
    pub claims: Vec<ClaimResult>,
    /// The highest rate of one front, averaged over the complete case.
    pub sent: SendRate,
}

impl CaseResult {
    /// How many claims hold, and how many there are.
    #[must_use]
    pub fn satisfied_claims(&self) -> (usize, usize) {
        let satisfied = self.claims.iter().filter(|claim| claim.holds).count();
        (satisfied, self.claims.len())
    }
}

/// Runs a case to its end, also where a claim does not hold.
///
/// # Errors
/// A step can't be carried out on this cluster.
pub fn play<C: Cluster + ?Sized>(case: &Case, cluster: &mut C) -> Result<CaseResult, ActionError> {
    let mut claims = Vec::new();
    let mut mark = cluster.now();
    for step in &case.steps {
        match step {
            Step::Action(action) => cluster.act(action)?,
            Step::Run(time) => cluster.run(*time),
            Step::Mark => mark = cluster.now(),
            Step::Claim { name, claim } => {
                claims.push(checks::check(name, claim, mark, cluster));
            }
        }
    }
    Ok(CaseResult {
        claims,
        sent: cluster.sent(),
    })
}
