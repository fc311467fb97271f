//! The measurement: front and relay in turns, against the same stand-in servers, which answer at once.
use crate::failures::{cause_of_answer, cause_of_error, Failures};
use crate::process::{cpu_seconds, resident};
use crankpaddle_net::{clock, sleep, spawn, IdleSweeper, Stack};
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_testbed::list_service::{entry, EndpointState, ListService};
use crankpaddle_testbed::player::Client;
use crankpaddle_testbed::record::Recorder;
use crankpaddle_testbed::script::{fleet_config, front_block, FLEET};
use crankpaddle_testbed::server::{Fleet, Layout};
use hdrhistogram::Histogram;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;
/// Connections that ask without pause.
const ASKERS: usize = 32;
/// Pause of an asker whose set-up failed: what fails at once must not be asked for at once again.
const AFTER_FAILURE: Duration = Duration::from_millis(10);

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
    /// Sessions that play.
    pub sessions: usize,
    /// The front's log level.
    pub log: String,
}

struct Target(Child, SocketAddr);

impl Target {
    fn start(mut command: Command) -> io::Result<Target> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let mut line = String::new();
        if let Some(stdout) = child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let address = line
            .trim()
            .strip_prefix("listening ")
            .and_then(|a| a.parse().ok());
        address
            .map(|a| Target(child, a))
            .ok_or_else(|| io::Error::other(format!("it did not start: {line}")))
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = self.0.kill(); // Ended is as good.
        let _ = self.0.wait();
    }
}

/// Figures of one side.
#[derive(Clone, Debug, Default)]
struct Side {
    rate: Vec<f64>,
    cpu_us: Vec<f64>,
    latency: Vec<Histogram<u64>>,
    failures: Failures,
}

/// What was measured.
#[derive(Clone, Debug)]
pub struct Measured {
    /// The page's table and what failed.
    pub text: String,
    /// The larger share of failed set-ups of the two sides.
    pub failed: f64,
}

/// Least and largest.
fn spread(values: &[f64]) -> (f64, f64) {
    values
        .iter()
        .fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| {
            (a.min(*x), b.max(*x))
        })
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Opens and closes a session; the time of the open's answer, or why it failed.
fn cycle(client: &mut Client, call: &AtomicU64) -> Result<u64, String> {
    let id = call.fetch_add(2, Ordering::Relaxed);
    let open = Open {
        key: format!("measured-{id:012}"),
        title: format!("clip-{:02}", id / 2 % 24),
        class: "preview".into(),
        ..Open::default()
    };
    let until = clock::now() + 10 * SECOND;
    let wait_for = |client: &mut Client, text: String, wanted: &dyn Fn(&ClientEvent) -> bool| {
        client.send(text).map_err(|e| cause_of_error("write", &e))?;
        loop {
            match client.next(until).map_err(|e| cause_of_error("read", &e))? {
                said if wanted(&said) => return Ok(said),
                ClientEvent::Rung { .. } => {}
                other => return Err(cause_of_answer(&other)),
            }
        }
    };
    let plays = |said: &ClientEvent| matches!(said, ClientEvent::Plays { id: of, .. } if *of == id);
    let event = wait_for(client, client::open(id, &open), &plays)?;
    let answered = clock::now();
    if let ClientEvent::Plays { session, .. } = event {
        let closed =
            |said: &ClientEvent| matches!(said, ClientEvent::Closed { id: of } if *of == id + 1);
        wait_for(client, client::close(id + 1, &session), &closed)?;
    }
    Ok(answered)
}

/// A set-up on a kept connection or a new one; where it fails the connection goes, for late answers may lie in it.
fn one(
    reused: &mut Option<Client>,
    address: &SocketAddr,
    sweeper: &Arc<IdleSweeper>,
    calls: &AtomicU64,
) -> Result<u64, String> {
    let mut client = match reused.take() {
        Some(client) => client,
        None => Client::connect(address, sweeper).map_err(|e| cause_of_error("connect", &e))?,
    };
    let answered = cycle(&mut client, calls)?;
    *reused = Some(client);
    Ok(answered)
}

struct Harness {
    sweeper: Arc<IdleSweeper>,
    calls: Arc<AtomicU64>,
}

impl Harness {
    /// As many set-ups as go in a time: set-ups a second, and the target's CPU for each in microseconds.
    fn full(
        &self,
        target: &Target,
        seconds: u64,
        failures: &mut Failures,
    ) -> io::Result<(f64, f64)> {
        let (done, failed) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(Mutex::new(std::mem::take(failures))),
        );
        let (stop, left) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(ASKERS as u64)),
        );
        for _ in 0..ASKERS {
            let (done, failed, stop, left) =
                (done.clone(), failed.clone(), stop.clone(), left.clone());
            let (calls, sweeper, address) = (self.calls.clone(), self.sweeper.clone(), target.1);
            spawn(Stack::Usual, move || {
                let mut reused = None;
                while !stop.load(Ordering::Acquire) {
                    let came_out = one(&mut reused, &address, &sweeper, &calls);
                    failed
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .note(&came_out);
                    match came_out {
                        Ok(_) => drop(done.fetch_add(1, Ordering::Relaxed)),
                        Err(_) => sleep(AFTER_FAILURE),
                    }
                }
                left.fetch_sub(1, Ordering::AcqRel);
            });
        }
        std::thread::sleep(Duration::from_millis(500)); // Connections and pools are warm then.
        let (count, cpu, at) = (
            done.load(Ordering::Relaxed),
            cpu_seconds(target.0.id())?,
            clock::now(),
        );
        std::thread::sleep(Duration::from_secs(seconds));
        let (count, cpu) = (
            done.load(Ordering::Relaxed) - count,
            cpu_seconds(target.0.id())? - cpu,
        );
        let took = (clock::now() - at) as f64 / SECOND as f64;
        stop.store(true, Ordering::Release);
        while left.load(Ordering::Acquire) > 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
        *failures = failed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        Ok((count as f64 / took, cpu * 1e6 / count.max(1) as f64))
    }

    /// Set-ups at a steady rate whatever comes back; latencies in microseconds from when each was meant to begin.
    fn steady(
        &self,
        target: &Target,
        rate: f64,
        seconds: u64,
        failures: &mut Failures,
    ) -> io::Result<Histogram<u64>> {
        let latencies =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(io::Error::other)?;
        let latencies = Arc::new(Mutex::new(latencies));
        let idle: Arc<Mutex<Vec<Client>>> = Arc::default();
        let (left, failed) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(Mutex::new(std::mem::take(failures))),
        );
        let (start, count) = (clock::now() + SECOND / 10, (rate * seconds as f64) as u64);
        for n in 0..count {
            let meant = start + (n as f64 / rate * SECOND as f64) as u64;
            let now = clock::now();
            if meant > now {
                std::thread::sleep(Duration::from_nanos(meant - now));
            }
            left.fetch_add(1, Ordering::AcqRel);
            let (latencies, idle, left, failed) = (
                latencies.clone(),
                idle.clone(),
                left.clone(),
                failed.clone(),
            );
            let (calls, sweeper, address) = (self.calls.clone(), self.sweeper.clone(), target.1);
            spawn(Stack::Usual, move || {
                let mut reused = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
                let came_out = one(&mut reused, &address, &sweeper, &calls);
                failed
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .note(&came_out);
                if let Ok(answered) = came_out {
                    let took = answered.saturating_sub(meant) / 1000;
                    latencies
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .saturating_record(took.max(1));
                    idle.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .extend(reused);
                }
                left.fetch_sub(1, Ordering::AcqRel);
            });
        }
        while left.load(Ordering::Acquire) > 0 {
            std::thread::sleep(Duration::from_millis(10));
        }
        *failures = failed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let all = latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        Ok(all)
    }

    /// Bytes for each of `count` idle connections, and on top for each of `sessions` that play.
    fn memory(&self, target: &Target, count: usize, sessions: usize) -> io::Result<(f64, f64)> {
        let held_open: Arc<Mutex<Vec<Client>>> = Arc::default();
        let before = resident(target.0.id())?;
        let (stop, left) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let connect = |play: bool| {
            left.fetch_add(1, Ordering::AcqRel);
            let (held, stop, left) = (held_open.clone(), stop.clone(), left.clone());
            let (calls, sweeper, address) = (self.calls.clone(), self.sweeper.clone(), target.1);
            spawn(Stack::Usual, move || {
                let reused = held
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .pop()
                    .filter(|_| play);
                if let Some(mut client) =
                    reused.or_else(|| Client::connect(&address, &sweeper).ok())
                {
                    if play {
                        let id = calls.fetch_add(2, Ordering::Relaxed);
                        let (key, title) =
                            (format!("held-{id:012}"), format!("clip-{:02}", id / 2 % 24));
                        let open = Open {
                            key,
                            title,
                            class: "preview".into(),
                            ..Open::default()
                        };
                        let _ = client.send(client::open(id, &open)); // Counted below by what plays.
                        let _ = client.next(clock::now() + 10 * SECOND);
                    }
                    left.fetch_sub(1, Ordering::AcqRel);
                    while !stop.load(Ordering::Acquire) {
                        sleep(Duration::from_millis(200));
                    }
                } else {
                    left.fetch_sub(1, Ordering::AcqRel);
                }
            });
        };
        let settle = |left: &AtomicU64| {
            while left.load(Ordering::Acquire) > 0 {
                std::thread::sleep(Duration::from_millis(10));
            }
            std::thread::sleep(Duration::from_millis(500));
        };
        for n in 0..count {
            connect(false);
            if n % 100 == 99 {
                settle_quickly(&left);
            }
        }
        settle(&left);
        let idle = resident(target.0.id())?;
        for n in 0..sessions {
            connect(true);
            if n % 100 == 99 {
                settle_quickly(&left);
            }
        }
        settle(&left);
        let playing = resident(target.0.id())?;
        stop.store(true, Ordering::Release);
        std::thread::sleep(Duration::from_secs(1));
        let each = |from: u64, to: u64, n: usize| to.saturating_sub(from) as f64 / n.max(1) as f64;
        Ok((each(before, idle, count), each(idle, playing, sessions)))
    }
}

fn settle_quickly(left: &AtomicU64) {
    while left.load(Ordering::Acquire) > 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Measures and gives the page's table.
///
/// # Errors
/// Something did not start.
pub fn run(plan: &Plan) -> io::Result<Measured> {
    std::fs::create_dir_all(&plan.dir)?;
    // Room for all that is asked: what is measured is the front, not the model. Not more than large machines have:
    // sizing regions costs the module time in proportion to their slots (47 ms for 100,000).
    let text = FLEET
        .replace("places: 26", "places: 400")
        .replace("links: \"14400kB/s\"", "links: \"480MB/s\"")
        .replace("link: \"1200kB/s\"", "link: \"40MB/s\"")
        .replace("uplink: \"8000kB/s\"", "uplink: \"240MB/s\"")
        .replace("connections: 8000", "connections: 100000")
        .replace("level: \"info\"", &format!("level: {:?}", plan.log));
    let config = Arc::new(fleet_config(&text).map_err(|p| io::Error::other(format!("{p:?}")))?);
    let layout = Layout {
        count: 12,
        cores: 64,
        work: 0,
        uneven: 0.0,
        segment: SECOND,
        seed: 1,
    };
    let recorder = Recorder::default();
    let fleet = Fleet::start(config.clone(), &layout, recorder.clone())?;
    let entries = fleet
        .servers
        .iter()
        .map(|s| entry(&config, s.id, s.address, EndpointState::Ready, 0))
        .collect();
    let list = ListService::start(entries, SECOND / 10, recorder)?;
    let block = front_block(0, 1, &config.zones[0], &list.address.to_string(), "");
    let file = plan.dir.join("measured.textproto");
    std::fs::write(
        &file,
        format!(
            "{}{text}",
            block.replacen("front {", "front {\n  workers: 1", 1)
        ),
    )?;
    let start_front = || {
        let mut command = Command::new(&plan.exe);
        command.args(["front", "-c"]).arg(&file);
        Target::start(command)
    };
    let start_relay = || {
        let mut command = Command::new(&plan.exe);
        command
            .args(["lab", "relay"])
            .args(fleet.servers.iter().map(|s| s.address.to_string()));
        Target::start(command)
    };
    let harness = Harness {
        sweeper: Arc::new(IdleSweeper::start(Duration::from_millis(100))),
        calls: Arc::new(AtomicU64::new(2)),
    };
    let (front, relay) = (start_front()?, start_relay()?);
    std::thread::sleep(Duration::from_secs(1)); // The list is told by then.
    let (mut of_front, mut of_relay) = (Side::default(), Side::default());
    for _ in 0..plan.rounds {
        for (side, target) in [(&mut of_front, &front), (&mut of_relay, &relay)] {
            let (rate, cpu) = harness.full(target, plan.seconds, &mut side.failures)?;
            side.rate.push(rate);
            side.cpu_us.push(cpu);
        }
    }
    let half = median(&of_front.rate) / 2.0;
    for _ in 0..plan.rounds {
        for (side, target) in [(&mut of_front, &front), (&mut of_relay, &relay)] {
            let latency = harness.steady(target, half, plan.seconds, &mut side.failures)?;
            side.latency.push(latency);
        }
    }
    drop((front, relay));
    let (front, relay) = (start_front()?, start_relay()?);
    std::thread::sleep(Duration::from_secs(1));
    let memory_front = harness.memory(&front, plan.idle, plan.sessions)?;
    let memory_relay = harness.memory(&relay, plan.idle, plan.sessions)?;
    let mut text = table(
        plan,
        (&of_front, &of_relay),
        half,
        (memory_front, memory_relay),
    );
    for (name, side) in [("front", &of_front), ("relay", &of_relay)] {
        text.push_str(&format!("{name}: set-ups, {}\n", side.failures));
    }
    Ok(Measured {
        text,
        failed: of_front.failures.share().max(of_relay.failures.share()),
    })
}

fn table(
    plan: &Plan,
    sides: (&Side, &Side),
    half: f64,
    memory: ((f64, f64), (f64, f64)),
) -> String {
    let (front, relay) = sides;
    let ratios: Vec<f64> = front
        .cpu_us
        .iter()
        .zip(&relay.cpu_us)
        .map(|(f, r)| f / r)
        .collect();
    let mut text = format!(
        "{} rounds of {} s in turns, front log level {}\n",
        plan.rounds, plan.seconds, plan.log
    );
    text.push_str("| | front | relay | front to relay |\n| --- | --- | --- | --- |\n");
    let mut row = |what: &str, f: f64, r: f64, last: String| {
        text.push_str(&format!("| {what} | {f:.1} | {r:.1} | {last} |\n"));
    };
    let (f, r) = (median(&front.rate), median(&relay.rate));
    row("set-ups a second, one core", f, r, format!("{:.2}", f / r));
    let (least, most) = spread(&ratios);
    let ratio = format!("{:.2} ({least:.2} to {most:.2})", median(&ratios));
    row(
        "CPU a set-up with its close, us",
        median(&front.cpu_us),
        median(&relay.cpu_us),
        ratio,
    );
    for (name, q) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let at = |side: &Side| -> Vec<f64> {
            side.latency
                .iter()
                .map(|h| h.value_at_quantile(q) as f64 / 1000.0)
                .collect()
        };
        let (f, r) = (at(front), at(relay));
        let (least, most) = spread(&f.iter().zip(&r).map(|(f, r)| f - r).collect::<Vec<_>>());
        let (f, r) = (median(&f), median(&r));
        let added = format!("{:+.2} ms ({least:+.2} to {most:+.2})", f - r);
        row(
            &format!("{name} at {half:.0} set-ups a second, ms"),
            f,
            r,
            added,
        );
    }
    let (f, r) = memory;
    row(
        &format!("bytes an idle connection, {}", plan.idle),
        f.0,
        r.0,
        format!("{:.2}", f.0 / r.0),
    );
    row(
        &format!("bytes a session that plays, {}", plan.sessions),
        f.1,
        r.1,
        format!("{:.2}", f.1 / r.1.max(1.0)),
    );
    text
}
