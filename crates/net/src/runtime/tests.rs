use super::*;
use may::sync::mpsc::channel;

#[test]
fn timers_are_set_to_few_different_times_and_never_beyond_what_is_asked() {
    let times = (0..200_000u64).map(|n| Duration::from_micros(n * n / 7 + n));
    let steps: Vec<(Duration, Duration)> = times.map(|time| (time, step(time))).collect();
    assert!(steps
        .iter()
        .all(|(time, step)| *step <= (*time).max(SHORTEST) && *step * 2 > *time));
    let different: std::collections::BTreeSet<Duration> =
        steps.iter().map(|(_, step)| *step).collect();
    assert!((20..64).contains(&different.len()), "{}", different.len());
    assert!(step(Duration::MAX) >= Duration::from_secs(1 << 40));
}

/// Times from 1 ms to `most` ms, hardly ever the same twice.
fn drawn(state: &mut u64, most: u64) -> u64 {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    1_000_000 + (*state >> 20) % (most * 1_000_000)
}

/// Thousands of different times; without `step` all timers stand still after some 5,000 waits.
#[test]
fn timers_go_on_after_thousands_of_different_times() {
    const PAIRS: u64 = 64;
    const WAITS: usize = 200;
    let (done, all) = std::sync::mpsc::channel();
    for i in 0..PAIRS {
        let (tell, inbox) = channel::<()>();
        let mut state = i;
        spawn(Stack::Usual, move || {
            for _ in 0..WAITS {
                sleep(Duration::from_nanos(drawn(&mut state, 30)));
                let _ = tell.send(()); // Who hears lasts as long.
            }
        });
        let (done, mut state) = (done.clone(), i + 1000);
        spawn(Stack::Usual, move || {
            let mut heard = 0;
            while heard < WAITS {
                let until = clock::now() + drawn(&mut state, 8000);
                heard += usize::from(recv_until(&inbox, until).is_ok());
            }
            let _ = done.send(()); // The test may have given up.
        });
    }
    // On a thread: a wait of may would stand still with the rest.
    let ended = (0..PAIRS)
        .take_while(|_| all.recv_timeout(Duration::from_secs(30)).is_ok())
        .count();
    assert_eq!(ended as u64, PAIRS);
}

/// Runs in a coroutine and gives its result to the test's thread.
fn run<T: Send + 'static>(f: impl FnOnce() -> T + Send + 'static) -> T {
    start(Some(2));
    let (done, result) = std::sync::mpsc::channel();
    spawn(Stack::Usual, move || drop(done.send(f())));
    result
        .recv_timeout(Duration::from_secs(60))
        .expect("the coroutine ends")
}

#[test]
fn waits_end_at_their_time_or_with_a_message() {
    let late = run(|| {
        let (_sender, receiver) = channel::<u8>();
        let wait = |_| {
            let until = clock::now() + 30_000_000;
            assert_eq!(recv_until(&receiver, until), Err(RecvTimeoutError::Timeout));
            clock::now() - until
        };
        let mut late: Vec<u64> = (0..20).map(wait).collect();
        late.sort_unstable();
        late[10]
    });
    // A wait taken twice is late by as much as it lasts; the median says whether that is the rule.
    assert!(late < 25_000_000, "{late} ns late");
    let heard = run(|| {
        let (sender, receiver) = channel();
        sender.send(7).unwrap();
        let first = recv_until(&receiver, 0);
        drop(sender);
        (first, recv_until(&receiver, u64::MAX))
    });
    assert_eq!(heard, (Ok(7), Err(RecvTimeoutError::Disconnected)));
}

#[test]
fn a_panic_in_one_coroutine_ends_only_it() {
    spawn(Stack::Usual, || panic!("on purpose, in a test"));
    assert_eq!(run(|| 5), 5);
}
