//! Plays a scripted day: fronts as processes of their own, all else as stand-ins in this one.
use crate::crossing::{crossed, Crossed};
use crate::fault_mode::ResponseFault;
use crate::invariant_checker::{judge, Rules, Verdict};
use crate::list_service::{entry, ListService};
use crate::membership_poll::Views;
use crate::player::{Habits, PlayerPool, Visit};
use crate::process::{end_all, with_workers, Process};
use crate::record::{Record, Recorder, Seen};
use crate::script::{fleet_config, front_block, Day, Fault, Kind};
use crate::server::{Fleet, Layout};
use crate::udp_proxy::{write_key, Mesh};
use crankpaddle_config::Config;
use crankpaddle_cross_zone_traffic::report::{merge, TrafficReport};
use crankpaddle_net::{clock, spawn, Stack};
use crankpaddle_server_protocol::list::EndpointState;
use crankpaddle_traffic_report::fetch;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1000 * MILLISECOND;
/// After the day's end sessions go on for so long at most.
const WATCH_ON: u64 = 10 * SECOND;
/// After the last arrival the players have so long.
const AFTER: u64 = 40 * SECOND;
/// What scheduling on a busy machine may blur: stand-ins and players share its cores with the fronts.
pub const BLUR: u64 = 150 * MILLISECOND;
/// Seconds that a front may take to settle its account of traffic.
const SETTLED_WITHIN: u32 = 15;
/// The stand-in operators' grace for drains.
pub const DRAIN_GRACE: u64 = SECOND;

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// The program that runs a front: called as `EXE front -c FILE`.
    pub exe: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// For configurations, cached lists and the fronts' logs.
    pub dir: PathBuf,
    /// Worker threads of each front.
    pub workers: u32,
    /// Whether the fronts know of each other, over a good net.
    pub peers: bool,
}

/// What a day showed.
#[derive(Debug)]
pub struct Outcome {
    /// The judge's.
    pub verdict: Verdict,
    /// All that was seen.
    pub records: Vec<Record>,
    /// What went wrong outside the rules: fronts that ended badly, streams left at servers, bytes that differ.
    pub faults: Vec<String>,
    /// Media bytes that servers sent and players read.
    pub bytes: (u64, u64),
    /// What crossed and what it was worth, by the servers' own records.
    pub crossed: Crossed,
    /// The fronts' reports of traffic, together.
    pub reported: TrafficReport,
    /// When arrivals began, nanoseconds of the laboratory's clock.
    pub start: u64,
}

impl Outcome {
    /// For each zone of servers, zone of viewers and class: bytes by the servers' own logs, and by the fronts' reports.
    pub fn flows(&self) -> BTreeMap<(String, String, String), (u64, u64)> {
        let mut all: BTreeMap<(String, String, String), (u64, u64)> = BTreeMap::new();
        for (key, bytes) in &self.crossed.bytes {
            all.entry(key.clone()).or_default().0 += bytes;
        }
        for f in &self.reported.flows {
            all.entry((f.from.clone(), f.to.clone(), f.class.clone()))
                .or_default()
                .1 += f.bytes;
        }
        all
    }

    /// Whether everything was as it must be.
    pub fn good(&self) -> bool {
        self.verdict.breaches.is_empty() && self.faults.is_empty()
    }
}

struct Front {
    process: Process,
    zone: usize,
}

impl Front {
    fn start(
        play: &Play,
        index: u32,
        day: &Day,
        config: &Config,
        list: &SocketAddr,
        peers: &str,
    ) -> io::Result<Front> {
        let zone = index as usize % config.zones.len();
        let cache = play.dir.join(format!("front-{index}.list"));
        let block = front_block(
            index,
            day.fronts,
            &config.zones[zone],
            &list.to_string(),
            &cache.to_string_lossy(),
        );
        let text = with_workers(&block, play.workers) + peers + &day.fleet;
        let process = Process::start(&play.exe, &play.dir, &format!("front-{index}"), &text)?;
        Ok(Front { process, zone })
    }
}

/// The stand-ins of a day, and what its faults do to them.
struct Stage {
    config: Arc<Config>,
    fleet: Arc<Fleet>,
    list: Arc<ListService>,
    recorder: Recorder,
    list_delay: u64,
}

impl Stage {
    fn listed(&self, server: u32, state: EndpointState) {
        let address = self.fleet.servers[server as usize].address;
        let started = if state == EndpointState::Ready {
            clock::now() / MILLISECOND
        } else {
            0
        };
        self.list
            .change(entry(&self.config, server, address, state, started));
    }

    fn begin(&self, fault: &Fault, fronts: &[Front]) {
        for &server in &fault.servers {
            let fleet = &self.fleet;
            match fault.kind {
                Kind::Hang => fleet.set_mode(server, |m| m.hangs = true),
                Kind::FastErrors(part) => fleet.set_mode(server, |m| m.errors = part),
                Kind::BillAndReset(part) => fleet.set_mode(server, |m| m.bills_and_resets = part),
                Kind::Trickle => fleet.set_mode(server, |m| m.trickles = true),
                Kind::ResponseFault(how) => fleet.set_mode(server, |m| m.response_fault = how),
                Kind::Vanish => {
                    fleet.set_mode(server, |m| m.vanished = true);
                    self.listed(server, EndpointState::Gone);
                }
                Kind::Crash => {
                    fleet.crash(server);
                    self.listed(server, EndpointState::Gone);
                }
                Kind::Drain => self.listed(server, EndpointState::Draining),
                _ => {}
            }
        }
        match &fault.kind {
            Kind::Slow(by) => self.fleet.set_slow(*by),
            Kind::ListLate(by) => self.list.set_delay(self.list_delay + by),
            Kind::ListGone => self.list.set_gone(true),
            Kind::Stall(which) => {
                for &front in which {
                    self.recorder.see(Seen::Stalled {
                        front,
                        stopped: true,
                    });
                    fronts[front as usize].process.signal(Signal::STOP);
                }
            }
            _ => {}
        }
    }

    fn end(&self, fault: &Fault, fronts: &[Front]) -> io::Result<()> {
        for &server in &fault.servers {
            let fleet = &self.fleet;
            match fault.kind {
                Kind::Hang => fleet.set_mode(server, |m| m.hangs = false),
                Kind::FastErrors(_) => fleet.set_mode(server, |m| m.errors = 0.0),
                Kind::BillAndReset(_) => fleet.set_mode(server, |m| m.bills_and_resets = 0.0),
                Kind::Trickle => fleet.set_mode(server, |m| m.trickles = false),
                Kind::ResponseFault(_) => {
                    fleet.set_mode(server, |m| m.response_fault = ResponseFault::default());
                }
                Kind::Vanish | Kind::Crash | Kind::Drain => {
                    if fault.kind == Kind::Drain {
                        fleet.end_sessions(server, false);
                    }
                    fleet.crash(server);
                    fleet.restart(server)?;
                    self.listed(server, EndpointState::Ready);
                }
                _ => {}
            }
        }
        match &fault.kind {
            Kind::Slow(_) => self.fleet.set_slow(1.0),
            Kind::ListLate(_) => self.list.set_delay(self.list_delay),
            Kind::ListGone => self.list.set_gone(false),
            Kind::Stall(which) => {
                for &front in which {
                    fronts[front as usize].process.signal(Signal::CONT);
                    self.recorder.see(Seen::Stalled {
                        front,
                        stopped: false,
                    });
                }
            }
            _ => {}
        }
        Ok(())
    }
}

/// Arrivals of a day, drawn ahead: when, and who. They never wait for answers.
pub fn arrivals(day: &Day, config: &Config, seed: u64) -> Vec<(u64, Visit)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut titles: Vec<&String> = config.titles.keys().collect();
    titles.sort();
    let weights: Vec<f64> = (1..=titles.len())
        .map(|n| (n as f64).powf(-day.zipf))
        .collect();
    let pick = |rng: &mut StdRng, weights: &[f64]| {
        let mut left = rng.random_range(0.0..weights.iter().sum());
        weights.iter().position(|w| {
            left -= w;
            left < 0.0
        })
    };
    let peak = day.faults.iter().map(|f| {
        if let Kind::Burst(times) = f.kind {
            times.max(1.0)
        } else {
            1.0
        }
    });
    let peak = day.rate * peak.product::<f64>();
    let exponential = |rng: &mut StdRng, mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
    let (mut all, mut at) = (Vec::new(), 0.0);
    loop {
        at += exponential(&mut rng, 1.0 / peak);
        if at >= day.seconds() {
            return all;
        }
        let time = (at * SECOND as f64) as u64;
        if !rng.random_bool((day.rate_at(time) / peak).min(1.0)) {
            continue; // Thinned: the rate is lower now.
        }
        let player_pool = day
            .load_surge_at(time)
            .filter(|(_, part)| rng.random_bool(*part));
        let title = player_pool
            .map(|(title, _)| title % titles.len())
            .or_else(|| pick(&mut rng, &weights))
            .unwrap_or(0);
        let class = pick(&mut rng, &day.share).unwrap_or(0);
        let rungs = config.settings.rung_kb.len() as u8;
        let small = rng.random_bool(0.25);
        all.push((
            time,
            Visit {
                seed: rng.random(),
                title: titles[title].clone(),
                class: (class as u8, config.classes[class].clone()),
                watch: (exponential(&mut rng, day.watch as f64) as u64)
                    .clamp(day.watch / 10, day.watch * 4),
                patience: config.terms.max_wait[class],
                top: if small { rungs / 2 } else { rungs - 1 },
                fronts: Vec::new(),
            },
        ));
    }
}

/// The stand-in servers of a day.
pub fn layout(day: &Day, seed: u64) -> Layout {
    Layout {
        count: day.servers as usize,
        cores: day.cores as usize,
        work: day.work,
        uneven: day.uneven,
        segment: day.segment,
        seed,
    }
}

/// How a day's viewers behave.
pub fn habits(day: &Day) -> Habits {
    Habits {
        returns: day.returns,
        return_after: day.return_after,
        honour: day.honour,
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
    let wrong = |p: Vec<crankpaddle_config::Problem>| io::Error::other(format!("fleet: {p:?}"));
    let config = Arc::new(fleet_config(&day.fleet).map_err(wrong)?);
    let recorder = Recorder::default();
    let layout = layout(day, play.seed);
    let fleet = Fleet::start(config.clone(), &layout, recorder.clone())?;
    let entries = fleet
        .servers
        .iter()
        .map(|s| entry(&config, s.id, s.address, EndpointState::Ready, 0))
        .collect();
    let list = ListService::start(entries, day.list_delay, recorder.clone())?;
    let known = if play.peers {
        Some((
            Mesh::start(day.fronts as usize, play.seed)?,
            write_key(&play.dir)?,
        ))
    } else {
        None
    };
    let views = known
        .as_ref()
        .map(|(mesh, _)| Views::start(day.fronts as usize, mesh));
    let mut fronts = Vec::new();
    for index in 0..day.fronts {
        let peers = known
            .as_ref()
            .map(|(mesh, key)| mesh.block(index as usize, &[0], key, "1s"));
        let peers = peers.unwrap_or_default();
        let front = Front::start(play, index, day, &config, &list.address, &peers)?;
        views
            .iter()
            .for_each(|views| views.runs(index as usize, Some(front.process.address)));
        fronts.push(front);
    }
    let stage = Stage {
        config: config.clone(),
        fleet,
        list,
        recorder: recorder.clone(),
        list_delay: day.list_delay,
    };
    let start = clock::now();
    let played = run(day, play, &stage, &fronts);
    let reported = merge(fronts.iter().filter_map(|f| traffic(&f.process.address)));
    views.iter().for_each(Views::end);
    // Whatever happened, no front is left behind.
    let mut faults = Vec::new();
    let within = Duration::from_nanos(config.limits.drain) + Duration::from_secs(5);
    let ended = end_all(fronts.iter_mut().map(|f| &mut f.process), within)?;
    faults.extend(ended);
    faults.extend(played?);
    let records = recorder.all();
    let bytes = bytes(&records, day, &mut faults);
    let verdict = judge(&Rules::of(&config, DRAIN_GRACE, BLUR), &records);
    let crossed = crossed(&records, &config);
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

fn run(day: &Day, play: &Play, stage: &Stage, fronts: &[Front]) -> io::Result<Vec<String>> {
    let player_pool = Arc::new(PlayerPool::new(stage.recorder.clone(), habits(day)));
    let mut moments: Vec<(u64, bool, &Fault)> = day
        .faults
        .iter()
        .flat_map(|f| [(f.at, true, f), (f.at + f.length, false, f)])
        .collect();
    moments.sort_by_key(|(at, ..)| *at);
    let mut moments = moments.into_iter().peekable();
    let mut visits = arrivals(day, &stage.config, play.seed)
        .into_iter()
        .peekable();
    let zones = stage.config.zones.len();
    let of_zone = |zone: usize| -> Vec<(u32, SocketAddr)> {
        let all = fronts
            .iter()
            .enumerate()
            .map(|(n, f)| (n as u32, f.process.address, f.zone));
        let own: Vec<_> = all
            .clone()
            .filter(|(.., z)| *z == zone)
            .map(|(n, a, _)| (n, a))
            .collect();
        if own.is_empty() {
            all.map(|(n, a, _)| (n, a)).collect()
        } else {
            own
        }
    };
    let halls: Vec<_> = (0..zones).map(of_zone).collect();
    let start = clock::now();
    let last = start + day.length + AFTER;
    loop {
        let next_moment = moments.peek().map(|(at, ..)| *at);
        let next_visit = visits.peek().map(|(at, _)| *at);
        let Some(next) = next_moment.into_iter().chain(next_visit).min() else {
            break;
        };
        let wait = (start + next).saturating_sub(clock::now());
        std::thread::sleep(Duration::from_nanos(wait));
        if next_moment == Some(next) {
            let Some((_, begins, fault)) = moments.next() else {
                break;
            };
            if begins {
                stage.begin(fault, fronts);
            } else {
                stage.end(fault, fronts)?;
            }
        } else if let Some((_, mut visit)) = visits.next() {
            visit.fronts = halls[(visit.seed % zones as u64) as usize].clone();
            // The day is not kept open by those who would watch for minutes.
            visit.watch = visit.watch.min(day.length - next + WATCH_ON);
            let player_pool = player_pool.clone();
            let until = start + day.length;
            spawn(Stack::Usual, move || player_pool.visit(&visit, until));
        }
    }
    let mut faults = Vec::new();
    while player_pool.there() > 0 {
        if clock::now() > last {
            faults.push(format!("{} players never left", player_pool.there()));
            break;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    // Sessions of players that did not come back are ended by the front after its time.
    let patience = clock::now() + stage.config.terms.resume_window + 5 * SECOND;
    while stage.fleet.streams() > 0 && clock::now() < patience {
        std::thread::sleep(Duration::from_millis(50));
    }
    if stage.fleet.streams() > 0 {
        faults.push(format!(
            "{} streams left at servers though nobody watches",
            stage.fleet.streams()
        ));
    }
    if player_pool.found_no_front() > 0 {
        faults.push(format!(
            "{} tries found no front",
            player_pool.found_no_front()
        ));
    }
    Ok(faults)
}

/// A front's report of traffic, when all of it is settled.
fn traffic(front: &SocketAddr) -> Option<TrafficReport> {
    let mut last = None;
    for _ in 0..SETTLED_WITHIN {
        let report = fetch(front, Duration::from_secs(5)).ok()?;
        let settled = report.unsettled_sessions == 0;
        last = Some(report);
        if settled {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    last
}

/// Bytes that servers counted as sent and players as read; what broke off differs by what was under way.
fn bytes(records: &[Record], day: &Day, faults: &mut Vec<String>) -> (u64, u64) {
    let (mut sent, mut read, mut watched) = (0u64, 0u64, 0u64);
    for record in records {
        match &record.seen {
            Seen::Ended { bytes, .. } => sent += bytes,
            Seen::Fetched { bytes, .. } => {
                read += bytes;
                watched += 1;
            }
            _ => {}
        }
    }
    let mean = read.checked_div(watched).unwrap_or(0);
    // A session that breaks off leaves at most a segment between the two counts.
    let segments = day.segment.max(1);
    let allowed = sent / 50 + mean * segments / day.watch.max(1) * 10;
    if sent.abs_diff(read) > allowed + 1_000_000 {
        faults.push(format!(
            "servers sent {sent} media bytes and players read {read}"
        ));
    }
    (sent, read)
}

/// Writes records as JSON lines.
///
/// # Errors
/// The file can't be written.
pub fn write_records(path: &Path, records: &[Record]) -> io::Result<()> {
    let mut file = io::BufWriter::new(File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

/// Reads records that [`write_records`] wrote.
///
/// # Errors
/// The file can't be read, or a line is no record; the line is named.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let lines = BufReader::new(File::open(path)?).lines().enumerate();
    let read = |(n, line): (usize, io::Result<String>)| {
        serde_json::from_str(&line?).map_err(|e| io::Error::other(format!("line {}: {e}", n + 1)))
    };
    lines.map(read).collect()
}
