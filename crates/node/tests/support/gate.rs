//! A gate at an event of the placement policy.
use super::LONG;
use crankpaddle::Event;
use crankpaddle_front::EventObserver;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// Stops the node's one worker at an event that the placement policy is about to get, until the test lets it go on.
/// Nothing of the node runs meanwhile, so all that the test does then precedes the node's next step.
pub(crate) struct Gate {
    armed: Arc<AtomicBool>,
    reached: Receiver<()>,
    go: Sender<()>,
}

impl Gate {
    /// A gate at events of this sort; closed once, when it is armed.
    pub(crate) fn at(stops_at: impl Fn(&Event) -> bool + Send + 'static) -> (Gate, EventObserver) {
        let armed = Arc::new(AtomicBool::new(false));
        let (sender, reached) = channel();
        let (go, wait) = channel();
        let is_armed = armed.clone();
        let observer: EventObserver = Box::new(move |_, event| {
            if stops_at(event) && is_armed.swap(false, Ordering::AcqRel) {
                let _ = sender.send(()); // The test may be over.
                let _ = wait.recv_timeout(LONG);
            }
        });
        (Gate { armed, reached, go }, observer)
    }

    pub(crate) fn arm(&self) {
        self.armed.store(true, Ordering::Release);
    }

    /// Waits until the node waits at the gate.
    pub(crate) fn wait_until_reached(&self) {
        self.reached
            .recv_timeout(LONG)
            .expect("the node comes to the gate");
    }

    pub(crate) fn open(&self) {
        self.go.send(()).expect("the node waits at the gate");
    }
}
