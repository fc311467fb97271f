//! Plays a scripted scenario: fronts run as processes of their own, everything else is simulated in this process.
//!
//! - `front`: the fronts' processes;
//! - `faults`: start and end of the scenario's faults;
//! - `arrivals`: when players arrive, and what they watch;
//! - `timeline`: faults and arrivals at their times, and the wait for the end;
//! - `recording`: records on disk.
mod arrivals;
mod faults;
mod front;
mod recording;
mod timeline;

use crate::crossing::{cross_zone_traffic, CrossZoneTraffic, FlowKey};
use crate::invariant_checker::{check_invariants, Rules, Verdict};
use crate::membership_poll::MembershipPoll;
use crate::player::PlayerBehavior;
use crate::process::end_all;
use crate::record::{Record, Seen};
use crate::script::Scenario;
pub use crate::stage::layout;
use crate::stage::SimulatedBackend;
use crate::udp_proxy::{write_key, PeerNetwork};
pub use arrivals::{arrivals, Arrival};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficReport};
use crankpaddle_net::clock;
use crankpaddle_time::{nanoseconds, Time};
use crankpaddle_traffic_report::fetch;
use front::FrontProcess;
pub use recording::{read_records, write_records};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Tolerance of the rules for scheduling delays: simulated servers and players share the cores with the fronts.
pub const TIMING_TOLERANCE: Duration = Duration::from_millis(150);
/// Drain grace of the rules: a front may send sessions to a draining server for this long after it was notified.
pub const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Seconds to wait until a front's traffic report has no unsettled sessions.
const REPORT_SETTLE_SECONDS: u32 = 15;
/// Timeout of one request for a traffic report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// A front's process must end within its configured drain time plus this grace.
const PROCESS_END_GRACE: Duration = Duration::from_secs(5);
/// Time between two probes of fronts that know each other, as a value of their configuration.
const PROBE_INTERVAL: &str = "1s";
/// Bytes by which the counts of servers and players may differ in any run.
const BYTE_TOLERANCE: u64 = 1_000_000;

/// How a scenario is played.
#[derive(Clone, Debug)]
pub struct ScenarioOptions {
    /// The program that runs a front; it is called as `EXE front -c FILE`.
    pub exe: PathBuf,
    /// Seed of all random draws.
    pub seed: u64,
    /// Directory for the fronts' configurations, cached endpoint lists and logs.
    pub dir: PathBuf,
    /// Number of worker threads of each front.
    pub workers: u32,
    /// Whether the fronts form a membership, over a network without faults.
    pub peers: bool,
}

/// The results of a scenario.
#[derive(Debug)]
pub struct ScenarioOutcome {
    /// The result of the invariant checker.
    pub verdict: Verdict,
    /// All records, sorted by time.
    pub records: Vec<Record>,
    /// Descriptions of what went wrong outside the rules: fronts that ended with an error, streams left at servers, byte counts
    /// that differ.
    pub failures: Vec<String>,
    /// Media bytes as servers and players counted them.
    pub bytes: ByteCounts,
    /// Cross-zone traffic and utility according to the servers' records.
    pub cross_zone_traffic: CrossZoneTraffic,
    /// The traffic reports of all fronts, merged into one.
    pub reported: TrafficReport,
    /// When arrivals began, on the clock of the records.
    pub start: Time,
}

impl ScenarioOutcome {
    /// Media bytes of each flow, as the servers recorded and as the fronts reported them.
    #[must_use]
    pub fn flows(&self) -> BTreeMap<FlowKey, FlowBytes> {
        let mut all: BTreeMap<FlowKey, FlowBytes> = BTreeMap::new();
        for (key, bytes) in &self.cross_zone_traffic.bytes {
            all.entry(key.clone()).or_default().sent += bytes;
        }
        for flow in &self.reported.flows {
            let key = FlowKey {
                from: flow.from.clone(),
                to: flow.to.clone(),
                class: flow.class.clone(),
            };
            all.entry(key).or_default().reported += flow.bytes;
        }
        all
    }

    /// Whether all rules were kept and nothing else went wrong.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.verdict.breaches.is_empty() && self.failures.is_empty()
    }
}

/// The behaviour of a scenario's players.
#[must_use]
pub fn player_behavior(scenario: &Scenario) -> PlayerBehavior {
    PlayerBehavior {
        return_fraction: scenario.return_fraction,
        mean_return_delay: scenario.mean_return_delay,
        retry_after_fraction: scenario.retry_after_fraction,
        reconnect_fraction: scenario.reconnect_fraction,
        retries_with_same_key: false,
    }
}

/// Plays a scenario to its end. It blocks, so it must be called on a thread and not in a coroutine, and after
/// [`crankpaddle_net::start`].
///
/// # Errors
/// A front, a simulated server or the list service could not be started, or a file could not be written.
pub fn play(scenario: &Scenario, options: &ScenarioOptions) -> io::Result<ScenarioOutcome> {
    std::fs::create_dir_all(&options.dir)?;
    let backend = SimulatedBackend::start(scenario, options.seed)?;
    let config = &backend.config;
    let peering = Peering::start(scenario, options)?;
    let mut fronts = start_fronts(scenario, options, &backend, peering.as_ref())?;
    let start = clock::now();
    let run_result = timeline::run(scenario, options, &backend, &fronts);
    let addresses = fronts.iter().map(|front| &front.process.address);
    let reported = merge(addresses.filter_map(settled_report));
    if let Some(peering) = &peering {
        peering.membership_poll.end();
    }
    // The fronts are ended before the result of the run is checked, so that an error leaves no front running.
    let mut failures = Vec::new();
    let end_timeout = config.limits.drain_timeout + PROCESS_END_GRACE;
    failures.extend(end_all(
        fronts.iter_mut().map(|front| &mut front.process),
        end_timeout,
    )?);
    failures.extend(run_result?);
    let records = backend.recorder.all();
    let bytes = count_bytes(&records);
    failures.extend(bytes.difference(scenario));
    let verdict = check_invariants(&Rules::of(config, DRAIN_GRACE, TIMING_TOLERANCE), &records);
    let cross_zone_traffic = cross_zone_traffic(&records, config);
    Ok(ScenarioOutcome {
        verdict,
        records,
        failures,
        bytes,
        cross_zone_traffic,
        reported,
        start,
    })
}

/// The network between fronts that form a membership, and the poll of what they report of each other.
struct Peering {
    network: PeerNetwork,
    key: PathBuf,
    membership_poll: MembershipPoll,
}

impl Peering {
    /// Starts the network. `None` where the fronts don't form a membership.
    fn start(scenario: &Scenario, options: &ScenarioOptions) -> io::Result<Option<Peering>> {
        if !options.peers {
            return Ok(None);
        }
        let fronts = scenario.fronts as usize;
        let network = PeerNetwork::start(fronts, options.seed)?;
        let key = write_key(&options.dir)?;
        let membership_poll = MembershipPoll::start(fronts, &network);
        Ok(Some(Peering {
            network,
            key,
            membership_poll,
        }))
    }

    /// The block of a front's configuration about its peers.
    fn block(&self, front: usize) -> String {
        self.network
            .peers_block(front, &[0], &self.key, PROBE_INTERVAL)
    }
}

fn start_fronts(
    scenario: &Scenario,
    options: &ScenarioOptions,
    backend: &SimulatedBackend,
    peering: Option<&Peering>,
) -> io::Result<Vec<FrontProcess>> {
    let mut fronts = Vec::new();
    for index in 0..scenario.fronts {
        let number = index as usize;
        let peers = peering
            .map(|peering| peering.block(number))
            .unwrap_or_default();
        let front = FrontProcess::start(options, index, scenario, backend, &peers)?;
        if let Some(peering) = peering {
            peering
                .membership_poll
                .set_address(number, Some(front.process.address));
        }
        fronts.push(front);
    }
    Ok(fronts)
}

/// Polls a front's traffic report until it has no unsettled sessions, and returns the last report. `None` where a request
/// failed.
fn settled_report(front: &SocketAddr) -> Option<TrafficReport> {
    let mut last = None;
    for _ in 0..REPORT_SETTLE_SECONDS {
        let report = fetch(front, REPORT_TIMEOUT).ok()?;
        let settled = report.unsettled_sessions == 0;
        last = Some(report);
        if settled {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    last
}

/// Media bytes of a run as servers and players counted them.
#[derive(Clone, Copy, Debug)]
pub struct ByteCounts {
    /// Number of bytes that servers sent.
    pub sent: u64,
    /// Number of bytes that players read.
    pub read: u64,
    /// Number of sessions whose media a player read.
    watched_sessions: u64,
}

/// Media bytes of a flow as servers and fronts counted them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowBytes {
    /// Number of bytes by the servers' records.
    pub sent: u64,
    /// Number of bytes by the fronts' traffic reports.
    pub reported: u64,
}

fn count_bytes(records: &[Record]) -> ByteCounts {
    let mut counts = ByteCounts {
        sent: 0,
        read: 0,
        watched_sessions: 0,
    };
    for record in records {
        match &record.seen {
            Seen::Ended { bytes, .. } => counts.sent += bytes,
            Seen::Fetched { bytes, .. } => {
                counts.read += bytes;
                counts.watched_sessions += 1;
            }
            _ => {}
        }
    }
    counts
}

impl ByteCounts {
    /// A description of the fault where the two counts differ by more than what can be in transit; otherwise `None`.
    fn difference(&self, scenario: &Scenario) -> Option<String> {
        let (sent, read) = (self.sent, self.read);
        let mean_bytes = read.checked_div(self.watched_sessions).unwrap_or(0);
        // The counts of a session that breaks off differ by a segment at most.
        let segment = nanoseconds(scenario.segment_length).max(1);
        let watch_time = nanoseconds(scenario.mean_watch_time).max(1);
        let allowed = sent / 50 + mean_bytes * segment / watch_time * 10;
        (sent.abs_diff(read) > allowed + BYTE_TOLERANCE)
            .then(|| format!("servers sent {sent} media bytes and players read {read}"))
    }
}
