//! The state of a coroutine is dropped however the coroutine ends.
use crankpaddle_net::{sleep, spawn_with_state, Stack};
use std::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// Reports when it is dropped.
struct Guard(Sender<&'static str>);

impl Drop for Guard {
    fn drop(&mut self) {
        let _ = self.0.send("dropped"); // The test may have failed already.
    }
}

fn assert_dropped_after(run: impl FnOnce(&Guard) + Send + 'static) {
    let (sender, receiver) = channel();
    spawn_with_state(Stack::Default, Guard(sender), move |guard| {
        sleep(Duration::from_millis(1));
        guard.0.send("running").expect("the test waits");
        run(guard);
    });
    assert_eq!(receiver.recv(), Ok("running"));
    assert_eq!(receiver.recv(), Ok("dropped"));
    assert!(receiver.recv().is_err(), "it is dropped once");
}

#[test]
fn the_state_is_dropped_after_a_return() {
    assert_dropped_after(|_| {});
}

/// Guards against a reader that keeps its slot when it panics.
#[test]
fn the_state_is_dropped_after_a_panic() {
    assert_dropped_after(|_| panic!("as the test wants it"));
}
