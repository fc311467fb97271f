//! The one place where things are decided: it owns the core, hears everything in one order, and has effects carried
//! out. It never waits for a socket.
mod durable_setup;
mod maintenance;
mod outputs;
mod previous_incarnation;
mod servers;
mod status;

use crate::attempt_sender::Out;
use crate::persistence_thread::Keeper;
use crate::player::Player;
use crate::recovered_state::Kept;
use crate::server_connection_state::Contact;
use crate::server_link::Link;
use crate::shared::{Msg, Shared};
use crate::traffic::Traffic;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_front::{
    AttemptId, Core, EndpointListKind, Input, Output, PlayerId, ServerId, SessionUpdate, Time,
};
use crankpaddle_net::{clock, drain_after_stall, drain_queue, recv_until};
use crankpaddle_server_protocol::list::CachedEndpoints;
use durable_setup::Paid;
use may::sync::mpsc::Receiver;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::Arc;
use std::thread::JoinHandle;

const MILLISECOND: u64 = 1_000_000;
/// Links and pools are looked through so often.
const KEEP_HOUSE: u64 = 1000 * MILLISECOND;
/// Messages taken before timers are looked at.
const BATCH: usize = 256;
/// At the end, players and servers get so long to take their last words.
const LAST_WORDS: u64 = 1000 * MILLISECOND;

/// An attempt that is out or plays.
struct Live {
    server: ServerId,
    name: String,
    link: Arc<Link>,
    out: Arc<Out>,
}

#[derive(Default)]
struct ServerState {
    link: Option<Arc<Link>>,
    contact: Contact,
}

pub(crate) struct EventLoop {
    shared: Arc<Shared>,
    core: Core,
    players: HashMap<PlayerId, Arc<Player>>,
    live: HashMap<AttemptId, Live>,
    names: HashMap<String, AttemptId>,
    servers: BTreeMap<ServerId, ServerState>,
    titles: HashMap<u64, String>,
    held: CachedEndpoints,
    list_lost: bool, // Nobody tells of servers that start.
    cache: Keeper,
    traffic: Traffic,
    account: Keeper,
    paid: Option<Paid>, // Where a store is configured.
    effects: Vec<Output>,
    drain_by: Option<u64>,
    end_by: Option<u64>,
}

impl EventLoop {
    pub(crate) fn new(
        shared: Arc<Shared>,
        cached: Option<CachedEndpoints>,
        account: Option<&TrafficReport>,
        kept: Option<Kept>,
    ) -> EventLoop {
        let config = &shared.config;
        let seed = config.seed.unwrap_or_else(rand::random);
        tracing::info!(seed, front = shared.names.front(), "starting");
        let core = Core::new(
            config.settings.clone(),
            config.terms.clone(),
            seed,
            Time(clock::now()),
        );
        let titles = config
            .titles
            .iter()
            .map(|(name, title)| (title.number, name.clone()))
            .collect();
        let cache = Keeper::start(config.list_cache.clone(), "the list");
        let accounts = Keeper::start(config.traffic_file.clone(), "the account of traffic");
        let mut hub = EventLoop {
            core,
            players: HashMap::new(),
            live: HashMap::new(),
            names: HashMap::new(),
            servers: BTreeMap::new(),
            titles,
            held: cached.unwrap_or_default(),
            list_lost: false,
            cache,
            traffic: Traffic::new(&shared.config, account),
            account: accounts,
            paid: None,
            effects: Vec::new(),
            drain_by: None,
            end_by: None,
            shared,
        };
        kept.into_iter().for_each(|kept| hub.begin(kept));
        if !hub.held.is_empty() {
            let listings = hub.listings(hub.held.servers());
            hub.roster(EndpointListKind::Cached, listings);
        }
        hub
    }

    /// Runs until the front has ended; gives the threads that still write to disk.
    pub(crate) fn run(mut self, inbox: &Receiver<Msg>) -> Vec<JoinHandle<()>> {
        let mut house = clock::now() + KEEP_HOUSE;
        while !self.over() {
            let now = clock::now();
            let due = self.core.next_expiry().map_or(u64::MAX, |t| t.0).min(house);
            let due = [self.drain_by, self.end_by]
                .into_iter()
                .flatten()
                .fold(due, u64::min);
            let due = if self.traffic.settle_some() { now } else { due };
            let first = if due > now {
                let step = if self.end_by.is_some() {
                    20 * MILLISECOND
                } else {
                    u64::MAX
                };
                match recv_until(inbox, due.min(now.saturating_add(step))) {
                    Ok(msg) => Some(msg),
                    Err(RecvTimeoutError::Timeout) => None,
                    Err(RecvTimeoutError::Disconnected) => break,
                }
            } else {
                None
            };
            first.into_iter().for_each(|msg| self.hear(msg));
            drain_queue(inbox, BATCH, |msg| self.hear(msg));
            let due = self.core.next_expiry().map_or(u64::MAX, |t| t.0);
            if drain_after_stall(due, || {
                drain_queue(inbox, BATCH, |msg| self.hear(msg)) == BATCH
            }) {
                tracing::warn!("stood still");
            }
            if clock::now() >= house {
                house = clock::now() + KEEP_HOUSE;
                self.keep_house();
            }
            self.drain();
            self.core.expire(Time(clock::now()), &mut self.effects);
            self.carry_out();
            self.shared
                .waiting
                .store(self.core.waiting(), Ordering::Relaxed);
            self.shared
                .playing
                .store(self.core.playing(), Ordering::Relaxed);
        }
        while self.traffic.settle_some() {}
        self.keep_account();
        tracing::info!("ended");
        let in_order = self.core.waiting() == 0 && self.core.playing() == 0;
        let paid = self.paid.and_then(|paid| paid.finish(in_order));
        [self.cache.finish(), self.account.finish(), paid]
            .into_iter()
            .flatten()
            .collect()
    }

    fn hear(&mut self, msg: Msg) {
        match msg {
            Msg::Joined(player) => drop(self.players.insert(player.id, player)),
            Msg::Player(input) => {
                self.shared.queued.fetch_sub(1, Ordering::Relaxed);
                if let Input::Open { open, .. } = &input {
                    self.traffic
                        .desk
                        .session_requested(open.class, clock::now());
                    self.tell_crossing();
                }
                self.tell_core(input);
            }
            Msg::Gone(player) => {
                self.players.remove(&player);
                self.tell_core(Input::PlayerDisconnected(player));
            }
            Msg::Server(input) => self.set_up_came_out(input),
            Msg::Hello(server, hello, begun) => {
                self.traffic.desk.server_connected(server.0, clock::now());
                self.lives(server, &hello);
                let Some(state) = self.servers.get_mut(&server) else {
                    return;
                };
                let lost = state.contact.hello(&hello.boot, &hello.sessions, begun);
                // What it holds and we do not is an attempt that we gave up: it may stop. Danger: a name of another life may be that of
                // a session that is just being taken up, or of a process that runs under this front's name.
                let ours = |name: &&String| {
                    self.paid.is_none() || self.shared.names.attempt_of(name).is_some()
                };
                let strange = hello
                    .sessions
                    .iter()
                    .filter(|name| !self.names.contains_key(*name))
                    .filter(ours);
                if let Some(link) = &state.link {
                    strange.for_each(|name| link.tear_down(&self.shared, name));
                }
                self.lose(lost);
                self.may_be_back(server);
            }
            Msg::Notes(name, notes) => {
                let Some(attempt) = self.names.get(&name).copied() else {
                    return;
                };
                let server = self.live.get(&attempt).map(|live| live.server);
                for note in notes {
                    if let (Some(server), SessionUpdate::DeliveryRatio(share)) = (server, note) {
                        self.traffic
                            .desk
                            .delivery_reported(server.0, share, clock::now());
                    }
                    self.tell_core(Input::SessionUpdated(attempt, note));
                }
            }
            Msg::Over(name, outcome, sent) => {
                let Some(attempt) = self.names.get(&name).copied() else {
                    return;
                };
                self.over_at_server(attempt, outcome, false);
                sent.into_iter()
                    .for_each(|sent| self.last_word(attempt, sent));
            }
            Msg::Traffic(server, traffic) => {
                let named = |(name, sent): &(String, u64)| Some((*self.names.get(name)?, *sent));
                let sent: Vec<(AttemptId, u64)> = traffic.sent.iter().filter_map(named).collect();
                self.traffic.counted(server, &sent, &traffic.crossing);
            }
            Msg::Sent(name, sent) => {
                if let Some(attempt) = self.shared.names.attempt_of(&name) {
                    self.last_word(attempt, sent);
                }
            }
            Msg::Budgets(config) => {
                tracing::info!(
                    budgets = config.budgets.len(),
                    "budgets between halls changed"
                );
                self.traffic.change(&config);
                self.tell_crossing();
            }
            Msg::Report(wanted) => drop(wanted.send(self.traffic.report())), // Who asked may be gone.
            Msg::Broke(server) => self.traffic.desk.server_alive(server.0, clock::now()),
            Msg::Lost(server, begun) => {
                self.traffic.desk.server_lost(server.0);
                // Danger: a server is met milliseconds after its start, by a front that called its stream in vain until then and sleeps
                // before the next call. Who can't be reached is in no life that is warm, and while nobody else tells, that is told here.
                // Harm: a server cut off from this front alone is spared when it can be reached again.
                if self.list_lost {
                    self.started(server, clock::now());
                }
                let lost = self
                    .servers
                    .get(&server)
                    .map(|s| s.contact.lost(begun))
                    .unwrap_or_default();
                if !lost.is_empty() {
                    tracing::warn!(server = server.0, sessions = lost.len(), "server lost");
                }
                self.lose(lost);
            }
            Msg::List(kind, list) => {
                self.list_lost = false;
                self.list(kind, &list);
            }
            Msg::ListFailed => {
                self.list_lost = true;
                self.roster(EndpointListKind::Failed, Vec::new());
            }
            Msg::Book(server, book) => self.book(server, book),
            Msg::Fenced(server, name, ended) => self.fenced(server, &name, ended),
            Msg::Stored(attempt, written) => self.stored(attempt, written),
            Msg::Fleet(wanted) => drop(wanted.send(self.fleet())), // Who asked may be gone.
            Msg::Members(known) => self.tell_core(Input::FleetSizeChanged(known)),
            Msg::Drain => {
                if self.drain_by.is_none() {
                    tracing::info!(
                        waiting = self.core.waiting(),
                        playing = self.core.playing(),
                        "draining"
                    );
                    self.shared.draining.store(true, Ordering::Relaxed);
                    self.drain_by = Some(clock::now().saturating_add(self.shared.limits().drain));
                    self.tell_core(Input::Drain);
                }
            }
        }
    }

    /// Tells the core. What is owed whatever is decided leaves now; the module decides when all that lies in the queue was
    /// heard, in [`Core::expire`].
    fn tell_core(&mut self, input: Input) {
        self.core
            .handle_input(Time(clock::now()), input, &mut self.effects);
        self.carry_out();
    }
}
