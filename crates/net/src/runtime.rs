//! Starting may and its coroutines.
use crate::clock;
use may::coroutine;
use may::sync::mpsc::Receiver;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{RecvTimeoutError, TryRecvError};
use std::time::Duration;

/// How large a coroutine's stack is. Only touched pages take memory; the page below the last is a guard, so an overrun
/// ends the process instead of another coroutine's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stack {
    /// For connections and attempts; reused, so that starting one costs little.
    Usual,
    /// For the one coroutine that runs the decisions.
    Large,
}

/// Words (8 bytes) of a usual stack. Most used in a debug build by the tests over sockets: 3,329 words (26 KiB); of the
/// large one 4,843 (38 KiB). An odd size makes may print what each coroutine used; it ends the process on an overrun.
const USUAL_WORDS: usize = 0x2000;
const LARGE_WORDS: usize = 0x4_0000;
/// Nothing waits for less: may cuts times to whole milliseconds, and takes none for no bound.
pub(crate) const SHORTEST: Duration = Duration::from_millis(1);

static ONE_WORKER: AtomicBool = AtomicBool::new(false);

/// Whether all coroutines run on one thread.
pub(crate) fn has_one_worker() -> bool {
    ONE_WORKER.load(Ordering::Relaxed)
}

/// Sets may up; without effect once it runs. `workers`: `None` takes one a core.
pub fn start(workers: Option<usize>) {
    let config = may::config();
    config.set_stack_size(USUAL_WORDS);
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
        Stack::Large => coroutine::Builder::new().stack_size(LARGE_WORDS),
    };
    // SAFETY: may asks that a coroutine uses no thread-local over a wait and stays within its stack. This workspace
    // keeps none over a wait (`tracing` uses one, within a call that never waits), and a guard page stands below.
    // An error here means that no stack could be mapped; the work is then dropped like that of a panic.
    let _ = unsafe { builder.spawn(run) };
}

/// The next message, waited for until a time of [`clock::now`]; a message that is there is given in any case.
///
/// Danger: may's `recv_timeout` (0.3.51) cuts its time to whole milliseconds and, waking early by what it cut, waits for
/// all of it anew: answers due after 1.4 s came after 1.64 s. A time under a millisecond becomes none, and the wait
/// has no end. Waiting for half of what is left, and never for less than a millisecond, even a wait that is doubled
/// ends in time. Harm: some ten wakes for a long wait instead of one, and up to 2 ms late.
///
/// # Errors
/// The time has come, or nobody can send any more.
pub fn recv_until<T>(receiver: &Receiver<T>, until: u64) -> Result<T, RecvTimeoutError> {
    loop {
        let left = until.saturating_sub(clock::now());
        if left == 0 {
            return receiver.try_recv().map_err(|e| match e {
                TryRecvError::Empty => RecvTimeoutError::Timeout,
                TryRecvError::Disconnected => RecvTimeoutError::Disconnected,
            });
        }
        match receiver.recv_timeout(step(Duration::from_nanos(left / 2))) {
            Err(RecvTimeoutError::Timeout) => {}
            other => return other,
        }
    }
}

/// Hands messages that are there to `hear`, `most` at most; how many there were.
pub fn drain_queue<T>(receiver: &Receiver<T>, most: usize, mut hear: impl FnMut(T)) -> usize {
    let mut count = 0;
    while let Some(message) = (count < most).then(|| receiver.try_recv().ok()).flatten() {
        hear(message);
        count += 1;
    }
    count
}

/// A timer so late tells that the whole process stood still.
const STALL: u64 = 250_000_000;
/// Then the sockets are read for this long before anything falls due.
const CATCH_UP: Duration = Duration::from_millis(20);

/// Takes all that came while the process stood still, if a timer that is due at `due` tells that it did.
///
/// Danger: after a standstill the timers of all requests are due while answers that came in time lie unread in the
/// sockets. They are read first.
///
/// `more` hears what lies in the queue and says whether there may be more.
pub fn drain_after_stall(due: u64, mut more: impl FnMut() -> bool) -> bool {
    let stood = clock::now() > due.saturating_add(STALL);
    if stood {
        sleep(CATCH_UP);
        while more() {}
    }
    stood
}

/// Turns of a coroutine that may always find something to do, so that others get theirs.
///
/// Danger: a worker of may (0.3.51) looks at its sockets only when no coroutine can run. One that is sent to at full speed
/// never waits; also if it yields it can run again at once, and with one worker no socket is heard until the sender
/// stops (seen as tests of the front node that waited 2 s while one client flooded it). So it sleeps. Harm: such a
/// connection is read at a bounded pace.
#[derive(Debug, Default)]
pub(crate) struct Turns(u32);

/// So much is done in a row ...
const IN_A_ROW: u32 = 8;

impl Turns {
    /// Something was done without waiting for it.
    pub(crate) fn took(&mut self) {
        self.0 += 1;
        if self.0 >= IN_A_ROW {
            sleep(SHORTEST);
            self.0 = 0;
        }
    }

    /// It was waited for: others ran.
    pub(crate) fn waited(&mut self) {
        self.0 = 0;
    }
}

/// The time that a timer of may is set to, so that no more than `time` passes, or the shortest wait.
///
/// Danger: may (0.3.51) keeps a list of timers for each different time, and from 1,024 of them on frees a list that has run
/// empty while handles of its last timer are still held: all timers of the process then stand still, or it falls
/// (SIGSEGV). Seen in a rig of processes whose waits took all times up to some hundred milliseconds; a front that waits for
/// answers until they are due would have met it some day, and all fronts of a fleet alike. So only powers of two of a
/// millisecond are ever used, some forty times in all; nothing but [`recv_until`] and [`sleep`] sets timers. Harm: a
/// long wait wakes some more times.
fn step(time: Duration) -> Duration {
    let millis = (time.as_millis() as u64).max(1);
    Duration::from_millis(1 << millis.ilog2())
}

/// Waits without holding a thread, some milliseconds longer at most.
pub fn sleep(time: Duration) {
    let until = clock::now().saturating_add(time.max(SHORTEST).as_nanos() as u64);
    loop {
        let left = until.saturating_sub(clock::now());
        if left == 0 {
            return;
        }
        coroutine::sleep(step(Duration::from_nanos(left)));
    }
}

#[cfg(test)]
mod tests;
