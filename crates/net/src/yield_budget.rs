//! Fairness between coroutines whose operations never have to wait.
use crate::clock;
use crate::runtime::{sleep, MIN_WAIT};
use crate::Socket;
use crankpaddle_time::Time;
use may::coroutine;
use std::io;
use std::time::Duration;

/// Operations in a row that a coroutine may complete without waiting.
const MAX_CONSECUTIVE_OPERATIONS: u32 = 8;

/// Counts the operations that a coroutine completes without waiting, and suspends it after too many in a row.
///
/// The coroutine sleeps instead of yielding because a worker thread of `may` (0.3.51) polls its sockets only when no coroutine
/// is runnable. A coroutine whose peer sends at full speed never waits. If it only yielded, it would be runnable again
/// immediately, and with one worker no other socket would be polled until the sender stops. In tests of the front node,
/// other connections waited 2 s while one client flooded it. The cost is that such a connection is read at a bounded rate.
#[derive(Debug, Default)]
pub struct YieldBudget {
    operations: u32,
}

impl YieldBudget {
    /// Counts an operation that completed without waiting; sleeps if the budget is used up.
    pub fn spend(&mut self) {
        self.operations += 1;
        if self.operations >= MAX_CONSECUTIVE_OPERATIONS {
            sleep(MIN_WAIT);
            self.operations = 0;
        }
    }

    /// Reads from a socket like [`Socket::read`], and suspends the coroutine after too many reads that did not have to wait.
    ///
    /// # Errors
    /// The connection failed.
    pub fn read(&mut self, socket: &Socket, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            if let Some(count) = socket.try_read(buffer)? {
                self.spend();
                return Ok(count);
            }
            socket.wait();
            self.reset();
        }
    }

    /// Restarts the count after the coroutine has waited, because other coroutines could run meanwhile.
    pub fn reset(&mut self) {
        self.operations = 0;
    }
}

/// How often a worker thread that is kept busy polls its sockets.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Lets the worker thread poll sockets while coroutines wake each other all the time.
///
/// A coroutine that wakes readers, for instance because it has made room for their input, and is woken by them, keeps the
/// thread from polling (see [`YieldBudget`]) although each of them waits often. While clients flooded a node that stopped reading
/// each of them at a bound, it accepted no connection for 30 s.
#[derive(Debug)]
pub struct PollingBreak {
    last_break: Time,
}

impl PollingBreak {
    /// The next break is due one interval after `now`.
    #[must_use]
    pub fn starting_at(now: Time) -> PollingBreak {
        PollingBreak { last_break: now }
    }

    /// Suspends the coroutine until sockets were polled, if that is due. To be called by a coroutine that has woken others.
    ///
    /// It yields first, so that every coroutine that is runnable has run and waits for this one before the sleep begins. With a
    /// sleep alone, readers with much to decode kept the thread busy until it was over.
    pub fn take_if_due(&mut self) {
        if clock::now() >= self.last_break + POLL_INTERVAL {
            coroutine::yield_now();
            sleep(MIN_WAIT);
            self.last_break = clock::now();
        }
    }
}
