//! This front's link to one server: the subscription to its event stream, and the queue of controls for its
//! sessions.
//!
//! - `stream`: subscribes to the server's event stream and passes its events to the event loop;
//! - `controls`: sends rung changes and teardowns, in their order.
mod controls;
mod stream;

use crate::shared::Shared;
use controls::{Control, Target};
use crankpaddle_front::ServerId;
use crankpaddle_net::{clock, spawn, CloseReason, Socket, Stack};
use crankpaddle_time::{AtomicTime, Time};
use may::sync::mpsc;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// A server as this front reaches it.
///
/// Invariant of the atomics: while an attempt is at the server, or its reports are wanted, a coroutine
/// follows its event stream. The event loop adds an attempt before it subscribes; the coroutine clears
/// `is_subscribed` before it looks once more whether the link is idle. `Release` publishes each change and
/// `Acquire` sees it. Known gap: they don't order the coroutine's store before its second look, so an attempt
/// added in that instant may go without a subscription until the next call of `subscribe`.
pub(crate) struct ServerLink {
    pub id: ServerId,
    pub address: SocketAddr,
    /// Attempts and sessions at the server.
    attempts: AtomicUsize,
    /// Since when there are none.
    idle_since: AtomicTime,
    /// The server's reports are wanted though no session is there.
    is_wanted: AtomicBool,
    /// A coroutine follows the event stream.
    is_subscribed: AtomicBool,
    /// The connection of the event stream. Locked only to copy or replace it, never over a wait.
    stream: Mutex<Weak<Socket>>,
    controls: mpsc::Sender<Control>,
}

impl ServerLink {
    /// A link without a subscription, whose controls are sent from now on.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        id: ServerId,
        address: SocketAddr,
    ) -> Arc<ServerLink> {
        let (controls, queue) = mpsc::channel();
        let shared = shared.clone();
        let target = Target {
            server: id,
            address,
        };
        spawn(Stack::Usual, move || {
            controls::send_all(&shared, &target, &queue);
        });
        Arc::new(ServerLink {
            id,
            address,
            attempts: AtomicUsize::new(0),
            idle_since: AtomicTime::new(clock::now()),
            is_wanted: AtomicBool::new(false),
            is_subscribed: AtomicBool::new(false),
            stream: Mutex::new(Weak::new()),
            controls,
        })
    }

    /// An attempt is at the server from now on, so its events are followed.
    pub(crate) fn attempt_added(self: &Arc<ServerLink>, shared: &Arc<Shared>) {
        self.attempts.fetch_add(1, Ordering::AcqRel);
        self.subscribe(shared);
    }

    /// An attempt or session at the server is over.
    pub(crate) fn attempt_released(&self, now: Time) {
        if self.attempts.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.idle_since.store(now, Ordering::Release);
        }
    }

    /// Whether the server's reports are wanted though no session is there.
    pub(crate) fn want_reports(self: &Arc<ServerLink>, shared: &Arc<Shared>, is_wanted: bool) {
        self.is_wanted.store(is_wanted, Ordering::Release);
        if is_wanted {
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
        let _ = self.controls.send(control); // The queue's coroutine ends with this sender only.
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
        self.attempts.load(Ordering::Acquire) == 0 && !self.is_wanted.load(Ordering::Acquire)
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

    /// Starts a coroutine that follows the server's events, unless one does.
    fn subscribe(self: &Arc<ServerLink>, shared: &Arc<Shared>) {
        if !self.is_subscribed.swap(true, Ordering::AcqRel) {
            let link = self.clone();
            let shared = shared.clone();
            spawn(Stack::Usual, move || link.follow_stream(&shared));
        }
    }

    /// Ends the subscription if the link is idle; true if the calling coroutine shall end.
    fn unsubscribe_if_idle(&self) -> bool {
        if !self.is_idle() {
            return false;
        }
        self.is_subscribed.store(false, Ordering::Release);
        // An attempt may have been added between the two looks; then either its subscription or this
        // coroutine goes on.
        self.is_idle() || self.is_subscribed.swap(true, Ordering::AcqRel)
    }
}
