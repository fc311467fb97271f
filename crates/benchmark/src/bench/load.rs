//! The load that a target is measured under, by clients on coroutines of this process.
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
/// Pause of a client whose set-up failed: what fails at once must not be tried again at once.
const AFTER_FAILURE: Duration = Duration::from_millis(10);
/// Connections and pools are warm after this time.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time from the start of a run at a steady rate to its first set-up.
const START_DELAY: Duration = Duration::from_millis(100);
/// Latencies up to a minute, microseconds.
const LONGEST_LATENCY_US: u64 = 60_000_000;
/// Connections are opened in groups of so many.
const CONNECT_BATCH: usize = 100;
/// Titles of the configuration.
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

    /// Blocks this thread until all have ended, looking every `interval`.
    fn wait(&self, interval: Duration) {
        // Acquire: what the coroutines wrote before they ended is seen after this.
        while self.0.load(Ordering::Acquire) > 0 {
            std::thread::sleep(interval);
        }
    }
}

/// What a throughput run showed.
pub(super) struct Throughput {
    /// Set-ups a second.
    pub(super) rate: f64,
    /// CPU of the target for each set-up, microseconds.
    pub(super) cpu_us: f64,
}

/// What a memory run showed.
#[derive(Clone, Copy)]
pub(super) struct Memory {
    /// Bytes for each idle connection.
    pub(super) idle_connection: f64,
    /// Bytes that each established session adds.
    pub(super) session: f64,
}

/// Clients that share a sweeper and count their calls together.
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

    /// As many set-ups as go in a time.
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

    /// One client that opens and closes sessions until it is stopped.
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
                Err(_) => sleep(AFTER_FAILURE),
            }
        }
    }

    /// Set-ups at a steady rate whatever comes back; latencies in microseconds from when each was meant to begin.
    pub(super) fn latencies(
        &self,
        target: &Target,
        rate: f64,
        seconds: u64,
        failures: &mut Failures,
    ) -> io::Result<Histogram<u64>> {
        let latencies = Histogram::<u64>::new_with_bounds(1, LONGEST_LATENCY_US, 3)
            .map_err(io::Error::other)?;
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

    /// Bytes for each of `connections` idle ones, and on top for each of `sessions` that are established.
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

    /// A set-up on a reused connection or a new one; gives when it was answered. Where it fails the connection is
    /// closed, for late answers may lie in it.
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

    /// Opens and closes a session; gives when the open was answered.
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

/// Sends a call and waits for its answer; changes of rung that come meanwhile are passed over.
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
    /// Opens a connection, and a session on it where `with_session` says so, and keeps both until the run stops.
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
            let _ = client.send(client::open(id, &open)); // Counted by the memory that it takes.
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
