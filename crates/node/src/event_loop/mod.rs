//! The one place where all is heard in one order and acted on: it owns the core. It never waits for a socket.
mod attempt_dispatch;
mod client_requests;
mod list;
mod server_messages;
mod servers;

use crate::connection_table::{Conn, ConnId};
use crate::health::{Dialed, Health};
use crate::links;
use crate::shared::{count, LinkId, Msg, Shared};
use attempt_dispatch::{Leaving, LOOK_AGAIN};
use crankpaddle_front::{
    Answer, AttemptId, AttemptOutcome, Call, Core, CoreConfig, Endpoint, EndpointListKind,
    EventObserver, Input, Lifecycle, LoadReport, Notification, OpenRequest, Output, PlayerId,
    RejectReason, ServerId, SessionEndReason, SessionUpdate, SetUpOrder, SetUpResult, Time,
};
use crankpaddle_net::{
    clock, drain_after_stall, drain_queue, recv_until, sleep, Peer, WriteBuffer,
};
use crankpaddle_node_protocol::directory::{Entry, List, State};
use crankpaddle_node_protocol::rtsp::{self, cseq, Kind};
use crankpaddle_node_protocol::viewers::{self, cause, Message, SetUpParams};
use crankpaddle_node_protocol::Tag;
use may::sync::mpsc::Receiver;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::time::Duration;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1000 * MILLISECOND;
/// Links and what is to be released are looked through so often.
const KEEP_HOUSE: u64 = 100 * MILLISECOND;
/// Counters are logged so often.
const TELL_COUNTS: u64 = 10 * SECOND;
/// Messages taken before timers are looked at.
const BATCH: usize = 128;
/// A set-up is answered so long before its viewer gives up at the latest.
const MARGIN: u64 = 15 * MILLISECOND;
/// What a viewer may wait beyond its class's deadline; more is out of range.
const LEFT_SLACK: u64 = SECOND;
/// A link on which an attempt timed out in silence is closed after this time.
const STALE_FOR: u64 = 2 * SECOND;
/// A release that can't be sent is tried for this long.
const RELEASE_FOR: u64 = 8 * SECOND;
/// A server that answers an abandoned set-up so late is not waited for any more.
const ABANDONED_FOR: u64 = 10 * SECOND;
/// After SIGTERM requests still come on their way.
const STILL_COMING: u64 = 900 * MILLISECOND;
/// What is unread then is read for this time more; beyond, only a client that never stops has any.
const STILL_UNREAD: u64 = 2 * SECOND;
/// Before it ends, all sockets get a turn in this time.
const LAST_LOOK: Duration = Duration::from_millis(20);
/// Connections looked for, for one set-up of which nothing was written.
const MOST_TRIES: u32 = 2;
/// Connections to one server at most, each with one set-up out; beyond, set-ups share.
const MOST_LINKS: usize = 8;

/// A viewer's session.
struct Session {
    tag: Tag,
    conn: ConnId,
    class: u8,
    title: String,
    blob: String, // The viewer's until the answer, then nothing.
    stands: bool,
}

/// An attempt that is out or plays.
struct Live {
    player: PlayerId,
    tag: Tag,
    server: ServerId,
    link: Option<LinkId>,
    rung: u8,
    until: Time,
    sent: Option<u64>, // When it was written; before, it can't have run.
    answered: bool,
    tries: u32, // Connections looked for.
}

struct Link {
    server: ServerId,
    outbox: Option<Arc<WriteBuffer>>, // None while it is connecting.
    open: Vec<AttemptId>, // Set-ups on it without an answer, or waiting for it to come up.
    heard: u64,
    stale: Option<u64>, // Since when it is not to be used, because an attempt on it timed out in silence.
    dialed: u64,        // When it was begun.
}

struct Server {
    address: SocketAddr,
    listed: bool,
    health: Health,
    links: Vec<LinkId>, // The last used last.
    held: HashMap<Tag, AttemptId>,
    standing: usize,
    abandoned: HashMap<Tag, u64>, // Set-ups given up, and until when a late answer is waited for.
    unsent: VecDeque<(u64, Vec<u8>)>, // What no connection could take, and until when.
}

pub(crate) struct EventLoop {
    shared: Arc<Shared>,
    core: Core,
    conns: BTreeMap<ConnId, Arc<Conn>>,
    served: Vec<ConnId>, // Connections on which a session was set up, the latest last.
    sessions: BTreeMap<PlayerId, Session>,
    tags: HashMap<Tag, PlayerId>,
    live: HashMap<AttemptId, Live>,
    leaving: VecDeque<Leaving>, // Attempts that leave once all that was heard is decided on.
    servers: BTreeMap<ServerId, Server>,
    links: BTreeMap<LinkId, Link>,
    listings: BTreeMap<ServerId, Entry>,
    strange: Vec<(String, &'static str)>, // Servers of the last list that do not fit the settings, and why.
    unsaid: VecDeque<(u64, Vec<u8>)>, // Releases to viewers that no connection could take, and until when.
    last_player: u64,
    last_link: u64,
    release_cause: u16,      // What a teardown under way is for.
    inputs: VecDeque<Input>, // For the core, once the effects under way are carried out.
    busy: bool,
    effects: Vec<Output>,
    drained: Option<u64>,
    read: VecDeque<Msg>, // What lies in the queue behind the message that is being heard.
}

fn terms(shared: &Shared) -> CoreConfig {
    let deadlines = &shared.config.fleet.deadlines;
    CoreConfig {
        max_wait: deadlines
            .iter()
            .map(|deadline| deadline.saturating_add(LEFT_SLACK))
            .collect(),
        answer_margin: MARGIN,
        resume_window: 0,
        recovered_resume_window: 0, // Nothing is kept here.
        max_pending: shared.budget.open,
        max_pending_per_player: 1,
        key_retention: 0,
        max_retained_keys: 0, // Each set-up has an id of its own.
    }
}

impl EventLoop {
    pub(crate) fn new(shared: Arc<Shared>, tap: Option<EventObserver>) -> EventLoop {
        let config = &shared.config;
        let mut core = Core::new(
            config.fleet.settings.clone(),
            terms(&shared),
            config.seed,
            Time(clock::now()),
        );
        tap.into_iter().for_each(|tap| core.set_event_observer(tap));
        let known = config.known.clone();
        let mut hub = EventLoop {
            core,
            conns: BTreeMap::new(),
            served: Vec::new(),
            sessions: BTreeMap::new(),
            tags: HashMap::new(),
            live: HashMap::new(),
            leaving: VecDeque::new(),
            servers: BTreeMap::new(),
            links: BTreeMap::new(),
            listings: BTreeMap::new(),
            strange: Vec::new(),
            unsaid: VecDeque::new(),
            last_player: 0,
            last_link: 0,
            release_cause: cause::CANCELLED,
            inputs: VecDeque::new(),
            busy: false,
            effects: Vec::new(),
            drained: None,
            read: VecDeque::new(),
            shared,
        };
        hub.list(known, EndpointListKind::Cached);
        hub
    }

    /// Runs until the node has ended.
    pub(crate) fn run(mut self, inbox: &Receiver<Msg>) {
        let mut house = clock::now() + KEEP_HOUSE;
        let (mut tell, mut beliefs) = (clock::now() + TELL_COUNTS, clock::now());
        while !self.has_ended() {
            let now = clock::now();
            let again = if self.leaving.is_empty() {
                u64::MAX
            } else {
                now.saturating_add(LOOK_AGAIN)
            };
            let due = self
                .core
                .next_expiry()
                .map_or(u64::MAX, |t| t.0)
                .min(house)
                .min(again);
            if due > now {
                match recv_until(inbox, due) {
                    Ok(msg) => self.enqueue(msg),
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => break,
                }
            }
            self.hear_all(inbox);
            let due = self.core.next_expiry().map_or(u64::MAX, |t| t.0);
            if drain_after_stall(due, || self.hear_all(inbox) == BATCH) {
                tracing::warn!("stood still");
            }
            let now = clock::now();
            if now >= house {
                house = now + KEEP_HOUSE;
                self.keep_house(now);
            }
            self.decide();
            if tracing::enabled!(tracing::Level::TRACE) && now >= beliefs {
                beliefs = now + SECOND / 2;
                for estimate in self.core.beliefs(Time(now)) {
                    tracing::trace!(
                        server = estimate.server.0,
                        link = estimate.link_fill,
                        uplink = estimate.uplink_fill,
                        usable = estimate.usable,
                        "believed"
                    );
                }
            }
            if now >= tell {
                tell = now + TELL_COUNTS;
                tracing::info!(counts = ?self.shared.counts(), shed = ?self.shared.shed, "counts");
            }
        }
        tracing::info!("ended");
    }

    /// Whether nothing is owed any more, twice with a pause in between in which all that the kernel holds is read.
    fn has_ended(&self) -> bool {
        if !self.owes_nothing() {
            return false;
        }
        sleep(LAST_LOOK);
        self.owes_nothing()
    }

    /// Danger: a process that ends takes with it what lies unread, unheard or unsent, also where each set-up that it heard of has
    /// its answer. Harm: who sends without a pause, or never reads an answer, keeps it for as long as is stated.
    fn owes_nothing(&self) -> bool {
        let Some(at) = self.drained else { return false };
        let now = clock::now();
        let past = |time| now > at.saturating_add(time);
        past(STILL_COMING)
            && self.core.waiting() == 0
            && self.core.playing() == 0
            && self.unsaid.is_empty()
            && !self
                .shared
                .viewers
                .owe(now, !past(STILL_COMING + STILL_UNREAD))
    }

    /// Hears what was read, and what lies in the queue; how many messages of the queue.
    fn hear_all(&mut self, inbox: &Receiver<Msg>) -> usize {
        let count = drain_queue(inbox, BATCH, |msg| self.enqueue(msg));
        while let Some(msg) = self.read.pop_front() {
            self.hear(msg);
        }
        count
    }

    /// Puts a message behind what was read, those of one reading one by one.
    fn enqueue(&mut self, msg: Msg) {
        match msg {
            Msg::Server(link, messages) => {
                self.read
                    .extend(messages.into_iter().map(|m| Msg::Server(link, vec![m])));
            }
            other => self.read.push_back(other),
        }
    }

    fn hear(&mut self, msg: Msg) {
        match msg {
            Msg::Joined(conn) => drop(self.conns.insert(conn.id, conn)),
            Msg::Viewer(conn, message, read) => {
                self.viewer(conn, message, read);
                // Only now: what it owes is counted elsewhere by now.
                if let Some(conn) = self.conns.get(&conn) {
                    conn.unheard.fetch_sub(1, Ordering::AcqRel);
                }
            }
            Msg::Gone(conn) => self.gone(conn),
            Msg::Dialed(link, how, outbox) => self.dialed(link, how, outbox),
            Msg::Server(link, messages) => messages
                .iter()
                .for_each(|message| self.server(link, message)),
            Msg::LinkDown(link, spoilt) => self.link_ended(link, spoilt),
            Msg::List(list) => self.list(list, EndpointListKind::Delta),
            Msg::Drain => {
                if self.drained.is_none() {
                    tracing::info!(counts = ?self.shared.counts(), "draining");
                    self.drained = Some(clock::now());
                    self.tell_core(Input::Drain);
                }
            }
        }
    }

    /// Tells the core, or, while effects are being carried out, tells it after them. What is owed whatever is decided
    /// leaves now; the module decides on it in [`EventLoop::decide`], once all that lies in the queue was heard.
    fn tell_core(&mut self, input: Input) {
        self.inputs.push_back(input);
        if !self.busy {
            self.hear_inputs();
        }
    }

    fn hear_inputs(&mut self) {
        self.busy = true;
        while let Some(input) = self.inputs.pop_front() {
            self.core
                .handle_input(Time(clock::now()), input, &mut self.effects);
            self.tell_counts(); // Before whoever is answered can ask for them.
            self.carry_out();
        }
        self.busy = false;
    }

    /// Lets the module decide on what was heard, and what is due fall due.
    fn decide(&mut self) {
        self.with_core(Core::expire);
        loop {
            while !self.inputs.is_empty() {
                self.hear_inputs();
                self.with_core(Core::decide);
            }
            self.busy = true;
            self.leave();
            self.busy = false;
            // What was taken back, or found no connection, is decided on again; each has so many attempts.
            if self.inputs.is_empty() {
                return;
            }
        }
    }

    fn with_core(&mut self, call: impl FnOnce(&mut Core, Time, &mut Vec<Output>)) {
        self.busy = true;
        call(&mut self.core, Time(clock::now()), &mut self.effects);
        self.tell_counts();
        self.carry_out();
        self.busy = false;
    }

    fn tell_counts(&self) {
        self.shared
            .waiting
            .store(self.core.waiting(), Ordering::Relaxed);
        self.shared
            .playing
            .store(self.core.playing(), Ordering::Relaxed);
    }

    fn carry_out(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Output::Answer(call, answer) => self.answer(call.player, &answer),
                Output::Notify(player, _, notice) => self.notify(player, notice),
                Output::StartSetUp {
                    attempt,
                    server,
                    order,
                    until,
                    ..
                } => self.set_up(attempt, server, &order, until),
                Output::SessionAdopted {
                    player,
                    attempt,
                    server,
                } => self.holds(player, attempt, server),
                Output::FoundSessionHandled { .. } | Output::StageReached(..) => {} // Nothing is kept here.
                Output::AbandonAttempt(attempt, server) => self.abandon(attempt, server),
                Output::SetRung(attempt, server, rung) => {
                    if let Some(live) = self.live.get(&attempt) {
                        let (link, bytes) = (live.link, rtsp::rate(live.tag, rung));
                        self.send_server(server, link, bytes);
                    }
                }
                Output::TearDown(attempt, server) => {
                    if let Some(live) = self.drop_live(attempt) {
                        let reason = self.release_cause;
                        self.send_server(server, live.link, rtsp::release(live.tag, reason));
                    }
                }
                Output::HealthCheck(server) => {
                    let tag = Tag::parse("0000000000000000");
                    tag.into_iter()
                        .for_each(|tag| self.send_server(server, None, rtsp::probe(tag)));
                }
                Output::SubscribeEndpoints | Output::FetchEndpoints => {} // The directory is asked all the time.
                Output::Log(line) => tracing::info!(line, "module"),
            }
        }
        self.effects = effects;
    }

    fn keep_house(&mut self, now: u64) {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            if let Some(server) = self.servers.get_mut(&id) {
                server.abandoned.retain(|_, until| now < *until);
                server.unsent.retain(|(until, _)| now < *until);
            }
            self.watch(id, now);
            let Some(server) = self.servers.get(&id) else {
                continue;
            };
            if !server.listed && server.standing == 0 && server.held.is_empty() {
                self.close_links(id);
                self.servers.remove(&id);
            } else if !server.listed && server.health.wants_dial(now, true) {
                self.lose(id); // Silent, and it may not be asked any more.
            }
        }
        let stale = |l: &Link| {
            l.open.is_empty() && l.stale.is_some_and(|at| now > at.saturating_add(STALE_FOR))
        };
        let stale: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, l)| stale(l))
            .map(|(id, _)| *id)
            .collect();
        stale.into_iter().for_each(|link| self.link_down(link));
        self.unsaid.retain(|(until, _)| now < *until);
        for (until, bytes) in std::mem::take(&mut self.unsaid) {
            // Where no connection that had a session is left, any that spoke is better than none.
            let spoke = self
                .conns
                .values()
                .filter(|c| c.spoke.load(Ordering::Relaxed))
                .map(|c| c.id);
            let others: Vec<ConnId> = self.served.iter().rev().copied().chain(spoke).collect();
            if !others.into_iter().any(|other| self.say(other, &bytes)) {
                self.unsaid.push_back((until, bytes));
            }
        }
        let of_servers: usize = self
            .servers
            .values()
            .map(|s| s.held.len() + s.abandoned.len() + s.unsent.len())
            .sum();
        let own = self.sessions.len() + self.tags.len() + self.live.len() + self.unsaid.len();
        self.shared
            .entries
            .store(own + of_servers, Ordering::Relaxed);
    }
}
