//! `crankpaddle lab judge`: runs the invariant checker over recorded sessions.
use super::files::{fleet_config, read_scenario};
use crate::failure::{exit_code_of, CommandFailure};
use crankpaddle_config::Config;
use crankpaddle_testbed::invariant_checker::{self, Breach, Rules, Verdict};
use crankpaddle_testbed::record::Record;
use crankpaddle_testbed::scenario_runner::{read_records, DRAIN_GRACE, TIMING_TOLERANCE};
use std::path::Path;
use std::process::ExitCode;

/// Checks the records of a scenario against the rules of its fleet.
pub(super) fn check_records(config: &Config, records: &[Record]) -> Verdict {
    invariant_checker::check_invariants(&Rules::of(config, DRAIN_GRACE, TIMING_TOLERANCE), records)
}

/// Formats the violation of a rule as a line.
pub(super) fn breach_line(breach: &Breach) -> String {
    format!("rule {}: {}", breach.rule, breach.what)
}

/// Checks the records in a file, and prints each violation and the verdict.
///
/// # Errors
///
/// The scenario or the records can't be read.
pub(super) fn run(scenario: &str, records: &Path) -> Result<ExitCode, CommandFailure> {
    let scenario = read_scenario(scenario)?;
    let config = fleet_config(&scenario)?;
    let verdict = check_records(&config, &read_records(records)?);
    for breach in &verdict.breaches {
        println!("{}", breach_line(breach));
    }
    println!("day {}: {verdict}", scenario.name);
    Ok(exit_code_of(verdict.breaches.is_empty()))
}
