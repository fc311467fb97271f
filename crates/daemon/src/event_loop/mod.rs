//! The event loop: the only coroutine that owns the core and makes decisions.
//!
//! It receives all messages from one queue, passes them to the core and performs the core's outputs. It never
//! waits for a socket or a disk.
//!
//! - `messages`: dispatch, and the handlers of messages from players, operators and peers;
//! - `server_messages`: the handlers of messages from servers; `endpoints`: of those from the list service;
//! - `attempts`: the life of an attempt between its start and its end;
//! - `outputs`: performs the core's decisions;
//! - `maintenance`: periodic maintenance; `shutdown`: draining and stopping;
//! - `durable_setup`, `durable_state`: paid set-ups, written to the store before they are sent;
//! - `previous_incarnation`, `reconciliation`, `session_adoption`: recovery of the set-ups and sessions that a
//!   previous incarnation of this front started;
//! - `status`: the reply to `GET /fleet`.
mod attempts;
mod durable_setup;
mod durable_state;
mod endpoints;
mod maintenance;
mod messages;
mod outputs;
mod previous_incarnation;
mod reconciliation;
mod server_messages;
mod session_adoption;
mod shutdown;
mod status;

use crate::attempt_sender::AttemptHandle;
use crate::message::EventLoopMessage;
use crate::persistence_thread::FileWriter;
use crate::player::PlayerConnection;
use crate::recovered_state::OpenedState;
use crate::server_connection_state::ServerConnectionState;
use crate::server_link::ServerLink;
use crate::shared::{Shared, WorkInProgress};
use crate::traffic::TrafficAccounting;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_front::{AttemptId, Core, EndpointListKind, Input, Output, PlayerId, ServerId};
use crankpaddle_net::{clock, drain_after_stall, drain_queue, recv_until, PollingBreak};
use crankpaddle_server_protocol::list::CachedEndpoints;
use crankpaddle_time::Time;
use durable_state::DurableState;
use may::sync::mpsc::Receiver;
use shutdown::ShutdownStage;
use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two rounds of maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Messages handled before timers are checked, so that a flood of messages can't delay answers that are due.
const MESSAGE_BATCH_SIZE: usize = 256;
/// Time between two checks for the end of the shutdown. It is polled because a control that was sent or given up
/// notifies the loop with no message.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An attempt that was sent, or the session that it established.
struct LiveAttempt {
    server: ServerId,
    /// The attempt's name at the server.
    name: String,
    link: Arc<ServerLink>,
    handle: Arc<AttemptHandle>,
}

/// A server's link, and the sessions that are established there.
#[derive(Default)]
struct ServerState {
    /// `None` until an endpoint list gives the server's address.
    link: Option<Arc<ServerLink>>,
    connection: ServerConnectionState,
}

/// No more messages can arrive, because all senders of the event loop's queue were dropped.
struct InboxClosed;

/// The event loop with all state that it owns.
pub(crate) struct EventLoop {
    shared: Arc<Shared>,
    core: Core,
    players: HashMap<PlayerId, Arc<PlayerConnection>>,
    attempts: HashMap<AttemptId, LiveAttempt>,
    /// Ids of `attempts` by the attempt's name at its server.
    attempt_ids: HashMap<String, AttemptId>,
    servers: BTreeMap<ServerId, ServerState>,
    /// Names of titles by number.
    title_names: HashMap<u64, String>,
    endpoints: CachedEndpoints,
    /// Whether the list service is unavailable; until it returns, only event streams show that a server started.
    is_list_unavailable: bool,
    list_writer: FileWriter,
    traffic: TrafficAccounting,
    traffic_writer: FileWriter,
    /// `None` if no store is configured.
    durable: Option<DurableState>,
    /// Outputs of the core that were not performed yet.
    outputs: Vec<Output>,
    next_maintenance: Time,
    shutdown: ShutdownStage,
}

impl EventLoop {
    /// Creates an event loop that starts from the cached endpoint list, the saved traffic report and the opened
    /// store; each is `None` if there is none.
    pub(crate) fn new(
        shared: Arc<Shared>,
        cached_list: Option<CachedEndpoints>,
        saved_traffic: Option<&TrafficReport>,
        opened: Option<OpenedState>,
    ) -> EventLoop {
        let config = &shared.config;
        let seed = config.seed.unwrap_or_else(rand::random);
        tracing::info!(seed, front = shared.names.front_name(), "front starting");
        let core = Core::new(
            config.settings.clone(),
            config.terms.clone(),
            seed,
            clock::now(),
        );
        let titles = config.titles.iter();
        let title_names = titles.map(|(name, title)| (title.number, name.clone()));
        let mut event_loop = EventLoop {
            core,
            players: HashMap::new(),
            attempts: HashMap::new(),
            attempt_ids: HashMap::new(),
            servers: BTreeMap::new(),
            title_names: title_names.collect(),
            endpoints: cached_list.unwrap_or_default(),
            is_list_unavailable: false,
            list_writer: FileWriter::start(config.list_cache.clone(), "endpoint list"),
            traffic: TrafficAccounting::new(config, saved_traffic),
            traffic_writer: FileWriter::start(
                config.traffic_file.clone(),
                "cross-zone traffic report",
            ),
            durable: None,
            outputs: Vec::new(),
            next_maintenance: Time::MAX,
            shutdown: ShutdownStage::Running,
            shared,
        };
        if let Some(opened) = opened {
            event_loop.resume_previous_incarnation(opened);
        }
        if !event_loop.endpoints.is_empty() {
            let endpoints = event_loop.resolve_endpoints(event_loop.endpoints.servers());
            event_loop.apply_endpoints(EndpointListKind::Cached, endpoints);
        }
        event_loop
    }

    /// Runs until the front has stopped; returns the threads that still write to disk.
    pub(crate) fn run(mut self, inbox: &Receiver<EventLoopMessage>) -> Vec<JoinHandle<()>> {
        self.next_maintenance = clock::now() + MAINTENANCE_INTERVAL;
        let mut polling_break = PollingBreak::starting_at(clock::now());
        while !self.is_finished() {
            let Ok(first) = self.wait_for_message(inbox) else {
                break;
            };
            if let Some(message) = first {
                self.handle_message(message);
            }
            let has_backlog = self.drain_inbox(inbox);
            if clock::now() >= self.next_maintenance {
                self.next_maintenance = clock::now() + MAINTENANCE_INTERVAL;
                self.run_maintenance();
            }
            self.advance_shutdown();
            self.core.expire(clock::now(), &mut self.outputs);
            self.perform_outputs();
            self.shared.publish_work_in_progress(WorkInProgress {
                waiting: self.core.waiting_requests(),
                playing: self.core.playing_sessions(),
            });
            if has_backlog {
                // While players send at full speed this loop never waits, and the sockets that its worker thread polls would
                // starve: one in so many new connections as there are threads was not read until the flood was over.
                polling_break.take_if_due();
            }
        }
        self.finish()
    }

    /// Waits for a message until the next deadline; `None` if the deadline passed first.
    fn wait_for_message(
        &mut self,
        inbox: &Receiver<EventLoopMessage>,
    ) -> Result<Option<EventLoopMessage>, InboxClosed> {
        let now = clock::now();
        let mut deadline = self.core_deadline();
        deadline = deadline.min(self.next_maintenance);
        deadline = deadline.min(self.shutdown.deadline());
        if self.traffic.settle_step() {
            deadline = now;
        }
        if deadline <= now {
            return Ok(None);
        }
        if self.shutdown.is_stopping() {
            deadline = deadline.min(now + STOP_POLL_INTERVAL);
        }
        match recv_until(inbox, deadline) {
            Ok(message) => Ok(Some(message)),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(InboxClosed),
        }
    }

    /// Handles one batch of queued messages. After a stall of the process it handles all of them before any timer
    /// fires: an answer that arrived in time but was not read yet must not count as late. Returns whether there was any.
    fn drain_inbox(&mut self, inbox: &Receiver<EventLoopMessage>) -> bool {
        let handled = drain_queue(inbox, MESSAGE_BATCH_SIZE, |message| {
            self.handle_message(message);
        });
        let has_stalled = drain_after_stall(self.core_deadline(), || {
            let handled = drain_queue(inbox, MESSAGE_BATCH_SIZE, |message| {
                self.handle_message(message);
            });
            handled == MESSAGE_BATCH_SIZE
        });
        if has_stalled {
            tracing::warn!("event loop stalled");
        }
        handled > 0
    }

    fn core_deadline(&self) -> Time {
        self.core.next_expiry().unwrap_or(Time::MAX)
    }

    /// Passes an input to the core and performs the outputs that can't wait. The core makes all other decisions in
    /// [`Core::expire`], which is called when the queue is drained.
    fn handle_core_input(&mut self, input: Input) {
        self.core
            .handle_input(clock::now(), input, &mut self.outputs);
        self.perform_outputs();
    }
}
