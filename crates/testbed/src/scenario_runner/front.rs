//! The fronts of a scenario, each a process of its own.
use super::ScenarioOptions;
use crate::process::{with_workers, Process};
use crate::script::{front_block, Scenario};
use crate::stage::SimulatedBackend;
use std::io;

/// The running process of one front of a scenario.
pub(super) struct FrontProcess {
    pub(super) process: Process,
    /// Number of the front's zone.
    pub(super) zone: usize,
}

impl FrontProcess {
    /// Writes the configuration of the front with number `index` and starts it. `peers` is its block about the other fronts,
    /// empty where the fronts don't know each other.
    pub(super) fn start(
        options: &ScenarioOptions,
        index: u32,
        scenario: &Scenario,
        backend: &SimulatedBackend,
        peers: &str,
    ) -> io::Result<FrontProcess> {
        let zones = &backend.config.zones;
        let zone = index as usize % zones.len();
        let cache = options.dir.join(format!("front-{index}.list"));
        let block = front_block(
            index,
            scenario.fronts,
            &zones[zone],
            &backend.list.address.to_string(),
            &cache.to_string_lossy(),
        );
        let text = with_workers(&block, options.workers) + peers + &backend.config_text;
        let process = Process::start(&options.exe, &options.dir, &format!("front-{index}"), &text)?;
        Ok(FrontProcess { process, zone })
    }
}
