//! The state machine of a front: its state, its public interface and the processing of inputs and timers.
//!
//! [`dispatch`] passes inputs to their handlers: [`open`] (new requests), [`requests`] (resume, close, adopt),
//! [`players`] (disconnects), [`attempts`] and [`sessions`] (messages of servers), [`startup_recovery`] and
//! [`recovered_keys`] (after a power loss), [`shutdown`]. They queue events for the placement policy. [`actions`]
//! runs the policy and carries its actions out, and [`set_up`] starts attempts. [`completion`] ends requests, and
//! [`key_retention`] retains their keys for a limited time.
mod actions;
mod attempts;
mod completion;
mod config;
mod dispatch;
mod invariants;
mod key_retention;
mod open;
mod players;
mod recovered_keys;
mod request;
mod requests;
mod sessions;
mod set_up;
mod shutdown;
mod startup_recovery;

pub use config::CoreConfig;
pub use invariants::InvariantViolation;

use crate::ids::{AttemptId, PlayerId};
use crate::input::Input;
use crate::output::Output;
use crate::overload::{OverloadDetector, OverloadLimits};
use crate::recovery_queue::RecoveryQueue;
use crate::timers::{TimerEntry, Timers};
use crankpaddle::{
    Action, Event, Idempotency, PlacementPolicy, RequestId, ServerEstimate, SessionClass, Settings,
    Time,
};
use crankpaddle_recovery::{ConservativeBound, StagedRecovery};
use request::{Player, Request, SessionKey};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// A callback that is called with each event, and its time, before the placement policy handles it.
pub type EventObserver = Box<dyn FnMut(Time, &Event) + Send>;

/// The latency objective if no class is configured.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// The state machine of a front. The crate's documentation describes how to drive it.
pub struct Core {
    policy: PlacementPolicy,
    settings: Settings,
    config: CoreConfig,
    overload: OverloadDetector,
    requests: BTreeMap<RequestId, Request>,
    /// The latest request of each known key.
    keys: HashMap<SessionKey, RequestId>,
    /// The outstanding attempts, including those whose sessions play.
    attempts: HashMap<AttemptId, RequestId>,
    players: BTreeMap<PlayerId, Player>,
    /// Ended requests whose keys are retained, oldest first.
    retained_keys: VecDeque<RequestId>,
    timers: Timers,
    /// Number of requests that wait for an answer, without those in the recovery queue.
    waiting_count: usize,
    /// Number of sessions that play.
    playing_count: usize,
    /// The last request id that was assigned.
    last_request: u64,
    /// The last attempt id that was assigned.
    last_attempt: u64,
    /// Whether new sessions are rejected.
    draining: bool,
    /// Number of fronts among which the policy divides the limits.
    replica_count: u32,
    /// Number of fronts in the fleet, as reported by peers.
    known_fronts: u32,
    /// Number of fronts before the restart, read from persisted state; a lower bound until the recovery ends.
    previous_fronts: ConservativeBound<u32>,
    staged_recovery: StagedRecovery,
    /// Number of transitions of the staged recovery that were reported by outputs.
    reported_transitions: usize,
    /// Whether the persisted state lists all paid set-ups that a previous incarnation may have sent.
    intents_complete: bool,
    /// Keys of previous incarnations whose paid set-ups may have run, and whose outcomes are not known yet.
    unresolved_keys: BTreeSet<SessionKey>,
    recovery_queue: RecoveryQueue,
    /// Time of the current call.
    now: Time,
    /// Pairs of a zone and a class that must not be served from that zone.
    cross_zone_forbidden: BTreeSet<(u8, u8)>,
    event_observer: Option<EventObserver>,
    /// Events that the policy has not handled yet, in order.
    events: VecDeque<Event>,
    /// Buffer for the policy's actions, empty between calls. It is retained to avoid allocations.
    actions: Vec<Action>,
    /// New requests on which the policy has not decided yet.
    undecided_requests: Vec<RequestId>,
}

impl Core {
    /// Creates a core without any state. `seed` initializes the policy's random choices.
    #[must_use]
    pub fn new(settings: Settings, config: CoreConfig, seed: u64, now: Time) -> Core {
        Core {
            policy: PlacementPolicy::new(settings.clone(), seed, now),
            overload: OverloadDetector::new(overload_limits(&settings, &config)),
            config,
            requests: BTreeMap::new(),
            keys: HashMap::new(),
            attempts: HashMap::new(),
            players: BTreeMap::new(),
            retained_keys: VecDeque::new(),
            timers: Timers::default(),
            waiting_count: 0,
            playing_count: 0,
            last_request: 0,
            last_attempt: 0,
            draining: false,
            replica_count: settings.replica_count,
            known_fronts: 0,
            previous_fronts: ConservativeBound::default(),
            staged_recovery: StagedRecovery::not_needed(now),
            reported_transitions: 0,
            intents_complete: true,
            unresolved_keys: BTreeSet::new(),
            recovery_queue: RecoveryQueue::default(),
            settings,
            now,
            cross_zone_forbidden: BTreeSet::new(),
            event_observer: None,
            events: VecDeque::new(),
            actions: Vec::new(),
            undecided_requests: Vec::new(),
        }
    }

    /// Passes each event to `observer` before the policy handles it. Tests use it to compare which events reach the
    /// policy.
    pub fn set_event_observer(&mut self, observer: EventObserver) {
        self.event_observer = Some(observer);
    }

    /// The policy's estimate of each server, which includes whether the server accepts set-ups.
    #[must_use]
    pub fn server_estimates(&self, now: Time) -> Vec<ServerEstimate> {
        self.policy.server_estimates(now)
    }

    /// Number of requests that have no answer yet, including those in the recovery queue.
    #[must_use]
    pub fn waiting_requests(&self) -> usize {
        self.waiting_count + self.recovery_queue.len()
    }

    /// Number of sessions that play.
    #[must_use]
    pub fn playing_sessions(&self) -> usize {
        self.playing_count
    }

    /// Whether no new sessions are accepted.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Number of fronts among which the policy divides the limits.
    #[must_use]
    pub fn replica_count(&self) -> u32 {
        self.replica_count
    }

    /// When [`Core::expire`] must be called next; `None` if no timer is set, as before the first input.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.timers.next_expiry()
    }

    /// Handles all timers that have expired at `now`. The caller must read its sockets first: after a stall of the
    /// process, answers that arrived in time are still unread and have to be handled before the timers.
    pub fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        self.decide(now, out);
        while let Some(entry) = self.timers.pop_expired(now) {
            self.handle_expiry(entry, out);
            self.decide(now, out);
        }
    }

    /// Handles `input` at `now` and appends the resulting outputs to `out`. Equivalent to [`Core::handle_input`]
    /// followed by [`Core::decide`].
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.handle_input(now, input, out);
        self.decide(now, out);
    }

    /// Lets the policy decide on all inputs handled so far, in their order, and appends the resulting outputs to `out`.
    pub fn decide(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = now;
        self.run_policy(out);
        for request in std::mem::take(&mut self.undecided_requests) {
            self.fail_if_unanswered(request, out);
        }
        self.run_policy(out);
    }

    fn handle_expiry(&mut self, entry: TimerEntry, out: &mut Vec<Output>) {
        match entry {
            TimerEntry::PolicyTimer(token) => self.emit(Event::Timer(token)),
            TimerEntry::AttemptTimeout(attempt) => self.attempt_timed_out(attempt, out),
            TimerEntry::AnswerDeadline(request) => self.answer_deadline_expired(request, out),
            TimerEntry::ResumeWindow {
                request,
                disconnects,
            } => self.resume_window_expired(request, disconnects, out),
            TimerEntry::KeyRetention(request) => self.remove_ended(request),
            TimerEntry::RecoveryQueue => self.answer_due_in_queue(out),
            TimerEntry::RecoveryStage => self.advance_recovery(out),
        }
    }

    /// Queues an event for the policy.
    fn emit(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// The settings of a class; `None` if it is not configured.
    fn class_settings(&self, class: u8) -> Option<&SessionClass> {
        self.settings.classes.get(usize::from(class))
    }

    /// Idempotency of a class; `None` if the class is not configured.
    fn idempotency(&self, class: u8) -> Option<Idempotency> {
        self.class_settings(class).map(|class| class.idempotency)
    }

    /// Whether each set-up of the class is billed, so that a second one would bill the viewer twice.
    fn is_paid(&self, class: u8) -> bool {
        self.idempotency(class) == Some(Idempotency::AtMostOnce)
    }

    fn next_request_id(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    fn next_attempt_id(&mut self) -> AttemptId {
        self.last_attempt += 1;
        AttemptId(self.last_attempt)
    }
}

fn overload_limits(settings: &Settings, config: &CoreConfig) -> OverloadLimits {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    OverloadLimits {
        max_pending: config.max_pending,
        max_pending_per_player: config.max_pending_per_player,
        latency_objective: objectives
            .min()
            .map_or(DEFAULT_LATENCY_OBJECTIVE, Duration::from_nanos),
        max_retry_after: Duration::from_nanos(settings.max_retry_after),
    }
}
