//! Generates load on a measured process, from clients that run on coroutines of this process.
use super::target::MeasuredProcess;
use crate::failures::{Failures, SetUpFailure};
use crate::process::{cpu_seconds, resident_bytes};
use crankpaddle_net::{clock, sleep, spawn, IdleSweeper, Stack};
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_testbed::player::PlayerClient;
use crankpaddle_time::{nanoseconds, Time};
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const NANOSECONDS_PER_SECOND: f64 = 1e9;
/// Number of clients of a throughput run, each of which sets up its next session as soon as the previous one is closed.
const CLOSED_LOOP_CLIENTS: usize = 32;
/// Pause of a client after a failed set-up. Without it, set-ups that fail immediately would be retried in a busy loop.
const FAILURE_PAUSE: Duration = Duration::from_millis(10);
/// Time for which load runs, or connections stay open, before a measurement, so that connection pools are filled.
const WARM_UP_TIME: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the start of a run at a fixed rate to its first set-up.
const START_DELAY: Duration = Duration::from_millis(100);
/// Largest latency that the histogram resolves, in microseconds (one minute); larger ones are recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of connections that are opened in parallel.
const CONNECT_BATCH: usize = 100;
/// Number of titles in the fleet's configuration.
const TITLES: u64 = 24;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts the coroutines that have not completed, so that a thread can wait for all of them.
#[derive(Clone, Default)]
struct WaitGroup(Arc<AtomicU64>);

impl WaitGroup {
    fn add(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    fn done(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Blocks this thread until all coroutines have completed; checks every `interval`.
    fn wait(&self, interval: Duration) {
        // Acquire ordering makes everything that the coroutines wrote before `done` visible to this thread.
        while self.0.load(Ordering::Acquire) > 0 {
            std::thread::sleep(interval);
        }
    }
}

/// The result of a throughput run.
pub(super) struct Throughput {
    /// Completed set-ups per second.
    pub(super) rate: f64,
    /// Processor time of the measured process for each set-up with its close, in microseconds.
    pub(super) cpu_us: f64,
}

/// The result of a memory run.
#[derive(Clone, Copy)]
pub(super) struct MemoryUse {
    /// Bytes that each idle connection adds to the process's resident memory.
    pub(super) idle_connection: f64,
    /// Bytes that each established session adds.
    pub(super) session: f64,
}

/// The clients of a run. They share the sweeper that closes idle connections and the sequence of call numbers.
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

    /// Measures the throughput: all clients set sessions up and close them without pause, for this many seconds.
    pub(super) fn throughput(
        &self,
        process: &MeasuredProcess,
        seconds: u64,
        failures: &mut Failures,
    ) -> io::Result<Throughput> {
        let completed = Arc::new(AtomicU64::new(0));
        let all_failures = Arc::new(Mutex::new(std::mem::take(failures)));
        let stop = Arc::new(AtomicBool::new(false));
        let running = WaitGroup::default();
        for _ in 0..CLOSED_LOOP_CLIENTS {
            running.add();
            let (clients, address, running) = (self.clone(), process.address, running.clone());
            let (completed, failures, stop) =
                (completed.clone(), all_failures.clone(), stop.clone());
            spawn(Stack::Default, move || {
                clients.run_closed_loop(&address, &stop, &completed, &failures);
                running.done();
            });
        }
        std::thread::sleep(WARM_UP_TIME);
        let count_before = completed.load(Ordering::Relaxed);
        let cpu_before = cpu_seconds(process.pid())?;
        let started_at = clock::now();
        std::thread::sleep(Duration::from_secs(seconds));
        let count = completed.load(Ordering::Relaxed) - count_before;
        let cpu = cpu_seconds(process.pid())? - cpu_before;
        let elapsed = nanoseconds(clock::now().duration_since(started_at)) as f64;
        stop.store(true, Ordering::Release);
        running.wait(Duration::from_millis(10));
        *failures = lock(&all_failures).clone();
        Ok(Throughput {
            rate: count as f64 / (elapsed / NANOSECONDS_PER_SECOND),
            cpu_us: cpu * 1e6 / count.max(1) as f64,
        })
    }

    /// Runs one client, which opens and closes sessions until the run is stopped.
    fn run_closed_loop(
        &self,
        address: &SocketAddr,
        stop: &AtomicBool,
        completed: &AtomicU64,
        failures: &Mutex<Failures>,
    ) {
        let mut reused = None;
        while !stop.load(Ordering::Acquire) {
            let result = self.set_up(&mut reused, address);
            lock(failures).record(&result);
            match result {
                Ok(_) => {
                    completed.fetch_add(1, Ordering::Relaxed);
                }
                Err(_) => sleep(FAILURE_PAUSE),
            }
        }
    }

    /// Sets sessions up at a fixed rate, which does not depend on when answers arrive. Returns the latencies in microseconds.
    /// Each counts from the scheduled time of the set-up, so that delays of the load generator are included.
    pub(super) fn latencies(
        &self,
        process: &MeasuredProcess,
        rate: f64,
        seconds: u64,
        failures: &mut Failures,
    ) -> io::Result<Histogram<u64>> {
        let latencies =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).map_err(io::Error::other)?;
        let run = Arc::new(OpenLoop {
            clients: self.clone(),
            address: process.address,
            latencies: Mutex::new(latencies),
            idle: Mutex::default(),
            failures: Mutex::new(std::mem::take(failures)),
        });
        let running = WaitGroup::default();
        let start = clock::now() + START_DELAY;
        let count = (rate * seconds as f64) as u64;
        for number in 0..count {
            let offset = number as f64 / rate * NANOSECONDS_PER_SECOND;
            let scheduled_at = start + Duration::from_nanos(offset as u64);
            std::thread::sleep(scheduled_at.duration_since(clock::now()));
            running.add();
            let (run, running) = (run.clone(), running.clone());
            spawn(Stack::Default, move || {
                run.set_up(scheduled_at);
                running.done();
            });
        }
        running.wait(Duration::from_millis(10));
        *failures = lock(&run.failures).clone();
        let recorded = lock(&run.latencies).clone();
        Ok(recorded)
    }

    /// Opens this many idle connections, then this many sessions, and returns the memory use of each.
    pub(super) fn memory_use(
        &self,
        process: &MeasuredProcess,
        connections: usize,
        sessions: usize,
    ) -> io::Result<MemoryUse> {
        let run = Arc::new(OpenConnections {
            clients: self.clone(),
            address: process.address,
            idle: Mutex::default(),
            stop: AtomicBool::new(false),
        });
        let initial = resident_bytes(process.pid())?;
        open_all(&run, connections, false);
        let with_connections = resident_bytes(process.pid())?;
        open_all(&run, sessions, true);
        let with_sessions = resident_bytes(process.pid())?;
        run.stop.store(true, Ordering::Release);
        std::thread::sleep(Duration::from_secs(1));
        let added_each =
            |from: u64, to: u64, count: usize| to.saturating_sub(from) as f64 / count.max(1) as f64;
        Ok(MemoryUse {
            idle_connection: added_each(initial, with_connections, connections),
            session: added_each(with_connections, with_sessions, sessions),
        })
    }

    /// Sets a session up on the reused connection or on a new one, and closes it. Returns the time of the set-up's answer. A
    /// connection whose set-up failed is not reused, because it may still receive a late answer.
    fn set_up(
        &self,
        reused: &mut Option<PlayerClient>,
        address: &SocketAddr,
    ) -> Result<Time, SetUpFailure> {
        let mut client = match reused.take() {
            Some(client) => client,
            None => PlayerClient::connect(address, &self.sweeper)
                .map_err(|error| SetUpFailure::connection("connect", &error))?,
        };
        let answered_at = self.open_and_close(&mut client)?;
        *reused = Some(client);
        Ok(answered_at)
    }

    /// Opens and closes a session, and returns the time at which the open call was answered.
    fn open_and_close(&self, client: &mut PlayerClient) -> Result<Time, SetUpFailure> {
        let id = self.calls.fetch_add(2, Ordering::Relaxed);
        let open = open_params("measured", id);
        let deadline = clock::now() + ANSWER_TIMEOUT;
        let is_answer = |event: &ClientEvent| matches!(event, ClientEvent::Plays { id: answered, .. } if *answered == id);
        let event = request(client, client::open(id, &open), deadline, is_answer)?;
        let answered_at = clock::now();
        if let ClientEvent::Plays { session, .. } = event {
            let is_closed = |event: &ClientEvent| matches!(event, ClientEvent::Closed { id: answered } if *answered == id + 1);
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

/// Sends a call and waits for its answer; notifications of rung changes are ignored.
fn request(
    client: &mut PlayerClient,
    call: String,
    deadline: Time,
    is_answer: impl Fn(&ClientEvent) -> bool,
) -> Result<ClientEvent, SetUpFailure> {
    client
        .send(call)
        .map_err(|error| SetUpFailure::connection("write", &error))?;
    loop {
        let event = client
            .next(deadline)
            .map_err(|error| SetUpFailure::connection("read", &error))?;
        if is_answer(&event) {
            return Ok(event);
        }
        if !matches!(event, ClientEvent::Rung { .. }) {
            return Err(SetUpFailure::from_event(&event));
        }
    }
}

/// A run at a fixed rate (open loop).
struct OpenLoop {
    clients: Clients,
    address: SocketAddr,
    latencies: Mutex<Histogram<u64>>,
    idle: Mutex<Vec<PlayerClient>>,
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
    idle: Mutex<Vec<PlayerClient>>,
    stop: AtomicBool,
}

impl OpenConnections {
    /// Opens a connection, and a session on it if `with_session` is set; keeps both open until the run stops.
    fn run(&self, with_session: bool, opened: &WaitGroup) {
        let reused = lock(&self.idle).pop().filter(|_| with_session);
        let connect = || PlayerClient::connect(&self.address, &self.clients.sweeper).ok();
        let Some(mut client) = reused.or_else(connect) else {
            opened.done();
            return;
        };
        if with_session {
            let id = self.clients.calls.fetch_add(2, Ordering::Relaxed);
            let open = open_params("held", id);
            let _ = client.send(client::open(id, &open)); // Errors are ignored, because only the memory use is measured.
            let _ = client.next(clock::now() + ANSWER_TIMEOUT);
        }
        opened.done();
        while !self.stop.load(Ordering::Acquire) {
            sleep(Duration::from_millis(200));
        }
    }
}

/// Opens `count` connections in batches and waits until all of them are open and the process has settled.
fn open_all(run: &Arc<OpenConnections>, count: usize, with_session: bool) {
    let running = WaitGroup::default();
    for number in 0..count {
        running.add();
        let (run, opened) = (run.clone(), running.clone());
        spawn(Stack::Default, move || run.run(with_session, &opened));
        if (number + 1) % CONNECT_BATCH == 0 {
            running.wait(Duration::from_millis(1));
        }
    }
    running.wait(Duration::from_millis(10));
    std::thread::sleep(WARM_UP_TIME);
}
