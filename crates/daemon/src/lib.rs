//! The session front on sockets.
//!
//! One coroutine, the event loop, owns the core and is the only one that decides. All others read sockets,
//! send the event loop what they read as messages, and write what it wants sent. All messages go through one
//! queue, so the event loop sees them in one order.
//!
//! - `message`, `shared`: the messages, and what all coroutines share;
//! - `event_loop`: the decisions, and what is done about them;
//! - `player_listener`, `http_responses`, `websocket_handshake`, `player_session`, `player_calls`: the
//!   connections of players;
//! - `player`: one player's connection as all coroutines see it;
//! - `attempt_sender`: set-ups, each over a connection from the `connection_pool`;
//! - `server_link`: for each server the subscription to its events, and the queue of rung changes and
//!   teardowns;
//! - `server_connection_state`: which sessions at a server are lost, pure;
//! - `list_service_client`: the list service, and the copy of the list on disk;
//! - `membership_runner`, `membership_status`: the other fronts, over UDP;
//! - `recovered_state`: what previous incarnations left, and the front's name; `inventory_client`: what
//!   servers hold of them;
//! - `traffic`: cross-zone traffic; `persistence_thread`: files that are replaced as a whole;
//! - `names`, `config_lookup`: names and numbers; `backoff`, `key_file`, `errors`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod attempt_sender;
mod backoff;
mod config_lookup;
mod connection_pool;
mod errors;
mod event_loop;
mod http_responses;
mod inventory_client;
mod key_file;
mod list_service_client;
mod membership_runner;
mod membership_status;
mod message;
mod names;
mod persistence_thread;
mod player;
mod player_calls;
mod player_listener;
mod player_session;
mod recovered_state;
mod server_connection_state;
mod server_link;
mod shared;
mod traffic;
mod websocket_handshake;

use crankpaddle_config::Config;
use crankpaddle_net::{accept_each, listen, spawn, Stack};
use crankpaddle_store::OpenedStore;
pub use errors::{BudgetChangeError, KeyFileError, SavedFileError, StartError};
use event_loop::EventLoop;
use may::net::TcpListener;
use membership_runner::OpenedMembership;
use message::Message;
use recovered_state::OpenedState;
pub use shared::Counts;
use shared::Shared;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// The threads that still write to disk when the event loop has ended.
type WriterThreads = Vec<JoinHandle<()>>;

/// A running front.
pub struct Daemon {
    address: SocketAddr,
    shared: Arc<Shared>,
    /// Ends the coroutines that do not depend on the event loop.
    is_stopped: Arc<AtomicBool>,
    finished: Mutex<mpsc::Receiver<WriterThreads>>,
}

impl Daemon {
    /// Starts a front: it listens when this returns. [`crankpaddle_net::start`] must have been called before.
    ///
    /// # Errors
    /// Its address can't be listened on, or what previous incarnations saved on disk can't be used.
    pub fn start(config: Config) -> Result<Daemon, StartError> {
        // Before it listens: the state is read completely before anyone is answered.
        let store = config.store.as_ref();
        let opened = store.map(recovered_state::open).transpose()?;
        Daemon::run(config, opened)
    }

    /// As [`Daemon::start`], with a store that `open_store` opens; its argument is the identity of the host's boot.
    ///
    /// # Errors
    /// Those of [`Daemon::start`].
    pub fn start_on(
        config: Config,
        open_store: impl FnOnce(&str) -> Result<OpenedStore, crankpaddle_store::Error>,
    ) -> Result<Daemon, StartError> {
        let store = config.store.as_ref();
        let opened = store
            .map(|store| recovered_state::open_with(store, open_store))
            .transpose()?;
        Daemon::run(config, opened)
    }

    fn run(config: Config, opened: Option<OpenedState>) -> Result<Daemon, StartError> {
        let cached_list = list_service_client::load_cached_list(&config)?;
        let saved_traffic = traffic::load_saved_account(&config)?;
        let (listener, address) = bind(config.listen)?;
        let peers = config.peers.as_ref();
        let membership = peers.map(membership_runner::open).transpose()?;
        let (membership, membership_handle) = membership.unzip();
        let front_name = opened.as_ref().map(|opened| opened.front_name.clone());
        let (shared, inbox) = Shared::new(config, membership_handle, front_name);
        if let Some(membership) = membership {
            run_membership(membership, shared.clone());
        }
        let (finish, finished) = mpsc::channel();
        let event_loop =
            EventLoop::new(shared.clone(), cached_list, saved_traffic.as_ref(), opened);
        spawn(Stack::Large, move || {
            let writers = event_loop.run(&inbox);
            let _ = finish.send(writers); // Nobody may wait for it.
        });
        let is_stopped = Arc::new(AtomicBool::new(false));
        list_service_client::follow(shared.clone(), is_stopped.clone());
        player_listener::watch_idle_players(shared.clone(), is_stopped.clone());
        let listener_shared = shared.clone();
        accept_each(listener, is_stopped.clone(), move |socket| {
            player_listener::serve(socket, &listener_shared);
        });
        tracing::info!(%address, "listening");
        Ok(Daemon {
            address,
            shared,
            is_stopped,
            finished: Mutex::new(finished),
        })
    }

    /// The address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes over the budgets of another configuration; the traffic account stays. All else in it needs a
    /// restart.
    ///
    /// # Errors
    /// Settings differ that the budgets build on; the budgets in force stay.
    pub fn change_budgets(&self, config: Config) -> Result<(), BudgetChangeError> {
        if let Some(changed) = traffic::changed_settings(&self.shared.config, &config) {
            return Err(BudgetChangeError { changed });
        }
        let config = Box::new(config);
        self.shared.send(Message::BudgetsChanged { config });
        Ok(())
    }

    /// Starts a graceful shutdown: nothing new is taken, requests are answered, then sessions are ended.
    pub fn drain(&self) {
        self.shared.send(Message::DrainRequested);
    }

    /// Waits for the end of the shutdown that [`Daemon::drain`] starts. Call on a thread, not in a coroutine.
    pub fn wait(&self) {
        let writers = self
            .finished
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .recv()
            .unwrap_or_default();
        if let Some(membership) = &self.shared.membership {
            membership.leave();
        }
        for writer in writers {
            // All is on disk before the process ends; a writer that panicked has reported it.
            let _ = writer.join();
        }
        // Released to the coroutines that poll it, and to the listener, which the connection wakes.
        self.is_stopped.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address);
    }

    /// The work in progress, as the event loop last published it.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }
}

fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = listen(address).map_err(listen_error)?;
    let bound_address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, bound_address))
}

fn run_membership(membership: OpenedMembership, shared: Arc<Shared>) {
    membership.run(move |fronts| shared.send(Message::FleetSizeChanged { fronts }));
}
