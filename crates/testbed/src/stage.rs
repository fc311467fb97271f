//! The simulated servers and list service that the fronts of a scenario or a fleet case run against.
use crate::list_service::ListService;
use crate::record::Recorder;
use crate::script::{fleet_config, Scenario};
use crate::server::{FleetLayout, SimulatedFleet};
use crankpaddle_config::Config;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// The layout of a scenario's simulated servers.
#[must_use]
pub fn layout(scenario: &Scenario, seed: u64) -> FleetLayout {
    FleetLayout {
        count: scenario.servers as usize,
        cores: scenario.cores as usize,
        work: scenario.set_up_work,
        uneven: scenario.bandwidth_spread,
        segment: scenario.segment_length,
        seed,
    }
}

/// Simulated servers and their list service, with the configuration that fronts need for them.
pub(crate) struct SimulatedBackend {
    pub(crate) config: Arc<Config>,
    /// Text of the fronts' configuration, without the blocks that differ from front to front.
    pub(crate) config_text: String,
    pub(crate) fleet: Arc<SimulatedFleet>,
    pub(crate) list: Arc<ListService>,
    /// Delay of the list service while no fault changes it.
    pub(crate) list_delay: Duration,
    pub(crate) recorder: Recorder,
}

impl SimulatedBackend {
    /// Starts the servers and the list service of a scenario.
    pub(crate) fn start(scenario: &Scenario, seed: u64) -> io::Result<SimulatedBackend> {
        let invalid = |problems| io::Error::other(format!("fleet: {problems:?}"));
        let config = fleet_config(&scenario.fleet)
            .map(Arc::new)
            .map_err(invalid)?;
        let recorder = Recorder::default();
        let fleet =
            SimulatedFleet::start(config.clone(), &layout(scenario, seed), recorder.clone())?;
        let list = ListService::start_for(&fleet, scenario.list_delay)?;
        Ok(SimulatedBackend {
            config,
            config_text: scenario.fleet.clone(),
            fleet,
            list,
            list_delay: scenario.list_delay,
            recorder,
        })
    }
}
