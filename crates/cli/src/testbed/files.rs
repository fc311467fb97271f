//! Files of the testbed's commands: scenarios and their fleets, records, and the directory of a run.
use crate::failure::CommandFailure;
use crankpaddle_config::{Config, Problem};
use crankpaddle_testbed::record::Record;
use crankpaddle_testbed::scenario_runner;
use crankpaddle_testbed::script::{self, Scenario};
use std::path::{Path, PathBuf};

/// The directory of this process for files that are not kept.
pub(super) fn temporary_dir() -> PathBuf {
    std::env::temp_dir().join(format!("crankpaddle-{}", std::process::id()))
}

/// A failure with the problems of a script or a configuration, each on a line that begins with the file's name.
pub(super) fn invalid_script(name: &str, problems: &[Problem]) -> CommandFailure {
    let lines: Vec<String> = problems
        .iter()
        .map(|problem| format!("{name}:{problem}"))
        .collect();
    CommandFailure::invalid_input(lines.join("\n"))
}

/// Parses the configuration of a scenario's fleet.
pub(super) fn fleet_config(scenario: &Scenario) -> Result<Config, CommandFailure> {
    script::fleet_config(&scenario.fleet).map_err(|problems| invalid_script("fleet", &problems))
}

/// Reads a scenario, given by its built-in name or the path of its script.
pub(super) fn read_scenario(name: &str) -> Result<Scenario, CommandFailure> {
    let built_in = script::BUILT_IN_SCENARIOS
        .iter()
        .find(|(known, _)| *known == name);
    let parsed = match built_in {
        Some((_, text)) => parse_built_in(text),
        None => parse_file(Path::new(name), &read_script(name)?),
    };
    parsed.map_err(|problems| invalid_script(name, &problems))
}

fn parse_built_in(text: &str) -> Result<Scenario, Vec<Problem>> {
    script::parse(text, |fleet| {
        script::built_in_fleet(fleet).ok_or_else(|| format!("{fleet:?} is not a built-in fleet"))
    })
}

/// Parses a script from a file. Its fleet is a built-in one or a file in the same directory.
fn parse_file(path: &Path, text: &str) -> Result<Scenario, Vec<Problem>> {
    let dir = path.parent().unwrap_or(Path::new("."));
    script::parse(text, |fleet| {
        if let Some(fleet) = script::built_in_fleet(fleet) {
            return Ok(fleet);
        }
        let fleet_path = dir.join(fleet);
        std::fs::read_to_string(&fleet_path)
            .map_err(|error| format!("{}: {error}", fleet_path.display()))
    })
}

fn read_script(name: &str) -> Result<String, CommandFailure> {
    std::fs::read_to_string(name).map_err(|error| {
        let known: Vec<&str> = script::BUILT_IN_SCENARIOS
            .iter()
            .map(|(name, _)| *name)
            .collect();
        let known = known.join(", ");
        CommandFailure::invalid_input(format_args!(
            "{name}: {error}; the built-in scenarios are {known}"
        ))
    })
}

/// Writes the records of a run, if a file is given.
pub(super) fn write_report(file: Option<&Path>, records: &[Record]) -> Result<(), CommandFailure> {
    let Some(file) = file else {
        return Ok(());
    };
    scenario_runner::write_records(file, records)
        .map_err(|error| CommandFailure::invalid_file(file, error))
}
