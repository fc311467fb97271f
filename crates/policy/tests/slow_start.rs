//! A server that starts while many fronts send: what all of them send it together, in any span of the rule's length.
//!
//! In virtual time, each front with traffic of its own, some with many times the mean; a tenth of all attempts fail at once and
//! are made again; fronts hear of the start up to 1.5 s apart, and a third of them restarts while the server warms up.
//! `RAMP_SEEDS=200 cargo test --release --test slow_start -- --nocapture` prints the figures of `docs/design.md`.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod common;
use common::*;
use crankpaddle::*;
use std::collections::VecDeque;

/// When sessions come to their ends, and where.
type Ends = VecDeque<(u64, u64, ServerId)>;

const SERVER: u32 = 7;
const BEGIN: u64 = 1000 * SECOND;

/// What the settings allow in one span (N), the sum that the rule leaves to chance, and the most sent.
struct Measured {
    allowed: f64,
    overloads_at: f64,
    most: usize,
    most_work: f64,
    mean: f64,
}

struct Random(oorandom::Rand64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0.rand_float().max(1e-12)
    }

    fn below(&mut self, n: u64) -> u64 {
        self.0.rand_range(0..n)
    }

    /// Work of a request, its mean 1 and its spread 0.5 of that (lognormal).
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

/// The set-ups that a fleet of `n` fronts sends to a server that starts; each with its time and its work.
fn simulate_slow_start(n: u32, places: u32, seed: u64) -> (Settings, Vec<(u64, f64)>) {
    let own = |index| Settings {
        front_index: index,
        replica_count: n,
        stream_capacity: vec![places],
        ..settings()
    };
    let mut random = Random(oorandom::Rand64::new(u128::from(seed) + 1));
    let front = |index: u32, now: u64, seed: u64| {
        let mut driver = Driver { policy: PlacementPolicy::new(own(index), seed, Time(now)), now: Time(now) };
        driver.send(endpoint_list(None));
        driver
    };
    let mut fronts: Vec<Driver> = (0..n).map(|i| front(i, BEGIN, seed * 1000 + u64::from(i))).collect();
    let weights: Vec<f64> = (0..n).map(|_| (-random.unit().ln()).powi(2)).collect();
    let start = BEGIN + SECOND;
    let hears: Vec<u64> = (0..n).map(|_| start + random.below(1500) * MS).collect();
    let restarts: Vec<Option<u64>> =
        (0..n).map(|_| (random.unit() < 1.0 / 3.0).then(|| start + random.below(9000) * MS)).collect();
    let (mut knows, mut ends) = (vec![false; n as usize], vec![Ends::new(); n as usize]);
    let (mut sent, mut request, mut ticks) = (Vec::new(), 0, vec![0; n as usize]);
    let most = weights.iter().copied().fold(0.0, f64::max);
    let rate = 150.0; // Requests a second, of the whole fleet; a third of them may go to this server.
    let mut now = BEGIN;
    loop {
        now += (-random.unit().ln() / rate * SECOND as f64) as u64;
        if now >= start + own(0).slow_start_duration {
            break; // It is warm.
        }
        let i = loop {
            let i = random.below(u64::from(n)) as usize;
            if random.unit() * most <= weights[i] {
                break i;
            }
        };
        if let Some(at) = restarts[i].filter(|at| now >= *at && fronts[i].now.0 < *at) {
            // It starts anew from a list that may be as old as its siblings' news.
            fronts[i] = front(i as u32, at, seed * 1000 + 500 + i as u64);
            (knows[i], ends[i]) = (false, Ends::new());
        }
        let d = &mut fronts[i];
        while ends[i].front().is_some_and(|(at, ..)| *at <= now) {
            let (at, request, server) = ends[i].pop_front().expect("just seen");
            d.now = Time(at).max(d.now);
            d.end_attempt(request, server, AttemptOutcome::Completed, true);
        }
        d.now = Time(now).max(d.now);
        if !knows[i] && now >= hears[i] {
            knows[i] = true;
            d.send(endpoint_list(Some(start)));
        }
        if now >= ticks[i] {
            d.send(Event::Timer(0));
            ticks[i] = now + SECOND;
        }
        request += 6; // All of one title, held by cells 0 to 2.
        let mut out = d.request(request, IDEMPOTENT);
        while let Some(server) = attempted_server(&out) {
            if server == ServerId(SERVER) {
                sent.push((now, random.work()));
            }
            if random.unit() >= 0.1 {
                d.establish(request, server);
                ends[i].push_back((now + 2 * SECOND, request, server));
                break;
            }
            out = d.end_attempt(request, server, AttemptOutcome::Rejected, false);
        }
    }
    (own(0), sent)
}

fn measure(n: u32, places: u32, seeds: u64) -> Measured {
    let mut result = Measured { allowed: 0.0, overloads_at: 0.0, most: 0, most_work: 0.0, mean: 0.0 };
    for seed in 0..seeds {
        let (s, sent) = simulate_slow_start(n, places, seed);
        let pace =
            f64::from(places) / s.slow_start_duration as f64 * s.slow_start_min_factor * s.overload_multiple;
        result.allowed = pace * s.overload_window as f64;
        result.overloads_at = result.allowed + 2.0 * result.allowed.sqrt() + 2.0;
        for from in 0..sent.len() {
            let span = || sent[from..].iter().take_while(|(at, _)| *at < sent[from].0 + s.overload_window);
            result.most = result.most.max(span().count());
            result.most_work = result.most_work.max(span().map(|(_, work)| work).sum());
        }
        result.mean +=
            sent.len() as f64 / (s.slow_start_duration as f64 / s.overload_window as f64) / seeds as f64;
    }
    result
}

fn assert_within_bound(n: u32) {
    let seeds = std::env::var("RAMP_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(10);
    for places in [25, 250] {
        let r = measure(n, places, seeds);
        println!(
            "{n} fronts, {places} places, {seeds} seeds: N {:.1}, falls over {:.1}; most {} set-ups, {:.1} of work; \
             mean {:.2} a span, {:.0}% of N",
            r.allowed,
            r.overloads_at,
            r.most,
            r.most_work,
            r.mean,
            100.0 * r.mean / r.allowed
        );
        assert!(r.mean > 0.0, "no front ever has a turn");
        assert!(
            r.most as f64 <= r.allowed + 1.0,
            "{n} fronts, {places} places: {} set-ups in a span",
            r.most
        );
        assert!(
            r.most_work < r.overloads_at,
            "{n} fronts, {places} places: {} of work in a span",
            r.most_work
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
