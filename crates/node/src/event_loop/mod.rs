//! The event loop handles all messages of the node, one after the other. It owns the core and never waits for a socket.
//!
//! - `session`, `attempt`, `link`, `server`: the records in its tables
//! - `client_requests`, `client_notifications`: messages from and to viewers
//! - `delivery`: detection of messages that the kernel accepted and that were not delivered
//! - `server_messages`, `set_up_responses`: messages from servers
//! - `delayed_responses`: responses that are delayed until it is clear that they were not cut off
//! - `server_releases`: releases of sessions that are sent to servers
//! - `adoption`: sessions that were under way when the node started
//! - `attempt_dispatch`, `attempt_lifecycle`: an attempt from the policy's decision to its end
//! - `server_links`, `link_capacity`: connections to servers, and their number
//! - `lost_releases`, `unconfirmed_sessions`: releases that may have been lost with a connection
//! - `server_liveness`: detection of lost servers, which ends the sessions there
//! - `endpoint_list`: the directory's list of servers
//! - `core_driver`: inputs into the core and outputs from it
//! - `maintenance`, `shutdown`: periodic work, and graceful shutdown
//! - `wire_time`: conversion of times on the wire
mod adoption;
mod attempt;
mod attempt_dispatch;
mod attempt_lifecycle;
mod client_notifications;
mod client_requests;
mod core_driver;
mod delayed_responses;
pub(crate) mod delivery;
mod endpoint_list;
mod link;
mod link_capacity;
mod lost_releases;
mod maintenance;
mod server;
mod server_links;
mod server_liveness;
mod server_messages;
mod server_releases;
mod session;
mod set_up_responses;
mod shutdown;
mod unconfirmed_sessions;
mod wire_time;

use crate::shared::{InboxMessage, LinkId, Shared};
use crate::viewer_connection::{ConnectionId, ViewerConnection};
use adoption::Adoptions;
use attempt::AttemptRecord;
use attempt_dispatch::{QueuedAttempt, RECHECK_INTERVAL};
use attempt_lifecycle::LATE_ACCEPTANCE_PERIOD;
use client_notifications::SentMessage;
use crankpaddle_front::{
    AttemptId, Core, CoreConfig, EndpointListKind, EventObserver, Input, Output, PlayerId,
    ServerId, Time,
};
use crankpaddle_net::{clock, drain_after_stall, drain_queue, recv_until, sleep, PollingBreak};
use crankpaddle_node_protocol::directory::ServerEntry;
use crankpaddle_node_protocol::viewers::cause;
use crankpaddle_node_protocol::Tag;
use crankpaddle_time::nanoseconds;
use delayed_responses::DelayedResponses;
use delivery::RetainedMessages;
use endpoint_list::{server_ids, IncompatibleServer};
use link::LinkRecord;
use maintenance::Schedule;
use may::sync::mpsc::Receiver;
use server::{ServerRecord, UnsentMessage};
use server_releases::ServerRelease;
use session::SessionRecord;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::ControlFlow;
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of messages that are handled before timers are checked.
const MESSAGE_BATCH: usize = 128;
/// How often readers that waited for room get to run after a stall before overdue timers are handled, and for how long.
const MAX_CATCH_UP_ROUNDS: u32 = 8;
const CATCH_UP_PAUSE: Duration = Duration::from_millis(1);
/// How long before its viewer times out a set-up is answered at the latest.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// How far the wait that a viewer requests may exceed its class's deadline. A set-up with a longer wait is invalid.
const DEADLINE_SLACK: Duration = Duration::from_secs(1);
/// How long a release or another message that could not be sent or delivered is retried.
const RELEASE_RETRY_PERIOD: Duration = Duration::from_secs(8);

/// The event loop's state: the core, and tables that map the ids used by the core to connections and sessions.
pub(crate) struct EventLoop {
    shared: Arc<Shared>,
    core: Core,
    connections: BTreeMap<ConnectionId, Arc<ViewerConnection>>,
    /// Connections on which a session was established, the most recent last.
    session_connections: Vec<ConnectionId>,
    sessions: BTreeMap<PlayerId, SessionRecord>,
    /// The core's id of each session in `sessions`, by session id.
    players: HashMap<Tag, PlayerId>,
    attempts: HashMap<AttemptId, AttemptRecord>,
    /// Attempts to be dispatched after the core has decided on all messages that were received.
    dispatch_queue: VecDeque<QueuedAttempt>,
    servers: BTreeMap<ServerId, ServerRecord>,
    links: BTreeMap<LinkId, LinkRecord>,
    /// The endpoint list in force, without incompatible servers.
    endpoints: BTreeMap<ServerId, ServerEntry>,
    /// Servers of the last list received whose zone, kind or cell the settings do not name.
    incompatible_servers: Vec<IncompatibleServer>,
    /// Notifications to viewers that no connection accepted.
    unsent_notifications: VecDeque<UnsentMessage>,
    /// Answers and notifications that a connection accepted, retained in case they are not delivered.
    sent_to_viewers: RetainedMessages<ConnectionId, SentMessage>,
    /// Releases that a link accepted, retained in case they are not delivered.
    sent_to_servers: RetainedMessages<LinkId, ServerRelease>,
    /// What decides on sessions that are handed over to this node.
    adoptions: Adoptions,
    /// Responses to set-ups that may have been cut off.
    delayed_responses: DelayedResponses,
    last_player_id: u64,
    last_link_id: u64,
    /// The cause code sent with teardowns: the viewer's own while its request is handled, else [`cause::CANCELLED`].
    release_cause: u16,
    /// Inputs that the core has not been given yet. They queue up while the core's outputs are being executed.
    pending_inputs: VecDeque<Input>,
    /// Whether the core's outputs are being executed.
    is_executing_outputs: bool,
    outputs: Vec<Output>,
    /// When draining began; `None` before that.
    drain_started_at: Option<Time>,
    /// When the node last looked for connections to close while draining; [`Time::MAX`] before the first time.
    last_close_pass: Time,
    /// Messages that were taken from the inbox and not yet handled.
    message_queue: VecDeque<InboxMessage>,
}

/// The longest wait that a viewer may request, given its class's deadline in nanoseconds.
fn longest_wait(deadline_ns: u64) -> Duration {
    Duration::from_nanos(deadline_ns.saturating_add(nanoseconds(DEADLINE_SLACK)))
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
        recovered_resume_window: Duration::ZERO, // This node persists nothing that could be recovered.
        max_pending: shared.budget.max_pending_set_ups,
        max_pending_per_player: 1,
        // The protocol gives each set-up an id of its own. A client that sends one again must not set up a paid session twice.
        key_retention: LATE_ACCEPTANCE_PERIOD,
        max_retained_keys: shared.budget.max_pending_set_ups,
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
        let initial_list = config.initial_list.clone();
        let adoptions = Adoptions::new(clock::now(), server_ids(&initial_list), &shared.budget);
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
            adoptions,
            delayed_responses: DelayedResponses::default(),
            last_player_id: 0,
            last_link_id: 0,
            release_cause: cause::CANCELLED,
            pending_inputs: VecDeque::new(),
            is_executing_outputs: false,
            outputs: Vec::new(),
            drain_started_at: None,
            last_close_pass: Time::MAX,
            message_queue: VecDeque::new(),
            shared,
        };
        event_loop.update_endpoints(initial_list, EndpointListKind::Cached);
        event_loop
    }

    /// Runs until graceful shutdown is complete, or until all senders of the inbox are gone.
    pub(crate) fn run(mut self, inbox: &Receiver<InboxMessage>) {
        let mut schedule = Schedule::starting_at(clock::now());
        let mut polling_break = PollingBreak::starting_at(clock::now());
        while !self.try_complete_shutdown() {
            if self.shared.has_woken_readers.swap(false, Ordering::Relaxed) {
                polling_break.take_if_due();
            }
            if self.wait_for_message(inbox, &schedule).is_break() {
                break;
            }
            self.drain_inbox(inbox);
            self.catch_up_after_stall(inbox);
            let now = clock::now();
            self.release_due_responses(now);
            if schedule.maintenance.fire_if_due(now) {
                self.run_maintenance(now);
            }
            self.decide();
            self.close_idle_connections();
            self.trace_load_estimates(now, &mut schedule);
            if schedule.counts_log.fire_if_due(now) {
                self.log_counts();
            }
        }
        tracing::info!("shutdown complete");
    }

    /// Waits until a message is received or a timer is due; breaks when the inbox has no sender any more.
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
            .min(self.delayed_responses.next_due())
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

    /// After the whole process was stalled, handles the messages that arrived meanwhile before the timers that fell due.
    ///
    /// Readers pass on as much as their gates let through, so they get to run again after what they passed on was handled.
    fn catch_up_after_stall(&mut self, inbox: &Receiver<InboxMessage>) {
        let due_at = self.next_core_expiry();
        let mut rounds = 0;
        let stalled = drain_after_stall(due_at, || {
            let count = self.drain_inbox(inbox);
            let has_woken_readers = self.shared.has_woken_readers.swap(false, Ordering::Relaxed);
            if has_woken_readers && rounds < MAX_CATCH_UP_ROUNDS {
                rounds += 1;
                sleep(CATCH_UP_PAUSE);
                return true;
            }
            count == MESSAGE_BATCH
        });
        if stalled {
            tracing::warn!("event loop stalled");
        }
    }

    fn next_core_expiry(&self) -> Time {
        self.core.next_expiry().unwrap_or(Time::MAX)
    }

    /// Handles the queued messages and at most one batch from the inbox; returns the number taken from the inbox.
    fn drain_inbox(&mut self, inbox: &Receiver<InboxMessage>) -> usize {
        let count = drain_queue(inbox, MESSAGE_BATCH, |message| self.enqueue(message));
        while let Some(message) = self.message_queue.pop_front() {
            self.handle_message(message);
        }
        count
    }

    /// Queues a message. Messages that were read from a server in one piece are queued one by one.
    fn enqueue(&mut self, message: InboxMessage) {
        match message {
            InboxMessage::FromServer(link, messages, mut queued) => {
                let count = messages.len();
                let each = messages.into_iter().enumerate().map(|(index, message)| {
                    let is_last = index + 1 == count;
                    let queued = queued.take_if(|_| is_last);
                    InboxMessage::FromServer(link, vec![message], queued)
                });
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
                queued,
            } => {
                self.handle_viewer_message(connection, message, received_at);
                // The count is lowered last: a set-up in the message is then already counted as pending, so the connection has
                // pending work at any time.
                if let Some(connection) = self.connections.get(&connection) {
                    connection.queued_messages.fetch_sub(1, Ordering::AcqRel);
                }
                drop(queued);
            }
            InboxMessage::ViewerDisconnected(connection, delivery) => {
                self.viewer_disconnected(connection);
                self.resend_undelivered(connection, delivery);
            }
            InboxMessage::ConnectCompleted(link, result) => self.connect_completed(link, result),
            InboxMessage::FromServer(link, messages, queued) => {
                self.receive_from_server(link, messages, queued);
            }
            InboxMessage::LinkClosed(link, end, delivery) => self.link_closed(link, end, delivery),
            InboxMessage::EndpointList(list) => {
                self.update_endpoints(list, EndpointListKind::Delta);
            }
            InboxMessage::Drain => self.begin_drain(),
        }
    }
}
