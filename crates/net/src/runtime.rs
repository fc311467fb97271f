//! Starting may and its coroutines; waits and timers.
use crate::clock;
use crankpaddle_time::Time;
use may::coroutine;
use may::sync::mpsc::Receiver;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, TryRecvError};
use std::time::Duration;

/// The size of a coroutine's stack. Only touched pages take memory; the page below the last is a guard, so that an
/// overflow ends the process instead of corrupting another coroutine's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stack {
    /// For connections and attempts; reused, so that starting one is cheap.
    Usual,
    /// For the one coroutine that runs the decisions.
    Large,
}

/// Words (8 bytes) of a usual stack. Highest use in a debug build by the tests over sockets: 3,329 words (26 KiB). An odd
/// size makes may print each coroutine's use.
const USUAL_STACK_WORDS: usize = 0x2000;
/// Words (8 bytes) of a large stack. Highest use as above: 4,843 words (38 KiB).
const LARGE_STACK_WORDS: usize = 0x4_0000;
/// The shortest wait: may (0.3.51) truncates times to whole milliseconds, and takes zero for no bound.
pub(crate) const MIN_WAIT: Duration = Duration::from_millis(1);

static ONE_WORKER: AtomicBool = AtomicBool::new(false);

/// Whether all coroutines run on one thread.
pub(crate) fn has_one_worker() -> bool {
    ONE_WORKER.load(Ordering::Relaxed)
}

/// Configures may; without effect once it runs. `workers`: number of threads, `None` for one a core.
pub fn start(workers: Option<usize>) {
    let config = may::config();
    config.set_stack_size(USUAL_STACK_WORDS);
    config.set_worker_pin(false);
    if let Some(workers) = workers {
        ONE_WORKER.store(workers == 1, Ordering::Relaxed);
        config.set_workers(workers);
    }
}

/// Starts a coroutine. A panic in it ends only it.
#[allow(unsafe_code)]
pub fn spawn<F: FnOnce() + Send + 'static>(stack: Stack, run: F) {
    let builder = match stack {
        Stack::Usual => coroutine::Builder::new(),
        Stack::Large => coroutine::Builder::new().stack_size(LARGE_STACK_WORDS),
    };
    // SAFETY: may requires that a coroutine uses no thread-local over a wait and stays within its stack. This workspace
    // keeps none over a wait (`tracing` uses one, within a call that never waits), and a guard page stands below.
    // An error here means that no stack could be mapped; the work is then dropped like that of a panic.
    let _ = unsafe { builder.spawn(run) };
}

/// Receives the next message, waiting until `deadline`, a time of [`clock::now`]. A queued message is returned even if the
/// deadline has passed.
///
/// Why it waits in steps: may's `recv_timeout` (0.3.51) truncates its time to whole milliseconds and, waking early by
/// the truncated part, waits for all of it again: answers due after 1.4 s came after 1.64 s. A time under a millisecond
/// becomes none, and the wait has no end. Waiting for half of the remaining time, and never for less than a
/// millisecond, even a wait that is doubled ends in time. The cost: some ten wakes for a long wait instead of one, and
/// up to 2 ms of delay.
///
/// # Errors
/// The deadline has passed, or there is no sender any more.
pub fn recv_until<T>(receiver: &Receiver<T>, deadline: Time) -> Result<T, RecvTimeoutError> {
    loop {
        let remaining = deadline.duration_since(clock::now());
        if remaining.is_zero() {
            return receiver.try_recv().map_err(|error| match error {
                TryRecvError::Empty => RecvTimeoutError::Timeout,
                TryRecvError::Disconnected => RecvTimeoutError::Disconnected,
            });
        }
        match receiver.recv_timeout(timer_step(remaining / 2)) {
            Err(RecvTimeoutError::Timeout) => {}
            other => return other,
        }
    }
}

/// Passes queued messages to `handle`, at most `max_messages`; returns how many there were.
pub fn drain_queue<T>(
    receiver: &Receiver<T>,
    max_messages: usize,
    mut handle: impl FnMut(T),
) -> usize {
    let mut count = 0;
    while count < max_messages {
        let Ok(message) = receiver.try_recv() else {
            break;
        };
        handle(message);
        count += 1;
    }
    count
}

/// A timer late by more than this shows that the whole process was stalled.
const STALL: Duration = Duration::from_millis(250);
/// How long after a stall the sockets are read before anything falls due.
const CATCH_UP: Duration = Duration::from_millis(20);

/// Drains what arrived while the process was stalled, if a timer due at `due` shows that it was; returns whether it was.
///
/// Why: after a stall the timers of all requests are due, while answers that came in time are still unread in the
/// sockets. They are read first.
///
/// `drain_more` handles queued messages and returns whether there may be more.
pub fn drain_after_stall(due: Time, mut drain_more: impl FnMut() -> bool) -> bool {
    let was_stalled = clock::now() > due + STALL;
    if was_stalled {
        sleep(CATCH_UP);
        while drain_more() {}
    }
    was_stalled
}

/// The time to set a timer of may to, so that at most `time` passes, or the shortest wait: the largest power of two of a
/// millisecond in it.
///
/// Why: may (0.3.51) keeps a list of timers for each distinct time, and from 1,024 of them on frees a list that has run
/// empty while handles of its last timer are still held: all timers of the process then stop, or it crashes (SIGSEGV).
/// Observed in a testbed of processes whose waits took all times up to some hundred milliseconds; a front that waits
/// for answers until they are due would have met it eventually, and all fronts of a fleet alike. So only some forty
/// distinct times are ever used; nothing but [`recv_until`] and [`sleep`] sets timers. The cost: a long wait wakes some
/// more times.
fn timer_step(time: Duration) -> Duration {
    let milliseconds = (time.as_millis() as u64).max(1);
    Duration::from_millis(1 << milliseconds.ilog2())
}

/// Waits without blocking a thread, some milliseconds longer than `time` at most.
pub fn sleep(time: Duration) {
    let deadline = clock::now() + time.max(MIN_WAIT);
    loop {
        let remaining = deadline.duration_since(clock::now());
        if remaining.is_zero() {
            return;
        }
        coroutine::sleep(timer_step(remaining));
    }
}

#[cfg(test)]
mod tests;
