//! The comparison of a front with the relay. Both are measured in alternating rounds against the same stand-in servers, which
//! answer without delay.
mod load;
mod report;
mod target;

use crankpaddle_testbed::list_service::ListService;
use crankpaddle_testbed::record::Recorder;
use crankpaddle_testbed::script::{fleet_config, front_block, FLEET};
use crankpaddle_testbed::server::{FleetLayout, SimulatedFleet};
use load::Clients;
use report::{median, Comparison, SideResult};
use std::io;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use target::MeasuredProcess;

/// Length of the media segments of the stand-in servers.
const SEGMENT_LENGTH: Duration = Duration::from_secs(1);
/// Delay with which the list service publishes changes of the endpoint list.
const LIST_CHANGE_DELAY: Duration = Duration::from_millis(100);
/// Wait after the start of a front, until it has received the endpoint list.
const LIST_RECEIPT_TIME: Duration = Duration::from_secs(1);

/// The programs to measure and the extent of the measurement.
#[derive(Clone, Debug)]
pub struct ComparisonPlan {
    /// The program to run, as `EXE front -c FILE` and as `EXE lab relay ADDRESS...`.
    pub exe: PathBuf,
    /// Directory for the front's configuration; created if it does not exist.
    pub dir: PathBuf,
    /// Number of rounds for the front, and as many for the relay; the two alternate.
    pub rounds: usize,
    /// Length of a round in seconds.
    pub seconds: u64,
    /// Number of connections without a session that are opened to measure their memory use.
    pub idle: usize,
    /// Number of sessions that are opened to measure their memory use.
    pub sessions: usize,
    /// The front's log level, as its configuration names it.
    pub log: String,
}

/// The result of a comparison.
#[derive(Clone, Debug)]
pub struct ComparisonResult {
    /// The table, followed by the failures of the front and of the relay.
    pub text: String,
    /// Fraction of set-ups that failed, from 0 to 1: that of the front or of the relay, whichever is larger.
    pub failed: f64,
}

/// The stand-in servers, their list service, and the front's configuration.
struct Environment {
    exe: PathBuf,
    fleet: Arc<SimulatedFleet>,
    _list_service: Arc<ListService>, // Kept so that the service runs as long as the servers.
    configuration: PathBuf,
}

impl Environment {
    fn start(plan: &ComparisonPlan) -> io::Result<Environment> {
        std::fs::create_dir_all(&plan.dir)?;
        let text = fleet_config_text(&plan.log);
        let config =
            fleet_config(&text).map_err(|problems| io::Error::other(format!("{problems:?}")))?;
        let config = Arc::new(config);
        let layout = FleetLayout {
            count: 12,
            cores: 64,
            work: Duration::ZERO,
            uneven: 0.0,
            segment: SEGMENT_LENGTH,
            seed: 1,
        };
        let fleet = SimulatedFleet::start(config.clone(), &layout, Recorder::default())?;
        let list_service = ListService::start_for(&fleet, LIST_CHANGE_DELAY)?;
        let front_config = front_block(
            0,
            1,
            &config.zones[0],
            &list_service.address.to_string(),
            "",
        );
        let front_config = front_config.replacen("front {", "front {\n  workers: 1", 1);
        let configuration = plan.dir.join("measured.textproto");
        std::fs::write(&configuration, format!("{front_config}{text}"))?;
        Ok(Environment {
            exe: plan.exe.clone(),
            fleet,
            _list_service: list_service,
            configuration,
        })
    }

    fn start_front(&self) -> io::Result<MeasuredProcess> {
        let mut command = Command::new(&self.exe);
        command.args(["front", "-c"]).arg(&self.configuration);
        MeasuredProcess::start(command)
    }

    fn start_relay(&self) -> io::Result<MeasuredProcess> {
        let mut command = Command::new(&self.exe);
        let servers = self
            .fleet
            .servers
            .iter()
            .map(|server| server.address.to_string());
        command.args(["lab", "relay"]).args(servers);
        MeasuredProcess::start(command)
    }
}

/// The fleet's configuration, with enough capacity that no set-up is rejected, because the front is measured and not the
/// servers' capacity model.
///
/// The capacity is no larger than that of large machines, because the time to size regions grows with the number of their
/// slots (47 ms for 100,000 slots).
fn fleet_config_text(log_level: &str) -> String {
    FLEET
        .replace("places: 26", "places: 400")
        .replace("links: \"14400kB/s\"", "links: \"480MB/s\"")
        .replace("link: \"1200kB/s\"", "link: \"40MB/s\"")
        .replace("uplink: \"8000kB/s\"", "uplink: \"240MB/s\"")
        .replace("connections: 8000", "connections: 100000")
        .replace("level: \"info\"", &format!("level: {log_level:?}"))
}

/// Measures the front and the relay, and returns the table.
///
/// # Errors
/// A process, a stand-in server or the list service could not be started, or the processor time or memory of a process can't be
/// read.
pub fn run(plan: &ComparisonPlan) -> io::Result<ComparisonResult> {
    let environment = Environment::start(plan)?;
    let clients = Clients::new();
    let (mut front, mut relay) = (SideResult::default(), SideResult::default());
    let latency_rate =
        measure_throughput_and_latency(plan, &environment, &clients, &mut front, &mut relay)?;
    let (front_process, relay_process) = (environment.start_front()?, environment.start_relay()?);
    std::thread::sleep(LIST_RECEIPT_TIME);
    let front_memory = clients.memory_use(&front_process, plan.idle, plan.sessions)?;
    let relay_memory = clients.memory_use(&relay_process, plan.idle, plan.sessions)?;
    let failed = front.failures.ratio().max(relay.failures.ratio());
    let comparison = Comparison {
        front,
        relay,
        latency_rate,
        front_memory,
        relay_memory,
    };
    Ok(ComparisonResult {
        text: report::format_table(plan, &comparison),
        failed,
    })
}

/// Measures the throughput of both processes, then their latencies at half the front's median throughput. Returns that rate.
fn measure_throughput_and_latency(
    plan: &ComparisonPlan,
    environment: &Environment,
    clients: &Clients,
    front: &mut SideResult,
    relay: &mut SideResult,
) -> io::Result<f64> {
    let (front_process, relay_process) = (environment.start_front()?, environment.start_relay()?);
    std::thread::sleep(LIST_RECEIPT_TIME);
    for _ in 0..plan.rounds {
        for (side, process) in [(&mut *front, &front_process), (&mut *relay, &relay_process)] {
            let throughput = clients.throughput(process, plan.seconds, &mut side.failures)?;
            side.rates.push(throughput.rate);
            side.cpu_us.push(throughput.cpu_us);
        }
    }
    let rate = median(&front.rates) / 2.0;
    for _ in 0..plan.rounds {
        for (side, process) in [(&mut *front, &front_process), (&mut *relay, &relay_process)] {
            let latencies = clients.latencies(process, rate, plan.seconds, &mut side.failures)?;
            side.latencies.push(latencies);
        }
    }
    Ok(rate)
}
