//! Checks that timed waits work over many distinct times: coroutines sleep for random times, others wait for messages until
//! a random deadline while some arrive earlier. Prints each second how many waits ended; 0 shows that timers have stopped.
//! `cargo run --release -p crankpaddle-net --example timed_waits -- WORKERS SECONDS`
use crankpaddle_net::{clock, recv_until, sleep, spawn, start, Stack};
use may::sync::mpsc::channel;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Uniform random times from 1 ms to about `max_ms` ms, hardly ever the same twice.
fn random_time(state: &mut u64, max_ms: u64) -> Duration {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    Duration::from_nanos(1_000_000 + (*state >> 20) % (max_ms * 1_000_000))
}

fn main() {
    let arg = |i: usize, default: usize| {
        std::env::args()
            .nth(i)
            .and_then(|a| a.parse().ok())
            .unwrap_or(default)
    };
    let (workers, seconds) = (arg(1, 6), arg(2, 15));
    start(Some(workers));
    let counts: Arc<[AtomicU64; 2]> = Arc::default();
    for i in 0..64u64 {
        let (sender, receiver) = channel::<()>();
        let (slept, waited) = (counts.clone(), counts.clone());
        let mut state = i;
        spawn(Stack::Usual, move || loop {
            sleep(random_time(&mut state, 30));
            slept[0].fetch_add(1, Ordering::Relaxed);
            if sender.send(()).is_err() {
                return;
            }
        });
        let mut state = i + 1000;
        spawn(Stack::Usual, move || loop {
            let _ = recv_until(&receiver, clock::now() + random_time(&mut state, 8000));
            waited[1].fetch_add(1, Ordering::Relaxed);
        });
    }
    for second in 0..seconds {
        std::thread::sleep(Duration::from_secs(1));
        let [slept, waited] = [0, 1].map(|i: usize| counts[i].swap(0, Ordering::Relaxed));
        println!("{second} s: slept {slept}, waited {waited}");
    }
}
