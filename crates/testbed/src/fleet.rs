//! Plays a case of a fleet with processes: fronts that know each other over a net of sockets in the middle, stand-in servers,
//! a list service and players; judged by what crossed sockets.
use crate::host_faults::Hosts;
pub use crate::host_faults::Memory;
use crate::invariant_checker::{judge, Rules, Verdict};
use crate::list_service::{entry, ListService};
use crate::membership_poll::Views;
use crate::player::{Habits, PlayerPool, Visit};
use crate::process::{end_all, with_workers, Process};
use crate::record::{PlayerReply, Record, Recorder, Seen};
use crate::scenario_runner::{arrivals, habits, layout, BLUR, DRAIN_GRACE};
use crate::script::{fleet_config, front_block, Day};
use crate::server::Fleet;
use crate::udp_proxy::{write_key, Mesh};
use crankpaddle_config::Config;
use crankpaddle_fault_simulation::{
    play, Act, ActionError, Case, CaseResult, Cluster, DelayRange, Entry, Fronts, MemberTransition,
    Power, Rate, RecoveryProgress,
};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_net::{clock, spawn, Stack};
use crankpaddle_server_protocol::list;
use rustix::process::Signal;
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;
/// After the case the players have so long.
const AFTER: u64 = 40 * SECOND;

/// How a case is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program that runs a front: called as `EXE front -c FILE`.
    pub exe: PathBuf,
    /// The other build, where two are played against each other.
    pub other: Option<PathBuf>,
    /// For everything that is drawn.
    pub seed: u64,
    /// For configurations, cached lists and the fronts' logs.
    pub dir: PathBuf,
    /// Fronts.
    pub fronts: u32,
    /// Worker threads of each front.
    pub workers: u32,
    /// Time between two probes, as the configuration states it.
    pub probe_every: String,
    /// Whether fronts know of each other; without, the members' claims can't hold.
    pub peers: bool,
    /// What fronts keep over a power loss.
    pub memory: Memory,
}

/// What a case showed.
#[derive(Debug)]
pub struct Outcome {
    /// The claims of the case.
    pub played: CaseResult,
    /// The six rules.
    pub verdict: Verdict,
    /// What went wrong outside both: fronts that ended badly, words that were missed.
    pub faults: Vec<String>,
    /// All that was seen of sessions.
    pub records: Vec<Record>,
    /// What the fronts cost.
    pub cost: Cost,
}

/// What the fronts of a case cost, as players and the system saw it.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Time from a call to its answer 'plays', nanoseconds: half of them, and 99 of 100, took no longer.
    pub answered: (u64, u64),
    /// Processor time of all fronts that ended, nanoseconds.
    pub cpu: u64,
}

impl Cost {
    /// Call once all fronts have ended. Danger: the time is that of all children of this process that were waited for.
    fn of(records: &[Record]) -> Cost {
        let mut opened_at: HashMap<u64, u64> = HashMap::new();
        let mut times = Vec::new();
        for Record { at, seen } in records {
            match seen {
                Seen::OpenSent { call, .. } => drop(opened_at.insert(*call, *at)),
                Seen::CallAnswered {
                    call,
                    reply: PlayerReply::Plays,
                } => times.extend(opened_at.get(call).map(|from| at - from)),
                _ => {}
            }
        }
        times.sort_unstable();
        let part = |of: f64| {
            times
                .get((times.len() as f64 * of) as usize)
                .copied()
                .unwrap_or(0)
        };
        let ticks = procfs::process::Process::myself()
            .and_then(|me| me.stat())
            .map_or(0, |s| s.cutime + s.cstime);
        let cpu = ticks.max(0) as u64 * SECOND / procfs::ticks_per_second();
        Cost {
            answered: (part(0.5), part(0.99)),
            cpu,
        }
    }
}

impl Outcome {
    /// Whether everything was as it must be.
    pub fn good(&self) -> bool {
        let (kept, all) = self.played.satisfied_claims();
        kept == all && self.verdict.breaches.is_empty() && self.faults.is_empty()
    }
}

/// What players come to, and what they behave like.
struct Stage {
    config: Arc<Config>,
    fleet: Arc<Fleet>,
    list: Arc<ListService>,
    recorder: Recorder,
    text: String,
}

/// The fleet of processes.
struct Harness<'a> {
    plan: &'a Plan,
    stage: &'a Stage,
    seeds: Vec<usize>,
    key: Option<PathBuf>, // None: they do not know of each other.
    mesh: Mesh,
    views: Views,
    processes: Vec<Option<Process>>,
    stopped: Vec<bool>,
    others: Vec<bool>, // Who runs the other build from its next start on.
    began: u64,
    hosts: Option<Hosts>, // Where power goes in the case.
    players: Arc<PlayerPool>,
}

impl Harness<'_> {
    fn text(&self, i: usize) -> String {
        let zones = &self.stage.config.zones;
        let zone = &zones[i % zones.len()];
        let cache = self.cache(i);
        let list = self.stage.list.address.to_string();
        let block = front_block(
            i as u32,
            self.plan.fronts,
            zone,
            &list,
            &cache.to_string_lossy(),
        );
        let peers = self
            .key
            .as_ref()
            .map(|key| self.mesh.block(i, &self.seeds, key, &self.plan.probe_every));
        let store = self
            .hosts
            .as_ref()
            .map(|hosts| hosts.block(i))
            .unwrap_or_default();
        with_workers(&block, self.plan.workers)
            + &peers.unwrap_or_default()
            + &store
            + &self.stage.text
    }

    fn cache(&self, i: usize) -> PathBuf {
        self.plan.dir.join(format!("front-{i}.list"))
    }

    /// Starts those that do not run, all at once, from nothing.
    fn start(&mut self, which: &[usize]) -> io::Result<()> {
        let which: Vec<usize> = which
            .iter()
            .copied()
            .filter(|i| self.processes[*i].is_none())
            .collect();
        let texts: Vec<(usize, String)> = which.iter().map(|i| (*i, self.text(*i))).collect();
        // From nothing; but a host whose power was away has its disk.
        for i in which.iter().filter(|_| self.hosts.is_none()) {
            let _ = std::fs::remove_file(self.cache(*i)); // It may never have been written.
        }
        let (plan, others) = (self.plan, &self.others);
        let started: Vec<(usize, io::Result<Process>)> = std::thread::scope(|scope| {
            let start = |(i, text): (usize, String)| {
                let name = format!("front-{i}");
                let exe = plan
                    .other
                    .as_ref()
                    .filter(|_| others[i])
                    .unwrap_or(&plan.exe);
                (
                    i,
                    scope.spawn(move || Process::start(exe, &plan.dir, &name, &text)),
                )
            };
            let starting: Vec<_> = texts.into_iter().map(start).collect();
            let died = |_| Err(io::Error::other("the thread that started it died"));
            starting
                .into_iter()
                .map(|(i, thread)| (i, thread.join().unwrap_or_else(died)))
                .collect()
        });
        for (i, process) in started {
            let process = process?;
            self.views.runs(i, Some(process.address));
            self.processes[i] = Some(process);
        }
        Ok(())
    }

    fn kill(&mut self, which: &[usize]) -> io::Result<()> {
        // All get the signal before any is waited for.
        for i in which {
            if let Some(process) = &self.processes[*i] {
                self.stage.recorder.see(Seen::Died { front: *i as u32 });
                process.signal(Signal::KILL);
                self.views.runs(*i, None);
            }
        }
        which
            .iter()
            .filter_map(|i| self.processes[*i].take())
            .try_for_each(Process::kill)
    }

    fn end(&mut self, which: &[usize]) -> io::Result<Vec<String>> {
        let mut ending: Vec<Process> = which
            .iter()
            .filter_map(|i| self.processes[*i].take())
            .collect();
        which.iter().for_each(|i| self.views.runs(*i, None));
        let within = Duration::from_nanos(self.stage.config.limits.drain) + Duration::from_secs(5);
        end_all(ending.iter_mut(), within)
    }

    fn stop(&mut self, which: &[usize], stands: bool) {
        let signal = if stands { Signal::STOP } else { Signal::CONT };
        for i in which
            .iter()
            .copied()
            .filter(|i| self.stopped[*i] != stands)
            .collect::<Vec<_>>()
        {
            let Some(process) = &self.processes[i] else {
                continue;
            };
            let seen = Seen::Stalled {
                front: i as u32,
                stopped: stands,
            };
            if stands {
                self.stage.recorder.see(seen);
                process.signal(signal);
            } else {
                process.signal(signal);
                self.stage.recorder.see(seen);
            }
            self.stopped[i] = stands;
        }
    }
}

impl Harness<'_> {
    fn lost(&self, paid: bool) -> (u64, u64, u64) {
        let is_paid = |class: u8| {
            let of = self.stage.config.settings.classes.get(usize::from(class));
            of.is_some_and(|c| c.idempotency == crankpaddle::Idempotency::AtMostOnce)
        };
        self.players.lost(|class| !paid || is_paid(class))
    }

    fn power(&mut self, power: &Power) -> io::Result<()> {
        let (n, servers) = (self.processes.len(), self.stage.fleet.servers.len());
        let Some(hosts) = &mut self.hosts else {
            return Err(io::Error::other("the case has no hosts"));
        };
        match power {
            Power::Off {
                fronts,
                servers: of_servers,
                list_service: list,
            } => {
                let (fronts, of_servers) = (fronts.of(n), of_servers.of(servers));
                self.players.power_went();
                hosts.off(&fronts)?;
                // The servers first by microseconds: a front that lives on for that long sees them break, as on a real night.
                hosts.servers_off(&self.stage.fleet, &of_servers);
                if *list {
                    self.stage.list.set_gone(true);
                }
                self.kill(&fronts)
            }
            Power::On {
                fronts,
                servers: of_servers,
                list_service: list,
            } => {
                hosts.servers_on(&self.stage.fleet, &self.stage.list, &of_servers.of(servers))?;
                if *list {
                    self.stage.list.set_gone(false);
                }
                self.start(&fronts.of(n))
            }
            Power::Copy(fronts) => hosts.copy(&fronts.of(n)),
            Power::Disk(fronts, spoil) => hosts.spoil(&fronts.of(n), *spoil),
            Power::LoseSessionInventories(of_servers) => {
                of_servers
                    .of(servers)
                    .into_iter()
                    .for_each(|id| self.stage.fleet.lose_inventory(id as u32));
                Ok(())
            }
        }
    }
}

impl Cluster for Harness<'_> {
    fn fronts(&self) -> usize {
        self.processes.len()
    }

    fn now(&self) -> u64 {
        clock::now()
    }

    fn run(&mut self, time: u64) {
        std::thread::sleep(Duration::from_nanos(time));
    }

    fn act(&mut self, act: &Act) -> Result<(), ActionError> {
        let n = self.processes.len();
        let of = |fronts: &Fronts| fronts.of(n);
        let to_text = ActionError::Io;
        match act {
            Act::Start(fronts) => self.start(&of(fronts)).map_err(to_text)?,
            Act::Kill(fronts) => self.kill(&of(fronts)).map_err(to_text)?,
            Act::End(fronts) => {
                let faults = self.end(&of(fronts)).map_err(to_text)?;
                if !faults.is_empty() {
                    return Err(ActionError::Faults(faults));
                }
            }
            Act::Stop(fronts) => self.stop(&of(fronts), true),
            Act::GoOn(fronts) => self.stop(&of(fronts), false),
            Act::Restart(fronts, after) => {
                let which = of(fronts);
                self.kill(&which).map_err(to_text)?;
                self.run(*after);
                self.start(&which).map_err(to_text)?;
            }
            Act::Net { .. } | Act::Cut { .. } | Act::Heal | Act::Flood(..) => {
                let act = act.clone();
                self.mesh.change(move |net| {
                    net.act(&act, n, DelayRange { min: 0, max: 0 });
                });
            }
            Act::Runs(fronts, other) => {
                of(fronts).into_iter().for_each(|i| self.others[i] = *other);
            }
            Act::Power(power) => self.power(power).map_err(to_text)?,
            Act::Write(_) => {
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

    fn transitions(&self, from: u64) -> Vec<MemberTransition> {
        self.views.state_changes(from)
    }

    fn entry(&self, _: usize) -> Option<Entry> {
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

    fn warm_up_time(&self, sessions: f64) -> Option<u64> {
        self.hosts.as_ref()?.warming(&self.stage.config, sessions)
    }

    fn sent(&self) -> Rate {
        let time = (clock::now() - self.began).max(1) as f64 / SECOND as f64;
        let rate = |i| {
            let sent = self.mesh.sent(i);
            (sent.0 as f64 / time, sent.1 as f64 / time)
        };
        (0..self.processes.len())
            .map(rate)
            .fold((0.0, 0.0), |a: Rate, b: Rate| (a.0.max(b.0), a.1.max(b.1)))
    }
}

/// Players come until it is over; they choose among the fronts that run.
fn come(visits: Vec<(u64, Visit)>, crowd: &Arc<PlayerPool>, views: &Views, over: &AtomicBool) {
    let start = clock::now();
    for (at, mut visit) in visits {
        std::thread::sleep(Duration::from_nanos(
            (start + at).saturating_sub(clock::now()),
        ));
        if over.load(Ordering::Acquire) {
            return;
        }
        visit.fronts = views.running();
        if visit.fronts.is_empty() {
            continue;
        }
        let (crowd, until) = (crowd.clone(), clock::now() + visit.patience + visit.watch);
        spawn(Stack::Usual, move || crowd.visit(&visit, until));
    }
}

/// Plays a case to its end, with the traffic of a day whose own faults and length are left aside. Call on a thread, after
/// [`crankpaddle_net::start`].
///
/// # Errors
/// A front or a stand-in could not be started, a file not be written, or a step of the case not be carried out.
pub fn run(case: &Case, day: &Day, plan: &Plan) -> io::Result<Outcome> {
    std::fs::create_dir_all(&plan.dir)?;
    let wrong = |p: Vec<crankpaddle_config::Problem>| io::Error::other(format!("fleet: {p:?}"));
    let config = Arc::new(fleet_config(&day.fleet).map_err(wrong)?);
    let recorder = Recorder::default();
    let fleet = Fleet::start(config.clone(), &layout(day, plan.seed), recorder.clone())?;
    let entries: Vec<_> = fleet
        .servers
        .iter()
        .map(|s| entry(&config, s.id, s.address, list::EndpointState::Ready, 0))
        .collect();
    let list = ListService::start(entries, day.list_delay, recorder.clone())?;
    let stage = Stage {
        config: config.clone(),
        fleet,
        list,
        recorder: recorder.clone(),
        text: day.fleet.clone(),
    };
    let n = plan.fronts as usize;
    let mesh = Mesh::start(n, plan.seed)?;
    let hosts = case
        .needs_disks()
        .then(|| Hosts::new(&plan.dir, plan.memory, plan.seed, n))
        .transpose()?;
    let habits = Habits {
        keeps_key: hosts.is_some(),
        ..habits(day)
    };
    let views = Views::start(n, &mesh);
    let finder = {
        let views = views.clone();
        move |front| {
            views
                .running()
                .into_iter()
                .find(|(n, _)| *n == front)
                .map(|(_, a)| a)
        }
    };
    let players = Arc::new(PlayerPool::new(recorder.clone(), habits).finding(Box::new(finder)));
    let mut harness = Harness {
        plan,
        stage: &stage,
        seeds: case.seeds.of(n),
        key: plan.peers.then(|| write_key(&plan.dir)).transpose()?,
        mesh,
        views: views.clone(),
        processes: (0..n).map(|_| None).collect(),
        stopped: vec![false; n],
        others: vec![false; n],
        began: clock::now(),
        hosts,
        players: players.clone(),
    };
    harness.start(&case.first.of(n))?;
    let over = Arc::new(AtomicBool::new(false));
    let coming = {
        let (crowd, views, over) = (players.clone(), views.clone(), over.clone());
        let visits = arrivals(
            &Day {
                length: 3600 * SECOND,
                ..day.clone()
            },
            &config,
            plan.seed,
        );
        std::thread::spawn(move || come(visits, &crowd, &views, &over))
    };
    let played = play(case, &mut harness).map_err(io::Error::other);
    over.store(true, Ordering::Release);
    let mut faults = Vec::new();
    if coming.join().is_err() {
        faults.push("the thread that sends players died".to_owned());
    }
    let all: Vec<usize> = (0..n).collect();
    harness.stop(&all, false);
    players.leave();
    let last = clock::now() + AFTER;
    while players.there() > 0 && clock::now() < last {
        std::thread::sleep(Duration::from_millis(50));
    }
    if players.there() > 0 {
        faults.push(format!("{} players never left", players.there()));
    }
    // Sessions of players that did not come back are ended by their front after its time. Where a front was killed nobody ends them.
    let died = recorder
        .all()
        .iter()
        .any(|r| matches!(r.seen, Seen::Died { .. }));
    let patience = clock::now() + config.terms.resume_window + 5 * SECOND;
    while !died && stage.fleet.streams() > 0 && clock::now() < patience {
        std::thread::sleep(Duration::from_millis(50));
    }
    if !died && stage.fleet.streams() > 0 {
        faults.push(format!(
            "{} streams left at servers though nobody watches",
            stage.fleet.streams()
        ));
    }
    faults.extend(views.missed());
    views.end();
    faults.extend(harness.end(&all)?);
    drop(harness);
    let records = recorder.all();
    let verdict = judge(&Rules::of(&config, DRAIN_GRACE, BLUR), &records);
    let cost = Cost::of(&records);
    Ok(Outcome {
        played: played?,
        verdict,
        faults,
        records,
        cost,
    })
}
