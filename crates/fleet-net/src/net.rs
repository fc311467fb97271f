//! A net in memory on a given clock: members, delays, loss, cuts, stops, deaths. Everything drawn follows from one seed.
use crankpaddle_membership::{Change, Output, Peers, Settings, Standing, State};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A millisecond.
pub const MS: u64 = 1_000_000;
/// A second.
pub const SECOND: u64 = 1000 * MS;
/// What a process's socket holds while it stands still.
const BACKLOG: usize = 200;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Wake(usize),
}

/// A process of the fleet.
pub struct Node {
    /// Its state machine.
    pub peers: Peers,
    /// Whether it runs.
    pub up: bool,
    /// Whether it was stopped and stands still.
    pub stopped: bool,
    address: String,
    backlog: Vec<(usize, Vec<u8>)>,
    wake: u64,
}

/// Whether a datagram from one to another gets through now.
type Lets = Box<dyn Fn(usize, usize) -> bool>;

/// The net and all that is on it.
pub struct Net {
    /// The given clock, nanoseconds.
    pub now: u64,
    /// The processes, by number.
    pub nodes: Vec<Node>,
    /// What members came to take others for: when, who, what.
    pub changes: Vec<(u64, usize, Change)>,
    /// Their own standings.
    pub standings: Vec<(u64, usize, Standing)>,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Least and most time on the way.
    pub delay: (u64, u64),
    /// Whether a datagram from one to another gets through now.
    pub lets: Lets,
    /// Whether copies of all that is sent are kept.
    pub keep_copies: bool,
    /// From, to, bytes.
    pub copies: Vec<(usize, usize, Vec<u8>)>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    rng: oorandom::Rand64,
    names: BTreeMap<String, usize>,
}

/// The name of the front of this number.
pub fn name(i: usize) -> String {
    format!("front-{i}")
}

/// Settings of the front of this number, found by others at its name.
pub fn settings(i: usize, seeds: &[usize]) -> Settings {
    Settings {
        name: name(i),
        address: name(i),
        epoch: 1_000_000,
        life: i as u64 + 1,
        key: [7; 16],
        seeds: seeds.iter().map(|s| name(*s)).collect(),
        ..Settings::default()
    }
}

impl Net {
    /// An empty net.
    pub fn new(seed: u64) -> Net {
        Net {
            now: 100 * SECOND,
            nodes: Vec::new(),
            changes: Vec::new(),
            standings: Vec::new(),
            loss: 0.0,
            delay: (MS / 5, 2 * MS),
            lets: Box::new(|_, _| true),
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

    /// Starts a process; where one of this name ran, it takes its place.
    pub fn start(&mut self, settings: Settings) -> usize {
        let address = settings.address.clone();
        let peers = Peers::new(settings, self.rng.rand_u64(), self.now);
        let node = Node {
            peers,
            up: true,
            stopped: false,
            address: address.clone(),
            backlog: Vec::new(),
            wake: u64::MAX,
        };
        let i = match self.names.get(&address) {
            Some(i) => {
                self.nodes[*i] = node;
                *i
            }
            None => {
                self.nodes.push(node);
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
        let at = self.nodes[i].peers.next().max(self.now);
        if at != self.nodes[i].wake && at < u64::MAX {
            self.nodes[i].wake = at;
            self.push(at, Event::Wake(i));
        }
    }

    /// Has a member do something and carries out what comes of it.
    pub fn tell<T>(&mut self, i: usize, what: impl FnOnce(&mut Peers, u64, &mut Vec<Output>) -> T) -> T {
        let mut out = Vec::new();
        let result = what(&mut self.nodes[i].peers, self.now, &mut out);
        for output in out {
            match output {
                Output::Send { address: to, bytes, .. } => {
                    let Some(to) = self.names.get(&to).copied() else { continue };
                    if self.keep_copies {
                        self.copies.push((i, to, bytes.clone()));
                    }
                    self.carry(i, to, bytes);
                }
                Output::Change(change) => self.changes.push((self.now, i, change)),
                Output::Standing(standing) => self.standings.push((self.now, i, standing)),
            }
        }
        self.arm(i);
        result
    }

    /// Puts a datagram on its way.
    pub fn carry(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if (self.lets)(from, to) && self.rng.rand_float() >= self.loss {
            let late = (self.rng.rand_float() * (self.delay.1 - self.delay.0) as f64) as u64;
            self.push(self.now + self.delay.0 + late, Event::Datagram { from, to, bytes });
        }
    }

    /// Goes on for a time.
    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, event))) = self.queue.pop() else { break };
            self.now = self.now.max(at);
            match event {
                Event::Datagram { from, to, bytes } => self.deliver(from, to, bytes),
                Event::Wake(i) => {
                    let node = &mut self.nodes[i];
                    if node.up && !node.stopped && node.wake == at {
                        node.wake = u64::MAX;
                        self.tell(i, |p, now, out| p.expire(now, out));
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
        self.tell(to, |p, now, out| p.hear(now, &from, &bytes, out));
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
        self.tell(i, |p, now, out| p.expire(now, out));
    }

    /// What one takes another for.
    pub fn state(&self, at: usize, of: usize) -> Option<State> {
        self.nodes[at].peers.state_of(&name(of))
    }

    /// Whether each of `at` takes each of `of` (but itself) for this.
    pub fn all(&self, at: &[usize], of: &[usize], state: State) -> bool {
        at.iter().all(|a| of.iter().all(|o| a == o || self.state(*a, *o) == Some(state)))
    }

    /// Runs until something holds; how long it took.
    pub fn until(&mut self, within: u64, holds: impl Fn(&Net) -> bool) -> Option<u64> {
        let begun = self.now;
        while self.now - begun <= within {
            if holds(self) {
                return Some(self.now - begun);
            }
            self.run(50 * MS);
        }
        None
    }

    /// Members that were taken for gone by somebody from a time on.
    pub fn accused(&self, from: u64) -> Vec<(usize, String)> {
        let gone = |(at, by, c): &(u64, usize, Change)| {
            (*at >= from && c.state == State::Gone).then(|| (*by, c.name.clone()))
        };
        self.changes.iter().filter_map(gone).collect()
    }
}
