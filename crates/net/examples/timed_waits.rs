//! Whether timed waits are sound over many different times: coroutines sleep for times drawn anew, others wait for messages until
//! a time drawn anew while some come earlier. Prints each second how often they came round; 0 tells that timers stand still.
//! `cargo run --release -p crankpaddle-net --example timed_waits -- WORKERS SECONDS`
use crankpaddle_net::{clock, recv_until, sleep, spawn, start, Stack};
use may::sync::mpsc::channel;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Times from 1 ms to `most` ms, each nanosecond of them alike, and hardly ever the same twice.
fn drawn(state: &mut u64, most: u64) -> u64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    1_000_000 + (*state >> 20) % (most * 1_000_000)
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
        let (tell, inbox) = channel::<()>();
        let (slept, waited) = (counts.clone(), counts.clone());
        let mut state = i;
        spawn(Stack::Usual, move || loop {
            sleep(Duration::from_nanos(drawn(&mut state, 30)));
            slept[0].fetch_add(1, Ordering::Relaxed);
            if tell.send(()).is_err() {
                return;
            }
        });
        let mut state = i + 1000;
        spawn(Stack::Usual, move || loop {
            let _ = recv_until(&inbox, clock::now() + drawn(&mut state, 8000));
            waited[1].fetch_add(1, Ordering::Relaxed);
        });
    }
    for second in 0..seconds {
        std::thread::sleep(Duration::from_secs(1));
        let [slept, waited] = [0, 1].map(|i: usize| counts[i].swap(0, Ordering::Relaxed));
        println!("{second} s: slept {slept}, waited {waited}");
    }
}
