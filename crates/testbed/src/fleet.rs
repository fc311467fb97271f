//! Plays a case of a fleet with processes: fronts that know each other over a simulated network of sockets, stand-in servers,
//! a list service and players. The invariant checker judges what passed on the sockets.
//!
//! - `processes`: the fronts' processes;
//! - `power`: power losses of hosts;
//! - `arrivals`: the players that come;
//! - `cost`: processor time and latency of the fronts.
mod arrivals;
mod cost;
mod power;
mod processes;

use crate::host_faults::Hosts;
pub use crate::host_faults::Memory;
use crate::invariant_checker::{judge, Rules, Verdict};
use crate::membership_poll::MembershipPoll;
use crate::player::{Finder, Habits, PlayerPool};
use crate::process::Process;
use crate::record::{Record, Recorder, Seen};
use crate::scenario_runner::{habits, DRAIN_GRACE, TIMING_TOLERANCE};
use crate::script::Day;
use crate::stage::Stage;
use crate::udp_proxy::{write_key, PeerNetwork};
use crate::wind_down::{wait_for_players, wait_for_streams};
use arrivals::Arrivals;
pub use cost::Cost;
use crankpaddle_fault_simulation::{
    play, Action, ActionError, Build, Case, CaseResult, Cluster, DelayRange, EntryAge, Fronts,
    MemberTransition, RecoveryProgress, SendRate,
};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_net::clock;
use crankpaddle_time::{nanoseconds, Time};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// After the case the players have this long to leave.
const PLAYERS_LEAVE_WITHIN: Duration = Duration::from_secs(40);

/// How a case is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program that runs a front: called as `EXE front -c FILE`.
    pub exe: PathBuf,
    /// The other build, where two are played against each other.
    pub other: Option<PathBuf>,
    /// Seed of everything that is drawn.
    pub seed: u64,
    /// Directory for configurations, cached lists and the fronts' logs.
    pub dir: PathBuf,
    /// Number of fronts.
    pub fronts: u32,
    /// Worker threads of each front.
    pub workers: u32,
    /// Time between two probes, as the configuration states it.
    pub probe_every: String,
    /// Whether fronts know of each other; claims about members hold only if they do.
    pub peers: bool,
    /// What fronts persist over a power loss.
    pub memory: Memory,
}

/// What a case showed.
#[derive(Debug)]
pub struct Outcome {
    /// The result of the case's claims.
    pub played: CaseResult,
    /// The result of the invariant checker.
    pub verdict: Verdict,
    /// What went wrong outside both: fronts that ended badly, membership changes that were missed.
    pub faults: Vec<String>,
    /// All records of sessions.
    pub records: Vec<Record>,
    /// What the fronts cost.
    pub cost: Cost,
}

impl Outcome {
    /// Whether all claims and rules held and nothing else went wrong.
    #[must_use]
    pub fn good(&self) -> bool {
        let (kept, all) = self.played.satisfied_claims();
        kept == all && self.verdict.breaches.is_empty() && self.faults.is_empty()
    }
}

/// The fleet of processes. Fronts are numbered from 0.
struct Harness<'a> {
    plan: &'a Plan,
    stage: &'a Stage,
    /// Fronts that the others know from their configuration.
    seeds: Vec<usize>,
    /// The key of the fleet; `None` where the fronts don't know of each other.
    key: Option<PathBuf>,
    network: PeerNetwork,
    membership_poll: MembershipPoll,
    /// `None` where a front does not run.
    processes: Vec<Option<Process>>,
    stopped: Vec<bool>,
    /// Fronts that run the other build from their next start on.
    others: Vec<bool>,
    began: Time,
    /// The hosts, where the case has power losses.
    hosts: Option<Hosts>,
    players: Arc<PlayerPool>,
}

impl Cluster for Harness<'_> {
    fn fronts(&self) -> usize {
        self.processes.len()
    }

    fn now(&self) -> Time {
        clock::now()
    }

    fn run(&mut self, time: Duration) {
        std::thread::sleep(time);
    }

    fn act(&mut self, action: &Action) -> Result<(), ActionError> {
        let size = self.processes.len();
        let of = |fronts: &Fronts| fronts.of(size);
        match action {
            Action::Start(fronts) => self.start(&of(fronts)).map_err(ActionError::Io)?,
            Action::Kill(fronts) => self.kill(&of(fronts)).map_err(ActionError::Io)?,
            Action::ShutDown(fronts) => {
                let faults = self.end(&of(fronts)).map_err(ActionError::Io)?;
                if !faults.is_empty() {
                    return Err(ActionError::Faults(faults));
                }
            }
            Action::Pause(fronts) => self.stop(&of(fronts), true),
            Action::Resume(fronts) => self.stop(&of(fronts), false),
            Action::Restart { fronts, after } => {
                let which = of(fronts);
                self.kill(&which).map_err(ActionError::Io)?;
                self.run(*after);
                self.start(&which).map_err(ActionError::Io)?;
            }
            Action::SetNetwork { .. }
            | Action::Partition { .. }
            | Action::Heal
            | Action::Flood { .. } => {
                let action = action.clone();
                self.network.change(move |net| {
                    net.act(&action, size, DelayRange::NONE);
                });
            }
            Action::SelectBuild { fronts, build } => {
                for front in of(fronts) {
                    self.others[front] = *build == Build::Other;
                }
            }
            Action::Host(action) => self.power(action).map_err(ActionError::Io)?,
            Action::WriteEntry { .. } => {
                let what = "no front writes on the board yet; play it with --virtual";
                return Err(ActionError::Unsupported(what.to_owned()));
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
        let counts = self.lost(paid);
        Some(RecoveryProgress {
            restored: counts.restored,
            left: counts.left,
            lost: counts.lost,
        })
    }

    fn warm_up_time(&self, sessions: f64) -> Option<Duration> {
        let hosts = self.hosts.as_ref()?;
        let time = hosts.warming(&self.stage.config, sessions)?;
        Some(Duration::from_nanos(time))
    }

    fn sent(&self) -> SendRate {
        let elapsed = nanoseconds(clock::now().duration_since(self.began)).max(1);
        let time = elapsed as f64 / NANOSECONDS_PER_SECOND as f64;
        let rate = |front| {
            let sent = self.network.sent(front);
            SendRate {
                datagrams: sent.datagrams as f64 / time,
                bytes: sent.bytes as f64 / time,
            }
        };
        (0..self.processes.len())
            .map(rate)
            .fold(SendRate::default(), SendRate::max)
    }
}

/// Plays a case to its end, with the traffic of a day whose own faults and length are ignored. Call on a thread, after
/// [`crankpaddle_net::start`].
///
/// # Errors
/// A front or a stand-in could not be started, a file not be written, or a step of the case not be carried out.
pub fn run(case: &Case, day: &Day, plan: &Plan) -> io::Result<Outcome> {
    std::fs::create_dir_all(&plan.dir)?;
    let stage = Stage::start(day, plan.seed)?;
    let mut harness = Harness::new(case, day, plan, &stage)?;
    harness.start(&case.first.of(harness.processes.len()))?;
    let (players, membership_poll) = (harness.players.clone(), harness.membership_poll.clone());
    let arrivals = Arrivals::start(day, &stage.config, plan.seed, &players, &membership_poll);
    let played = play(case, &mut harness).map_err(io::Error::other);
    let mut faults = Vec::new();
    faults.extend(arrivals.stop());
    let all: Vec<usize> = (0..harness.processes.len()).collect();
    harness.stop(&all, false);
    players.leave();
    let deadline = clock::now() + PLAYERS_LEAVE_WITHIN;
    faults.extend(wait_for_players(&players, deadline));
    // Why: nobody ends the sessions of a front that was killed.
    if !any_front_died(&stage.recorder) {
        faults.extend(wait_for_streams(&stage.fleet));
    }
    faults.extend(membership_poll.missed());
    membership_poll.end();
    faults.extend(harness.end(&all)?);
    drop(harness);
    let records = stage.recorder.all();
    let verdict = judge(
        &Rules::of(&stage.config, DRAIN_GRACE, TIMING_TOLERANCE),
        &records,
    );
    let cost = Cost::of(&records);
    Ok(Outcome {
        played: played?,
        verdict,
        faults,
        records,
        cost,
    })
}

impl<'a> Harness<'a> {
    /// The network, players and hosts of a case; no front runs yet.
    fn new(case: &Case, day: &Day, plan: &'a Plan, stage: &'a Stage) -> io::Result<Harness<'a>> {
        let fronts = plan.fronts as usize;
        let network = PeerNetwork::start(fronts, plan.seed)?;
        let hosts = if case.needs_disks() {
            Some(Hosts::new(&plan.dir, plan.memory, plan.seed, fronts)?)
        } else {
            None
        };
        let membership_poll = MembershipPoll::start(fronts, &network);
        let habits = Habits {
            keeps_key: hosts.is_some(),
            ..habits(day)
        };
        let players =
            PlayerPool::new(stage.recorder.clone(), habits).with_finder(finder(&membership_poll));
        let key = if plan.peers {
            Some(write_key(&plan.dir)?)
        } else {
            None
        };
        Ok(Harness {
            plan,
            stage,
            seeds: case.seeds.of(fronts),
            key,
            network,
            membership_poll,
            processes: (0..fronts).map(|_| None).collect(),
            stopped: vec![false; fronts],
            others: vec![false; fronts],
            began: clock::now(),
            hosts,
            players: Arc::new(players),
        })
    }
}

/// Finds the present address of a front that was restarted.
fn finder(membership_poll: &MembershipPoll) -> Finder {
    let membership_poll = membership_poll.clone();
    Box::new(move |wanted| {
        let running = membership_poll.running();
        let found = running.into_iter().find(|front| front.number == wanted);
        found.map(|front| front.address)
    })
}

fn any_front_died(recorder: &Recorder) -> bool {
    let records = recorder.all();
    records.iter().any(|r| matches!(r.seen, Seen::Died { .. }))
}
