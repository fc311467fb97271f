//! The measurement: front and relay in turns, against the same stand-in servers, which answer at once.
mod load;
mod report;
mod target;

use crankpaddle_testbed::list_service::{entry, EndpointState, ListService};
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
/// The list has reached a started front after this time.
const LIST_SETTLED: Duration = Duration::from_secs(1);

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program: `EXE front -c FILE`, `EXE lab relay ADDRESS...`.
    pub exe: PathBuf,
    /// Folder for the configuration.
    pub dir: PathBuf,
    /// Rounds of each, in turns.
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

/// What was measured.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The page's table and what failed.
    pub text: String,
    /// The larger share of failed set-ups of the two sides.
    pub failed: f64,
}

/// The stand-in servers, their list and the front's configuration.
struct Setting {
    exe: PathBuf,
    fleet: Arc<Fleet>,
    _list: Arc<ListService>,
    configuration: PathBuf,
}

impl Setting {
    fn start(plan: &Plan) -> io::Result<Setting> {
        std::fs::create_dir_all(&plan.dir)?;
        let text = fleet_text(&plan.log);
        let config = fleet_config(&text).map_err(|p| io::Error::other(format!("{p:?}")))?;
        let config = Arc::new(config);
        let recorder = Recorder::default();
        let layout = Layout {
            count: 12,
            cores: 64,
            work: Duration::ZERO,
            uneven: 0.0,
            segment: SEGMENT,
            seed: 1,
        };
        let fleet = Fleet::start(config.clone(), &layout, recorder.clone())?;
        let entries = fleet
            .servers
            .iter()
            .map(|server| entry(&config, server.id, server.address, EndpointState::Ready, 0))
            .collect();
        let list = ListService::start(entries, LIST_DELAY, recorder)?;
        let block = front_block(0, 1, &config.zones[0], &list.address.to_string(), "");
        let block = block.replacen("front {", "front {\n  workers: 1", 1);
        let configuration = plan.dir.join("measured.textproto");
        std::fs::write(&configuration, format!("{block}{text}"))?;
        Ok(Setting {
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

/// The fleet with capacity for all that is asked of it: the front is measured, not the model. Not more than large
/// machines have: sizing regions costs the module time in proportion to their slots (47 ms for 100,000).
fn fleet_text(log_level: &str) -> String {
    FLEET
        .replace("places: 26", "places: 400")
        .replace("links: \"14400kB/s\"", "links: \"480MB/s\"")
        .replace("link: \"1200kB/s\"", "link: \"40MB/s\"")
        .replace("uplink: \"8000kB/s\"", "uplink: \"240MB/s\"")
        .replace("connections: 8000", "connections: 100000")
        .replace("level: \"info\"", &format!("level: {log_level:?}"))
}

/// Measures and gives the page's table.
///
/// # Errors
/// Something did not start.
pub fn run(plan: &Plan) -> io::Result<Measured> {
    let setting = Setting::start(plan)?;
    let clients = Clients::new();
    let (mut front, mut relay) = (Side::default(), Side::default());
    let latency_rate = measure_time(plan, &setting, &clients, &mut front, &mut relay)?;
    let (front_target, relay_target) = (setting.start_front()?, setting.start_relay()?);
    std::thread::sleep(LIST_SETTLED);
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

/// Throughput of both sides, then latencies at half the front's rate, which is given.
fn measure_time(
    plan: &Plan,
    setting: &Setting,
    clients: &Clients,
    front: &mut Side,
    relay: &mut Side,
) -> io::Result<f64> {
    let (front_target, relay_target) = (setting.start_front()?, setting.start_relay()?);
    std::thread::sleep(LIST_SETTLED);
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
