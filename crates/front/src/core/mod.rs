//! The state machine of a front: requests, attempts, players, and what each event amounts to for the module.
mod attempts;
mod completion;
mod invariants;
mod players;
mod startup_recovery;

use crate::io::{
    Answer, AttemptId, Call, FailureReason, Input, Notification, OpenRequest, Output, PlayerId,
    RejectReason, SetUpOrder, SetUpResult,
};
use crate::keys::{KeyState, RequestOutcome};
use crate::overload::{OverloadDetector, OverloadLimits};
use crate::recovery_queue::Queue;
use crate::timers::{Due, Timers};
use crankpaddle::{
    Action, AttemptOutcome, CrossZonePolicy, Event, LoadReport, PlacementPolicy, RequestId,
    ServerId, SessionRequest, SessionUpdate, Settings, Time,
};
use crankpaddle_recovery::{ConservativeBound, RecoveryStage, StagedRecovery};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Sees the events that the module gets.
pub type EventObserver = Box<dyn FnMut(Time, &Event) + Send>;

/// What holds for a core beside the module's settings. Times in nanoseconds.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Longest wait of a viewer, for each class.
    pub max_wait: Vec<u64>,
    /// A request is answered so long before its viewer gives up at the latest.
    pub answer_margin: u64,
    /// A lost player may take its sessions up again within this time.
    pub resume_window: u64,
    /// The viewer of a session that a former life of the front had set up may come for it within this time.
    pub recovered_resume_window: u64,
    /// Requests without an answer at once, in all.
    pub max_pending: usize,
    /// The same for one connection.
    pub max_pending_per_player: usize,
    /// Keys of paid sessions that ended are known for this time at least ...
    pub key_retention: u64,
    /// ... but no more than so many of them.
    pub max_retained_keys: usize,
}

/// Notes kept of a session that has no answer yet.
const EARLY_NOTES: usize = 8;

struct Request {
    ask: SessionRequest,
    key: String,
    call: Option<Call>, // The one that waits for the answer.
    player: Option<PlayerId>,
    away: u32, // How often its player was lost; a timer of an earlier loss means nothing.
    standing: KeyState,
    failure: FailureReason, // Of the last attempt.
    ran: bool,              // An attempt may have run.
    kept_back: bool,        // The one that is out has not left.
    rung: u8,
    attempts: u8,
    out: Option<(AttemptId, ServerId, Time)>, // The attempt that is out, or plays.
    early: Option<(AttemptOutcome, LoadReport)>, // Its end, heard before its answer.
    early_notes: Vec<SessionUpdate>,          // Likewise.
    gives_up: Time,
}

#[derive(Default)]
struct Player {
    requests: BTreeSet<RequestId>,
    waiting: usize,
}

impl Request {
    fn new(ask: SessionRequest, key: String, call: Option<Call>, gives_up: Time) -> Request {
        Request {
            ask,
            key,
            call,
            player: None,
            away: 0,
            standing: KeyState::Waiting,
            failure: FailureReason::NoAnswer,
            ran: false,
            kept_back: false,
            rung: 0,
            attempts: 0,
            out: None,
            early: None,
            early_notes: Vec::new(),
            gives_up,
        }
    }
}

impl OpenRequest {
    fn ask(&self, request: RequestId, deadline: Time) -> SessionRequest {
        SessionRequest {
            request,
            viewer: self.viewer,
            class: self.class,
            tenant: self.tenant,
            title: self.title,
            first_cell: self.first_cell,
            cell_count: self.cell_count,
            max_rung: self.max_rung,
            deadline,
            duration_hint: self.duration_hint,
            is_retry: self.is_retry,
            is_migration: self.is_migration,
        }
    }
}

/// A front's state. See the crate's page for how it is driven.
pub struct Core {
    front: PlacementPolicy,
    settings: Settings,
    terms: CoreConfig,
    overload: OverloadDetector,
    requests: BTreeMap<RequestId, Request>,
    keys: HashMap<(u16, String), RequestId>,
    attempts: HashMap<AttemptId, RequestId>,
    players: BTreeMap<PlayerId, Player>,
    kept: VecDeque<RequestId>,
    timers: Timers,
    waiting: usize,
    playing: usize,
    last_request: u64,
    last_attempt: u64,
    draining: bool,
    siblings: u32,                 // Reckoned with now.
    members: u32,                  // Of the fleet, as peers say.
    fleet: ConservativeBound<u32>, // As was kept.
    returning: StagedRecovery,
    steps_told: usize,
    sound: bool,                        // All paid set-ups that may have left were kept.
    unsettled: BTreeSet<(u16, String)>, // Paid keys of former lives that may have run.
    held: Queue,
    now: Time,                        // Of the call under way.
    held_at_home: BTreeSet<(u8, u8)>, // Zones and classes that may not go there.
    tap: Option<EventObserver>,
    events: VecDeque<Event>, // For the module, in order.
    actions: Vec<Action>,
    opened: Vec<RequestId>, // Heard and not decided yet.
}

impl Core {
    /// A core that has heard nothing. `seed` feeds the module's random choices.
    pub fn new(settings: Settings, terms: CoreConfig, seed: u64, now: Time) -> Core {
        let aim = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .min()
            .unwrap_or(1_000_000_000);
        let bounds = OverloadLimits {
            max_pending: terms.max_pending,
            max_pending_per_player: terms.max_pending_per_player,
            latency_objective: aim,
            max_retry_after: settings.max_retry_after,
        };
        Core {
            front: PlacementPolicy::new(settings.clone(), seed, now),
            overload: OverloadDetector::new(bounds),
            terms,
            requests: BTreeMap::new(),
            keys: HashMap::new(),
            attempts: HashMap::new(),
            players: BTreeMap::new(),
            kept: VecDeque::new(),
            timers: Timers::default(),
            waiting: 0,
            playing: 0,
            last_request: 0,
            last_attempt: 0,
            draining: false,
            siblings: settings.replica_count,
            members: 0,
            fleet: ConservativeBound::default(),
            returning: StagedRecovery::not_needed(now.0),
            steps_told: 0,
            sound: true,
            unsettled: BTreeSet::new(),
            held: Queue::default(),
            settings,
            now,
            held_at_home: BTreeSet::new(),
            tap: None,
            events: VecDeque::new(),
            actions: Vec::new(),
            opened: Vec::new(),
        }
    }

    /// Shows each event to `tap` before the module gets it: for tests that compare what drives it.
    pub fn set_event_observer(&mut self, tap: EventObserver) {
        self.tap = Some(tap);
    }

    /// What the module believes of each server: link and uplink asked over given, and whether it takes set-ups.
    pub fn beliefs(&self, now: Time) -> Vec<crankpaddle::ServerEstimate> {
        self.front.server_estimates(now)
    }

    /// Requests that have no answer yet.
    pub fn waiting(&self) -> usize {
        self.waiting + self.held.len()
    }

    /// Sessions that play.
    pub fn playing(&self) -> usize {
        self.playing
    }

    /// Whether nothing new is taken.
    pub fn draining(&self) -> bool {
        self.draining
    }

    /// When [`Core::expire`] must be called next; `None` before anything was heard.
    pub fn next_expiry(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Lets fall due what is due at `now`. Danger: after a stall, answers that came in time still lie unread; read
    /// and handle them first, and only then call this.
    pub fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        self.decide(now, out);
        while let Some(due) = self.timers.pop(now) {
            match due {
                Due::Wake(token) => self.events.push_back(Event::Timer(token)),
                Due::Attempt(attempt) => self.timed_out(now, attempt, out),
                Due::Answer(request) => self.overdue(now, request, out),
                Due::Away(request, loss) => self.stayed_away(request, loss, out),
                Due::Forget(request) => self.forget(request),
                Due::Held => self.held_too_long(now, out),
                Due::Stage => self.step(now, out),
            }
            self.decide(now, out);
        }
    }

    /// Takes what was heard at `now` and adds what is to be done for it to `out`: [`Core::handle_input`], then [`Core::decide`].
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.handle_input(now, input, out);
        self.decide(now, out);
    }

    /// Takes what was heard at `now` and adds to `out` what is owed for it whatever the module decides: answers of servers
    /// passed on, ends, withdrawals. Carry these out, hear on, and only then call [`Core::decide`]. Nothing may lie between
    /// an input and its decision but further inputs.
    ///
    /// Danger: an answer that waits for the module's work on the same event (sizing, raises) or on those heard before it
    /// reaches a viewer who has just gone; on a small share of a core some tens of microseconds are half a millisecond.
    /// Also covered: ends that overtake answers. Harm: the module hears of the others of a batch late by what the batch
    /// takes to be heard.
    pub fn handle_input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.now = now;
        match input {
            Input::Open {
                call,
                open,
                received,
            } => self.open(now, call, open, received, None, out),
            Input::Resume { call, tenant, key } => self.resume(call, tenant, key, out),
            Input::Close { call, session } => self.close(call, session, out),
            Input::Adopt {
                player,
                open,
                server,
            } => self.adopt(now, player, open, server, out),
            Input::Leave(player) => self.leave(player, out),
            Input::PlayerDisconnected(player) => self.player_gone(now, player),
            Input::EndpointList(kind, entries) => {
                self.events.push_back(Event::EndpointList(kind, entries));
            }
            Input::SetUpCompleted(attempt, SetUpResult::Started(report)) => {
                self.started(now, attempt, report, out);
            }
            Input::SetUpCompleted(attempt, SetUpResult::Ended(outcome, report)) => {
                self.attempt_ended(attempt, outcome, report);
            }
            Input::SendDeferred(attempt, kept_back) => self.kept_back(attempt, kept_back),
            Input::SessionUpdated(attempt, note) => self.note(attempt, note),
            Input::SessionEnded(attempt, outcome, report) => {
                self.over(attempt, outcome, report, out);
            }
            Input::CrossZonePolicyChanged { zone, class, leave } => {
                let _ = match leave {
                    CrossZonePolicy::Forbidden => self.held_at_home.insert((zone, class)),
                    CrossZonePolicy::Allowed | CrossZonePolicy::LastResort => {
                        self.held_at_home.remove(&(zone, class))
                    }
                };
                self.events.push_back(Event::CrossZonePolicyChanged {
                    zone,
                    class,
                    policy: leave,
                });
            }
            Input::RateCapped(attempt, lowered) => self.lowered(attempt, lowered),
            Input::HealthCheckCompleted(server, outcome, report) => {
                self.events.push_back(Event::HealthCheckCompleted {
                    server,
                    outcome,
                    report,
                });
            }
            Input::FleetSizeChanged(known) => {
                self.members = known;
                self.reckon();
            }
            Input::EndpointsKnown => {
                self.returning.endpoints_known(now.0);
                self.step(now, out);
            }
            Input::ReconciliationCompleted => {
                self.returning.reconciliation_completed(now.0);
                self.step(now, out);
            }
            Input::ServiceResumed => self.serve(now, out),
            Input::KeyUnresolved { tenant, key } => self.unsettled(tenant, key),
            Input::KeyResolved {
                tenant,
                key,
                class,
                past,
            } => self.recovered(tenant, key, class, past),
            Input::SessionFound {
                token,
                open,
                server,
            } => self.found(now, token, open, server, out),
            Input::Drain => self.draining = true,
            Input::Stop => self.stop(out),
        }
    }

    // ---- the decision module ----

    /// Lets the module decide on all that was heard, in its order, and adds what is to be done for it to `out`.
    pub fn decide(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = now;
        self.run_module(now, out);
        for id in std::mem::take(&mut self.opened) {
            self.left_unanswered(id, out);
        }
        self.run_module(now, out);
    }

    /// Gives the module what waits for it and carries its actions out, until nothing is left of either.
    fn run_module(&mut self, now: Time, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            if let Some(tap) = &mut self.tap {
                tap(now, &event);
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.front.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => self.attempt(now, request, server, timeout, out),
            Action::SetRung { request, rung } => {
                let Some(r) = self.requests.get_mut(&request) else {
                    return;
                };
                r.rung = rung;
                if let (KeyState::Playing, Some((attempt, server, _))) = (r.standing, r.out) {
                    out.push(Output::SetRung(attempt, server, rung));
                    out.extend(
                        r.player
                            .map(|p| Output::Notify(p, request, Notification::RungChanged(rung))),
                    );
                }
            }
            Action::Reject {
                request,
                retry_after: stay_away,
            } => {
                let class = self.requests.get(&request).map(|r| r.ask.class);
                if self.stage() == RecoveryStage::PaidOnly
                    && class.is_some_and(|class| self.is_paid(class))
                {
                    self.returning.paid_rejected(now.0, stay_away);
                }
                let held =
                    class.is_some_and(|class| self.held_at_home.iter().any(|(_, c)| *c == class));
                let why = if held {
                    RejectReason::CrossZoneForbidden
                } else {
                    RejectReason::NoCapacity
                };
                self.answer_waiting(request, Answer::Rejected(why, stay_away), out);
            }
            Action::Fail(request) => {
                let failure = self
                    .requests
                    .get(&request)
                    .map_or(FailureReason::NoAnswer, |r| r.failure);
                self.answer_waiting(request, Answer::Failed(failure), out);
            }
            Action::CancelAttempt { request, attempt } => {
                let Some(r) = self
                    .requests
                    .get(&request)
                    .filter(|r| r.attempts == attempt.wrapping_add(1))
                else {
                    return;
                };
                if let (KeyState::Waiting, Some((id, server, _))) = (r.standing, r.out) {
                    out.push(Output::AbandonAttempt(id, server));
                    self.attempt_ended(id, AttemptOutcome::Cancelled, LoadReport::new());
                }
            }
            Action::MigrateSession(request) => {
                let player = self.requests.get(&request).and_then(|r| r.player);
                if self.end_playing(
                    request,
                    AttemptOutcome::Cancelled,
                    LoadReport::new(),
                    RequestOutcome::Migrated,
                    Some(out),
                ) {
                    out.extend(player.map(|p| Output::Notify(p, request, Notification::Migrate)));
                }
            }
            Action::SetTimer { at, token } => self.timers.set(at, Due::Wake(token)),
            Action::HealthCheck(server) => out.push(Output::HealthCheck(server)),
            Action::SubscribeEndpoints => out.push(Output::SubscribeEndpoints),
            Action::FetchEndpoints => out.push(Output::FetchEndpoints),
            Action::Broadcast(_) => {} // Fronts never talk to each other.
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    /// Whether an attempt that is out and was not written yet may still be: asked right before, since its connection may have
    /// taken long to come about. Call after [`Core::decide`], so that all that was heard counts.
    pub fn may_send(&self, now: Time, attempt: AttemptId) -> bool {
        let request = self
            .attempts
            .get(&attempt)
            .and_then(|id| Some((*id, self.requests.get(id)?)));
        request.is_some_and(|(id, r)| {
            let out = r.out.is_some_and(|(out, _, _)| out == attempt);
            out && r.standing == KeyState::Waiting
                && now < r.gives_up
                && self.front.may_send(now, id)
        })
    }

    fn attempt(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        timeout: u64,
        out: &mut Vec<Output>,
    ) {
        let (settings, requests) = (&self.settings, &mut self.requests);
        // The last guard before the wire, whatever was decided: one attempt out at a time, none for an answered
        // request, none for a paid one that may have run.
        let may = |r: &Request| {
            let effect = settings
                .classes
                .get(usize::from(r.ask.class))
                .map(|c| c.idempotency);
            let twice = r.ran && effect == Some(crankpaddle::Idempotency::AtMostOnce);
            r.standing == KeyState::Waiting && r.out.is_none() && !twice && now < r.ask.deadline
        };
        let known = requests.get(&id);
        let (number, closed) =
            known.map_or((0, true), |r| (r.attempts, r.standing != KeyState::Waiting));
        let Some(r) = requests.get_mut(&id).filter(|r| may(r)) else {
            // Also where its viewer left between what was heard and what is decided on it: the module must not go on
            // counting a set-up that never went out.
            let (request, attempt, outcome, report) =
                (id, number, AttemptOutcome::NotSent, LoadReport::new());
            self.events.push_back(Event::AttemptEnded {
                request,
                attempt,
                server,
                outcome,
                is_final: closed,
                report,
            });
            return;
        };
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        r.attempts = r.attempts.saturating_add(1);
        r.out = Some((attempt, server, now));
        r.kept_back = false;
        if timeout > 0 {
            self.timers
                .set(Time(now.0.saturating_add(timeout)), Due::Attempt(attempt));
        }
        self.attempts.insert(attempt, id);
        let key = r.key.clone();
        let order = SetUpOrder {
            key,
            class: r.ask.class,
            tenant: r.ask.tenant,
            title: r.ask.title,
            rung: r.rung,
        };
        let allowed = if timeout > 0 {
            now.0.saturating_add(timeout)
        } else {
            u64::MAX
        };
        let until = Time(r.ask.deadline.0.min(allowed));
        out.push(Output::StartSetUp {
            attempt,
            request: id,
            number,
            server,
            order,
            until,
        });
    }
}

/// A number in 0..1 that follows from `n` (splitmix64): it spreads advice among those who get it together, and is the
/// dice of stand-ins that must fall alike in each run.
pub fn jitter(n: u64) -> f64 {
    let mut z = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
