//! The one place where all is heard in one order and acted on: it owns the core. It never waits for a socket.
use crate::health::{Dialed, Health};
use crate::links;
use crate::shared::{count, LinkId, Msg, Shared};
use crate::viewers::{Conn, ConnId};
use crankpaddle_front::{
    Answer, AttemptId, Call, Core, Effect, Input, Listing, Note, Notice, Open, Order, Outcome, OverReason,
    Phase, PlayerId, Refusal, Report, RosterKind, ServerId, SetUp, Tap, Terms, Time,
};
use crankpaddle_net::{clock, recv_until, sleep, Outbox};
use crankpaddle_node_protocol::directory::{Entry, List, State};
use crankpaddle_node_protocol::rtsp::{self, cseq, Kind};
use crankpaddle_node_protocol::viewers::{self, cause, Ask, Message};
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
/// A timer so late tells that the whole process stood still.
const STALL: u64 = 250 * MILLISECOND;
/// Then the sockets are read for this long before anything falls due.
const CATCH_UP: Duration = Duration::from_millis(20);
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
    outbox: Option<Arc<Outbox>>, // None while it is connecting.
    open: Vec<AttemptId>,        // Set-ups on it without an answer, or waiting for it to come up.
    heard: u64,
    stale: Option<u64>, // Since when it is not to be used, because an attempt on it timed out in silence.
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

pub(crate) struct Hub {
    shared: Arc<Shared>,
    core: Core,
    conns: HashMap<ConnId, Arc<Conn>>,
    served: Vec<ConnId>, // Connections on which a session was set up, the latest last.
    sessions: HashMap<PlayerId, Session>,
    tags: HashMap<Tag, PlayerId>,
    live: HashMap<AttemptId, Live>,
    servers: BTreeMap<ServerId, Server>,
    links: HashMap<LinkId, Link>,
    listings: HashMap<String, (ServerId, Entry)>,
    unsaid: VecDeque<(u64, Vec<u8>)>, // Releases to viewers that no connection could take, and until when.
    last_player: u64,
    last_link: u64,
    release_cause: u16,      // What a teardown under way is for.
    inputs: VecDeque<Input>, // For the core, once the effects under way are carried out.
    busy: bool,
    effects: Vec<Effect>,
    drained: Option<u64>,
}

fn terms(shared: &Shared) -> Terms {
    let classes = shared.config.fleet.classes.len();
    Terms {
        give_up: vec![u64::MAX / 4; classes], // The viewer's own deadline is looked at when it comes.
        answer_margin: MARGIN,
        resume: 0,
        open: shared.budget.open,
        open_per_player: 1,
        keep_keys: 0,
        keys_kept: 0, // Each set-up has an id of its own.
    }
}

impl Hub {
    pub fn new(shared: Arc<Shared>, tap: Option<Tap>) -> Hub {
        let config = &shared.config;
        let mut core =
            Core::new(config.fleet.settings.clone(), terms(&shared), config.seed, Time(clock::now()));
        tap.into_iter().for_each(|tap| core.set_tap(tap));
        let known = config.known.clone();
        let mut hub = Hub {
            core,
            conns: HashMap::new(),
            served: Vec::new(),
            sessions: HashMap::new(),
            tags: HashMap::new(),
            live: HashMap::new(),
            servers: BTreeMap::new(),
            links: HashMap::new(),
            listings: HashMap::new(),
            unsaid: VecDeque::new(),
            last_player: 0,
            last_link: 0,
            release_cause: cause::CANCELLED,
            inputs: VecDeque::new(),
            busy: false,
            effects: Vec::new(),
            drained: None,
            shared,
        };
        hub.list(known, RosterKind::Cached);
        hub
    }

    /// Runs until the node has ended.
    pub fn run(mut self, inbox: &Receiver<Msg>) {
        let mut house = clock::now() + KEEP_HOUSE;
        let mut tell = clock::now() + TELL_COUNTS;
        while !self.over() {
            let now = clock::now();
            let due = self.core.next_expiry().map_or(u64::MAX, |t| t.0).min(house);
            if due > now {
                match recv_until(inbox, due) {
                    Ok(msg) => self.hear(msg),
                    Err(RecvTimeoutError::Timeout) => {}
                    Err(RecvTimeoutError::Disconnected) => break,
                }
            }
            self.take(inbox);
            // Danger: after a standstill the timers of all requests are due while answers that came in time lie
            // unread in the sockets. They are read first.
            if self.core.next_expiry().is_some_and(|t| clock::now() > t.0.saturating_add(STALL)) {
                tracing::warn!("stood still");
                sleep(CATCH_UP);
                while self.take(inbox) == BATCH {}
            }
            self.with_core(|core, now, effects| core.expire(now, effects));
            let now = clock::now();
            if now >= house {
                house = now + KEEP_HOUSE;
                self.keep_house(now);
            }
            if now >= tell {
                tell = now + TELL_COUNTS;
                tracing::info!(counts = ?self.shared.counts(), shed = ?self.shared.shed, "counts");
            }
        }
        tracing::info!("ended");
    }

    fn over(&self) -> bool {
        let late = self.drained.is_some_and(|at| clock::now() > at.saturating_add(STILL_COMING));
        late && self.core.waiting() == 0 && self.core.playing() == 0 && self.unsaid.is_empty()
    }

    fn take(&mut self, inbox: &Receiver<Msg>) -> usize {
        let mut count = 0;
        while let Some(msg) = (count < BATCH).then(|| inbox.try_recv().ok()).flatten() {
            self.hear(msg);
            count += 1;
        }
        count
    }

    fn hear(&mut self, msg: Msg) {
        match msg {
            Msg::Joined(conn) => drop(self.conns.insert(conn.id, conn)),
            Msg::Viewer(conn, message, read) => self.viewer(conn, message, read),
            Msg::Gone(conn) => self.gone(conn),
            Msg::Dialed(link, how, outbox) => self.dialed(link, how, outbox),
            Msg::Server(link, message) => self.server(link, &message),
            Msg::LinkDown(link, spoilt) => self.link_ended(link, spoilt),
            Msg::List(list) => self.list(list, RosterKind::Delta),
            Msg::Drain => {
                if self.drained.is_none() {
                    tracing::info!(counts = ?self.shared.counts(), "draining");
                    self.drained = Some(clock::now());
                    self.tell_core(Input::Drain);
                }
            }
        }
    }

    /// Tells the core, or, while effects are being carried out, tells it after them.
    fn tell_core(&mut self, input: Input) {
        if self.busy {
            return self.inputs.push_back(input);
        }
        self.with_core(|core, now, effects| core.handle(now, input, effects));
    }

    fn with_core(&mut self, first: impl FnOnce(&mut Core, Time, &mut Vec<Effect>)) {
        self.busy = true;
        first(&mut self.core, Time(clock::now()), &mut self.effects);
        self.carry_out();
        while let Some(input) = self.inputs.pop_front() {
            self.core.handle(Time(clock::now()), input, &mut self.effects);
            self.carry_out();
        }
        self.busy = false;
        self.shared.waiting.store(self.core.waiting(), Ordering::Relaxed);
        self.shared.playing.store(self.core.playing(), Ordering::Relaxed);
    }

    fn carry_out(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Answer(call, answer) => self.answer(call.player, &answer),
                Effect::Notify(player, _, notice) => self.notify(player, notice),
                Effect::SetUp { attempt, server, order, until, .. } => {
                    self.set_up(attempt, server, &order, until)
                }
                Effect::Holds { player, attempt, server } => self.holds(player, attempt, server),
                Effect::Abandon(attempt, server) => self.abandon(attempt, server),
                Effect::SetRung(attempt, server, rung) => {
                    if let Some(live) = self.live.get(&attempt) {
                        let (link, bytes) = (live.link, rtsp::rate(live.tag, rung));
                        self.send_server(server, link, bytes);
                    }
                }
                Effect::TearDown(attempt, server) => {
                    if let Some(live) = self.drop_live(attempt) {
                        let reason = self.release_cause;
                        self.send_server(server, live.link, rtsp::release(live.tag, reason));
                    }
                }
                Effect::Probe(server) => {
                    let tag = Tag::parse("0000000000000000");
                    tag.into_iter().for_each(|tag| self.send_server(server, None, rtsp::probe(tag)));
                }
                Effect::Subscribe | Effect::FetchRoster => {} // The directory is asked all the time.
                Effect::Log(line) => tracing::info!(line, "module"),
            }
        }
        self.effects = effects;
    }

    // ---- viewers ----

    fn viewer(&mut self, conn: ConnId, message: Message, read: u64) {
        match message {
            Message::Start(start) => self.start(conn, &start, read),
            Message::Finish { tag, cause } => self.finish(conn, tag, cause),
            Message::Echo(tag) => drop(self.say(conn, &viewers::echoed(tag))),
            Message::Idle => {}
        }
    }

    fn start(&mut self, conn: ConnId, start: &viewers::SetUp, read: u64) {
        let tag = start.tag;
        let ask = start.ask().and_then(|ask| self.open(tag, &ask).map(|open| (ask, open)));
        if self.tags.contains_key(&tag) {
            // One that is adopted may name what is held. Else: danger, an answer by this id would be taken for that of
            // the set-up that has it, so no word is said.
            if !matches!(&ask, Ok((ask, _)) if ask.at.is_some()) {
                count(&self.shared.shed.twice);
                self.shut(conn);
            }
            return;
        }
        let (ask, open) = match ask {
            Ok(read) => read,
            Err(field) => {
                tracing::debug!(%tag, field, opts = ?start.opts, "a set-up that can't be read");
                count(&self.shared.shed.out_of_range);
                self.say(conn, &viewers::finish(tag, cause::INVALID, None));
                return;
            }
        };
        let player = PlayerId(self.last_player + 1);
        let mut session =
            Session { tag, conn, class: open.class, title: ask.key, blob: String::new(), stands: false };
        if let Some(at) = &ask.at {
            let Some((server, _)) = self.listings.get(at) else { return };
            let server = *server;
            (session.conn, session.stands) = (ConnId::default(), true);
            self.last_player += 1;
            self.sessions.insert(player, session);
            self.tags.insert(tag, player);
            return self.tell_core(Input::Adopt { player, open, server });
        }
        let Some(blob) = &start.blob else {
            count(&self.shared.shed.out_of_range);
            self.say(conn, &viewers::finish(tag, cause::INVALID, None));
            return;
        };
        let Some(of) = self.conns.get(&conn) else { return };
        if of.open.load(Ordering::Relaxed) >= self.shared.budget.open_per_connection {
            count(&self.shared.shed.crowded);
            let wait = self.shared.config.fleet.settings.stay_away_cap / MILLISECOND;
            self.say(conn, &viewers::finish(tag, cause::CONGESTION, Some(wait).filter(|w| *w > 0)));
            return;
        }
        of.open.fetch_add(1, Ordering::Relaxed);
        session.blob.clone_from(blob);
        tracing::trace!(%tag, conn = conn.0, ask = ?start.opts, "asked");
        self.last_player += 1;
        self.sessions.insert(player, session);
        self.tags.insert(tag, player);
        let call = Call { player, number: 0 };
        self.tell_core(Input::Open { call, open, received: Time(read) });
    }

    /// A set-up in the core's terms, or the field that is out of range.
    fn open(&self, tag: Tag, ask: &Ask) -> Result<Open, &'static str> {
        let fleet = &self.shared.config.fleet;
        let class = fleet.classes.iter().position(|c| *c == ask.class).ok_or("class")?;
        let tenant = match &ask.tenant {
            None => 0,
            Some(name) => fleet.tenants.iter().position(|t| t == name).ok_or("tenant")?,
        };
        let settings = &fleet.settings;
        let patience = ask.left.saturating_mul(MILLISECOND);
        if ask.at.is_none() && patience > fleet.deadlines[class].saturating_add(LEFT_SLACK) {
            return Err("left");
        }
        if ask.home >= settings.cells {
            return Err("home");
        }
        if ask.copies > settings.cells {
            return Err("copies");
        }
        if usize::from(ask.top) >= settings.rung_kb.len() {
            return Err("top");
        }
        Ok(Open {
            key: tag.as_str().to_owned(),
            viewer: ask.viewer,
            class: class as u8,
            tenant: tenant as u16,
            title: ask.title,
            first_cell: ask.home,
            copies: ask.copies,
            top: ask.top,
            give_up: patience,
            hint: ask.hint.map(|ms| (ms * MILLISECOND as f64) as u64),
            again: ask.again,
            moved: ask.moved,
        })
    }

    fn finish(&mut self, conn: ConnId, tag: Tag, why: u16) {
        tracing::trace!(%tag, conn = conn.0, why, "a viewer ends");
        if let Some(player) = self.tags.get(&tag).copied() {
            let Some(session) = self.sessions.get(&player) else { return };
            // Only who waits for the answer may give the set-up up; a session that stands belongs to no connection.
            if session.stands || session.conn == conn {
                self.release_cause = why;
                self.end(player);
                self.release_cause = cause::CANCELLED;
            }
        }
        self.say(conn, &viewers::finished(tag));
    }

    /// The viewer wants nothing more of this session.
    fn end(&mut self, player: PlayerId) {
        self.forget(player);
        self.tell_core(Input::Leave(player));
    }

    fn gone(&mut self, conn: ConnId) {
        tracing::trace!(conn = conn.0, "a viewer's connection is gone");
        self.conns.remove(&conn);
        self.served.retain(|c| *c != conn);
        let waits = self.sessions.iter().filter(|(_, s)| s.conn == conn && !s.stands).map(|(p, _)| *p);
        let waits: Vec<PlayerId> = waits.collect();
        // No answer can reach these any more.
        waits.into_iter().for_each(|player| self.end(player));
    }

    fn forget(&mut self, player: PlayerId) -> Option<Session> {
        let session = self.sessions.remove(&player)?;
        self.tags.remove(&session.tag);
        if !session.stands {
            self.answered_on(session.conn);
        }
        Some(session)
    }

    fn answered_on(&self, conn: ConnId) {
        if let Some(conn) = self.conns.get(&conn) {
            conn.open.fetch_sub(1, Ordering::Relaxed);
            conn.used.store(clock::now(), Ordering::Relaxed);
        }
    }

    /// False if the connection is gone.
    fn say(&mut self, conn: ConnId, bytes: &[u8]) -> bool {
        self.conns.get(&conn).is_some_and(|conn| !conn.outbox.socket().is_shut() && conn.outbox.push(bytes))
    }

    fn shut(&mut self, conn: ConnId) {
        if let Some(conn) = self.conns.get(&conn) {
            conn.outbox.socket().shut();
        }
    }

    fn answer(&mut self, player: PlayerId, answer: &Answer) {
        let tag = self.sessions.get(&player).map(|s| s.tag);
        tracing::trace!(?tag, ?answer, "answered");
        match answer {
            Answer::Plays { .. } => {
                let Some(session) = self.sessions.get_mut(&player) else { return };
                let (conn, bytes) = (session.conn, viewers::started(session.tag, &session.blob));
                session.stands = true;
                session.blob = String::new();
                self.answered_on(conn);
                self.served.retain(|c| *c != conn);
                self.served.push(conn);
                self.say(conn, &bytes);
            }
            Answer::Refused(why, wait) => {
                let Some(session) = self.forget(player) else { return };
                let why = match why {
                    Refusal::NoRoom | Refusal::HeldAtHome => cause::NO_ROOM,
                    Refusal::Overload | Refusal::TooManyOpen | Refusal::Stopping => cause::CONGESTION,
                };
                let wait = Some(wait / MILLISECOND).filter(|wait| *wait > 0);
                self.say(session.conn, &viewers::finish(session.tag, why, wait));
            }
            Answer::Failed(_) => {
                let Some(session) = self.forget(player) else { return };
                self.say(session.conn, &viewers::finish(session.tag, cause::CUT, None));
            }
            // Nobody resumes or closes a session by its key here.
            Answer::Superseded | Answer::Closed | Answer::Unknown => {}
        }
    }

    fn notify(&mut self, player: PlayerId, notice: Notice) {
        let bytes = |tag| match notice {
            Notice::Rung(_) => None, // Viewers are not told of rungs.
            Notice::Over(OverReason::Finished, _) => Some(viewers::finish(tag, cause::NORMAL, None)),
            Notice::Over(_, _) => Some(viewers::finish(tag, cause::CUT, None)),
            Notice::Move => Some(viewers::moved(tag)),
        };
        let Some(bytes) = self.sessions.get(&player).and_then(|s| bytes(s.tag)) else { return };
        let Some(session) = self.forget(player) else { return };
        tracing::trace!(tag = %session.tag, conn = session.conn.0, ?notice, "a session is over");
        self.tell_viewers(session.conn, bytes);
    }

    /// Says that a session is over, on its connection or on another. Danger: one that never had a session may be a
    /// stranger's, and the word would be lost there; so only those that had one are used, the latest first.
    fn tell_viewers(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if self.say(conn, &bytes) {
            return;
        }
        let others: Vec<ConnId> = self.served.iter().rev().copied().collect();
        if !others.into_iter().any(|other| self.say(other, &bytes)) {
            self.unsaid.push_back((clock::now().saturating_add(RELEASE_FOR), bytes));
        }
    }

    // ---- servers ----

    fn list(&mut self, list: List, kind: RosterKind) {
        let now = clock::now();
        let mut listings = Vec::new();
        let mut listed: HashMap<String, (ServerId, Entry)> = HashMap::new();
        for entry in list.entries {
            let id = server_id(&entry.name);
            if listed.values().any(|(other, _)| *other == id) {
                tracing::error!(server = entry.name, "two servers of one id in the list");
                continue;
            }
            listed.insert(entry.name.clone(), (id, entry));
        }
        let old = std::mem::take(&mut self.listings);
        for (name, (id, entry)) in &old {
            if !listed.contains_key(name) {
                listings.push(Listing { phase: Phase::Gone, ..self.listing(*id, entry) });
                self.unlisted(*id);
            }
        }
        let mut changed: Vec<&(ServerId, Entry)> = listed.values().collect();
        changed.sort_by_key(|(id, _)| *id);
        for (id, entry) in changed {
            let before = old.get(&entry.name).map(|(_, e)| e);
            if before == Some(entry) && kind == RosterKind::Delta {
                continue;
            }
            listings.push(self.listing(*id, entry));
            if before.is_some_and(|b| b.address != entry.address || b.started_ms < entry.started_ms) {
                self.unlisted(*id); // Another life: what ran in the one before is no more.
            }
            let note_every = self.shared.config.fleet.settings.note_every;
            let server = self.servers.entry(*id).or_insert_with(|| Server {
                address: entry.address,
                listed: true,
                health: Health::new(now, note_every),
                links: Vec::new(),
                held: HashMap::new(),
                standing: 0,
                abandoned: HashMap::new(),
                unsent: VecDeque::new(),
            });
            (server.address, server.listed) = (entry.address, true);
        }
        self.listings = listed;
        if !listings.is_empty() {
            self.tell_core(Input::Roster(kind, listings));
        }
    }

    fn listing(&self, server: ServerId, entry: &Entry) -> Listing {
        let fleet = &self.shared.config.fleet;
        let index = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        Listing {
            server,
            zone: index(&fleet.zones, &entry.zone) as u8,
            kind: index(&fleet.kinds, &entry.kind) as u16,
            cell: entry.cell,
            phase: match entry.state {
                State::Ready => Phase::Ready,
                State::Draining => Phase::Draining,
            },
            weight: entry.weight,
            since: Time(entry.started_ms.saturating_mul(MILLISECOND)),
        }
    }

    /// A server is not in the list any more. Its links go on while something stands there, but a new connection to its
    /// address may meet another server, so none is made.
    fn unlisted(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.listed = false;
        if server.links.is_empty() {
            self.lose(id);
        }
    }

    fn set_up(&mut self, attempt: AttemptId, server: ServerId, order: &Order, until: Time) {
        let player = Tag::parse(&order.key).and_then(|tag| self.tags.get(&tag).copied());
        let Some((player, session)) = player.and_then(|p| Some((p, self.sessions.get_mut(&p)?))) else {
            return;
        };
        let Some(at) = self.servers.get_mut(&server) else {
            return self.tell_core(Input::SetUp(attempt, SetUp::Ended(Outcome::Moot, Report::new())));
        };
        let tag = session.tag;
        at.held.insert(tag, attempt);
        at.abandoned.remove(&tag);
        let rung = order.rung;
        let live =
            Live { player, tag, server, link: None, rung, until, sent: None, answered: false, tries: 0 };
        self.live.insert(attempt, live);
        self.dispatch(attempt);
    }

    /// Finds a link for a set-up that was not written yet. Danger: a connection may be reset right when it is new, and the
    /// server be taken for one that can't be connected to; so that is tried once more.
    fn dispatch(&mut self, attempt: AttemptId) {
        let Some(live) = self.live.get_mut(&attempt) else { return };
        let server = live.server;
        live.tries += 1;
        if live.tries > MOST_TRIES {
            return self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new());
        }
        // Each set-up has a connection of its own while there are enough: a spoilt answer then spoils no other. The one
        // used last and free; else a new one; else one that is shared.
        let free = |l: &Link| l.outbox.is_some() && l.open.is_empty() && l.stale.is_none();
        while let Some(link) = self.link_of(server, free) {
            if self.write_set_up(attempt, link) {
                return;
            }
            self.link_down(link);
        }
        let of_server = self.servers.get(&server).map_or(0, |s| s.links.len());
        let room = self.links.len() < self.shared.budget.links && of_server < MOST_LINKS;
        if room || of_server == 0 && self.drop_idle_link() {
            if let Some(link) = self.dial(server) {
                self.links.entry(link).and_modify(|l| l.open.push(attempt));
                self.live.entry(attempt).and_modify(|l| l.link = Some(link));
                return;
            }
        }
        // Danger: while all its links are still connecting none is up; a server that is only busy being connected to would
        // be taken for one that can't be.
        let links = self.servers.get(&server).map(|s| s.links.clone()).unwrap_or_default();
        let load = |id: &LinkId| {
            self.links.get(id).map_or((false, usize::MAX), |l| (l.outbox.is_none(), l.open.len()))
        };
        let Some(least) = links.into_iter().min_by_key(load) else {
            return self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new());
        };
        if load(&least).0 {
            self.links.entry(least).and_modify(|l| l.open.push(attempt));
            self.live.entry(attempt).and_modify(|l| l.link = Some(least));
        } else if !self.write_set_up(attempt, least) {
            self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new());
            self.link_down(least);
        }
    }

    /// A server's link of this sort, the one used last first.
    fn link_of(&self, server: ServerId, sort: impl Fn(&Link) -> bool) -> Option<LinkId> {
        let links = &self.servers.get(&server)?.links;
        links.iter().rev().copied().find(|id| self.links.get(id).is_some_and(&sort))
    }

    /// Writes an attempt's set-up; false if not a byte of it went out.
    fn write_set_up(&mut self, attempt: AttemptId, id: LinkId) -> bool {
        let (Some(live), Some(link)) = (self.live.get_mut(&attempt), self.links.get_mut(&id)) else {
            return false;
        };
        let (Some(outbox), Some(session)) = (&link.outbox, self.sessions.get(&live.player)) else {
            return false;
        };
        let now = clock::now();
        let class = self.shared.config.fleet.classes.get(usize::from(session.class));
        let bytes = rtsp::set_up(&rtsp::SetUp {
            tag: live.tag,
            title: &session.title,
            class: class.map_or("", String::as_str),
            patience: (live.until.0.saturating_sub(now) / MILLISECOND).max(1),
            rung: live.rung,
            blob: &session.blob,
        });
        // Danger: what is written into a connection that was just closed may have run for all one knows.
        if !outbox.socket().is_open() || !outbox.push_first(&bytes) {
            return false;
        }
        tracing::trace!(tag = %live.tag, server = live.server.0, link = id.0, rung = live.rung, "set-up sent");
        (live.link, live.sent) = (Some(id), Some(now));
        link.open.push(attempt);
        if let Some(server) = self.servers.get_mut(&link.server) {
            server.links.retain(|l| *l != id);
            server.links.push(id);
        }
        true
    }

    /// An attempt that was out came to nothing.
    fn set_up_ended(&mut self, attempt: AttemptId, outcome: Outcome, report: Report) {
        if self.drop_live(attempt).is_some() {
            self.tell_core(Input::SetUp(attempt, SetUp::Ended(outcome, report)));
        }
    }

    /// Takes an attempt out of all that knows it.
    fn drop_live(&mut self, attempt: AttemptId) -> Option<Live> {
        let live = self.live.remove(&attempt)?;
        tracing::trace!(tag = %live.tag, server = live.server.0, answered = live.answered, "attempt over");
        if let Some(server) = self.servers.get_mut(&live.server) {
            if server.held.get(&live.tag) == Some(&attempt) {
                server.held.remove(&live.tag);
            }
            server.standing -= usize::from(live.answered);
        }
        if let Some(link) = live.link.and_then(|l| self.links.get_mut(&l)) {
            link.open.retain(|a| *a != attempt);
        }
        Some(live)
    }

    /// An attempt is given up. Its server may answer all the same.
    fn abandon(&mut self, attempt: AttemptId, server: ServerId) {
        let Some(live) = self.drop_live(attempt) else { return };
        let Some(sent) = live.sent else { return };
        if live.answered {
            return self.send_server(server, live.link, rtsp::release(live.tag, cause::CANCELLED));
        }
        let now = clock::now();
        if let Some(at) = self.servers.get_mut(&server) {
            at.abandoned.insert(live.tag, now.saturating_add(ABANDONED_FOR));
        }
        if let Some(link) = live.link.and_then(|l| self.links.get_mut(&l)) {
            let silent =
                link.heard <= sent && now.saturating_sub(sent) > self.shared.config.fleet.connect_timeout;
            link.stale = link.stale.or(silent.then_some(now));
        }
        self.send_server(server, live.link, rtsp::give_up(live.tag));
    }

    /// Sends on this link, or on another one of the server, or on the next one that comes up.
    fn send_server(&mut self, server: ServerId, link: Option<LinkId>, bytes: Vec<u8>) {
        let up = |l: &Link| l.outbox.as_ref().is_some_and(|o| o.socket().is_open());
        let own = link.filter(|l| self.links.get(l).is_some_and(up));
        let link = own.or_else(|| self.link_of(server, up));
        let outbox = link.and_then(|l| self.links.get(&l)).and_then(|l| l.outbox.clone());
        if outbox.is_some_and(|outbox| outbox.push_first(&bytes)) {
            return;
        }
        if let Some(at) = self.servers.get_mut(&server).filter(|at| at.listed) {
            at.unsent.push_back((clock::now().saturating_add(RELEASE_FOR), bytes));
        }
    }

    fn dial(&mut self, id: ServerId) -> Option<LinkId> {
        let server = self.servers.get_mut(&id).filter(|s| s.listed)?;
        self.last_link += 1;
        let link = LinkId(self.last_link);
        server.links.insert(0, link);
        let heard = clock::now();
        self.links.insert(link, Link { server: id, outbox: None, open: Vec::new(), heard, stale: None });
        links::dial(&self.shared, link, server.address);
        Some(link)
    }

    /// Closes a link that nothing needs, so that another can be opened; false if there is none.
    fn drop_idle_link(&mut self) -> bool {
        let spare = self.servers.values().filter(|s| s.links.len() > 1 || s.standing == 0);
        let idle = |id: &LinkId| self.links.get(id).filter(|l| l.outbox.is_some() && l.open.is_empty());
        let oldest = spare.flat_map(|s| &s.links).filter_map(|id| Some((idle(id)?.heard, *id))).min();
        oldest.map(|(_, id)| self.link_down(id)).is_some()
    }

    fn dialed(&mut self, id: LinkId, how: Dialed, outbox: Option<Arc<Outbox>>) {
        let now = clock::now();
        let Some(link) = self.links.get_mut(&id) else {
            // It was given up meanwhile.
            return outbox.into_iter().for_each(|outbox| outbox.socket().shut());
        };
        let server = link.server;
        tracing::trace!(link = id.0, server = server.0, ?how, "connected or not");
        let lost = self.servers.get_mut(&server).is_some_and(|s| s.health.dialed(now, how));
        if outbox.is_none() {
            self.link_down(id);
            let up = self.link_of(server, |l| l.outbox.is_some()).is_some();
            // Danger: a process that closes its listener first may still run its sessions; its links tell.
            if lost && !(up && how == Dialed::Refused) {
                self.lose(server);
            }
            return;
        }
        (link.outbox, link.heard) = (outbox, now);
        if link.open.is_empty() {
            // It was only to see whether the server lives. Older ones with nothing out on them go: whatever made it
            // silent, this one is known to be good.
            let idle = |l: &&LinkId| **l != id && self.links.get(l).is_some_and(|l| l.open.is_empty());
            let older = self.servers.get(&server).map(|s| s.links.iter().filter(idle).copied().collect());
            let older: Vec<LinkId> = older.unwrap_or_default();
            older.into_iter().for_each(|link| self.link_down(link));
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        for attempt in std::mem::take(&mut link.open) {
            let live = self.live.get(&attempt).is_some_and(|l| l.link == Some(id) && l.sent.is_none());
            if live && !self.write_set_up(attempt, id) {
                self.dispatch(attempt);
            }
        }
        let unsent = self.servers.get_mut(&server).map(|s| std::mem::take(&mut s.unsent));
        for (_, bytes) in unsent.unwrap_or_default() {
            self.send_server(server, Some(id), bytes);
        }
    }

    fn link_down(&mut self, id: LinkId) {
        self.link_ended(id, false);
    }

    /// A link is no more: what was out on it broke off, each once. `spoilt`: what came on it could not be read.
    ///
    /// Danger: a connection that breaks is how a process dies, and the module then takes its server for cold; but one
    /// connection may break, or bring noise, while the process lives. It is seen to live by what it just sent or by another
    /// connection that stands; then the set-up ends as one that the server failed. Either may have run. Harm: where a
    /// dying process closes its connections one by one, the first may be laid to the connection alone.
    fn link_ended(&mut self, id: LinkId, spoilt: bool) {
        let Some(link) = self.links.remove(&id) else { return };
        let stands = |l: &Link| l.outbox.as_ref().is_some_and(|o| o.socket().is_open()) && l.stale.is_none();
        let lives = spoilt || self.link_of(link.server, stands).is_some();
        let outcome = if lives { Outcome::Error } else { Outcome::Reset };
        tracing::trace!(link = id.0, server = link.server.0, open = link.open.len(), "a link is down");
        link.outbox.iter().for_each(|outbox| outbox.socket().shut());
        let Some(server) = self.servers.get_mut(&link.server) else { return };
        server.links.retain(|l| *l != id);
        for attempt in link.open {
            let Some(live) = self.live.get(&attempt) else { continue };
            if live.sent.is_none() {
                self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new()); // It never came up.
                continue;
            }
            // Danger: the answer may have been on its way, and the session would stand there without a viewer.
            let tag = live.tag;
            self.set_up_ended(attempt, outcome, Report::new());
            self.send_server(link.server, None, rtsp::release(tag, cause::CUT));
        }
        self.watch(link.server, clock::now());
    }

    /// Sees to it that a server whose words are needed is heard.
    fn watch(&mut self, id: ServerId, now: u64) {
        let up = self.link_of(id, |l| l.outbox.is_some() && l.stale.is_none()).is_some();
        let dialing = self.link_of(id, |l| l.outbox.is_none()).is_some();
        let Some(server) = self.servers.get_mut(&id) else { return };
        let needed = server.standing > 0 || !server.unsent.is_empty();
        if server.listed && needed && !dialing && server.health.wants_dial(now, up) {
            if self.links.len() < self.shared.budget.links || self.drop_idle_link() {
                self.dial(id);
            }
        } else if !server.listed && !server.links.iter().any(|l| self.links.contains_key(l)) {
            self.lose(id);
        }
    }

    /// All that stood at a server is no more.
    fn lose(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.unsent.clear();
        server.abandoned.clear();
        let mut lost: Vec<AttemptId> = server.held.values().copied().collect();
        lost.retain(|a| self.live.get(a).is_some_and(|l| l.answered));
        lost.sort_unstable();
        if !lost.is_empty() {
            tracing::info!(server = id.0, sessions = lost.len(), "server lost");
        }
        for attempt in lost {
            self.drop_live(attempt);
            self.tell_core(Input::Over(attempt, Outcome::Reset, Report::new()));
        }
        let links = self.servers.get(&id).map(|s| s.links.clone()).unwrap_or_default();
        links.into_iter().for_each(|link| self.link_down(link));
    }

    fn holds(&mut self, player: PlayerId, attempt: AttemptId, server: ServerId) {
        let now = clock::now();
        let Some(session) = self.sessions.get_mut(&player) else { return };
        let tag = session.tag;
        let Some(at) = self.servers.get_mut(&server) else { return };
        at.held.insert(tag, attempt);
        at.standing += 1;
        at.health.begins(now);
        let until = Time(now);
        let live = Live {
            player,
            tag,
            server,
            link: None,
            rung: 0,
            until,
            sent: Some(now),
            answered: true,
            tries: 0,
        };
        self.live.insert(attempt, live);
    }

    // ---- what servers say ----

    fn server(&mut self, id: LinkId, message: &rtsp::Message) {
        let now = clock::now();
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.heard, link.stale) = (now, None);
        let server = link.server;
        let Some(at) = self.servers.get_mut(&server) else { return };
        at.health.heard(now);
        let held = message.session.and_then(|tag| at.held.get(&tag).copied());
        tracing::trace!(link = id.0, server = server.0, tag = ?message.session, kind = ?message.kind, cseq = message.cseq,
            headers = ?message.headers, known = held.is_some(), "a server says");
        match &message.kind {
            Kind::Response(100..=199) => {}
            Kind::Response(status) => match message.cseq {
                Some(cseq::SET_UP) => self.set_up_answered(id, server, held, *status, message),
                Some(cseq::OPTIONS) => {
                    let outcome = if *status == 200 { Outcome::Ok } else { Outcome::Error };
                    let report = self.report(message);
                    self.tell_core(Input::Probed(server, outcome, report));
                }
                _ => {} // A release was heard.
            },
            Kind::Request(method, _) => match method.as_str() {
                "ANNOUNCE" => {
                    let note = message.note().and_then(|(name, figure)| note(name, figure));
                    if let (Some(attempt), Some(note)) = (held, note) {
                        self.tell_core(Input::Note(attempt, note));
                    }
                }
                "TEARDOWN" => {
                    let cseq = message.cseq.unwrap_or(cseq::TEAR_DOWN);
                    self.send_server(server, Some(id), rtsp::heard(cseq, message.session));
                    if let Some(attempt) = held {
                        self.released(attempt, message);
                    }
                }
                _ => {}
            },
        }
    }

    fn set_up_answered(
        &mut self,
        link: LinkId,
        server: ServerId,
        held: Option<AttemptId>,
        status: u16,
        message: &rtsp::Message,
    ) {
        let now = clock::now();
        let out = |l: &Live| !l.answered && l.link == Some(link);
        let Some(attempt) = held.filter(|a| self.live.get(a).is_some_and(out)) else {
            // One that was given up and is set up all the same must not go on. Anything else under an id that nobody
            // waits for, or a second copy, is dropped.
            let tag = message.session.filter(|_| held.is_none() && status == 200);
            let at = self.servers.get_mut(&server);
            let late = tag.zip(at).and_then(|(tag, at)| at.abandoned.remove(&tag).map(|_| tag));
            if let Some(tag) = late {
                return self.send_server(server, Some(link), rtsp::release(tag, cause::CANCELLED));
            }
            return count(&self.shared.shed.stray);
        };
        let report = self.report(message);
        if status != 200 {
            let outcome = match status {
                453 => Outcome::Full,
                454 => Outcome::Moot,
                504 => Outcome::Reset,
                _ => Outcome::Error,
            };
            return self.set_up_ended(attempt, outcome, report);
        }
        let Some(text) = message.text() else {
            // It ran, but what it says can't be passed on in a viewer's line.
            count(&self.shared.shed.broken_links);
            return self.link_ended(link, true);
        };
        let Some(live) = self.live.get_mut(&attempt) else { return };
        live.answered = true;
        let player = live.player;
        if let Some(session) = self.sessions.get_mut(&player) {
            session.blob = text.to_owned();
        }
        if let Some(link) = self.links.get_mut(&link) {
            link.open.retain(|a| *a != attempt);
        }
        if let Some(at) = self.servers.get_mut(&server) {
            at.standing += 1;
            at.health.begins(now);
        }
        self.tell_core(Input::SetUp(attempt, SetUp::Started(report)));
    }

    /// A server releases a session.
    fn released(&mut self, attempt: AttemptId, message: &rtsp::Message) {
        let Some(live) = self.live.get(&attempt) else { return };
        let (player, report) = (live.player, self.report(message));
        if !live.answered {
            return self.set_up_ended(attempt, Outcome::Reset, report);
        }
        let outcome = match message.cause() {
            Some(cause::NORMAL) => Outcome::Ok,
            Some(cause::CANCELLED) => Outcome::Cancelled,
            _ => Outcome::Reset,
        };
        self.drop_live(attempt);
        if outcome == Outcome::Cancelled {
            self.forget(player); // Its viewer ended it, or it was moved: no release is owed.
        }
        self.tell_core(Input::Over(attempt, outcome, report));
    }

    fn report(&self, message: &rtsp::Message) -> Report {
        self.named(&message.state())
    }

    /// The figures of a report that the settings name, in their order.
    fn named(&self, figures: &[(&str, f64)]) -> Report {
        let fields = &self.shared.config.fleet.fields;
        let figure = |name: &str| figures.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        fields.iter().filter_map(|(name, field)| Some((*field, figure(name)?))).collect()
    }

    // ---- house ----

    fn keep_house(&mut self, now: u64) {
        let ids: Vec<ServerId> = self.servers.keys().copied().collect();
        for id in ids {
            if let Some(server) = self.servers.get_mut(&id) {
                server.abandoned.retain(|_, until| now < *until);
                server.unsent.retain(|(until, _)| now < *until);
            }
            self.watch(id, now);
            let Some(server) = self.servers.get(&id) else { continue };
            if !server.listed && server.standing == 0 && server.held.is_empty() {
                let links = server.links.clone();
                links.into_iter().for_each(|link| self.link_down(link));
                self.servers.remove(&id);
            } else if !server.listed && server.health.wants_dial(now, true) {
                self.lose(id); // Silent, and it may not be asked any more.
            }
        }
        let stale =
            |l: &Link| l.open.is_empty() && l.stale.is_some_and(|at| now > at.saturating_add(STALE_FOR));
        let stale: Vec<LinkId> = self.links.iter().filter(|(_, l)| stale(l)).map(|(id, _)| *id).collect();
        stale.into_iter().for_each(|link| self.link_down(link));
        self.unsaid.retain(|(until, _)| now < *until);
        for (until, bytes) in std::mem::take(&mut self.unsaid) {
            // Where no connection that had a session is left, any that spoke is better than none.
            let spoke = self.conns.values().filter(|c| c.spoke.load(Ordering::Relaxed)).map(|c| c.id);
            let others: Vec<ConnId> = self.served.iter().rev().copied().chain(spoke).collect();
            if !others.into_iter().any(|other| self.say(other, &bytes)) {
                self.unsaid.push_back((until, bytes));
            }
        }
        let of_servers: usize =
            self.servers.values().map(|s| s.held.len() + s.abandoned.len() + s.unsent.len()).sum();
        let own = self.sessions.len() + self.tags.len() + self.live.len() + self.unsaid.len();
        self.shared.entries.store(own + of_servers, Ordering::Relaxed);
    }
}

fn note(name: &str, figure: f64) -> Option<Note> {
    Some(match name {
        "served" => Note::Delivered(figure),
        "at_rung" => Note::Rung(figure.clamp(0.0, 255.0).round() as u8),
        "link_use" => Note::Link(figure),
        "rack_use" => Note::Uplink(figure),
        _ => return None,
    })
}

/// A server's number: its id is 8 hex digits behind a dash; any other id is hashed, alike at every front.
fn server_id(name: &str) -> ServerId {
    let digits = name.rsplit('-').next().filter(|d| d.len() == 8);
    let number = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
    ServerId(number.unwrap_or_else(|| {
        name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
    }))
}
