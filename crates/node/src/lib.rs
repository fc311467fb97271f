//! The front node: the session front's core on the platform's sockets.
//!
//! One coroutine, the event loop, owns the core and handles all messages; each other coroutine reads one socket, passes
//! its messages to the event loop, and writes what the event loop has queued for that socket. The placement policy behind
//! [`crankpaddle_front::Core`] chooses servers, rungs, retries, rejections and retry advice; nothing here chooses any of
//! them.
//!
//! - `event_loop`: all messages in one order, and what is done about each;
//! - `viewer_reader`, `viewer_connection`, `connection_table`: the viewers' connections;
//! - `server_connector`: connections to servers;
//! - `directory_poller`: the directory;
//! - `health`: what a server's silence means for the sessions there, pure;
//! - `budget`: what the machine's limits leave for each of them, pure.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod budget;
mod connection_table;
mod directory_poller;
mod event_loop;
mod health;
mod server_connector;
mod shared;
mod viewer_connection;
mod viewer_reader;

use crankpaddle_front::EventObserver;
use crankpaddle_net::{accept_while_capacity, listen, spawn, Stack};
use crankpaddle_node_protocol::config::{Config, Mismatch};
use event_loop::EventLoop;
use shared::{InboxMessage, Shared};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};

/// The event loop has panicked; the panic itself is on standard error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event loop has panicked, nothing is answered any more")]
pub struct EventLoopPanicked;

/// A running front node.
pub struct Node {
    address: SocketAddr,
    shared: Arc<Shared>,
    stopped: Arc<AtomicBool>,
    done: Mutex<mpsc::Receiver<()>>,
}

impl Node {
    /// Starts a node: it takes set-ups when this returns. [`crankpaddle_net::start`] must have been called before.
    ///
    /// # Errors
    /// Its address can't be listened on, or the directory can't be polled.
    pub fn start(config: Config) -> io::Result<Node> {
        Node::start_observed(config, None)
    }

    /// The same, and shows each event to `observer` before the policy gets it.
    ///
    /// # Errors
    /// As [`Node::start`].
    pub fn start_observed(config: Config, observer: Option<EventObserver>) -> io::Result<Node> {
        let listener = listen(config.listen)?;
        let address = listener.local_addr()?;
        let (shared, inbox) = Shared::new(config);
        let (finished, done) = mpsc::channel();
        let stopped = Arc::new(AtomicBool::new(false));
        let event_loop = EventLoop::new(shared.clone(), observer);
        directory_poller::start(shared.clone(), stopped.clone())?;
        spawn(Stack::Large, move || {
            event_loop.run(&inbox);
            let _ = finished.send(()); // The node may have been dropped.
        });
        let (for_slots, for_viewers) = (shared.clone(), shared.clone());
        let acceptor = accept_while_capacity(
            listener,
            move || viewer_reader::acquire_slot(&for_slots),
            move |socket, slot| viewer_reader::serve(socket, &slot, &for_viewers),
        );
        shared.set_acceptor(acceptor);
        tracing::info!(%address, "listening");
        Ok(Node {
            address,
            shared,
            stopped,
            done: Mutex::new(done),
        })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies the one setting that may change while the node runs: the directory's address.
    ///
    /// Why: a file of another node or customer, put in place by mistake, names a directory that lists another fleet. So a file
    /// in which anything else differs is rejected as a whole. If other settings have changed too, the new address also
    /// applies only after a restart.
    ///
    /// # Errors
    /// The configuration is not this node's; the one in force stays as it is.
    pub fn reload(&self, config: &Config) -> Result<(), Mismatch> {
        self.shared.config.check_reload(config)?;
        self.shared.set_nameserver(config.nameserver);
        Ok(())
    }

    /// Begins a graceful shutdown: no new set-ups from now on, and the end when no work is pending any more.
    pub fn drain(&self) {
        self.shared.send(InboxMessage::Drain);
    }

    /// Waits for the end that [`Node::drain`] brings. Call on a thread, not in a coroutine.
    ///
    /// # Errors
    /// The event loop has panicked: nothing is answered any more, and the process is to end.
    pub fn wait(&self) -> Result<(), EventLoopPanicked> {
        let result = self
            .done
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        self.stopped.store(true, Ordering::Release);
        result.map_err(|_| EventLoopPanicked)
    }

    /// What the node holds now. All counts return to zero when no connection and no session is left.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}

pub use shared::Counts;
