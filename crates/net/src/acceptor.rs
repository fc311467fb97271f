//! Accepting connections while there is capacity, and the orderly end of that.
use crate::listener::ACCEPT_RETRY;
use crate::yield_budget::YieldBudget;
use crate::{sleep, spawn, Socket, Stack};
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpListener;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Pause before capacity is checked again.
const CAPACITY_POLL: Duration = Duration::from_millis(1);

/// Ends the accepting of connections in order.
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
    /// Closes the listener once all connections are accepted that the kernel has established. A second call has no effect.
    ///
    /// Why: the peers of those that wait in the kernel may have sent a request, which a close would reset unread.
    pub fn stop(&self) {
        if !self.state.is_stopping.swap(true, Ordering::AcqRel) {
            self.waker.wakeup();
        }
    }

    /// Whether the listener is closed and no further connection will be handled.
    #[must_use]
    pub fn has_stopped(&self) -> bool {
        self.state.has_stopped.load(Ordering::Acquire)
    }
}

/// Accepts connections, each handled in a coroutine of its own, while `reserve` returns a permit, which is requested
/// before each connection; connections without one wait in the kernel. A permit is held from before the connection is
/// accepted until `each` drops it.
pub fn accept_while_capacity<P: Send + 'static>(
    listener: TcpListener,
    reserve: impl Fn() -> Option<P> + Send + 'static,
    each: impl Fn(Socket, P) + Send + Sync + 'static,
) -> AcceptHandle {
    let state = Arc::new(AcceptState::default());
    let handle = AcceptHandle {
        state: state.clone(),
        waker: listener.waker(),
    };
    let each = Arc::new(each);
    spawn(Stack::Usual, move || {
        accept_until_stopped(&listener, &state, reserve, |stream, permit| {
            let each = each.clone();
            spawn(Stack::Usual, move || each(Socket::adopt(stream), permit));
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
    each: impl Fn(TcpStream, P),
) {
    let mut budget = YieldBudget::default();
    loop {
        let permit = wait_for_permit(&reserve);
        match try_accept(listener) {
            Ok(Some(stream)) => {
                each(stream, permit);
                budget.spend(); // While connections wait in the kernel, accept never waits.
            }
            Ok(None) if state.is_stopping.load(Ordering::Acquire) => return,
            Ok(None) => {
                drop(permit);
                listener.wait_io();
            }
            Err(_) => sleep(ACCEPT_RETRY),
        }
    }
}

/// Accepts a connection that is established; `None` if there is none.
fn try_accept(listener: &TcpListener) -> io::Result<Option<TcpStream>> {
    match listener.inner().accept() {
        Ok((stream, _)) => Ok(Some(stream)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

fn wait_for_permit<P>(reserve: impl Fn() -> Option<P>) -> P {
    loop {
        if let Some(permit) = reserve() {
            return permit;
        }
        sleep(CAPACITY_POLL);
    }
}
