//! A net in memory on a given clock: members, delays, loss, cuts, stops, deaths. Everything drawn follows from one seed.
use crate::cluster::{self, Rate, Turn, World};
use crate::network_conditions::Weather;
use crate::scenario::{Act, Case, Fronts};
use crankpaddle_membership::{
    LocalHealth, MemberChange, MemberState, Membership, MembershipConfig, Output,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A millisecond.
pub const MS: u64 = 1_000_000;
/// A second.
pub const SECOND: u64 = 1000 * MS;
/// What a process's socket holds while it stands still.
const BACKLOG: usize = 200;
/// The usual time on the way.
const USUAL: (u64, u64) = (MS / 5, 2 * MS);
/// When the clock begins.
const BEGIN: u64 = 100 * SECOND;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Wake(usize),
}

/// A process of the fleet.
pub struct Node {
    /// Its state machine.
    pub peers: Membership,
    /// Whether it runs.
    pub up: bool,
    /// Whether it was stopped and stands still.
    pub stopped: bool,
    address: String,
    seeds: Vec<usize>,
    backlog: Vec<(usize, Vec<u8>)>,
    wake: u64,
}

/// The net and all that is on it.
pub struct Net {
    /// The given clock, nanoseconds.
    pub now: u64,
    /// The processes, by number.
    pub nodes: Vec<Node>,
    /// What members came to take others for: when, who, what.
    pub changes: Vec<(u64, usize, MemberChange)>,
    /// Their own standings.
    pub standings: Vec<(u64, usize, LocalHealth)>,
    /// What the net does to datagrams.
    pub weather: Weather,
    /// Whether copies of all that is sent are kept.
    pub keep_copies: bool,
    /// From, to, bytes.
    pub copies: Vec<(usize, usize, Vec<u8>)>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    rng: oorandom::Rand64,
    names: BTreeMap<String, usize>,
    wrote: Option<(usize, u64)>,
    lives: u64,
    sent_before: Vec<(u64, u64)>, // By former lives.
}

/// The name of the front of this number.
pub fn name(i: usize) -> String {
    format!("front-{i}")
}

/// The number of the front of this name.
pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix("front-")?.parse().ok()
}

/// Settings of the front of this number, found by others at its name.
pub fn settings(i: usize, seeds: &[usize]) -> MembershipConfig {
    MembershipConfig {
        name: name(i),
        address: name(i),
        epoch: 1_000_000,
        incarnation: i as u64 + 1,
        key: [7; 16],
        seeds: seeds.iter().map(|s| name(*s)).collect(),
        ..MembershipConfig::default()
    }
}

impl Net {
    /// An empty net.
    pub fn new(seed: u64) -> Net {
        Net {
            now: BEGIN,
            nodes: Vec::new(),
            changes: Vec::new(),
            standings: Vec::new(),
            weather: Weather::fair(USUAL),
            wrote: None,
            lives: 0,
            sent_before: Vec::new(),
            keep_copies: false,
            copies: Vec::new(),
            queue: BinaryHeap::new(),
            count: 0,
            rng: oorandom::Rand64::new(u128::from(seed)),
            names: BTreeMap::new(),
        }
    }

    /// A fleet of so many that all start with the first as seed.
    pub fn fleet(n: usize, seed: u64) -> Net {
        let mut net = Net::new(seed);
        for i in 0..n {
            net.start(settings(i, &[0]));
        }
        net
    }

    /// A fleet of so many for a case.
    pub fn of(case: &Case, n: usize, seed: u64) -> Net {
        let mut net = Net::new(seed);
        let seeds = case.seeds.of(n);
        for i in 0..n {
            net.start(settings(i, &seeds));
            net.nodes[i].up = case.first.has(i, n);
        }
        net
    }

    /// Starts a process; where one of this name ran, it takes its place.
    pub fn start(&mut self, settings: MembershipConfig) -> usize {
        let address = settings.address.clone();
        let seeds: Vec<usize> = settings.seeds.iter().filter_map(|s| number(s)).collect();
        let peers = Membership::new(settings, self.rng.rand_u64(), self.now);
        let node = Node {
            peers,
            up: true,
            stopped: false,
            address: address.clone(),
            seeds,
            backlog: Vec::new(),
            wake: u64::MAX,
        };
        let i = match self.names.get(&address) {
            Some(i) => {
                let before = self.nodes[*i].peers.counters();
                self.sent_before[*i].0 += before.datagrams_sent;
                self.sent_before[*i].1 += before.bytes_sent;
                self.nodes[*i] = node;
                *i
            }
            None => {
                self.nodes.push(node);
                self.sent_before.push((0, 0));
                self.names.insert(address, self.nodes.len() - 1);
                self.nodes.len() - 1
            }
        };
        self.arm(i);
        i
    }

    fn push(&mut self, at: u64, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn arm(&mut self, i: usize) {
        let at = self.nodes[i].peers.next_expiry().max(self.now);
        if at != self.nodes[i].wake && at < u64::MAX {
            self.nodes[i].wake = at;
            self.push(at, Event::Wake(i));
        }
    }

    /// Has a member do something and carries out what comes of it.
    pub fn tell<T>(
        &mut self,
        i: usize,
        what: impl FnOnce(&mut Membership, u64, &mut Vec<Output>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = what(&mut self.nodes[i].peers, self.now, &mut out);
        for output in out {
            match output {
                Output::Send {
                    address: to, bytes, ..
                } => {
                    let Some(to) = self.names.get(&to).copied() else {
                        continue;
                    };
                    if self.keep_copies {
                        self.copies.push((i, to, bytes.clone()));
                    }
                    self.carry(i, to, bytes);
                }
                Output::MemberChanged(change) => self.changes.push((self.now, i, change)),
                Output::LocalHealthChanged(standing) => {
                    self.standings.push((self.now, i, standing));
                }
            }
        }
        self.arm(i);
        result
    }

    /// Puts a datagram on its way.
    pub fn carry(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        for at in self
            .weather
            .arrivals(self.now, (from, to), bytes.len(), &mut self.rng)
        {
            self.push(
                at,
                Event::Datagram {
                    from,
                    to,
                    bytes: bytes.clone(),
                },
            );
        }
    }

    /// Starts the process of this number from nothing, on a host whose clock was set back.
    fn anew(&mut self, i: usize) {
        let known = self.nodes[i].seeds.clone();
        self.lives += 1;
        self.start(MembershipConfig {
            epoch: 500_000,
            incarnation: 1_000_000 + self.lives,
            ..settings(i, &known)
        });
    }

    /// Goes on for a time.
    fn go(&mut self, time: u64) {
        let until = self.now + time;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= until)
        {
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match event {
                Event::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
                Event::Wake(i) => {
                    let node = &mut self.nodes[i];
                    if node.up && !node.stopped && node.wake == at {
                        node.wake = u64::MAX;
                        self.tell(i, crankpaddle_membership::Membership::expire);
                    }
                }
            }
        }
        self.now = until;
    }

    fn deliver(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        if node.stopped {
            if node.backlog.len() < BACKLOG {
                node.backlog.push((from, bytes));
            }
            return;
        }
        let from = self.nodes[from].address.clone();
        self.tell(to, |p, now, out| p.receive(now, &from, &bytes, out));
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].up = false;
    }

    /// Stops a process; it stands still.
    pub fn stop(&mut self, i: usize) {
        self.nodes[i].stopped = true;
    }

    /// It goes on: what lay in its socket is read first, then its timers fall due.
    pub fn go_on(&mut self, i: usize) {
        self.nodes[i].stopped = false;
        for (from, bytes) in std::mem::take(&mut self.nodes[i].backlog) {
            self.deliver(from, i, bytes);
        }
        self.tell(i, crankpaddle_membership::Membership::expire);
    }

    /// Whether each of `at` takes each of `of` (but itself) for this.
    pub fn all(&self, at: &[usize], of: &[usize], state: MemberState) -> bool {
        cluster::all(self, at, of, state)
    }

    /// Runs until something holds; how long it took.
    pub fn until(&mut self, within: u64, holds: impl Fn(&Net) -> bool) -> Option<u64> {
        let begun = self.now;
        while self.now - begun <= within {
            if holds(self) {
                return Some(self.now - begun);
            }
            self.go(50 * MS);
        }
        None
    }

    /// Members that were taken for gone by somebody from a time on.
    pub fn accused(&self, from: u64) -> Vec<(usize, String)> {
        let gone = |(at, by, c): &(u64, usize, MemberChange)| {
            (*at >= from && c.state == MemberState::Dead).then(|| (*by, c.name.clone()))
        };
        self.changes.iter().filter_map(gone).collect()
    }
}

impl World for Net {
    fn fronts(&self) -> usize {
        self.nodes.len()
    }

    fn now(&self) -> u64 {
        self.now
    }

    fn run(&mut self, time: u64) {
        self.go(time);
    }

    fn act(&mut self, act: &Act) -> Result<(), String> {
        let n = self.nodes.len();
        let each = |fronts: &Fronts| fronts.of(n);
        match act {
            Act::Start(fronts) => {
                for i in each(fronts)
                    .into_iter()
                    .filter(|i| !self.nodes[*i].up)
                    .collect::<Vec<_>>()
                {
                    self.anew(i);
                }
            }
            Act::Kill(fronts) => each(fronts).into_iter().for_each(|i| self.kill(i)),
            Act::End(fronts) => {
                for i in each(fronts) {
                    self.tell(i, crankpaddle_membership::Membership::leave);
                    self.kill(i);
                }
            }
            Act::Stop(fronts) => each(fronts).into_iter().for_each(|i| self.stop(i)),
            Act::GoOn(fronts) => each(fronts).into_iter().for_each(|i| self.go_on(i)),
            Act::Restart(fronts, after) => {
                let again = each(fronts);
                again.iter().for_each(|i| self.kill(*i));
                self.go(*after);
                again.into_iter().for_each(|i| self.anew(i));
            }
            Act::Net { .. } | Act::Cut { .. } | Act::Heal | Act::Flood(..) => {
                self.weather.act(act, n, USUAL);
            }
            Act::Runs(..) => {} // There is one build here.
            Act::Power(_) => {
                return Err(
                    "only processes have disks and servers; play it without --virtual".to_owned(),
                )
            }
            Act::Write(i) => {
                let written = self.tell(*i, |p, now, _| p.write(now, 1, vec![7; 100]));
                written.map_err(|error| error.to_string())?;
                self.wrote = Some((*i, self.now));
            }
        }
        Ok(())
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.nodes[at].peers.state_of(&name(of))
    }

    fn standing(&self, at: usize) -> Option<LocalHealth> {
        Some(self.nodes[at].peers.local_health())
    }

    fn turns(&self, from: u64) -> Vec<Turn> {
        let turn = |(at, by, c): &(u64, usize, MemberChange)| {
            let of = *self.names.get(&c.name)?;
            Some(Turn {
                at: *at,
                by: *by,
                of,
                state: c.state,
                restarted: c.restarted,
            })
        };
        let since = self.changes.partition_point(|(at, ..)| *at < from);
        self.changes[since..].iter().filter_map(turn).collect()
    }

    fn entry(&self, at: usize) -> Option<(u64, u64)> {
        let (writer, when) = self.wrote?;
        let entry = self.nodes[at].peers.entry(self.now, &name(writer), 1)?;
        Some((entry.age, self.now - when))
    }

    fn sent(&self) -> Rate {
        let time = (self.now - BEGIN).max(1) as f64 / SECOND as f64;
        let rate = |(node, before): (&Node, &(u64, u64))| {
            let counters = node.peers.counters();
            let sent = (counters.datagrams_sent, counters.bytes_sent);
            (
                (sent.0 + before.0) as f64 / time,
                (sent.1 + before.1) as f64 / time,
            )
        };
        let most = |most: Rate, rate: Rate| (most.0.max(rate.0), most.1.max(rate.1));
        self.nodes
            .iter()
            .zip(&self.sent_before)
            .map(rate)
            .fold((0.0, 0.0), most)
    }
}
