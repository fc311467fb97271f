//! A gate that stops the node at an event of the placement policy.
use super::TEST_TIMEOUT;
use crankpaddle::Event;
use crankpaddle_front::EventObserver;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// Stops the node's only worker thread at an event that the placement policy is about to get, until the test opens the gate.
/// The node does nothing meanwhile, so everything that the test does precedes the node's next step.
pub(crate) struct Gate {
    is_armed: Arc<AtomicBool>,
    reached: Receiver<()>,
    opened: Sender<()>,
}

impl Gate {
    /// A gate at the first event after [`Gate::arm`] for which `predicate` holds. The observer is to be passed to the node.
    pub(crate) fn at(predicate: impl Fn(&Event) -> bool + Send + 'static) -> (Gate, EventObserver) {
        let is_armed = Arc::new(AtomicBool::new(false));
        let (reached_sender, reached) = channel();
        let (opened, opened_receiver) = channel();
        let armed = is_armed.clone();
        let observer: EventObserver = Box::new(move |_, event| {
            if predicate(event) && armed.swap(false, Ordering::AcqRel) {
                let _ = reached_sender.send(()); // The test may be over.
                let _ = opened_receiver.recv_timeout(TEST_TIMEOUT);
            }
        });
        let gate = Gate {
            is_armed,
            reached,
            opened,
        };
        (gate, observer)
    }

    pub(crate) fn arm(&self) {
        self.is_armed.store(true, Ordering::Release);
    }

    /// Waits until the node has stopped at the gate.
    pub(crate) fn wait_until_reached(&self) {
        self.reached
            .recv_timeout(TEST_TIMEOUT)
            .expect("the node reaches the gate");
    }

    pub(crate) fn open(&self) {
        self.opened.send(()).expect("the node waits at the gate");
    }
}
