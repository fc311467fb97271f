use super::*;
use may::sync::mpsc::channel;

#[test]
fn timers_use_few_distinct_durations_and_never_exceed_the_requested_one() {
    let times = (0..200_000u64).map(|n| Duration::from_micros(n * n / 7 + n));
    let steps: Vec<(Duration, Duration)> = times.map(|time| (time, timer_step(time))).collect();
    assert!(steps
        .iter()
        .all(|(time, step)| *step <= (*time).max(MIN_WAIT) && *step * 2 > *time));
    let distinct: std::collections::BTreeSet<Duration> =
        steps.iter().map(|(_, step)| *step).collect();
    assert!((20..64).contains(&distinct.len()), "{}", distinct.len());
    assert!(timer_step(Duration::MAX) >= Duration::from_secs(1 << 40));
}

/// A pseudo-random duration from 1 ms to about `max_ms` ms, hardly ever the same twice.
fn random_duration(state: &mut u64, max_ms: u64) -> Duration {
    *state = state
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    Duration::from_nanos(1_000_000 + (*state >> 20) % (max_ms * 1_000_000))
}

/// Guards against a fault of `may` (0.3.51): without `timer_step`, waits with thousands of distinct durations stop all
/// timers of the process after some 5,000 waits.
#[test]
fn timers_keep_working_after_waits_of_thousands_of_distinct_durations() {
    const PAIRS: u64 = 64;
    const WAITS: usize = 200;
    let (done, finished_pairs) = std::sync::mpsc::channel();
    for i in 0..PAIRS {
        let (sender, receiver) = channel::<()>();
        let mut state = i;
        spawn(Stack::Default, move || {
            for _ in 0..WAITS {
                sleep(random_duration(&mut state, 30));
                let _ = sender.send(()); // Cannot fail: the receiver waits for all messages.
            }
        });
        let (done, mut state) = (done.clone(), i + 1000);
        spawn(Stack::Default, move || {
            let mut received = 0;
            while received < WAITS {
                let until = clock::now() + random_duration(&mut state, 8000);
                received += usize::from(recv_until(&receiver, until).is_ok());
            }
            let _ = done.send(()); // The test may have failed meanwhile.
        });
    }
    // Waits on a plain thread, because a wait of `may` would be stopped by the fault as well.
    let ended = (0..PAIRS)
        .take_while(|_| finished_pairs.recv_timeout(Duration::from_secs(30)).is_ok())
        .count();
    assert_eq!(ended as u64, PAIRS);
}

/// Runs a function in a coroutine and returns its result to the test's thread.
fn run_in_coroutine<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> T {
    start(Some(2));
    let (done, result) = std::sync::mpsc::channel();
    spawn(Stack::Default, move || drop(done.send(run())));
    result
        .recv_timeout(Duration::from_secs(60))
        .expect("the coroutine should end within a minute")
}

#[test]
fn waits_end_at_their_deadline_or_with_a_message() {
    let median_delay = run_in_coroutine(|| {
        let (_sender, receiver) = channel::<u8>();
        let wait = |_| {
            let until = clock::now() + Duration::from_millis(30);
            assert_eq!(recv_until(&receiver, until), Err(RecvTimeoutError::Timeout));
            clock::now().duration_since(until)
        };
        let mut delays: Vec<Duration> = (0..20).map(wait).collect();
        delays.sort_unstable();
        delays[10]
    });
    // A wait that `may` doubles ends late by its whole duration. The median tells that apart from single slow waits.
    assert!(
        median_delay < Duration::from_millis(25),
        "the median wait ended {median_delay:?} late"
    );
    let received = run_in_coroutine(|| {
        let (sender, receiver) = channel();
        sender.send(7).unwrap();
        let first = recv_until(&receiver, Time::ZERO);
        drop(sender);
        (first, recv_until(&receiver, Time::MAX))
    });
    assert_eq!(received, (Ok(7), Err(RecvTimeoutError::Disconnected)));
}

#[test]
fn a_panic_in_one_coroutine_ends_only_it() {
    spawn(Stack::Default, || panic!("on purpose, in a test"));
    assert_eq!(run_in_coroutine(|| 5), 5);
}
