//! Plays a scripted day: fronts as processes of their own, everything else as stand-ins in this process.
//!
//! - `front`: the fronts' processes;
//! - `faults`: how the day's faults begin and end at fronts and stand-ins;
//! - `arrivals`: the players that come;
//! - `timeline`: the run itself;
//! - `recording`: records on disk.
mod arrivals;
mod faults;
mod front;
mod recording;
mod timeline;

use crate::crossing::{crossed, Crossed, FlowKey};
use crate::invariant_checker::{judge, Rules, Verdict};
use crate::membership_poll::MembershipPoll;
use crate::player::Habits;
use crate::process::end_all;
use crate::record::{Record, Seen};
use crate::script::Day;
pub use crate::stage::layout;
use crate::stage::Stage;
use crate::udp_proxy::{write_key, PeerNetwork};
pub use arrivals::{arrivals, Arrival};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficReport};
use crankpaddle_net::clock;
use crankpaddle_time::{nanoseconds, Time};
use crankpaddle_traffic_report::fetch;
use front::Front;
pub use recording::{read_records, write_records};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Tolerance of the rules for scheduling: stand-ins and players share the cores with the fronts.
pub const TIMING_TOLERANCE: Duration = Duration::from_millis(150);
/// Grace of the rules for draining servers.
pub const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Seconds that a front may take to settle its traffic report.
const SETTLED_WITHIN_SECONDS: u32 = 15;
/// Time for one request of a traffic report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time beyond its configured drain in which a front's process must end.
const PROCESS_END_GRACE: Duration = Duration::from_secs(5);
/// Time between two probes of fronts that know each other, as configured.
const PROBE_INTERVAL: &str = "1s";
/// Bytes by which the counts of servers and players may always differ.
const BYTE_TOLERANCE: u64 = 1_000_000;

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// The program that runs a front: called as `EXE front -c FILE`.
    pub exe: PathBuf,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Directory for configurations, cached lists and the fronts' logs.
    pub dir: PathBuf,
    /// Worker threads of each front.
    pub workers: u32,
    /// Whether the fronts know of each other, over a network without faults.
    pub peers: bool,
}

/// What a day showed.
#[derive(Debug)]
pub struct Outcome {
    /// The result of the invariant checker.
    pub verdict: Verdict,
    /// All records.
    pub records: Vec<Record>,
    /// What went wrong outside the rules: fronts that ended badly, streams left at servers, bytes that differ.
    pub faults: Vec<String>,
    /// Media bytes as both sides counted them.
    pub bytes: ByteCounts,
    /// Traffic between zones and utility, by the servers' own records.
    pub crossed: Crossed,
    /// The fronts' traffic reports, merged.
    pub reported: TrafficReport,
    /// When arrivals began, on the test bed's clock.
    pub start: Time,
}

impl Outcome {
    /// Bytes of each flow.
    #[must_use]
    pub fn flows(&self) -> BTreeMap<FlowKey, FlowBytes> {
        let mut all: BTreeMap<FlowKey, FlowBytes> = BTreeMap::new();
        for (key, bytes) in &self.crossed.bytes {
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

    /// Whether no rule was broken and nothing else went wrong.
    #[must_use]
    pub fn good(&self) -> bool {
        self.verdict.breaches.is_empty() && self.faults.is_empty()
    }
}

/// How a day's players behave.
#[must_use]
pub fn habits(day: &Day) -> Habits {
    Habits {
        returns: day.returns,
        return_after: day.return_after,
        follows_retry_after: day.follows_retry_after,
        reconnect: day.reconnect,
        keeps_key: false,
    }
}

/// Plays a day to its end. Call on a thread, after [`crankpaddle_net::start`].
///
/// # Errors
/// A front or a stand-in could not be started, or a file not be written.
pub fn play(day: &Day, play: &Play) -> io::Result<Outcome> {
    std::fs::create_dir_all(&play.dir)?;
    let stage = Stage::start(day, play.seed)?;
    let config = &stage.config;
    let peering = Peering::start(day, play)?;
    let mut fronts = start_fronts(day, play, &stage, peering.as_ref())?;
    let start = clock::now();
    let run_result = timeline::run(day, play, &stage, &fronts);
    let addresses = fronts.iter().map(|front| &front.process.address);
    let reported = merge(addresses.filter_map(settled_report));
    if let Some(peering) = &peering {
        peering.membership_poll.end();
    }
    // Why: the fronts are ended before the result of the run is looked at, so that none is left behind.
    let mut faults = Vec::new();
    let within = config.limits.drain + PROCESS_END_GRACE;
    faults.extend(end_all(fronts.iter_mut().map(|f| &mut f.process), within)?);
    faults.extend(run_result?);
    let records = stage.recorder.all();
    let bytes = count_bytes(&records);
    faults.extend(bytes.difference(day));
    let verdict = judge(&Rules::of(config, DRAIN_GRACE, TIMING_TOLERANCE), &records);
    let crossed = crossed(&records, config);
    Ok(Outcome {
        verdict,
        records,
        faults,
        bytes,
        crossed,
        reported,
        start,
    })
}

/// The network between fronts that know each other.
struct Peering {
    network: PeerNetwork,
    key: PathBuf,
    membership_poll: MembershipPoll,
}

impl Peering {
    /// Starts the network; `None` where the fronts don't know each other.
    fn start(day: &Day, play: &Play) -> io::Result<Option<Peering>> {
        if !play.peers {
            return Ok(None);
        }
        let fronts = day.fronts as usize;
        let network = PeerNetwork::start(fronts, play.seed)?;
        let key = write_key(&play.dir)?;
        let membership_poll = MembershipPoll::start(fronts, &network);
        Ok(Some(Peering {
            network,
            key,
            membership_poll,
        }))
    }

    /// The peers' block of a front's configuration.
    fn block(&self, front: usize) -> String {
        self.network.block(front, &[0], &self.key, PROBE_INTERVAL)
    }
}

fn start_fronts(
    day: &Day,
    play: &Play,
    stage: &Stage,
    peering: Option<&Peering>,
) -> io::Result<Vec<Front>> {
    let mut fronts = Vec::new();
    for index in 0..day.fronts {
        let number = index as usize;
        let peers = peering.map(|p| p.block(number)).unwrap_or_default();
        let front = Front::start(play, index, day, stage, &peers)?;
        if let Some(peering) = peering {
            peering
                .membership_poll
                .set_address(number, Some(front.process.address));
        }
        fronts.push(front);
    }
    Ok(fronts)
}

/// A front's traffic report once all sessions in it are settled, or the last one in time.
fn settled_report(front: &SocketAddr) -> Option<TrafficReport> {
    let mut last = None;
    for _ in 0..SETTLED_WITHIN_SECONDS {
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

/// Media bytes as both sides counted them.
#[derive(Clone, Copy, Debug)]
pub struct ByteCounts {
    /// Bytes that servers sent.
    pub sent: u64,
    /// Bytes that players read.
    pub read: u64,
    /// Sessions that players read.
    watched_sessions: u64,
}

/// Bytes of a flow as both sides counted them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FlowBytes {
    /// By the servers' own records.
    pub sent: u64,
    /// By the fronts' reports.
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
    /// The fault where the two counts differ by more than what was in transit.
    fn difference(&self, day: &Day) -> Option<String> {
        let (sent, read) = (self.sent, self.read);
        let mean = read.checked_div(self.watched_sessions).unwrap_or(0);
        // A session that breaks off leaves at most a segment between the two counts.
        let segment = nanoseconds(day.segment).max(1);
        let watch = nanoseconds(day.watch).max(1);
        let allowed = sent / 50 + mean * segment / watch * 10;
        (sent.abs_diff(read) > allowed + BYTE_TOLERANCE)
            .then(|| format!("servers sent {sent} media bytes and players read {read}"))
    }
}
