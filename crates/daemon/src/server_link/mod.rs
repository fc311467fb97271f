//! This front's link to one server: the subscription to its event stream, and the queue of rung changes and
//! teardowns ("controls") for its sessions.
//!
//! - `stream`: subscribes to the server's event stream and passes its events to the event loop;
//! - `controls`: sends the queued controls one after the other.
mod controls;
mod stream;

use crate::shared::Shared;
use controls::{Control, ControlTarget};
use crankpaddle_front::ServerId;
use crankpaddle_net::{clock, spawn, CloseReason, Socket, Stack};
use crankpaddle_time::{AtomicTime, Time};
use may::sync::mpsc;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// This front's link to one server.
///
/// Invariant of the atomics: while an attempt is at the server, or the front needs the server's reports, a coroutine
/// follows its event stream. The event loop adds an attempt before it subscribes; the coroutine clears
/// `is_subscribed` before it checks a second time whether the link is idle. `Release` publishes each change and
/// `Acquire` observes it. Known gap: these orderings do not order the coroutine's store before its second check, so an
/// attempt that is added between the two may have no subscription until the next call of `subscribe`.
pub(crate) struct ServerLink {
    pub id: ServerId,
    pub address: SocketAddr,
    /// Number of attempts and sessions at the server.
    attempts: AtomicUsize,
    /// Since when there are no attempts and sessions. Meaningful only while there are none.
    idle_since: AtomicTime,
    /// Whether the front needs the server's reports even without a session there.
    needs_reports: AtomicBool,
    /// Whether a coroutine follows the event stream.
    is_subscribed: AtomicBool,
    /// The connection of the event stream. It is locked only to copy or replace it, never across a wait.
    stream: Mutex<Weak<Socket>>,
    controls: mpsc::Sender<Control>,
}

impl ServerLink {
    /// Creates a link and starts the coroutine that sends its controls. The link has no subscription yet.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        id: ServerId,
        address: SocketAddr,
    ) -> Arc<ServerLink> {
        let (controls, queue) = mpsc::channel();
        let shared = shared.clone();
        let target = ControlTarget {
            server: id,
            address,
        };
        spawn(Stack::Default, move || {
            controls::send_all(&shared, &target, &queue);
        });
        Arc::new(ServerLink {
            id,
            address,
            attempts: AtomicUsize::new(0),
            idle_since: AtomicTime::new(clock::now()),
            needs_reports: AtomicBool::new(false),
            is_subscribed: AtomicBool::new(false),
            stream: Mutex::new(Weak::new()),
            controls,
        })
    }

    /// Counts an attempt that is at the server from now on, and subscribes to the server's events.
    pub(crate) fn attempt_added(self: &Arc<ServerLink>, shared: &Arc<Shared>) {
        self.attempts.fetch_add(1, Ordering::AcqRel);
        self.subscribe(shared);
    }

    /// Removes an attempt or session that is over from the count.
    pub(crate) fn attempt_released(&self, now: Time) {
        if self.attempts.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.idle_since.store(now, Ordering::Release);
        }
    }

    /// Sets whether the front needs the server's reports even without a session there.
    pub(crate) fn set_needs_reports(
        self: &Arc<ServerLink>,
        shared: &Arc<Shared>,
        needs_reports: bool,
    ) {
        self.needs_reports.store(needs_reports, Ordering::Release);
        if needs_reports {
            self.subscribe(shared);
        }
    }

    /// Queues a rung change of a session.
    pub(crate) fn set_rung(&self, shared: &Shared, session_name: &str, rung: u8) {
        self.queue(
            shared,
            Control::SetRung {
                session_name: session_name.to_owned(),
                rung,
            },
        );
    }

    /// Queues the teardown of a session or attempt.
    pub(crate) fn tear_down(&self, shared: &Shared, session_name: &str) {
        self.queue(
            shared,
            Control::TearDown {
                session_name: session_name.to_owned(),
            },
        );
    }

    fn queue(&self, shared: &Shared, control: Control) {
        shared.control_queued();
        let _ = self.controls.send(control); // Never fails: the receiving coroutine lives as long as this sender.
    }

    /// Closes the event stream if the link has been idle for longer than `idle_timeout`.
    pub(crate) fn close_if_idle(&self, now: Time, idle_timeout: Duration) {
        let idle = now.duration_since(self.idle_since.load(Ordering::Acquire));
        if !self.is_idle() || idle <= idle_timeout {
            return;
        }
        if let Some(socket) = self.stream_socket() {
            socket.close(CloseReason::NotNeeded);
        }
    }

    fn is_idle(&self) -> bool {
        self.attempts.load(Ordering::Acquire) == 0 && !self.needs_reports.load(Ordering::Acquire)
    }

    fn stream_socket(&self) -> Option<Arc<Socket>> {
        self.stream
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .upgrade()
    }

    fn set_stream_socket(&self, socket: &Arc<Socket>) {
        *self.stream.lock().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(socket);
    }

    /// Starts a coroutine that follows the server's event stream, unless one is running.
    fn subscribe(self: &Arc<ServerLink>, shared: &Arc<Shared>) {
        if !self.is_subscribed.swap(true, Ordering::AcqRel) {
            let link = self.clone();
            let shared = shared.clone();
            spawn(Stack::Default, move || link.follow_stream(&shared));
        }
    }

    /// Ends the subscription if the link is idle. Returns whether the calling coroutine must end.
    fn unsubscribe_if_idle(&self) -> bool {
        if !self.is_idle() {
            return false;
        }
        self.is_subscribed.store(false, Ordering::Release);
        // An attempt may have been added between the two checks. Then either a new coroutine was started for it, or
        // this one continues.
        self.is_idle() || self.is_subscribed.swap(true, Ordering::AcqRel)
    }
}
