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
use crate::list_service::ListService;
use crate::membership_poll::Views;
use crate::player::{Finder, Habits, PlayerPool};
use crate::process::Process;
use crate::record::{Record, Recorder, Seen};
use crate::scenario_runner::{
    config_of, habits, layout, start_list, DRAIN_GRACE, TIMING_TOLERANCE,
};
use crate::script::Day;
use crate::server::Fleet;
use crate::udp_proxy::{write_key, Mesh};
use crate::wind_down::{wait_for_players, wait_for_streams};
use arrivals::Arrivals;
pub use cost::Cost;
use crankpaddle_config::Config;
use crankpaddle_fault_simulation::{
    play, Action, ActionError, Build, Case, CaseResult, Cluster, DelayRange, EntryAge, Fronts,
    MemberTransition, RecoveryProgress, SendRate,
};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_net::clock;
use crankpaddle_time::Time;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;
/// After the case the players have this long to leave.
const PLAYERS_LEAVE_WITHIN: u64 = 40 * SECOND;

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

/// The stand-ins of a case.
struct Stage {
    config: Arc<Config>,
    fleet: Arc<Fleet>,
    list: Arc<ListService>,
    recorder: Recorder,
    /// Text of the fronts' configuration, without the blocks of each front.
    text: String,
}

impl Stage {
    fn start(day: &Day, seed: u64) -> io::Result<Stage> {
        let config = config_of(day)?;
        let recorder = Recorder::default();
        let fleet = Fleet::start(config.clone(), &layout(day, seed), recorder.clone())?;
        let list = start_list(&fleet, day.list_delay)?;
        Ok(Stage {
            config,
            fleet,
            list,
            recorder,
            text: day.fleet.clone(),
        })
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
    mesh: Mesh,
    views: Views,
    /// `None` where a front does not run.
    processes: Vec<Option<Process>>,
    stopped: Vec<bool>,
    /// Fronts that run the other build from their next start on.
    others: Vec<bool>,
    began: u64,
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
        let n = self.processes.len();
        let of = |fronts: &Fronts| fronts.of(n);
        let to_text = ActionError::Io;
        match action {
            Action::Start(fronts) => self.start(&of(fronts)).map_err(to_text)?,
            Action::Kill(fronts) => self.kill(&of(fronts)).map_err(to_text)?,
            Action::ShutDown(fronts) => {
                let faults = self.end(&of(fronts)).map_err(to_text)?;
                if !faults.is_empty() {
                    return Err(ActionError::Faults(faults));
                }
            }
            Action::Pause(fronts) => self.stop(&of(fronts), true),
            Action::Resume(fronts) => self.stop(&of(fronts), false),
            Action::Restart { fronts, after } => {
                let which = of(fronts);
                self.kill(&which).map_err(to_text)?;
                self.run(*after);
                self.start(&which).map_err(to_text)?;
            }
            Action::SetNetwork { .. }
            | Action::Partition { .. }
            | Action::Heal
            | Action::Flood { .. } => {
                let action = action.clone();
                self.mesh.change(move |net| {
                    net.act(&action, n, DelayRange::NONE);
                });
            }
            Action::SelectBuild { fronts, build } => {
                for front in of(fronts) {
                    self.others[front] = *build == Build::Other;
                }
            }
            Action::Host(action) => self.power(action).map_err(to_text)?,
            Action::WriteEntry { .. } => {
                let what = "no front writes on the board yet; play it with --virtual";
                return Err(ActionError::Unsupported(what.to_owned()));
            }
        }
        Ok(())
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.views.state(at, of)
    }

    fn local_health(&self, at: usize) -> Option<LocalHealth> {
        self.views.local_health(at)
    }

    fn transitions(&self, from: Time) -> Vec<MemberTransition> {
        self.views.state_changes(from)
    }

    fn entry_age(&self, _: usize) -> Option<EntryAge> {
        None
    }

    fn recovery_progress(&self, paid: bool) -> Option<RecoveryProgress> {
        self.hosts.as_ref()?;
        let (restored, left, lost) = self.lost(paid);
        Some(RecoveryProgress {
            restored,
            left,
            lost,
        })
    }

    fn warm_up_time(&self, sessions: f64) -> Option<Duration> {
        let hosts = self.hosts.as_ref()?;
        let time = hosts.warming(&self.stage.config, sessions)?;
        Some(Duration::from_nanos(time))
    }

    fn sent(&self) -> SendRate {
        let time = (clock::now().as_nanos() - self.began).max(1) as f64 / SECOND as f64;
        let rate = |i| {
            let sent = self.mesh.sent(i);
            SendRate {
                datagrams: sent.0 as f64 / time,
                bytes: sent.1 as f64 / time,
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
    let (players, views) = (harness.players.clone(), harness.views.clone());
    let arrivals = Arrivals::start(day, &stage.config, plan.seed, &players, &views);
    let played = play(case, &mut harness).map_err(io::Error::other);
    let mut faults = Vec::new();
    faults.extend(arrivals.stop());
    let all: Vec<usize> = (0..harness.processes.len()).collect();
    harness.stop(&all, false);
    players.leave();
    let deadline = clock::now().as_nanos() + PLAYERS_LEAVE_WITHIN;
    faults.extend(wait_for_players(&players, deadline));
    // Why: nobody ends the sessions of a front that was killed.
    if !any_front_died(&stage.recorder) {
        faults.extend(wait_for_streams(&stage.fleet));
    }
    faults.extend(views.missed());
    views.end();
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
        let mesh = Mesh::start(fronts, plan.seed)?;
        let hosts = if case.needs_disks() {
            Some(Hosts::new(&plan.dir, plan.memory, plan.seed, fronts)?)
        } else {
            None
        };
        let views = Views::start(fronts, &mesh);
        let habits = Habits {
            keeps_key: hosts.is_some(),
            ..habits(day)
        };
        let players = PlayerPool::new(stage.recorder.clone(), habits).finding(finder(&views));
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
            mesh,
            views,
            processes: (0..fronts).map(|_| None).collect(),
            stopped: vec![false; fronts],
            others: vec![false; fronts],
            began: clock::now().as_nanos(),
            hosts,
            players: Arc::new(players),
        })
    }
}

/// Where players find a front again that was started anew.
fn finder(views: &Views) -> Finder {
    let views = views.clone();
    Box::new(move |wanted| {
        let running = views.running();
        let found = running.into_iter().find(|(front, _)| *front == wanted);
        found.map(|(_, address)| address)
    })
}

fn any_front_died(recorder: &Recorder) -> bool {
    let records = recorder.all();
    records.iter().any(|r| matches!(r.seen, Seen::Died { .. }))
}
