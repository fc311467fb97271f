//! The environment of a front under test: its configuration, simulated servers and a list service.
use crankpaddle_config::Config;
use crankpaddle_daemon::Daemon;
use crankpaddle_testbed::list_service::{entry, EndpointState, ListService};
use crankpaddle_testbed::record::Recorder;
use crankpaddle_testbed::script::{front_block, FLEET};
use crankpaddle_testbed::server::{FleetLayout, SimulatedFleet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The text of the fleet's configuration with short timeouts. Each change replaces the first occurrence of a text.
pub(crate) fn fleet_text(changes: &[(&str, &str)]) -> String {
    let short_timeouts = [
        (
            "aim: \"800ms\"\n  give_up: \"4s\"",
            "aim: \"400ms\"\n  give_up: \"1500ms\"",
        ),
        (
            "aim: \"1s\"\n  give_up: \"5s\"",
            "aim: \"400ms\"\n  give_up: \"2s\"",
        ),
        // Longer than the default, so that a busy machine does not make the front miss its deadlines.
        ("answer_margin: \"100ms\"", "answer_margin: \"500ms\""),
        ("resume: \"3s\"", "resume: \"700ms\""),
        ("silence: \"2s\"", "silence: \"1s\""),
    ];
    let mut text = FLEET.to_owned();
    for (from, to) in short_timeouts.iter().chain(changes) {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    text
}

/// The text of the configuration of a front with this list service and this file for the cached list.
pub(crate) fn front_text(fleet_text: &str, list: &SocketAddr, cache: &str) -> String {
    let block = front_block(0, 1, "north", &list.to_string(), cache);
    format!("{block}{fleet_text}").replacen("front {", "front {\n  seed: 5", 1)
}

/// Starts the simulated servers.
pub(crate) fn start_fleet(fleet_text: &str) -> (Arc<Config>, Arc<SimulatedFleet>, Recorder) {
    crankpaddle_net::start(Some(2));
    let no_list = "127.0.0.1:1".parse().unwrap();
    let text = front_text(fleet_text, &no_list, "");
    let config = Arc::new(crankpaddle_config::parse(&text).unwrap());
    let recorder = Recorder::default();
    let layout = FleetLayout {
        count: 12,
        cores: 3,
        work: Duration::from_nanos(20_000_000),
        uneven: 0.0,
        segment: Duration::from_nanos(200_000_000),
        seed: 3,
    };
    let fleet = SimulatedFleet::start(config.clone(), &layout, recorder.clone()).unwrap();
    (config, fleet, recorder)
}

/// Starts a list service that lists all servers.
pub(crate) fn start_list_service(
    config: &Config,
    fleet: &SimulatedFleet,
    recorder: &Recorder,
) -> Arc<ListService> {
    let servers = fleet.servers.iter();
    let entries = servers
        .map(|server| entry(config, server.id, server.address, EndpointState::Ready, 0))
        .collect();
    ListService::start(entries, Duration::from_nanos(1_000_000), recorder.clone()).unwrap()
}

/// Simulated servers and a list service, without a front.
pub(crate) struct Backend {
    pub config: Arc<Config>,
    pub fleet: Arc<SimulatedFleet>,
    pub list: Arc<ListService>,
    pub recorder: Recorder,
    fleet_text: String,
}

impl Backend {
    pub(crate) fn new(changes: &[(&str, &str)]) -> Backend {
        let fleet_text = fleet_text(changes);
        let (config, fleet, recorder) = start_fleet(&fleet_text);
        let list = start_list_service(&config, &fleet, &recorder);
        Backend {
            config,
            fleet,
            list,
            recorder,
            fleet_text,
        }
    }

    pub(crate) fn front_config(&self) -> Config {
        let text = front_text(&self.fleet_text, &self.list.address, "");
        crankpaddle_config::parse(&text).unwrap()
    }

    pub(crate) fn start_front(&self) -> Daemon {
        Daemon::start(self.front_config()).unwrap()
    }
}
