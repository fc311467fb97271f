//! Set-ups that many replicas together send to a server in slow start, counted over every overload window.
//!
//! The test runs in simulated time. The replicas have uneven traffic, some of them many times the mean. A tenth of all
//! attempts fail at once and are retried. The replicas learn of the server's start at different times, up to 1.5 s after
//! it, and a third of them restart during the slow start.
//! `RAMP_SEEDS=200 cargo test --release --test slow_start -- --nocapture` prints the figures of `docs/design.md`.
mod common;
use common::*;
use crankpaddle::*;
use std::collections::VecDeque;

const SERVER: u32 = 7;
/// Start of the simulation.
const BEGIN: u64 = 1000 * SECOND;
/// When the server starts.
const SERVER_START: u64 = BEGIN + SECOND;
/// Requests to the whole fleet; a third of them may go to this server.
const REQUESTS_PER_SECOND: f64 = 150.0;

/// Results of the simulations with all seeds.
struct Measured {
    /// Number of set-ups that the settings allow in one overload window (N).
    allowed: f64,
    /// Work in one window that overloads the server: N plus an allowance for the varying work of the set-ups.
    overloads_at: f64,
    /// Highest number of set-ups in a window.
    max_setups: usize,
    /// Highest sum of work in a window.
    max_work: f64,
    /// Mean number of set-ups in a window.
    mean: f64,
}

struct Random(oorandom::Rand64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0.rand_float().max(1e-12)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.0.rand_range(0..limit)
    }

    /// Work of a request: lognormal, with mean 1 and standard deviation 0.5.
    fn work(&mut self) -> f64 {
        let sigma = (1.0f64 + 0.25).ln().sqrt();
        let normal = (-2.0 * self.unit().ln()).sqrt() * (std::f64::consts::TAU * self.unit()).cos();
        (sigma * normal - sigma * sigma / 2.0).exp()
    }
}

fn endpoint_list(start: Option<u64>) -> Event {
    let mut entries = fleet();
    entries.extend(start.map(|at| Endpoint { cell: 0, ..endpoint(SERVER, Lifecycle::Ready, Time(at)) }));
    Event::EndpointList(EndpointListKind::Full, entries)
}

/// A set-up that was sent to the server in slow start.
struct SentSetup {
    at: u64,
    work: f64,
}

/// The end of a session that is established.
struct SessionEnd {
    at: u64,
    request: u64,
    server: ServerId,
}

/// One replica, with the times at which it learns of the server's start and at which it restarts.
struct Replica {
    driver: Driver,
    /// Share of the traffic, relative to other replicas.
    weight: f64,
    notified_at: u64,
    restarts_at: Option<u64>,
    is_notified: bool,
    next_tick: u64,
    ends: VecDeque<SessionEnd>,
}

impl Replica {
    /// Advances the replica to `now`: ends sessions that are over, notifies it of the server's start, and sends ticks.
    fn catch_up(&mut self, now: u64) {
        let driver = &mut self.driver;
        while self.ends.front().is_some_and(|end| end.at <= now) {
            let end = self.ends.pop_front().expect("the queue is not empty");
            driver.now = Time(end.at).max(driver.now);
            driver.end_attempt(end.request, end.server, AttemptOutcome::Completed, true);
        }
        driver.now = Time(now).max(driver.now);
        if !self.is_notified && now >= self.notified_at {
            self.is_notified = true;
            driver.send(endpoint_list(Some(SERVER_START)));
        }
        if now >= self.next_tick {
            driver.send(Event::Timer(0));
            self.next_tick = now + SECOND;
        }
    }

    /// Sends a request, with retries, as a tenth of all attempts fail. Returns the set-ups to the server in slow start.
    fn request(&mut self, now: u64, request: u64, random: &mut Random) -> Vec<SentSetup> {
        let mut sent = Vec::new();
        let mut actions = self.driver.request(request, IDEMPOTENT);
        while let Some(server) = attempted_server(&actions) {
            if server == ServerId(SERVER) {
                sent.push(SentSetup { at: now, work: random.work() });
            }
            if random.unit() >= 0.1 {
                self.driver.establish(request, server);
                self.ends.push_back(SessionEnd { at: now + 2 * SECOND, request, server });
                break;
            }
            actions = self.driver.end_attempt(request, server, AttemptOutcome::Rejected, false);
        }
        sent
    }
}

/// A fleet of replicas with uneven traffic.
struct Simulation {
    settings: Settings,
    seed: u64,
    random: Random,
    replicas: Vec<Replica>,
    max_weight: f64,
}

impl Simulation {
    fn new(settings: Settings, seed: u64) -> Simulation {
        let mut random = Random(oorandom::Rand64::new(u128::from(seed) + 1));
        let count = settings.replica_count;
        let weights: Vec<f64> = (0..count).map(|_| (-random.unit().ln()).powi(2)).collect();
        let notified: Vec<u64> = (0..count).map(|_| SERVER_START + random.below(1500) * MS).collect();
        let restarts: Vec<Option<u64>> = (0..count)
            .map(|_| (random.unit() < 1.0 / 3.0).then(|| SERVER_START + random.below(9000) * MS))
            .collect();
        let max_weight = weights.iter().copied().fold(0.0, f64::max);
        let replicas = (0..count as usize).map(|index| Replica {
            driver: driver(&settings, index, BEGIN, seed * 1000 + index as u64),
            weight: weights[index],
            notified_at: notified[index],
            restarts_at: restarts[index],
            is_notified: false,
            next_tick: 0,
            ends: VecDeque::new(),
        });
        let replicas = replicas.collect();
        Simulation { settings, seed, random, replicas, max_weight }
    }

    /// Draws a replica with a probability proportional to its weight.
    fn draw_replica(&mut self) -> usize {
        loop {
            let index = self.random.below(self.replicas.len() as u64) as usize;
            if self.random.unit() * self.max_weight <= self.replicas[index].weight {
                return index;
            }
        }
    }

    /// Restarts a replica if that is due, with an endpoint list that may be older than the server's start.
    fn restart_if_due(&mut self, index: usize, now: u64) {
        let replica = &mut self.replicas[index];
        let due = |at: &u64| now >= *at && replica.driver.now.0 < *at;
        if let Some(at) = replica.restarts_at.filter(due) {
            replica.driver = driver(&self.settings, index, at, self.seed * 1000 + 500 + index as u64);
            replica.is_notified = false;
            replica.ends = VecDeque::new();
        }
    }

    /// Runs until the slow start is over; returns the set-ups that all replicas send to the server.
    fn run(&mut self) -> Vec<SentSetup> {
        let (mut sent, mut request, mut now) = (Vec::new(), 0, BEGIN);
        loop {
            now += (-self.random.unit().ln() / REQUESTS_PER_SECOND * SECOND as f64) as u64;
            if now >= SERVER_START + self.settings.slow_start_duration {
                return sent;
            }
            let index = self.draw_replica();
            self.restart_if_due(index, now);
            self.replicas[index].catch_up(now);
            request += 6; // All requests are for titles of cells 0 to 2.
            sent.extend(self.replicas[index].request(now, request, &mut self.random));
        }
    }
}

fn driver(settings: &Settings, index: usize, now: u64, seed: u64) -> Driver {
    let settings = Settings { replica_index: index as u32, ..settings.clone() };
    let mut driver = Driver { policy: PlacementPolicy::new(settings, seed, Time(now)), now: Time(now) };
    driver.send(endpoint_list(None));
    driver
}

fn measure(replicas: u32, streams: u32, seeds: u64) -> Measured {
    let mut result = Measured { allowed: 0.0, overloads_at: 0.0, max_setups: 0, max_work: 0.0, mean: 0.0 };
    for seed in 0..seeds {
        let settings = Settings { replica_count: replicas, stream_capacity: vec![streams], ..settings() };
        let sent = Simulation::new(settings.clone(), seed).run();
        let duration = settings.slow_start_duration as f64;
        let window = settings.overload_window;
        let setups_per_nanosecond =
            f64::from(streams) / duration * settings.slow_start_min_factor * settings.overload_multiple;
        result.allowed = setups_per_nanosecond * window as f64;
        result.overloads_at = result.allowed + 2.0 * result.allowed.sqrt() + 2.0;
        for from in 0..sent.len() {
            let in_window = || sent[from..].iter().take_while(|setup| setup.at < sent[from].at + window);
            result.max_setups = result.max_setups.max(in_window().count());
            result.max_work = result.max_work.max(in_window().map(|setup| setup.work).sum());
        }
        result.mean += sent.len() as f64 / (duration / window as f64) / seeds as f64;
    }
    result
}

fn assert_within_bound(replicas: u32) {
    let seeds = std::env::var("RAMP_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(10);
    for streams in [25, 250] {
        let measured = measure(replicas, streams, seeds);
        println!(
            "{replicas} replicas, {streams} streams, {seeds} seeds: N {:.1}, overloaded at {:.1}; in a window at most {} \
             set-ups, {:.1} of work; mean {:.2}, {:.0}% of N",
            measured.allowed,
            measured.overloads_at,
            measured.max_setups,
            measured.max_work,
            measured.mean,
            100.0 * measured.mean / measured.allowed
        );
        assert!(measured.mean > 0.0, "no replica ever uses an admission slot");
        assert!(
            measured.max_setups as f64 <= measured.allowed + 1.0,
            "{replicas} replicas, {streams} streams: {} set-ups in a window",
            measured.max_setups
        );
        assert!(
            measured.max_work < measured.overloads_at,
            "{replicas} replicas, {streams} streams: {} of work in a window",
            measured.max_work
        );
    }
}

#[test]
fn two_replicas_do_not_overload_a_server_in_slow_start() {
    assert_within_bound(2);
}

#[test]
fn twenty_replicas_do_not_overload_a_server_in_slow_start() {
    assert_within_bound(20);
}

#[test]
fn thirty_replicas_do_not_overload_a_server_in_slow_start() {
    assert_within_bound(30);
}

#[test]
fn three_hundred_replicas_do_not_overload_a_server_in_slow_start() {
    assert_within_bound(300);
}
