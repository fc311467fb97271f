//! The front node: the session front's core on the platform's sockets.
//!
//! One coroutine, the `hub`, owns the core and is the only one that hears and acts; all others read one socket each,
//! tell the hub what they read and send what it gives them. Which server, rung, retry, refusal and advice is said by
//! the decision module behind [`crankpaddle_front::Core`]; nothing here chooses any of them.
//!
//! - `viewers`: the listener and the viewers' connections;
//! - `links`: connections to servers;
//! - `poller`: the directory;
//! - `health`: what a server's silence says of the sessions there, pure;
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
mod viewer_connections;

use crankpaddle_front::EventObserver;
use crankpaddle_net::{accept_while_capacity, listen, spawn, Stack};
use crankpaddle_node_protocol::config::{Config, Mismatch};
use shared::{Msg, Shared};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};

/// A front node that runs.
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
    /// Its address can't be listened on, or the directory can't be asked.
    pub fn start(config: Config) -> io::Result<Node> {
        Node::start_tapped(config, None)
    }

    /// The same, and shows each event to `tap` before the module gets it.
    ///
    /// # Errors
    /// As [`Node::start`].
    pub fn start_tapped(config: Config, tap: Option<EventObserver>) -> io::Result<Node> {
        let listener = listen(config.listen)?;
        let address = listener.local_addr()?;
        let (shared, inbox) = Shared::new(config);
        let (finished, done) = mpsc::channel();
        let stopped = Arc::new(AtomicBool::new(false));
        let hub = event_loop::EventLoop::new(shared.clone(), tap);
        directory_poller::follow(shared.clone(), stopped.clone())?;
        spawn(Stack::Large, move || {
            hub.run(&inbox);
            let _ = finished.send(()); // Nobody may wait.
        });
        let (for_room, of_viewers) = (shared.clone(), shared.clone());
        accept_while_capacity(
            listener,
            stopped.clone(),
            move || viewer_connections::make_room(&for_room),
            move |socket, place| viewer_connections::serve(socket, &place, &of_viewers),
        );
        tracing::info!(%address, "listening");
        Ok(Node {
            address,
            shared,
            stopped,
            done: Mutex::new(done),
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes over what may change while it runs: where the directory is asked.
    ///
    /// Danger: a file of another node or customer, put in this one's place by mistake, names a directory that lists another
    /// fleet. So nothing of a file is taken that differs in more. Harm: settings that changed wait for a restart, and keep the
    /// directory's new address waiting with them.
    ///
    /// # Errors
    /// The configuration is not this node's; the one in force stays whole.
    pub fn reload(&self, config: &Config) -> Result<(), Mismatch> {
        self.shared.config.may_become(config)?;
        self.shared.set_nameserver(config.nameserver);
        Ok(())
    }

    /// Takes nothing new from now on and ends when nothing is owed any more.
    pub fn drain(&self) {
        self.shared.tell(Msg::Drain);
    }

    /// Waits for the end that [`Node::drain`] brings. Call on a thread, not in a coroutine.
    pub fn wait(&self) {
        let _ = self
            .done
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        self.stopped.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address); // Wakes the listener, which finds that it is over.
    }

    /// What is held now; all of it goes back to nothing when nothing is under way.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}

pub use shared::Counts;
