//! Checks that timers keep working after waits of many distinct durations, with which the timers of `may` (0.3.51) stop.
//!
//! Some coroutines sleep for random durations; others wait for messages until a random deadline, while some messages arrive
//! earlier. Each second the program prints how many waits have ended; 0 shows that the timers have stopped.
//!
//! `cargo run --release -p crankpaddle-net --example timed_waits -- WORKERS SECONDS`
use crankpaddle_net::{clock, recv_until, sleep, spawn, start, Stack};
use may::sync::mpsc::channel;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A uniformly distributed pseudo-random duration from 1 ms to about `max_ms` ms, hardly ever the same twice.
fn random_duration(state: &mut u64, max_ms: u64) -> Duration {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    Duration::from_nanos(1_000_000 + (*state >> 20) % (max_ms * 1_000_000))
}

fn main() {
    let argument = |position: usize, default: usize| {
        std::env::args()
            .nth(position)
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (workers, seconds) = (argument(1, 6), argument(2, 15));
    start(Some(workers));
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    for pair in 0..64u64 {
        let (sender, receiver) = channel::<()>();
        let (slept, waited) = (counts.clone(), counts.clone());
        let mut state = pair;
        spawn(Stack::Default, move || loop {
            sleep(random_duration(&mut state, 30));
            slept[0].fetch_add(1, Ordering::Relaxed);
            if sender.send(()).is_err() {
                return;
            }
        });
        let mut state = pair + 1000;
        spawn(Stack::Default, move || loop {
            let _ = recv_until(&receiver, clock::now() + random_duration(&mut state, 8000));
            waited[1].fetch_add(1, Ordering::Relaxed);
        });
    }
    for second in 0..seconds {
        std::thread::sleep(Duration::from_secs(1));
        let [slept, waited] = [0, 1].map(|kind: usize| counts[kind].swap(0, Ordering::Relaxed));
        println!("{second} s: slept {slept}, waited {waited}");
    }
}
