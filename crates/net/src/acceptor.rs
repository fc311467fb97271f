//! Accepting connections only while there is capacity for them, and stopping without losing established connections.
use crate::listener::ACCEPT_RETRY_PAUSE;
use crate::yield_budget::YieldBudget;
use crate::{sleep, spawn, spawn_with_state, Socket, Stack};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpListener;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// How often capacity is checked again while there is none.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Stops the accept loop that [`accept_while_capacity`] started.
pub struct AcceptHandle {
    state: Arc<AcceptState>,
    waker: WaitIoWaker,
}

#[derive(Default)]
struct AcceptState {
    is_stopping: AtomicBool,
    has_stopped: AtomicBool,
}

impl AcceptHandle {
    /// Makes the accept loop close the listener once it has accepted every connection that the kernel has established.
    /// Does not wait for that. A second call has no effect.
    ///
    /// The listener is not closed at once because the kernel would reset the connections in its accept queue, although
    /// their peers may already have sent a request.
    pub fn stop(&self) {
        if !self.state.is_stopping.swap(true, Ordering::AcqRel) {
            self.waker.wakeup();
        }
    }

    /// Whether the listener is closed and no further connection will be accepted.
    #[must_use]
    pub fn has_stopped(&self) -> bool {
        self.state.has_stopped.load(Ordering::Acquire)
    }
}

/// Starts a coroutine that accepts connections and handles each with `handle_connection` in a coroutine of its own.
///
/// `reserve` is called before each accept and returns a permit, or `None` while there is no capacity; connections wait in
/// the kernel meanwhile. The permit is passed on with the accepted connection and is dropped when the coroutine of
/// `handle_connection` has ended, however it ends ([`spawn_with_state`]).
pub fn accept_while_capacity<P: Send + 'static>(
    listener: TcpListener,
    reserve: impl Fn() -> Option<P> + Send + 'static,
    handle_connection: impl Fn(Socket, &P) + Send + Sync + 'static,
) -> AcceptHandle {
    let state = Arc::new(AcceptState::default());
    let handle = AcceptHandle {
        state: state.clone(),
        waker: listener.waker(),
    };
    let handle_connection = Arc::new(handle_connection);
    spawn(Stack::Default, move || {
        accept_until_stopped(&listener, &state, reserve, |stream, permit| {
            let handle_connection = handle_connection.clone();
            spawn_with_state(Stack::Default, permit, move |permit| {
                handle_connection(Socket::adopt(stream), permit);
            });
        });
        drop(listener);
        state.has_stopped.store(true, Ordering::Release);
    });
    handle
}

fn accept_until_stopped<P>(
    listener: &TcpListener,
    state: &AcceptState,
    reserve: impl Fn() -> Option<P>,
    on_accept: impl Fn(TcpStream, P),
) {
    let mut budget = YieldBudget::default();
    loop {
        let permit = wait_for_permit(&reserve);
        match try_accept(listener) {
            Ok(Some(stream)) => {
                on_accept(stream, permit);
                budget.spend(); // Accept never waits while connections are queued in the kernel.
            }
            Ok(None) if state.is_stopping.load(Ordering::Acquire) => return,
            Ok(None) => {
                drop(permit);
                listener.wait_io();
            }
            Err(_) => sleep(ACCEPT_RETRY_PAUSE),
        }
    }
}

/// Accepts a connection from the kernel's queue without waiting; `None` if the queue is empty.
fn try_accept(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    match listener.inner().accept() {
        Ok((stream, _)) => Ok(Some(stream)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Polls `reserve` until it returns a permit.
fn wait_for_permit<P>(reserve: impl Fn() -> Option<P>) -> P {
    loop {
        if let Some(permit) = reserve() {
            return permit;
        }
        sleep(CAPACITY_POLL_INTERVAL);
    }
}
