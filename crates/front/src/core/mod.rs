//! The state machine of a front: its state, its public interface and how it is driven.
//!
//! [`dispatch`] hands inputs to their handlers: [`open`] (new requests), [`requests`] (resume, close, adopt),
//! [`players`] (disconnects), [`attempts`] and [`sessions`] (messages of servers), [`startup_recovery`] and
//! [`recovered_keys`] (after a power loss), [`shutdown`]. They queue events for the placement policy; [`actions`] runs
//! the policy and carries its actions out, [`set_up`] starts attempts. [`completion`] ends requests, [`key_retention`]
//! keeps their keys for a while.
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
    Action, Class, Event, Idempotency, PlacementPolicy, RequestId, ServerEstimate, Settings, Time,
};
use crankpaddle_recovery::{ConservativeBound, StagedRecovery};
use request::{Player, Request, SessionKey};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Observes the events that the placement policy gets.
pub type EventObserver = Box<dyn FnMut(Time, &Event) + Send>;

/// Latency objective where no class is configured.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// The state of a front. The crate's documentation describes how it is driven.
pub struct Core {
    policy: PlacementPolicy,
    settings: Settings,
    config: CoreConfig,
    overload: OverloadDetector,
    requests: BTreeMap<RequestId, Request>,
    keys: HashMap<SessionKey, RequestId>,
    /// The outstanding attempts.
    attempts: HashMap<AttemptId, RequestId>,
    players: BTreeMap<PlayerId, Player>,
    /// Ended requests whose keys are retained, oldest first.
    retained_keys: VecDeque<RequestId>,
    timers: Timers,
    /// Number of requests that wait.
    waiting: usize,
    /// Number of sessions that play.
    playing: usize,
    last_request: u64,
    last_attempt: u64,
    draining: bool,
    /// Number of fronts that the policy divides the limits by.
    replica_count: u32,
    /// Number of fronts in the fleet, as reported by peers.
    known_fronts: u32,
    /// Number of fronts before the restart, as persisted.
    previous_fronts: ConservativeBound<u32>,
    staged_recovery: StagedRecovery,
    /// How many steps of the staged recovery were reported.
    reported_transitions: usize,
    /// Whether all paid set-ups that may have left were persisted.
    intents_complete: bool,
    /// Paid keys of previous incarnations that may have run.
    unresolved_keys: BTreeSet<SessionKey>,
    recovery_queue: RecoveryQueue,
    /// Time of the current call.
    now: Time,
    /// Zones, and classes that may not be served from there.
    cross_zone_forbidden: BTreeSet<(u8, u8)>,
    event_observer: Option<EventObserver>,
    /// Events that the policy has not handled yet, in order.
    events: VecDeque<Event>,
    /// Empty between calls; kept for its capacity.
    actions: Vec<Action>,
    /// New requests that the policy has not decided yet.
    undecided_requests: Vec<RequestId>,
}

impl Core {
    /// A core that has handled nothing. `seed` initializes the policy's random choices.
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
            waiting: 0,
            playing: 0,
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

    /// Passes each event to `observer` before the policy gets it: for tests that compare what drives the policy.
    pub fn set_event_observer(&mut self, observer: EventObserver) {
        self.event_observer = Some(observer);
    }

    /// The policy's estimate of each server, and whether it accepts set-ups.
    #[must_use]
    pub fn server_estimates(&self, now: Time) -> Vec<ServerEstimate> {
        self.policy.server_estimates(now)
    }

    /// Number of requests that have no answer yet.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting + self.recovery_queue.len()
    }

    /// Number of sessions that play.
    #[must_use]
    pub fn playing(&self) -> usize {
        self.playing
    }

    /// Whether no new sessions are accepted.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// Number of fronts that the policy divides the limits by.
    #[must_use]
    pub fn replica_count(&self) -> u32 {
        self.replica_count
    }

    /// When [`Core::expire`] must be called next; `None` before the first input.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Time> {
        self.timers.next_expiry()
    }

    /// Handles all timers that have expired at `now`. Why the caller reads its sockets first: after a stall, answers
    /// that came in time are still unread and must be handled before the timers.
    pub fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        self.decide(now, out);
        while let Some(entry) = self.timers.pop_expired(now) {
            self.handle_expiry(entry, out);
            self.decide(now, out);
        }
    }

    /// Handles `input` at `now` and adds what is to be done to `out`: [`Core::handle_input`], then [`Core::decide`].
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.handle_input(now, input, out);
        self.decide(now, out);
    }

    /// Lets the policy decide on all inputs handled so far, in their order, and adds what is to be done to `out`.
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
            TimerEntry::AnswerDeadline(request) => self.answer_overdue(request, out),
            TimerEntry::ResumeWindow {
                request,
                disconnects,
            } => self.resume_window_over(request, disconnects, out),
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
    fn class_settings(&self, class: u8) -> Option<&Class> {
        self.settings.classes.get(usize::from(class))
    }

    /// Idempotency of a class; `None` if the class is not configured.
    fn idempotency(&self, class: u8) -> Option<Idempotency> {
        self.class_settings(class).map(|class| class.idempotency)
    }

    /// Whether a second set-up of the class is a second bill.
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
