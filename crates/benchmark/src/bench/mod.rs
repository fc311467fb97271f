//! The comparison: front and relay in alternating rounds, against the same stand-in servers, which answer at once.
mod load;
mod report;
mod target;

use crankpaddle_testbed::list_service::ListService;
use crankpaddle_testbed::record::Recorder;
use crankpaddle_testbed::script::{fleet_config, front_block, FLEET};
use crankpaddle_testbed::server::{Fleet, Layout};
use load::Clients;
use report::{median, Side, Sides};
use std::io;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use target::Target;

/// Length of a segment of the stand-in servers.
const SEGMENT: Duration = Duration::from_secs(1);
/// Delay of changes of the endpoint list.
const LIST_DELAY: Duration = Duration::from_millis(100);
/// Time in which a started front has received the endpoint list.
const LIST_RECEIVED_WITHIN: Duration = Duration::from_secs(1);

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program: `EXE front -c FILE`, `EXE lab relay ADDRESS...`.
    pub exe: PathBuf,
    /// Directory for the configuration.
    pub dir: PathBuf,
    /// Rounds of each side, alternating.
    pub rounds: usize,
    /// Seconds of a round.
    pub seconds: u64,
    /// Idle connections.
    pub idle: usize,
    /// Established sessions.
    pub sessions: usize,
    /// The front's log level.
    pub log: String,
}

/// The result of a comparison.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The table, and the failures of both sides.
    pub text: String,
    /// The larger ratio of failed set-ups of the two sides.
    pub failed: f64,
}

/// The stand-in servers, their list service, and the front's configuration.
struct Environment {
    exe: PathBuf,
    fleet: Arc<Fleet>,
    _list: Arc<ListService>,
    configuration: PathBuf,
}

impl Environment {
    fn start(plan: &Plan) -> io::Result<Environment> {
        std::fs::create_dir_all(&plan.dir)?;
        let text = fleet_text(&plan.log);
        let config = fleet_config(&text).map_err(|p| io::Error::other(format!("{p:?}")))?;
        let config = Arc::new(config);
        let layout = Layout {
            count: 12,
            cores: 64,
            work: Duration::ZERO,
            uneven: 0.0,
            segment: SEGMENT,
            seed: 1,
        };
        let fleet = Fleet::start(config.clone(), &layout, Recorder::default())?;
        let list = ListService::start_for(&fleet, LIST_DELAY)?;
        let block = front_block(0, 1, &config.zones[0], &list.address.to_string(), "");
        let block = block.replacen("front {", "front {\n  workers: 1", 1);
        let configuration = plan.dir.join("measured.textproto");
        std::fs::write(&configuration, format!("{block}{text}"))?;
        Ok(Environment {
            exe: plan.exe.clone(),
            fleet,
            _list: list,
            configuration,
        })
    }

    fn start_front(&self) -> io::Result<Target> {
        let mut command = Command::new(&self.exe);
        command.args(["front", "-c"]).arg(&self.configuration);
        Target::start(command)
    }

    fn start_relay(&self) -> io::Result<Target> {
        let mut command = Command::new(&self.exe);
        let servers = self.fleet.servers.iter().map(|s| s.address.to_string());
        command.args(["lab", "relay"]).args(servers);
        Target::start(command)
    }
}

/// The fleet's configuration, with enough capacity that no set-up is rejected: the front is measured, not the model.
///
/// Why not more than large machines have: the time to size regions grows with their slots (47 ms for 100,000).
fn fleet_text(log_level: &str) -> String {
    FLEET
        .replace("places: 26", "places: 400")
        .replace("links: \"14400kB/s\"", "links: \"480MB/s\"")
        .replace("link: \"1200kB/s\"", "link: \"40MB/s\"")
        .replace("uplink: \"8000kB/s\"", "uplink: \"240MB/s\"")
        .replace("connections: 8000", "connections: 100000")
        .replace("level: \"info\"", &format!("level: {log_level:?}"))
}

/// Measures both sides; returns the table.
///
/// # Errors
/// A process or a stand-in could not be started, or a process's figures can't be read.
pub fn run(plan: &Plan) -> io::Result<Measured> {
    let environment = Environment::start(plan)?;
    let clients = Clients::new();
    let (mut front, mut relay) = (Side::default(), Side::default());
    let latency_rate =
        measure_throughput_and_latency(plan, &environment, &clients, &mut front, &mut relay)?;
    let (front_target, relay_target) = (environment.start_front()?, environment.start_relay()?);
    std::thread::sleep(LIST_RECEIVED_WITHIN);
    let front_memory = clients.memory(&front_target, plan.idle, plan.sessions)?;
    let relay_memory = clients.memory(&relay_target, plan.idle, plan.sessions)?;
    let failed = front.failures.ratio().max(relay.failures.ratio());
    let sides = Sides {
        front,
        relay,
        latency_rate,
        front_memory,
        relay_memory,
    };
    Ok(Measured {
        text: report::text(plan, &sides),
        failed,
    })
}

/// Measures the throughput of both sides, then their latencies at half the front's throughput; returns that rate.
fn measure_throughput_and_latency(
    plan: &Plan,
    environment: &Environment,
    clients: &Clients,
    front: &mut Side,
    relay: &mut Side,
) -> io::Result<f64> {
    let (front_target, relay_target) = (environment.start_front()?, environment.start_relay()?);
    std::thread::sleep(LIST_RECEIVED_WITHIN);
    for _ in 0..plan.rounds {
        for (side, target) in [(&mut *front, &front_target), (&mut *relay, &relay_target)] {
            let throughput = clients.throughput(target, plan.seconds, &mut side.failures)?;
            side.rates.push(throughput.rate);
            side.cpu_us.push(throughput.cpu_us);
        }
    }
    let rate = median(&front.rates) / 2.0;
    for _ in 0..plan.rounds {
        for (side, target) in [(&mut *front, &front_target), (&mut *relay, &relay_target)] {
            let latencies = clients.latencies(target, rate, plan.seconds, &mut side.failures)?;
            side.latencies.push(latencies);
        }
    }
    Ok(rate)
}
