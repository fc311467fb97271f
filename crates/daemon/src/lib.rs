//! The session front's network daemon: connects players, servers, the list service and other fronts to the core.
//!
//! One coroutine, the event loop, owns the core and is the only one that makes decisions. The other coroutines read
//! sockets, pass what they receive to the event loop as messages, and write what it sends. All messages go through
//! one queue, so the event loop handles them in one order.
//!
//! - `message`, `shared`: the messages, and the state that all coroutines share;
//! - `event_loop`: makes the decisions and carries them out;
//! - `player_listener`, `http_responses`, `websocket_handshake`, `player_session`, `player_calls`: the
//!   connections of players;
//! - `player`: the state of one player's connection that coroutines share;
//! - `attempt_sender`: sends set-ups, each over a connection from the `connection_pool`;
//! - `server_link`: for each server the subscription to its events, and the queue of rung changes and
//!   teardowns;
//! - `server_connection_state`: determines which sessions at a server are lost, without I/O;
//! - `list_service_client`: the subscription to the list service, and the copy of the endpoint list on disk;
//! - `membership_runner`, `membership_status`: the membership of the fleet of fronts, over UDP;
//! - `recovered_state`: the state that previous incarnations stored, and the front's name; `inventory_client`:
//!   requests servers for the sessions that they hold of previous incarnations;
//! - `traffic`: accounting of cross-zone traffic; `persistence_thread`: writes files, each replaced as a whole;
//! - `names`, `config_lookup`: translate between names and numbers;
//! - `backoff`: pauses between retries; `key_file`: reads secret keys; `errors`: errors for operators.
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
use message::EventLoopMessage;
use player_listener::AcceptedConnection;
use recovered_state::OpenedState;
use shared::Shared;
pub use shared::WorkInProgress;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

/// The threads that may still write to disk after the event loop has ended.
type WriterThreads = Vec<JoinHandle<()>>;

/// A running front. It serves players until [`Daemon::drain`] is called.
pub struct Daemon {
    address: SocketAddr,
    shared: Arc<Shared>,
    /// Ends the coroutines that do not depend on the event loop.
    is_stopped: Arc<AtomicBool>,
    /// Receives the writer threads once the event loop has ended.
    finished: Mutex<mpsc::Receiver<WriterThreads>>,
}

impl Daemon {
    /// Starts a front, which listens for players when this returns. [`crankpaddle_net::start`] must have been called
    /// before.
    ///
    /// # Errors
    /// The front can't listen on an address, or can't use its store, a key file or a file that a previous incarnation
    /// saved.
    pub fn start(config: Config) -> Result<Daemon, StartError> {
        // The store is opened before the front listens, so that its state is read before any request is answered.
        let store = config.store.as_ref();
        let opened = store.map(recovered_state::open).transpose()?;
        Daemon::run(config, opened)
    }

    /// Like [`Daemon::start`], but opens the store with `open_store`, whose argument identifies the host's boot.
    ///
    /// # Errors
    /// Those of [`Daemon::start`].
    pub fn start_on(
        config: Config,
        open_store: impl FnOnce(&str) -> Result<OpenedStore, crankpaddle_store::StoreError>,
    ) -> Result<Daemon, StartError> {
        let store = config.store.as_ref();
        let opened = store
            .map(|store| recovered_state::open_with(store, open_store))
            .transpose()?;
        Daemon::run(config, opened)
    }

    fn run(config: Config, opened: Option<OpenedState>) -> Result<Daemon, StartError> {
        let cached_list = list_service_client::load_cached_list(&config)?;
        let saved_traffic = traffic::load_saved_report(&config)?;
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
            let _ = finish.send(writers); // Fails if the daemon was dropped, so that nobody waits for it.
        });
        let is_stopped = Arc::new(AtomicBool::new(false));
        list_service_client::follow(shared.clone(), is_stopped.clone());
        player_listener::watch_idle_players(shared.clone(), is_stopped.clone());
        let listener_shared = shared.clone();
        accept_each(
            listener,
            is_stopped.clone(),
            move || AcceptedConnection::open(listener_shared.clone()),
            player_listener::serve,
        );
        tracing::info!(%address, "listening");
        Ok(Daemon {
            address,
            shared,
            is_stopped,
            finished: Mutex::new(finished),
        })
    }

    /// The address on which the front listens for players.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Applies the traffic budgets of another configuration; the bytes counted so far stay. Changes of other settings
    /// need a restart.
    ///
    /// # Errors
    /// A setting differs that the budgets depend on. The current budgets then stay in force.
    pub fn change_budgets(&self, config: Config) -> Result<(), BudgetChangeError> {
        if let Some(changed) = traffic::changed_settings(&self.shared.config, &config) {
            return Err(BudgetChangeError { changed });
        }
        let config = Box::new(config);
        self.shared
            .send(EventLoopMessage::BudgetsChanged { config });
        Ok(())
    }

    /// Starts a graceful shutdown: new requests are rejected, pending ones are answered, then sessions are ended.
    pub fn drain(&self) {
        self.shared.send(EventLoopMessage::DrainRequested);
    }

    /// Waits for the end of the shutdown that [`Daemon::drain`] starts. It blocks, so it must be called on a thread, not
    /// in a coroutine.
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
            // Joined so that everything is on disk before the process ends. A panic was already reported.
            let _ = writer.join();
        }
        // `Release` publishes the flag to the coroutines that poll it. The listener waits for connections, so one is made
        // to wake it.
        self.is_stopped.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address);
    }

    /// The work in progress, as last published by the event loop.
    #[must_use]
    pub fn work_in_progress(&self) -> WorkInProgress {
        self.shared.work_in_progress()
    }
}

fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), StartError> {
    let listen_error = |source| StartError::Listen { address, source };
    let listener = listen(address).map_err(listen_error)?;
    let bound_address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, bound_address))
}

fn run_membership(membership: OpenedMembership, shared: Arc<Shared>) {
    membership.run(move |fronts| shared.send(EventLoopMessage::FleetSizeChanged { fronts }));
}
