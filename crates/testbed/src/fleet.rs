//! Plays a fleet case with front processes. The fronts form a membership over a UDP proxy that simulates network faults;
//! servers, list service and players are simulated in this process. The invariant checker checks the recorded events.
//!
//! - `processes`: starts, kills, stops and ends the fronts' processes;
//! - `power`: power losses of hosts;
//! - `arrivals`: starts players until the case is over;
//! - `cost`: processor time and answer latency of the fronts.
mod arrivals;
mod cost;
mod power;
mod processes;

pub use crate::host_faults::Retention;
use crate::host_faults::SimulatedHosts;
use crate::invariant_checker::{check_invariants, Rules, Verdict};
use crate::membership_poll::MembershipPoll;
use crate::player::{FrontFinder, PlayerBehavior, PlayerPool};
use crate::process::Process;
use crate::record::{Record, Recorder, Seen};
use crate::scenario_runner::{player_behavior, DRAIN_GRACE, TIMING_TOLERANCE};
use crate::script::Scenario;
use crate::stage::SimulatedBackend;
use crate::udp_proxy::{write_key, PeerNetwork};
use crate::wind_down::{wait_for_players, wait_for_streams};
use arrivals::Arrivals;
pub use cost::Cost;
use crankpaddle_fault_simulation::{
    run_case, ActionError, Build, CaseAction, CaseResult, Cluster, DelayRange, EntryAge, FleetCase,
    FrontSet, MemberTransition, RecoveryProgress, SendRate,
};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_net::clock;
use crankpaddle_time::{nanoseconds, Time};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// Time for all players to leave after the end of the case.
const PLAYERS_LEAVE_TIMEOUT: Duration = Duration::from_secs(40);

/// How a fleet case is played.
#[derive(Clone, Debug)]
pub struct FleetCaseOptions {
    /// The program that runs a front; it is called as `EXE front -c FILE`.
    pub exe: PathBuf,
    /// The other build for cases in which fronts of two builds form a fleet; `None` where all fronts run `exe`.
    pub other: Option<PathBuf>,
    /// Seed of all random draws.
    pub seed: u64,
    /// Directory for the fronts' configurations, cached endpoint lists, stores and logs.
    pub dir: PathBuf,
    /// Number of front processes.
    pub fronts: u32,
    /// Number of worker threads of each front.
    pub workers: u32,
    /// Time between two probes of a front's peers, as a value of its configuration.
    pub probe_every: String,
    /// Whether the fronts form a membership. Claims about members can hold only if they do.
    pub peers: bool,
    /// What fronts persist over a power loss.
    pub retention: Retention,
}

/// The results of a fleet case.
#[derive(Debug)]
pub struct FleetCaseOutcome {
    /// The result of the case's claims.
    pub played: CaseResult,
    /// The result of the invariant checker.
    pub verdict: Verdict,
    /// Descriptions of what went wrong outside claims and rules: fronts that ended with an error, streams left at servers,
    /// membership changes that were missed.
    pub failures: Vec<String>,
    /// All records, sorted by time.
    pub records: Vec<Record>,
    /// Processor time and answer latency of the fronts.
    pub cost: Cost,
}

impl FleetCaseOutcome {
    /// Whether all claims held, all rules were kept and nothing else went wrong.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        let (satisfied, total) = self.played.satisfied_claims();
        satisfied == total && self.verdict.breaches.is_empty() && self.failures.is_empty()
    }
}

/// A cluster of front processes with everything that they run against. Fronts are numbered from 0.
struct ProcessCluster<'a> {
    options: &'a FleetCaseOptions,
    backend: &'a SimulatedBackend,
    /// Numbers of the fronts that the configurations of all fronts name as seeds of the membership.
    seeds: Vec<usize>,
    /// File with the membership key of the fleet; `None` where the fronts don't form a membership.
    key: Option<PathBuf>,
    network: PeerNetwork,
    membership_poll: MembershipPoll,
    /// The process of each front; `None` where the front does not run.
    processes: Vec<Option<Process>>,
    /// Whether each front's process is stopped by a signal.
    stopped: Vec<bool>,
    /// Whether each front runs the other build from its next start on.
    uses_other_build: Vec<bool>,
    started_at: Time,
    /// The fronts' hosts; `None` where the case has no power losses.
    hosts: Option<SimulatedHosts>,
    players: Arc<PlayerPool>,
}

impl Cluster for ProcessCluster<'_> {
    fn fronts(&self) -> usize {
        self.processes.len()
    }

    fn now(&self) -> Time {
        clock::now()
    }

    fn run(&mut self, time: Duration) {
        std::thread::sleep(time);
    }

    fn act(&mut self, action: &CaseAction) -> Result<(), ActionError> {
        let size = self.processes.len();
        let numbers = |fronts: &FrontSet| fronts.members(size);
        match action {
            CaseAction::Start(fronts) => self.start(&numbers(fronts)).map_err(ActionError::Io)?,
            CaseAction::Kill(fronts) => self.kill(&numbers(fronts)).map_err(ActionError::Io)?,
            CaseAction::ShutDown(fronts) => {
                let faults = self.end(&numbers(fronts)).map_err(ActionError::Io)?;
                if !faults.is_empty() {
                    return Err(ActionError::Faults(faults));
                }
            }
            CaseAction::Pause(fronts) => self.set_stopped(&numbers(fronts), true),
            CaseAction::Resume(fronts) => self.set_stopped(&numbers(fronts), false),
            CaseAction::Restart { fronts, after } => {
                let restarted = numbers(fronts);
                self.kill(&restarted).map_err(ActionError::Io)?;
                self.run(*after);
                self.start(&restarted).map_err(ActionError::Io)?;
            }
            CaseAction::SetNetwork { .. }
            | CaseAction::Partition { .. }
            | CaseAction::Heal
            | CaseAction::Flood { .. } => {
                let action = action.clone();
                self.network.change(move |net| {
                    net.act(&action, size, DelayRange::NONE);
                });
            }
            CaseAction::SelectBuild { fronts, build } => {
                for front in numbers(fronts) {
                    self.uses_other_build[front] = *build == Build::Other;
                }
            }
            CaseAction::Host(action) => self.run_host_action(action).map_err(ActionError::Io)?,
            CaseAction::WriteEntry { .. } => {
                let reason =
                    "front processes do not write gossip entries yet; play the case with --virtual";
                return Err(ActionError::Unsupported(reason.to_owned()));
            }
        }
        Ok(())
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.membership_poll.state(at, of)
    }

    fn local_health(&self, at: usize) -> Option<LocalHealth> {
        self.membership_poll.local_health(at)
    }

    fn transitions(&self, from: Time) -> Vec<MemberTransition> {
        self.membership_poll.state_changes(from)
    }

    fn entry_age(&self, _: usize) -> Option<EntryAge> {
        None
    }

    fn recovery_progress(&self, paid: bool) -> Option<RecoveryProgress> {
        self.hosts.as_ref()?;
        let counts = self.loss_counts(paid);
        Some(RecoveryProgress {
            restored: counts.restored,
            left: counts.left,
            lost: counts.lost,
        })
    }

    fn warm_up_time(&self, sessions: f64) -> Option<Duration> {
        let hosts = self.hosts.as_ref()?;
        let nanoseconds = hosts.min_warm_up_time(&self.backend.config, sessions)?;
        Some(Duration::from_nanos(nanoseconds))
    }

    fn sent(&self) -> SendRate {
        let elapsed = nanoseconds(clock::now().duration_since(self.started_at)).max(1);
        let seconds = elapsed as f64 / NANOSECONDS_PER_SECOND as f64;
        let rate = |front| {
            let sent = self.network.sent(front);
            SendRate {
                datagrams: sent.datagrams as f64 / seconds,
                bytes: sent.bytes as f64 / seconds,
            }
        };
        (0..self.processes.len())
            .map(rate)
            .fold(SendRate::default(), SendRate::max)
    }
}

/// Plays a case to its end, with the traffic of `scenario`, whose own faults and length are ignored. It blocks, so it
/// must be called on a thread and not in a coroutine, and after [`crankpaddle_net::start`].
///
/// # Errors
/// A front, a simulated server or the list service could not be started, a file could not be written, or an action of the case
/// could not be carried out.
pub fn run(
    case: &FleetCase,
    scenario: &Scenario,
    options: &FleetCaseOptions,
) -> io::Result<FleetCaseOutcome> {
    std::fs::create_dir_all(&options.dir)?;
    let backend = SimulatedBackend::start(scenario, options.seed)?;
    let mut cluster = ProcessCluster::new(case, scenario, options, &backend)?;
    cluster.start(&case.initial_fronts.members(cluster.processes.len()))?;
    let (players, membership_poll) = (cluster.players.clone(), cluster.membership_poll.clone());
    let arrivals = Arrivals::start(
        scenario,
        &backend.config,
        options.seed,
        &players,
        &membership_poll,
    );
    let played = run_case(case, &mut cluster).map_err(io::Error::other);
    let mut failures = Vec::new();
    failures.extend(arrivals.stop());
    let all: Vec<usize> = (0..cluster.processes.len()).collect();
    cluster.set_stopped(&all, false);
    players.leave();
    let deadline = clock::now() + PLAYERS_LEAVE_TIMEOUT;
    failures.extend(wait_for_players(&players, deadline));
    // The sessions of a killed front are never ended, so their streams stay.
    if !any_front_died(&backend.recorder) {
        failures.extend(wait_for_streams(&backend.fleet));
    }
    failures.extend(membership_poll.missed());
    membership_poll.end();
    failures.extend(cluster.end(&all)?);
    drop(cluster);
    let records = backend.recorder.all();
    let verdict = check_invariants(
        &Rules::of(&backend.config, DRAIN_GRACE, TIMING_TOLERANCE),
        &records,
    );
    let cost = Cost::of(&records);
    Ok(FleetCaseOutcome {
        played: played?,
        verdict,
        failures,
        records,
        cost,
    })
}

impl<'a> ProcessCluster<'a> {
    /// Creates the network, players and hosts of a case. No front runs yet.
    fn new(
        case: &FleetCase,
        scenario: &Scenario,
        options: &'a FleetCaseOptions,
        backend: &'a SimulatedBackend,
    ) -> io::Result<ProcessCluster<'a>> {
        let fronts = options.fronts as usize;
        let network = PeerNetwork::start(fronts, options.seed)?;
        let hosts = if case.needs_disks() {
            Some(SimulatedHosts::new(
                &options.dir,
                options.retention,
                options.seed,
                fronts,
            )?)
        } else {
            None
        };
        let membership_poll = MembershipPoll::start(fronts, &network);
        let behavior = PlayerBehavior {
            retries_with_same_key: hosts.is_some(),
            ..player_behavior(scenario)
        };
        let players = PlayerPool::new(backend.recorder.clone(), behavior)
            .with_finder(front_finder(&membership_poll));
        let key = if options.peers {
            Some(write_key(&options.dir)?)
        } else {
            None
        };
        Ok(ProcessCluster {
            options,
            backend,
            seeds: case.seeds.members(fronts),
            key,
            network,
            membership_poll,
            processes: (0..fronts).map(|_| None).collect(),
            stopped: vec![false; fronts],
            uses_other_build: vec![false; fronts],
            started_at: clock::now(),
            hosts,
            players: Arc::new(players),
        })
    }
}

/// Finds the current address of a front, which changes when the front is restarted.
fn front_finder(membership_poll: &MembershipPoll) -> FrontFinder {
    let membership_poll = membership_poll.clone();
    Box::new(move |wanted| {
        let running = membership_poll.running();
        let found = running.into_iter().find(|front| front.number == wanted);
        found.map(|front| front.address)
    })
}

fn any_front_died(recorder: &Recorder) -> bool {
    let records = recorder.all();
    records
        .iter()
        .any(|record| matches!(record.seen, Seen::Died { .. }))
}
