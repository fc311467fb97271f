//! The session front on sockets.
//!
//! One coroutine, the `hub`, owns the core and is the only one that decides; all others read sockets, tell the hub
//! what they read and send what it wants sent. They meet in one queue, so the order of events is the hub's.
//!
//! - `players`: the listener, HTTP and WebSocket;
//! - `player`: one player's connection as all of them see it;
//! - `attempts`: set-ups, each over a connection from the `pool`;
//! - `links`: for each server the stream of its notes and the queue of its rung changes and teardowns;
//! - `contact`: what the stream's words and silence say of the sessions there, pure;
//! - `directory`: the list service and the list's copy on disk;
//! - `peers`: the other fronts, over UDP;
//! - `kept`: what former lives left, and the front's name; `books`: what servers hold and ran of it;
//! - `traffic`: what crosses between halls; `keeper`: what is kept on disk.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod attempt_sender;
mod connection_pool;
mod errors;
mod event_loop;
mod inventory_client;
mod key_file;
mod list_service_client;
mod membership_runner;
mod names;
mod persistence_thread;
mod player;
mod player_listener;
mod recovered_state;
mod server_connection_state;
mod server_link;
mod shared;
mod traffic;

use crankpaddle_config::Config;
use crankpaddle_net::{accept_each, listen, spawn, Stack};
pub use errors::StartError;
use shared::{Msg, Shared};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// A front that runs.
pub struct Daemon {
    address: SocketAddr,
    shared: Arc<Shared>,
    stopped: Arc<AtomicBool>,
    done: Mutex<mpsc::Receiver<Vec<JoinHandle<()>>>>,
}

impl Daemon {
    /// Starts a front: it listens when this returns. [`crankpaddle_net::start`] must have been called before.
    ///
    /// # Errors
    /// Its address can't be listened on, or what it kept on disk can't be used.
    pub fn start(config: Config) -> Result<Daemon, StartError> {
        // Before it listens: what was kept is read whole before anyone is answered.
        let kept = config
            .store
            .as_ref()
            .map(recovered_state::open)
            .transpose()?;
        Daemon::begin(config, kept)
    }

    /// The same, with a store on a disk of the caller's.
    ///
    /// # Errors
    /// As [`Daemon::start`].
    pub fn start_on(
        config: Config,
        store: impl FnOnce(&str) -> Result<crankpaddle_store::OpenedStore, crankpaddle_store::Error>,
    ) -> Result<Daemon, StartError> {
        let kept = config
            .store
            .as_ref()
            .map(|wanted| recovered_state::open_on(wanted, store))
            .transpose()?;
        Daemon::begin(config, kept)
    }

    fn begin(config: Config, kept: Option<recovered_state::Kept>) -> Result<Daemon, StartError> {
        let wanted = config.listen;
        let not_listening = |source| StartError::Listen {
            address: wanted,
            source,
        };
        let of_former_lives = |source| StartError::Kept { source };
        let cached = list_service_client::cached(&config).map_err(of_former_lives)?;
        let account = traffic::kept(&config).map_err(of_former_lives)?;
        let listener = listen(wanted).map_err(not_listening)?;
        let address = listener.local_addr().map_err(not_listening)?;
        let (peers, link) = config
            .peers
            .as_ref()
            .map(membership_runner::open)
            .transpose()?
            .unzip();
        let (shared, inbox) =
            Shared::new(config, link, kept.as_ref().map(|kept| kept.name.clone()));
        if let Some(peers) = peers {
            let of_peers = shared.clone();
            peers.run(move |known| of_peers.tell(Msg::Members(known)));
        }
        let (finished, done) = mpsc::channel();
        let stopped = Arc::new(AtomicBool::new(false));
        let hub = event_loop::EventLoop::new(shared.clone(), cached, account.as_ref(), kept);
        spawn(Stack::Large, move || {
            let writers = hub.run(&inbox);
            let _ = finished.send(writers); // Nobody may wait.
        });
        list_service_client::follow(shared.clone(), stopped.clone());
        player_listener::watch_idle(shared.clone(), stopped.clone());
        let of_players = shared.clone();
        accept_each(listener, stopped.clone(), move |socket| {
            player_listener::serve(socket, &of_players);
        });
        tracing::info!(%address, "listening");
        Ok(Daemon {
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

    /// Takes over the budgets of another configuration; nothing is lost of the account. All else in it waits for a
    /// restart.
    ///
    /// # Errors
    /// What differs that the budgets stand on; the old ones hold on.
    pub fn change_budgets(&self, config: Config) -> Result<(), String> {
        if let Some(what) = traffic::unlike(&self.shared.config, &config) {
            return Err(format!(
                "{what}: changed, which needs a restart; the budgets in force stay"
            ));
        }
        self.shared.tell(Msg::Budgets(Box::new(config)));
        Ok(())
    }

    /// Takes nothing new from now on, answers what is under way, then ends what plays.
    pub fn drain(&self) {
        self.shared.tell(Msg::Drain);
    }

    /// Waits for the end that [`Daemon::drain`] brings. Call on a thread, not in a coroutine.
    pub fn wait(&self) {
        let writers = self
            .done
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv();
        self.shared
            .peers
            .iter()
            .for_each(membership_runner::Link::leave);
        // What was to be kept is on disk before the process ends; a writer that panicked has said so.
        writers
            .into_iter()
            .flatten()
            .for_each(|writer| drop(writer.join()));
        self.stopped.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address); // Wakes the listener, which finds that it is over.
    }

    /// Requests without an answer, and sessions that play.
    pub fn counts(&self) -> (usize, usize) {
        (
            self.shared.waiting.load(Ordering::Relaxed),
            self.shared.playing.load(Ordering::Relaxed),
        )
    }
}
