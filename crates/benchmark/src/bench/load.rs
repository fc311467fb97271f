//! The load on a target, from clients on coroutines of this process.
use super::target::Target;
use crate::failures::{Failures, SetUpFailure};
use crate::process::{cpu_seconds, resident};
use crankpaddle_net::{clock, sleep, spawn, IdleSweeper, Stack};
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_testbed::player::Client;
use crankpaddle_time::{nanoseconds, Time};
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Connections that open sessions without pause.
const CLOSED_LOOP_CLIENTS: usize = 32;
/// Pause of a client whose set-up failed. Why: a set-up that fails at once must not be retried at once.
const FAILURE_PAUSE: Duration = Duration::from_millis(10);
/// Time in which connections are made and pools filled.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the start of a run at a steady rate to its first set-up.
const START_DELAY: Duration = Duration::from_millis(100);
/// Longest latency that is told apart, microseconds: a minute.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of connections that are opened at once.
const CONNECT_BATCH: usize = 100;
/// Number of titles in the configuration.
const TITLES: u64 = 24;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A counter of coroutines that have not ended.
#[derive(Clone, Default)]
struct Pending(Arc<AtomicU64>);

impl Pending {
    fn begin(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    fn end(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Blocks this thread until all have ended; checks every `interval`.
    fn wait(&self, interval: Duration) {
        // Acquire: after this, the writes of the coroutines before their ends are visible.
        while self.0.load(Ordering::Acquire) > 0 {
            std::thread::sleep(interval);
        }
    }
}

/// The result of a throughput run.
pub(super) struct Throughput {
    /// Set-ups a second.
    pub(super) rate: f64,
    /// Processor time of the target for each set-up, microseconds.
    pub(super) cpu_us: f64,
}

/// The result of a memory run.
#[derive(Clone, Copy)]
pub(super) struct Memory {
    /// Bytes for each idle connection.
    pub(super) idle_connection: f64,
    /// Bytes that each established session adds.
    pub(super) session: f64,
}

/// Clients that share a sweeper and the numbers of their calls.
#[derive(Clone)]
pub(super) struct Clients {
    sweeper: Arc<IdleSweeper>,
    calls: Arc<AtomicU64>,
}

impl Clients {
    pub(super) fn new() -> Clients {
        Clients {
            sweeper: Arc::new(IdleSweeper::start(Duration::from_millis(100))),
            calls: Arc::new(AtomicU64::new(2)),
        }
    }

    /// Sets sessions up from all clients without pause, for so many seconds.
    pub(super) fn throughput(
        &self,
        target: &Target,
        seconds: u64,
        failures: &mut Failures,
    ) -> io::Result<Throughput> {
        let done = Arc::new(AtomicU64::new(0));
        let recorded = Arc::new(Mutex::new(std::mem::take(failures)));
        let stop = Arc::new(AtomicBool::new(false));
        let pending = Pending::default();
        for _ in 0..CLOSED_LOOP_CLIENTS {
            pending.begin();
            let (clients, address, pending) = (self.clone(), target.address, pending.clone());
            let (done, recorded, stop) = (done.clone(), recorded.clone(), stop.clone());
            spawn(Stack::Usual, move || {
                clients.run_closed_loop(&address, &stop, &done, &recorded);
                pending.end();
            });
        }
        std::thread::sleep(WARM_UP);
        let count_before = done.load(Ordering::Relaxed);
        let cpu_before = cpu_seconds(target.pid())?;
        let started_at = clock::now();
        std::thread::sleep(Duration::from_secs(seconds));
        let count = done.load(Ordering::Relaxed) - count_before;
        let cpu = cpu_seconds(target.pid())? - cpu_before;
        let elapsed = nanoseconds(clock::now().duration_since(started_at)) as f64;
        stop.store(true, Ordering::Release);
        pending.wait(Duration::from_millis(10));
        *failures = lock(&recorded).clone();
        Ok(Throughput {
            rate: count as f64 / (elapsed / NANOSECONDS_PER_SECOND),
            cpu_us: cpu * 1e6 / count.max(1) as f64,
        })
    }

    /// Runs one client, which opens and closes sessions until it is stopped.
    fn run_closed_loop(
        &self,
        address: &SocketAddr,
        stop: &AtomicBool,
        done: &AtomicU64,
        failures: &Mutex<Failures>,
    ) {
        let mut reused = None;
        while !stop.load(Ordering::Acquire) {
            let result = self.set_up(&mut reused, address);
            lock(failures).record(&result);
            match result {
                Ok(_) => {
                    done.fetch_add(1, Ordering::Relaxed);
                }
                Err(_) => sleep(FAILURE_PAUSE),
            }
        }
    }

    /// Sets sessions up at a steady rate that does not depend on the answers; returns the latencies in microseconds, each
    /// from the scheduled time of its set-up.
    pub(super) fn latencies(
        &self,
        target: &Target,
        rate: f64,
        seconds: u64,
        failures: &mut Failures,
    ) -> io::Result<Histogram<u64>> {
        let latencies =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(io::Error::other)?;
        let run = Arc::new(OpenLoop {
            clients: self.clone(),
            address: target.address,
            latencies: Mutex::new(latencies),
            idle: Mutex::default(),
            failures: Mutex::new(std::mem::take(failures)),
        });
        let pending = Pending::default();
        let start = clock::now() + START_DELAY;
        let count = (rate * seconds as f64) as u64;
        for number in 0..count {
            let offset = number as f64 / rate * NANOSECONDS_PER_SECOND;
            let scheduled_at = start + Duration::from_nanos(offset as u64);
            std::thread::sleep(scheduled_at.duration_since(clock::now()));
            pending.begin();
            let (run, pending) = (run.clone(), pending.clone());
            spawn(Stack::Usual, move || {
                run.set_up(scheduled_at);
                pending.end();
            });
        }
        pending.wait(Duration::from_millis(10));
        *failures = lock(&run.failures).clone();
        let all = lock(&run.latencies).clone();
        Ok(all)
    }

    /// Opens so many idle connections, then so many sessions; returns the memory of the target for each.
    pub(super) fn memory(
        &self,
        target: &Target,
        connections: usize,
        sessions: usize,
    ) -> io::Result<Memory> {
        let run = Arc::new(OpenConnections {
            clients: self.clone(),
            address: target.address,
            idle: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let before = resident(target.pid())?;
        open_all(&run, connections, false);
        let idle = resident(target.pid())?;
        open_all(&run, sessions, true);
        let established = resident(target.pid())?;
        run.stop.store(true, Ordering::Release);
        std::thread::sleep(Duration::from_secs(1));
        let each =
            |from: u64, to: u64, count: usize| to.saturating_sub(from) as f64 / count.max(1) as f64;
        Ok(Memory {
            idle_connection: each(before, idle, connections),
            session: each(idle, established, sessions),
        })
    }

    /// Sets a session up on the reused connection or a new one, and closes it; returns when the set-up was answered. A
    /// connection whose set-up failed is not reused: it may still receive a late answer.
    fn set_up(
        &self,
        reused: &mut Option<Client>,
        address: &SocketAddr,
    ) -> Result<Time, SetUpFailure> {
        let mut client = match reused.take() {
            Some(client) => client,
            None => Client::connect(address, &self.sweeper)
                .map_err(|e| SetUpFailure::connection("connect", &e))?,
        };
        let answered_at = self.open_and_close(&mut client)?;
        *reused = Some(client);
        Ok(answered_at)
    }

    /// Opens and closes a session; returns when the open was answered.
    fn open_and_close(&self, client: &mut Client) -> Result<Time, SetUpFailure> {
        let id = self.calls.fetch_add(2, Ordering::Relaxed);
        let open = open_params("measured", id);
        let deadline = clock::now() + ANSWER_TIMEOUT;
        let is_answer =
            |event: &ClientEvent| matches!(event, ClientEvent::Plays { id: of, .. } if *of == id);
        let event = request(client, client::open(id, &open), deadline, is_answer)?;
        let answered_at = clock::now();
        if let ClientEvent::Plays { session, .. } = event {
            let is_closed = |event: &ClientEvent| matches!(event, ClientEvent::Closed { id: of } if *of == id + 1);
            let close = client::close(id + 1, &session);
            request(client, close, deadline, is_closed)?;
        }
        Ok(answered_at)
    }
}

fn open_params(key_prefix: &str, id: u64) -> Open {
    Open {
        key: format!("{key_prefix}-{id:012}"),
        title: format!("clip-{:02}", id / 2 % TITLES),
        class: "preview".into(),
        ..Open::default()
    }
}

/// Sends a call and waits for its answer; changes of rung are ignored.
fn request(
    client: &mut Client,
    call: String,
    deadline: Time,
    is_answer: impl Fn(&ClientEvent) -> bool,
) -> Result<ClientEvent, SetUpFailure> {
    client
        .send(call)
        .map_err(|e| SetUpFailure::connection("write", &e))?;
    loop {
        let event = client
            .next(deadline)
            .map_err(|e| SetUpFailure::connection("read", &e))?;
        if is_answer(&event) {
            return Ok(event);
        }
        if !matches!(event, ClientEvent::Rung { .. }) {
            return Err(SetUpFailure::from_event(&event));
        }
    }
}

/// A run at a steady rate.
struct OpenLoop {
    clients: Clients,
    address: SocketAddr,
    latencies: Mutex<Histogram<u64>>,
    idle: Mutex<Vec<Client>>,
    failures: Mutex<Failures>,
}

impl OpenLoop {
    fn set_up(&self, scheduled_at: Time) {
        let mut reused = lock(&self.idle).pop();
        let result = self.clients.set_up(&mut reused, &self.address);
        lock(&self.failures).record(&result);
        if let Ok(answered_at) = result {
            let latency = answered_at.duration_since(scheduled_at);
            let microseconds = latency.as_micros() as u64;
            lock(&self.latencies).saturating_record(microseconds.max(1));
            lock(&self.idle).extend(reused);
        }
    }
}

/// Connections that stay open until the run stops.
struct OpenConnections {
    clients: Clients,
    address: SocketAddr,
    idle: Mutex<Vec<Client>>,
    stop: AtomicBool,
}

impl OpenConnections {
    /// Opens a connection, with a session on it if `with_session`, and keeps both until the run stops.
    fn run(&self, with_session: bool, pending: &Pending) {
        let reused = lock(&self.idle).pop().filter(|_| with_session);
        let connect = || Client::connect(&self.address, &self.clients.sweeper).ok();
        let Some(mut client) = reused.or_else(connect) else {
            pending.end();
            return;
        };
        if with_session {
            let id = self.clients.calls.fetch_add(2, Ordering::Relaxed);
            let open = open_params("held", id);
            let _ = client.send(client::open(id, &open)); // Why ignored: only the memory that it takes is measured.
            let _ = client.next(clock::now() + ANSWER_TIMEOUT);
        }
        pending.end();
        while !self.stop.load(Ordering::Acquire) {
            sleep(Duration::from_millis(200));
        }
    }
}

fn open_all(run: &Arc<OpenConnections>, count: usize, with_session: bool) {
    let pending = Pending::default();
    for number in 0..count {
        pending.begin();
        let (run, opening) = (run.clone(), pending.clone());
        spawn(Stack::Usual, move || run.run(with_session, &opening));
        if (number + 1) % CONNECT_BATCH == 0 {
            pending.wait(Duration::from_millis(1));
        }
    }
    pending.wait(Duration::from_millis(10));
    std::thread::sleep(WARM_UP);
}
