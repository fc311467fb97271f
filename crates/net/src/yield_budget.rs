//! Fairness between coroutines whose operations never have to wait.
use crate::runtime::{sleep, MIN_WAIT};

/// Operations in a row that a coroutine may complete without waiting.
const MAX_CONSECUTIVE_OPERATIONS: u32 = 8;

/// Counts the operations that a coroutine completes without waiting, and suspends it after too many in a row.
///
/// The coroutine sleeps instead of yielding because a worker thread of `may` (0.3.51) polls its sockets only when no coroutine
/// is runnable. A coroutine whose peer sends at full speed never waits. If it only yielded, it would be runnable again
/// immediately, and with one worker no other socket would be polled until the sender stops. In tests of the front node,
/// other connections waited 2 s while one client flooded it. The cost is that such a connection is read at a bounded rate.
#[derive(Debug, Default)]
pub(crate) struct YieldBudget {
    operations: u32,
}

impl YieldBudget {
    /// Counts an operation that completed without waiting; sleeps if the budget is used up.
    pub(crate) fn spend(&mut self) {
        self.operations += 1;
        if self.operations >= MAX_CONSECUTIVE_OPERATIONS {
            sleep(MIN_WAIT);
            self.operations = 0;
        }
    }

    /// Restarts the count after the coroutine has waited, because other coroutines could run meanwhile.
    pub(crate) fn reset(&mut self) {
        self.operations = 0;
    }
}
