//! The state machine of a front: requests, attempts, players, and what each event amounts to for the module.
mod attempts;
mod check;
mod ends;
mod players;
mod returns;

use crate::held::Queue;
use crate::keys::{Past, Standing};
use crate::messages::{
    Answer, AttemptId, Call, Effect, Failure, Input, Notice, Open, Order, PlayerId, Refusal, SetUp,
};
use crate::overload::{Bounds, Overload};
use crate::timers::{Due, Timers};
use crankpaddle::{
    Action, Ask, Event, Front, Leave, Note, Outcome, Report, RequestId, ServerId, Settings, Time,
};
use crankpaddle_recovery::{Careful, Returning, Stage};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Sees the events that the module gets.
pub type Tap = Box<dyn FnMut(Time, &Event) + Send>;

/// What holds for a core beside the module's settings. Times in nanoseconds.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Longest wait of a viewer, for each class.
    pub give_up: Vec<u64>,
    /// A request is answered so long before its viewer gives up at the latest.
    pub answer_margin: u64,
    /// A lost player may take its sessions up again within this time.
    pub resume: u64,
    /// The viewer of a session that a former life of the front had set up may come for it within this time.
    pub back: u64,
    /// Requests without an answer at once, in all.
    pub open: usize,
    /// The same for one connection.
    pub open_per_player: usize,
    /// Keys of paid sessions that ended are known for this time at least ...
    pub keep_keys: u64,
    /// ... but no more than so many of them.
    pub keys_kept: usize,
}

/// Notes kept of a session that has no answer yet.
const EARLY_NOTES: usize = 8;

struct Request {
    ask: Ask,
    key: String,
    call: Option<Call>, // The one that waits for the answer.
    player: Option<PlayerId>,
    away: u32, // How often its player was lost; a timer of an earlier loss means nothing.
    standing: Standing,
    failure: Failure, // Of the last attempt.
    ran: bool,        // An attempt may have run.
    kept_back: bool,  // The one that is out has not left.
    rung: u8,
    attempts: u8,
    out: Option<(AttemptId, ServerId, Time)>, // The attempt that is out, or plays.
    early: Option<(Outcome, Report)>,         // Its end, heard before its answer.
    early_notes: Vec<Note>,                   // Likewise.
    gives_up: Time,
}

#[derive(Default)]
struct Player {
    requests: BTreeSet<RequestId>,
    waiting: usize,
}

impl Request {
    fn new(ask: Ask, key: String, call: Option<Call>, gives_up: Time) -> Request {
        Request {
            ask,
            key,
            call,
            player: None,
            away: 0,
            standing: Standing::Waiting,
            failure: Failure::NoAnswer,
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

impl Open {
    fn ask(&self, request: RequestId, deadline: Time) -> Ask {
        Ask {
            request,
            viewer: self.viewer,
            class: self.class,
            tenant: self.tenant,
            title: self.title,
            first_cell: self.first_cell,
            copies: self.copies,
            top: self.top,
            deadline,
            hint: self.hint,
            again: self.again,
            moved: self.moved,
        }
    }
}

/// A front's state. See the crate's page for how it is driven.
pub struct Core {
    front: Front,
    settings: Settings,
    terms: Terms,
    overload: Overload,
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
    siblings: u32,       // Reckoned with now.
    members: u32,        // Of the fleet, as peers say.
    fleet: Careful<u32>, // As was kept.
    returning: Returning,
    steps_told: usize,
    sound: bool,                        // All paid set-ups that may have left were kept.
    unsettled: BTreeSet<(u16, String)>, // Paid keys of former lives that may have run.
    held: Queue,
    now: Time,                        // Of the call under way.
    held_at_home: BTreeSet<(u8, u8)>, // Zones and classes that may not go there.
    tap: Option<Tap>,
    events: VecDeque<Event>, // For the module, in order.
    actions: Vec<Action>,
    opened: Vec<RequestId>, // Heard and not decided yet.
}

impl Core {
    /// A core that has heard nothing. `seed` feeds the module's random choices.
    pub fn new(settings: Settings, terms: Terms, seed: u64, now: Time) -> Core {
        let aim = settings
            .classes
            .iter()
            .map(|c| c.aim)
            .min()
            .unwrap_or(1_000_000_000);
        let bounds = Bounds {
            open: terms.open,
            open_per_player: terms.open_per_player,
            aim,
            stay_away: settings.stay_away_cap,
        };
        Core {
            front: Front::new(settings.clone(), seed, now),
            overload: Overload::new(bounds),
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
            siblings: settings.siblings,
            members: 0,
            fleet: Careful::default(),
            returning: Returning::none(now.0),
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
    pub fn set_tap(&mut self, tap: Tap) {
        self.tap = Some(tap);
    }

    /// What the module believes of each server: link and uplink asked over given, and whether it takes set-ups.
    pub fn beliefs(&self, now: Time) -> Vec<(ServerId, f64, f64, bool)> {
        self.front.beliefs(now)
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
    pub fn expire(&mut self, now: Time, out: &mut Vec<Effect>) {
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

    /// Takes what was heard at `now` and adds what is to be done for it to `out`: [`Core::hear`], then [`Core::decide`].
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        self.hear(now, input, out);
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
    pub fn hear(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
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
            Input::PlayerGone(player) => self.player_gone(now, player),
            Input::Roster(kind, entries) => self.events.push_back(Event::Roster(kind, entries)),
            Input::SetUp(attempt, SetUp::Started(report)) => {
                self.started(now, attempt, report, out);
            }
            Input::SetUp(attempt, SetUp::Ended(outcome, report)) => {
                self.attempt_ended(attempt, outcome, report);
            }
            Input::KeptBack(attempt, kept_back) => self.kept_back(attempt, kept_back),
            Input::Note(attempt, note) => self.note(attempt, note),
            Input::Over(attempt, outcome, report) => self.over(attempt, outcome, report, out),
            Input::Crossing { zone, class, leave } => {
                let _ = match leave {
                    Leave::Never => self.held_at_home.insert((zone, class)),
                    Leave::Free | Leave::Last => self.held_at_home.remove(&(zone, class)),
                };
                self.events
                    .push_back(Event::Crossing { zone, class, leave });
            }
            Input::Lowered(attempt, lowered) => self.lowered(attempt, lowered),
            Input::Probed(server, outcome, report) => self.events.push_back(Event::Probed {
                server,
                outcome,
                report,
            }),
            Input::Members(known) => {
                self.members = known;
                self.reckon();
            }
            Input::ServersKnown => {
                self.returning.listed(now.0);
                self.step(now, out);
            }
            Input::Settled => {
                self.returning.settled(now.0);
                self.step(now, out);
            }
            Input::Serve => self.serve(now, out),
            Input::Unsettled { tenant, key } => self.unsettled(tenant, key),
            Input::Recovered {
                tenant,
                key,
                class,
                past,
            } => self.recovered(tenant, key, class, past),
            Input::Found {
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
    pub fn decide(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.now = now;
        self.run_module(now, out);
        for id in std::mem::take(&mut self.opened) {
            self.left_unanswered(id, out);
        }
        self.run_module(now, out);
    }

    /// Gives the module what waits for it and carries its actions out, until nothing is left of either.
    fn run_module(&mut self, now: Time, out: &mut Vec<Effect>) {
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

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::Attempt {
                request,
                server,
                timeout,
            } => self.attempt(now, request, server, timeout, out),
            Action::Rung { request, rung } => {
                let Some(r) = self.requests.get_mut(&request) else {
                    return;
                };
                r.rung = rung;
                if let (Standing::Playing, Some((attempt, server, _))) = (r.standing, r.out) {
                    out.push(Effect::SetRung(attempt, server, rung));
                    out.extend(
                        r.player
                            .map(|p| Effect::Notify(p, request, Notice::Rung(rung))),
                    );
                }
            }
            Action::Reject { request, stay_away } => {
                let class = self.requests.get(&request).map(|r| r.ask.class);
                if self.stage() == Stage::Paid && class.is_some_and(|class| self.is_paid(class)) {
                    self.returning.turned_away(now.0, stay_away);
                }
                let held =
                    class.is_some_and(|class| self.held_at_home.iter().any(|(_, c)| *c == class));
                let why = if held {
                    Refusal::HeldAtHome
                } else {
                    Refusal::NoRoom
                };
                self.answer_waiting(request, Answer::Refused(why, stay_away), out);
            }
            Action::Fail(request) => {
                let failure = self
                    .requests
                    .get(&request)
                    .map_or(Failure::NoAnswer, |r| r.failure);
                self.answer_waiting(request, Answer::Failed(failure), out);
            }
            Action::Cancel { request, attempt } => {
                let Some(r) = self
                    .requests
                    .get(&request)
                    .filter(|r| r.attempts == attempt.wrapping_add(1))
                else {
                    return;
                };
                if let (Standing::Waiting, Some((id, server, _))) = (r.standing, r.out) {
                    out.push(Effect::Abandon(id, server));
                    self.attempt_ended(id, Outcome::Cancelled, Report::new());
                }
            }
            Action::Move(request) => {
                let player = self.requests.get(&request).and_then(|r| r.player);
                if self.end_playing(
                    request,
                    Outcome::Cancelled,
                    Report::new(),
                    Past::Moved,
                    Some(out),
                ) {
                    out.extend(player.map(|p| Effect::Notify(p, request, Notice::Move)));
                }
            }
            Action::Wake { at, token } => self.timers.set(at, Due::Wake(token)),
            Action::Probe(server) => out.push(Effect::Probe(server)),
            Action::Subscribe => out.push(Effect::Subscribe),
            Action::FetchRoster => out.push(Effect::FetchRoster),
            Action::Tell(_) => {} // Fronts never talk to each other.
            Action::Log(line) => out.push(Effect::Log(line)),
        }
    }

    /// Whether an attempt that is out and was not written yet may still be: asked right before, since its connection may have
    /// taken long to come about. Call after [`Core::decide`], so that all that was heard counts.
    pub fn may_leave(&self, now: Time, attempt: AttemptId) -> bool {
        let request = self
            .attempts
            .get(&attempt)
            .and_then(|id| Some((*id, self.requests.get(id)?)));
        request.is_some_and(|(id, r)| {
            let out = r.out.is_some_and(|(out, _, _)| out == attempt);
            out && r.standing == Standing::Waiting
                && now < r.gives_up
                && self.front.may_leave(now, id)
        })
    }

    fn attempt(
        &mut self,
        now: Time,
        id: RequestId,
        server: ServerId,
        timeout: u64,
        out: &mut Vec<Effect>,
    ) {
        let (settings, requests) = (&self.settings, &mut self.requests);
        // The last guard before the wire, whatever was decided: one attempt out at a time, none for an answered
        // request, none for a paid one that may have run.
        let may = |r: &Request| {
            let effect = settings
                .classes
                .get(usize::from(r.ask.class))
                .map(|c| c.effect);
            let twice = r.ran && effect == Some(crankpaddle::Effect::SingleShot);
            r.standing == Standing::Waiting && r.out.is_none() && !twice && now < r.ask.deadline
        };
        let known = requests.get(&id);
        let (number, closed) =
            known.map_or((0, true), |r| (r.attempts, r.standing != Standing::Waiting));
        let Some(r) = requests.get_mut(&id).filter(|r| may(r)) else {
            // Also where its viewer left between what was heard and what is decided on it: the module must not go on
            // counting a set-up that never went out.
            let (request, attempt, outcome, report) = (id, number, Outcome::Moot, Report::new());
            self.events.push_back(Event::Ended {
                request,
                attempt,
                server,
                outcome,
                closed,
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
        let order = Order {
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
        out.push(Effect::SetUp {
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
pub fn spread(n: u64) -> f64 {
    let mut z = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}
