//! `crankpaddle lab servers`: runs the simulated servers and the list service of a scenario, without faults.
use super::files::{fleet_config, read_scenario};
use crate::failure::CommandFailure;
use crankpaddle_testbed::list_service::ListService;
use crankpaddle_testbed::record::Recorder;
use crankpaddle_testbed::scenario_runner;
use crankpaddle_testbed::script;
use crankpaddle_testbed::server::SimulatedFleet;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Seed of the random draws of the servers.
const SERVER_SEED: u64 = 1;

/// Runs them for this many seconds, and prints the configuration of a front that uses them.
///
/// # Errors
///
/// The scenario can't be read, or a socket can't be opened.
pub(super) fn run(scenario: &str, seconds: u64) -> Result<ExitCode, CommandFailure> {
    let scenario = read_scenario(scenario)?;
    crankpaddle_net::start(None);
    let config = Arc::new(fleet_config(&scenario)?);
    let layout = scenario_runner::layout(&scenario, SERVER_SEED);
    let fleet = SimulatedFleet::start(config.clone(), &layout, Recorder::default())?;
    let list = ListService::start_for(&fleet, scenario.list_delay)?;
    let front = script::front_block(0, 1, &config.zones[0], &list.address.to_string(), "");
    println!(
        "# {} servers; the list service is at {}. Configuration of a front for them:",
        scenario.servers, list.address
    );
    println!("{front}{}", scenario.fleet);
    std::thread::sleep(Duration::from_secs(seconds));
    Ok(ExitCode::SUCCESS)
}
