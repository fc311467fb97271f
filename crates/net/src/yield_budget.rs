//! Fairness between coroutines that always find something to do.
use crate::runtime::{sleep, MIN_WAIT};

/// Operations that a coroutine may complete in a row without waiting.
const MAX_OPERATIONS: u32 = 8;

/// Counts the operations that a coroutine completed without waiting, and makes it wait when there were too many.
///
/// Why it sleeps (may 0.3.51): a worker polls its sockets only when no coroutine can run. A coroutine whose peer sends
/// at full speed never waits; if it only yields, it can run again at once, and with one worker no other socket is
/// polled until the sender stops (observed in tests of the front node, which waited 2 s while one client flooded it).
/// The cost: such a connection is read at a bounded rate.
#[derive(Debug, Default)]
pub(crate) struct YieldBudget {
    operations: u32,
}

impl YieldBudget {
    /// Counts an operation that completed without waiting; waits if the budget is used up.
    pub(crate) fn spend(&mut self) {
        self.operations += 1;
        if self.operations >= MAX_OPERATIONS {
            sleep(MIN_WAIT);
            self.operations = 0;
        }
    }

    /// Starts over after the coroutine has waited, as others could run meanwhile.
    pub(crate) fn reset(&mut self) {
        self.operations = 0;
    }
}
