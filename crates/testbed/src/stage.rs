//! The stand-ins that the fronts of a day or a case run against.
use crate::list_service::ListService;
use crate::record::Recorder;
use crate::script::{fleet_config, Day};
use crate::server::{Fleet, Layout};
use crankpaddle_config::Config;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// The layout of a day's stand-in servers.
#[must_use]
pub fn layout(day: &Day, seed: u64) -> Layout {
    Layout {
        count: day.servers as usize,
        cores: day.cores as usize,
        work: day.work,
        uneven: day.uneven,
        segment: day.segment,
        seed,
    }
}

/// Servers and their list service, with the configuration that fronts need for them.
pub(crate) struct Stage {
    pub(crate) config: Arc<Config>,
    /// Text of the fronts' configuration, without the blocks of each front.
    pub(crate) config_text: String,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) list: Arc<ListService>,
    /// Delay of the list service without faults.
    pub(crate) list_delay: Duration,
    pub(crate) recorder: Recorder,
}

impl Stage {
    /// Starts the servers and the list service of a day.
    pub(crate) fn start(day: &Day, seed: u64) -> io::Result<Stage> {
        let invalid = |problems| io::Error::other(format!("fleet: {problems:?}"));
        let config = fleet_config(&day.fleet).map(Arc::new).map_err(invalid)?;
        let recorder = Recorder::default();
        let fleet = Fleet::start(config.clone(), &layout(day, seed), recorder.clone())?;
        let list = ListService::start_for(&fleet, day.list_delay)?;
        Ok(Stage {
            config,
            config_text: day.fleet.clone(),
            fleet,
            list,
            list_delay: day.list_delay,
            recorder,
        })
    }
}
