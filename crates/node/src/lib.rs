//! The front node: runs the session front's core on TCP connections to viewers and servers, and on the platform's directory.
//!
//! One coroutine, the event loop, owns the core and handles all messages. Each other coroutine reads one socket, passes its
//! messages to the event loop, and writes what the event loop has queued for that socket. The placement policy behind
//! [`crankpaddle_front::Core`] chooses servers, rungs, retries, rejections and retry advice; this crate chooses none of them.
//!
//! - `event_loop`: handling of all messages, one after the other
//! - `viewer_reader`, `viewer_connection`, `connection_table`: viewers' connections
//! - `server_connector`: connections to servers
//! - `directory_poller`: polling of the directory
//! - `directory_queries`: when it is queried, and which responses are used, without I/O
//! - `health`: failure detection for servers, without I/O
//! - `input_gate`: bound on the messages of a connection that wait for the event loop
//! - `budget`: bounds on connections, set-ups and buffers, without I/O
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod budget;
mod connection_table;
mod directory_poller;
mod directory_queries;
mod event_loop;
mod health;
mod input_gate;
mod server_connector;
mod shared;
mod viewer_connection;
mod viewer_reader;

use crankpaddle_front::EventObserver;
use crankpaddle_net::{accept_while_capacity, listen, spawn_with_state, Stack};
use crankpaddle_node_protocol::config::{Config, ReloadError};
use event_loop::EventLoop;
use shared::{InboxMessage, Shared};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};

/// The event loop has panicked. The panic's message was written to standard error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the event loop has panicked, nothing is answered any more")]
pub struct EventLoopPanicked;

/// A running front node.
pub struct Node {
    address: SocketAddr,
    shared: Arc<Shared>,
    /// Ends the thread that polls the directory when it is set.
    stopped: Arc<AtomicBool>,
    /// Receives a message when the event loop has ended, and an error when it has panicked.
    event_loop_ended: Mutex<mpsc::Receiver<()>>,
}

impl Node {
    /// Starts a node, which accepts set-ups when this returns. [`crankpaddle_net::start`] must have been called before.
    ///
    /// # Errors
    /// The configured address can't be listened on, or the directory can't be polled.
    pub fn start(config: Config) -> io::Result<Node> {
        Node::start_observed(config, None)
    }

    /// Starts a node like [`Node::start`]. `observer` is called with each event before the policy gets it.
    ///
    /// # Errors
    /// As [`Node::start`].
    pub fn start_observed(config: Config, observer: Option<EventObserver>) -> io::Result<Node> {
        let listener = listen(config.listen)?;
        let address = listener.local_addr()?;
        let (shared, inbox) = Shared::new(config);
        let (end_sender, event_loop_ended) = mpsc::channel();
        let stopped = Arc::new(AtomicBool::new(false));
        let event_loop = EventLoop::new(shared.clone(), observer);
        directory_poller::start(shared.clone(), stopped.clone())?;
        spawn_with_state(Stack::Large, end_sender, move |end_sender| {
            event_loop.run(&inbox);
            let _ = end_sender.send(()); // The node may have been dropped.
        });
        let (for_slots, for_viewers) = (shared.clone(), shared.clone());
        let acceptor = accept_while_capacity(
            listener,
            move || viewer_reader::acquire_slot(&for_slots),
            move |socket, slot| viewer_reader::serve(socket, slot, &for_viewers),
        );
        shared.set_acceptor(acceptor);
        tracing::info!(%address, "listening");
        Ok(Node {
            address,
            shared,
            stopped,
            event_loop_ended: Mutex::new(event_loop_ended),
        })
    }

    /// The address that the node listens on. Its port is the one that the system chose if the configured port is 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies the only setting that may change while the node runs: the directory's address.
    ///
    /// A file of another node or customer that is put in place by mistake names a directory that lists another fleet, so a file
    /// in which anything else differs is rejected as a whole. If other settings have changed too, the new address also applies
    /// only after a restart.
    ///
    /// # Errors
    /// Something other than the directory's address differs; the configuration in force stays as it is.
    pub fn reload(&self, config: &Config) -> Result<(), ReloadError> {
        self.shared.config.check_reload(config)?;
        self.shared.set_nameserver(config.nameserver);
        Ok(())
    }

    /// Begins a graceful shutdown: new set-ups are rejected from now on, and the node ends when no work is pending.
    pub fn drain(&self) {
        self.shared.send(InboxMessage::Drain);
    }

    /// Blocks until the shutdown that [`Node::drain`] begins is complete. It must be called on a thread, not in a coroutine.
    ///
    /// # Errors
    /// The event loop has panicked. The node answers nothing any more, so the process should end.
    pub fn wait(&self) -> Result<(), EventLoopPanicked> {
        let result = self
            .event_loop_ended
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        self.stopped.store(true, Ordering::Release);
        result.map_err(|_| EventLoopPanicked)
    }

    /// The current numbers of set-ups, sessions and connections. All of them return to zero when no connection and no session
    /// is left.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}

pub use shared::Counts;
