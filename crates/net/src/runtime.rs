//! Configuration of the coroutine library `may`, starting coroutines, and waits with a deadline.
use crate::clock;
use crankpaddle_time::Time;
use may::coroutine;
use may::sync::mpsc::Receiver;
use std::any::Any;
use std::cell::OnceCell;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, TryRecvError};
use std::time::Duration;

/// The size of a coroutine's stack. Only pages that are touched take memory. The page below the stack is a guard page, so
/// that an overflow can't corrupt another coroutine's data.
///
/// An overflow ends the coroutine without running the destructors on its stack, and `may` (0.3.51) ends the whole process if
/// the lowest word of the stack was written. So nothing that runs on a coroutine may recurse as deep as its input says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stack {
    /// For connections and attempts. `may` reuses these stacks, so starting such a coroutine is cheap.
    Default,
    /// For the one coroutine of a process that runs the decision core.
    Large,
}

/// Size of a default stack in words of 8 bytes. The highest use in the socket tests, in a debug build, was 3,329 words
/// (26 KiB). An odd size makes `may` print the stack use of each coroutine.
const DEFAULT_STACK_WORDS: usize = 0x2000;
/// Size of a large stack in words of 8 bytes. The highest use in the same tests was 4,843 words (38 KiB).
const LARGE_STACK_WORDS: usize = 0x4_0000;
/// Number of stacks that are kept for reuse. `may` reuses the one that has been free for the longest time, so each of them has
/// its touched pages in memory; by default they are 1,000.
const POOLED_STACKS: usize = 128;
/// The shortest wait. `may` (0.3.51) truncates timeouts to whole milliseconds and takes zero for no timeout.
pub(crate) const MIN_WAIT: Duration = Duration::from_millis(1);

static ONE_WORKER: AtomicBool = AtomicBool::new(false);

/// Whether [`start`] configured a single worker thread, on which all coroutines run.
pub(crate) fn has_one_worker() -> bool {
    ONE_WORKER.load(Ordering::Relaxed)
}

/// Configures `may`; call it before the first coroutine starts, as it has no effect later. `workers` is the number of worker
/// threads; `None` means one per core.
pub fn start(workers: Option<usize>) {
    let config = may::config();
    config.set_stack_size(DEFAULT_STACK_WORDS);
    config.set_pool_capacity(POOLED_STACKS);
    config.set_worker_pin(false);
    if let Some(workers) = workers {
        ONE_WORKER.store(workers == 1, Ordering::Relaxed);
        config.set_workers(workers);
    }
}

/// Starts a coroutine that runs `run`. A panic in it ends only this coroutine.
#[allow(unsafe_code)]
pub fn spawn<F: FnOnce() + Send + 'static>(stack: Stack, run: F) {
    let builder = match stack {
        Stack::Default => coroutine::Builder::new(),
        Stack::Large => coroutine::Builder::new().stack_size(LARGE_STACK_WORDS),
    };
    // SAFETY: `may` requires that a coroutine uses no thread-local across a wait and stays within its stack. This workspace
    // uses none across a wait (`tracing` uses one, but within a call that never waits), and each stack has a guard page.
    // An error means that no stack could be mapped; the coroutine is then dropped, as if it had panicked.
    let _ = unsafe { builder.spawn(run) };
}

may::coroutine_local!(static COROUTINE_STATE: OnceCell<Box<dyn Any>> = OnceCell::new());

/// Starts a coroutine that runs `run` on `state`, and drops `state` when the coroutine has ended, however it ends.
///
/// `state` is not on the coroutine's stack, so it is dropped even after a stack overflow that the process survives, where no
/// destructor on the stack runs. What others wait for belongs into it: permits, entries of tables, and reports of the end.
/// Its destructor runs outside of the coroutine and must not wait.
pub fn spawn_with_state<S, F>(stack: Stack, state: S, run: F)
where
    S: Send + 'static,
    F: FnOnce(&S) + Send + 'static,
{
    spawn(stack, move || {
        COROUTINE_STATE.with(|cell| {
            let state = cell.get_or_init(|| Box::new(state));
            if let Some(state) = state.downcast_ref::<S>() {
                run(state);
            }
        });
    });
}

/// Receives the next message, waiting until `deadline`, which is measured on [`clock::now`]. A queued message is returned
/// even if the deadline has passed.
///
/// It waits in several steps because of two faults in `recv_timeout` of `may` (0.3.51). It truncates the timeout to whole
/// milliseconds, wakes early by the truncated part and then waits for the whole timeout again: answers due after 1.4 s came
/// after 1.64 s. It also truncates a timeout below one millisecond to zero, which means no timeout, so the wait never
/// ends. Each step here lasts at most half of the remaining time, so that even a doubled step ends before the deadline,
/// and at least one millisecond. The cost is some ten wakes for a long wait instead of one, and up to 2 ms of delay.
///
/// # Errors
/// The deadline has passed, or all senders are gone.
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

/// Passes up to `max_messages` queued messages to `handle` without waiting; returns how many were handled.
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

/// A timer that fires late by more than this shows that the whole process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);
/// How long other coroutines may read their sockets after a stall before overdue timers are handled.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);

/// Detects a stall of the whole process and handles everything that has arrived meanwhile; returns whether there was a stall.
/// `due` is when the timer that the caller is about to handle was due: if it is late by more than 250 ms, there was a stall.
///
/// After a stall the timers of all requests are overdue, while answers that arrived in time are still unread in the
/// sockets. These answers have to be handled before the timers.
///
/// `drain_more` handles queued messages and returns whether there may be more.
pub fn drain_after_stall(due: Time, mut drain_more: impl FnMut() -> bool) -> bool {
    let was_stalled = clock::now() > due + STALL_THRESHOLD;
    if was_stalled {
        sleep(CATCH_UP_PAUSE);
        while drain_more() {}
    }
    was_stalled
}

/// The duration of the next timer of a wait that may last `time` at most: the largest power of two in milliseconds that fits
/// into `time`, and at least one millisecond.
///
/// `may` (0.3.51) keeps a list of timers for each distinct duration. From 1,024 lists on it frees a list that has become
/// empty while handles of its last timer are still held; then all timers of the process stop, or it crashes (SIGSEGV).
/// This was observed in a testbed of processes whose waits had arbitrary durations of up to some hundred milliseconds. A
/// front, whose waits end when answers are due, would have reached that number of durations eventually, and so would
/// all fronts of a fleet. Powers of two limit the distinct durations to some forty. Therefore only [`recv_until`] and
/// [`sleep`] may set timers. The cost is that a long wait wakes some more times.
fn timer_step(time: Duration) -> Duration {
    let milliseconds = (time.as_millis() as u64).max(1);
    Duration::from_millis(1 << milliseconds.ilog2())
}

/// Suspends the coroutine for `time` without blocking its thread. The wait lasts at least a millisecond, and at most some
/// milliseconds longer than `time`.
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
