//! The event loop: the one place where all messages are handled, in one order. It owns the core and never waits for a socket.
//!
//! - `session`, `attempt`, `link`, `server`: the records of its tables;
//! - `client_requests`, `client_notifications`: what viewers send and are sent;
//! - `delivery`: what becomes of messages that the kernel accepted;
//! - `server_messages`, `set_up_responses`: what servers send; `server_releases`: what they are sent at a session's end;
//! - `attempt_dispatch`, `attempt_lifecycle`: an attempt from the decision to its end;
//! - `server_links`, `server_liveness`: connections to servers, and what their loss means for sessions;
//! - `endpoint_list`: the directory's list;
//! - `core_driver`: inputs into the core and outputs from it;
//! - `maintenance`, `shutdown`: what is due from time to time, and the end;
//! - `wire_time`: times on the wire.
mod attempt;
mod attempt_dispatch;
mod attempt_lifecycle;
mod client_notifications;
mod client_requests;
mod core_driver;
pub(crate) mod delivery;
mod endpoint_list;
mod link;
mod maintenance;
mod server;
mod server_links;
mod server_liveness;
mod server_messages;
mod server_releases;
mod session;
mod set_up_responses;
mod shutdown;
mod wire_time;

use crate::shared::{InboxMessage, LinkId, Shared};
use crate::viewer_connection::{ConnectionId, ViewerConnection};
use attempt::Attempt;
use attempt_dispatch::{QueuedAttempt, RECHECK_INTERVAL};
use client_notifications::SentMessage;
use crankpaddle_front::{
    AttemptId, Core, CoreConfig, EndpointListKind, EventObserver, Input, Output, PlayerId,
    ServerId, Time,
};
use crankpaddle_net::{clock, drain_after_stall, drain_queue, recv_until};
use crankpaddle_node_protocol::directory::Entry;
use crankpaddle_node_protocol::viewers::cause;
use crankpaddle_node_protocol::Tag;
use crankpaddle_time::nanoseconds;
use delivery::RetainedMessages;
use endpoint_list::IncompatibleServer;
use link::Link;
use maintenance::Schedule;
use may::sync::mpsc::Receiver;
use server::{Server, UnsentMessage};
use server_releases::ServerRelease;
use session::Session;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::ControlFlow;
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

/// Messages handled before timers are checked.
const MESSAGE_BATCH: usize = 128;
/// A set-up is answered at least this long before its viewer times out.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// How much longer than its class's deadline a viewer may wait; a longer wait is out of range.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// A release that can't be sent is retried for this long.
const RELEASE_RETRY_PERIOD: Duration = Duration::from_secs(8);

/// The event loop's state: the core, and the tables that tie its numbers to connections.
pub(crate) struct EventLoop {
    shared: Arc<Shared>,
    core: Core,
    connections: BTreeMap<ConnectionId, Arc<ViewerConnection>>,
    /// Connections on which a session was established, the latest last.
    session_connections: Vec<ConnectionId>,
    sessions: BTreeMap<PlayerId, Session>,
    players: HashMap<Tag, PlayerId>,
    attempts: HashMap<AttemptId, Attempt>,
    /// Attempts that are dispatched once the core has decided on all that was received.
    dispatch_queue: VecDeque<QueuedAttempt>,
    servers: BTreeMap<ServerId, Server>,
    links: BTreeMap<LinkId, Link>,
    /// The list in force.
    endpoints: BTreeMap<ServerId, Entry>,
    /// Servers of the last list that do not fit the settings.
    incompatible_servers: Vec<IncompatibleServer>,
    /// Notifications to viewers that no connection accepted.
    unsent_notifications: VecDeque<UnsentMessage>,
    /// Answers and notifications that a connection accepted.
    sent_to_viewers: RetainedMessages<ConnectionId, SentMessage>,
    /// Releases that a link accepted.
    sent_to_servers: RetainedMessages<LinkId, ServerRelease>,
    last_player: u64,
    last_link: u64,
    /// The cause that a teardown in progress carries.
    release_cause: u16,
    /// Inputs for the core that came up while its outputs were being carried out.
    pending_inputs: VecDeque<Input>,
    /// Whether the core's outputs are being carried out.
    is_carrying_out: bool,
    outputs: Vec<Output>,
    /// When draining began.
    drain_started_at: Option<Time>,
    /// When connections were last looked through to be closed.
    last_close_pass: Time,
    /// Messages taken from the inbox that have not been handled.
    message_queue: VecDeque<InboxMessage>,
}

/// The longest that a viewer of a class may wait, from the class's deadline in the settings' nanoseconds.
fn longest_wait(deadline: u64) -> Duration {
    Duration::from_nanos(deadline.saturating_add(nanoseconds(DEADLINE_SLACK)))
}

fn core_config(shared: &Shared) -> CoreConfig {
    let deadlines = &shared.config.fleet.deadlines;
    CoreConfig {
        max_wait: deadlines
            .iter()
            .map(|deadline| longest_wait(*deadline))
            .collect(),
        answer_margin: ANSWER_MARGIN,
        resume_window: Duration::ZERO,
        recovered_resume_window: Duration::ZERO, // Nothing is persisted here.
        max_pending: shared.budget.pending_set_ups,
        max_pending_per_player: 1,
        key_retention: Duration::ZERO,
        max_retained_keys: 0, // Each set-up has an id of its own.
    }
}

impl EventLoop {
    pub(crate) fn new(shared: Arc<Shared>, observer: Option<EventObserver>) -> EventLoop {
        let config = &shared.config;
        let mut core = Core::new(
            config.fleet.settings.clone(),
            core_config(&shared),
            config.seed,
            clock::now(),
        );
        if let Some(observer) = observer {
            core.set_event_observer(observer);
        }
        let initial_list = config.known.clone();
        let mut event_loop = EventLoop {
            core,
            connections: BTreeMap::new(),
            session_connections: Vec::new(),
            sessions: BTreeMap::new(),
            players: HashMap::new(),
            attempts: HashMap::new(),
            dispatch_queue: VecDeque::new(),
            servers: BTreeMap::new(),
            links: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            incompatible_servers: Vec::new(),
            unsent_notifications: VecDeque::new(),
            sent_to_viewers: RetainedMessages::new(),
            sent_to_servers: RetainedMessages::new(),
            last_player: 0,
            last_link: 0,
            release_cause: cause::CANCELLED,
            pending_inputs: VecDeque::new(),
            is_carrying_out: false,
            outputs: Vec::new(),
            drain_started_at: None,
            last_close_pass: Time::MAX,
            message_queue: VecDeque::new(),
            shared,
        };
        event_loop.update_endpoints(initial_list, EndpointListKind::Cached);
        event_loop
    }

    /// Runs until the node has ended.
    pub(crate) fn run(mut self, inbox: &Receiver<InboxMessage>) {
        let mut schedule = Schedule::starting_at(clock::now());
        while !self.has_ended() {
            if self.wait_for_message(inbox, &schedule).is_break() {
                break;
            }
            self.drain_inbox(inbox);
            self.catch_up_after_stall(inbox);
            let now = clock::now();
            if schedule.maintenance.is_due(now) {
                self.run_maintenance(now);
            }
            self.decide();
            self.close_resting_connections();
            self.trace_load_estimates(now, &mut schedule);
            if schedule.counts_log.is_due(now) {
                self.log_counts();
            }
        }
        tracing::info!("shutdown complete");
    }

    /// Waits until a message comes or something is due; breaks when the inbox has no sender any more.
    fn wait_for_message(
        &mut self,
        inbox: &Receiver<InboxMessage>,
        schedule: &Schedule,
    ) -> ControlFlow<()> {
        let now = clock::now();
        let recheck_at = if self.dispatch_queue.is_empty() {
            Time::MAX
        } else {
            now + RECHECK_INTERVAL
        };
        let wake_at = self
            .next_core_expiry()
            .min(schedule.maintenance.due_at())
            .min(recheck_at);
        if wake_at <= now {
            return ControlFlow::Continue(());
        }
        match recv_until(inbox, wake_at) {
            Ok(message) => {
                self.enqueue(message);
                ControlFlow::Continue(())
            }
            Err(RecvTimeoutError::Timeout) => ControlFlow::Continue(()),
            Err(RecvTimeoutError::Disconnected) => ControlFlow::Break(()),
        }
    }

    /// After the whole process was stalled, handles the messages that came meanwhile before the timers that fell due.
    fn catch_up_after_stall(&mut self, inbox: &Receiver<InboxMessage>) {
        let due_at = self.next_core_expiry();
        let stalled = drain_after_stall(due_at, || self.drain_inbox(inbox) == MESSAGE_BATCH);
        if stalled {
            tracing::warn!("event loop stalled");
        }
    }

    fn next_core_expiry(&self) -> Time {
        self.core.next_expiry().unwrap_or(Time::MAX)
    }

    /// Handles the queued messages and at most one batch from the inbox; returns how many came from the inbox.
    fn drain_inbox(&mut self, inbox: &Receiver<InboxMessage>) -> usize {
        let count = drain_queue(inbox, MESSAGE_BATCH, |message| self.enqueue(message));
        while let Some(message) = self.message_queue.pop_front() {
            self.handle_message(message);
        }
        count
    }

    /// Queues a message; what was read from a server at once is queued message by message.
    fn enqueue(&mut self, message: InboxMessage) {
        match message {
            InboxMessage::FromServer(link, messages) => {
                let each = messages
                    .into_iter()
                    .map(|message| InboxMessage::FromServer(link, vec![message]));
                self.message_queue.extend(each);
            }
            other => self.message_queue.push_back(other),
        }
    }

    fn handle_message(&mut self, message: InboxMessage) {
        match message {
            InboxMessage::ViewerConnected(connection) => {
                self.connections.insert(connection.id, connection);
            }
            InboxMessage::FromViewer {
                connection,
                message,
                received_at,
            } => {
                self.handle_viewer_message(connection, message, received_at);
                // Only now: a set-up in it is counted among the pending ones by now.
                if let Some(connection) = self.connections.get(&connection) {
                    connection.queued_messages.fetch_sub(1, Ordering::AcqRel);
                }
            }
            InboxMessage::ViewerDisconnected(connection, delivery) => {
                self.viewer_disconnected(connection);
                self.resend_undelivered(connection, delivery);
            }
            InboxMessage::ConnectCompleted(link, result) => self.connect_completed(link, result),
            InboxMessage::FromServer(link, messages) => {
                for message in &messages {
                    self.handle_server_message(link, message);
                }
            }
            InboxMessage::LinkClosed(link, end, delivery) => self.link_closed(link, end, delivery),
            InboxMessage::EndpointList(list) => {
                self.update_endpoints(list, EndpointListKind::Delta);
            }
            InboxMessage::Drain => self.begin_drain(),
        }
    }
}
