//! A fleet in one process: members on a network in memory and a virtual clock. Everything that is drawn follows from one seed.
mod member_config;
mod processes;
mod records;

pub use member_config::{front_name, front_number, member_config};
pub use records::{Accusation, ChangeRecord, HealthRecord, SentDatagram};

use crate::cluster;
use crate::event_queue::EventQueue;
use crate::network_conditions::{Link, NetworkConditions};
use crate::process_state::ProcessState;
use crate::scenario::Case;
use crate::simulated_process::{SentCounts, START_OF_TIME, USUAL_DELAY};
use crankpaddle_membership::{MemberState, Membership, MembershipConfig, Output};
use crankpaddle_time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time between two looks at whether a condition holds.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The epoch of restarted processes: their host's clock was set back.
const RESTART_EPOCH: u64 = 500_000;
/// Incarnations of restarted processes are counted from here on.
const RESTART_INCARNATIONS: u64 = 1_000_000;

enum Event {
    Datagram(SentDatagram),
    Expiry { node: usize },
}

/// A process of the fleet.
pub struct SimulatedNode {
    /// Its state machine.
    pub membership: Membership,
    process: ProcessState<SentDatagram>,
    address: String,
    seeds: Vec<usize>,
    expiry: Time, // Of the timer that is scheduled.
}

/// The network and the processes on it.
pub struct SimulatedNetwork {
    /// The virtual clock.
    pub now: Time,
    /// The processes, by number.
    pub nodes: Vec<SimulatedNode>,
    /// Changes of members' views, in order.
    pub changes: Vec<ChangeRecord>,
    /// Changes of members' own health, in order.
    pub health_changes: Vec<HealthRecord>,
    /// The conditions of the network.
    pub conditions: NetworkConditions,
    /// Whether sent datagrams are captured.
    pub is_capturing: bool,
    /// The captured datagrams.
    pub captured: Vec<SentDatagram>,
    queue: EventQueue<Event>,
    rng: oorandom::Rand64,
    numbers: BTreeMap<String, usize>, // By address.
    last_write: Option<LastWrite>,
    restarts: u64,
    sent_before: Vec<SentCounts>, // By previous incarnations.
}

/// The entry that was written last.
struct LastWrite {
    node: usize,
    at: Time,
}

impl SimulatedNetwork {
    /// An empty network.
    #[must_use]
    pub fn new(seed: u64) -> SimulatedNetwork {
        SimulatedNetwork {
            now: START_OF_TIME,
            nodes: Vec::new(),
            changes: Vec::new(),
            health_changes: Vec::new(),
            conditions: NetworkConditions::good(USUAL_DELAY),
            is_capturing: false,
            captured: Vec::new(),
            queue: EventQueue::default(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            numbers: BTreeMap::new(),
            last_write: None,
            restarts: 0,
            sent_before: Vec::new(),
        }
    }

    /// A fleet of so many fronts that all join through the first.
    #[must_use]
    pub fn with_fleet(fronts: usize, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork::new(seed);
        for number in 0..fronts {
            network.start(member_config(number, &[0]));
        }
        network
    }

    /// A fleet of so many fronts for a case.
    #[must_use]
    pub fn for_case(case: &Case, fronts: usize, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork::new(seed);
        let seeds = case.seeds.of(fronts);
        for number in 0..fronts {
            network.start(member_config(number, &seeds));
            if !case.first.has(number, fronts) {
                network.kill(number);
            }
        }
        network
    }

    /// Starts a process, in place of the one at its address if there is any; its number.
    pub fn start(&mut self, config: MembershipConfig) -> usize {
        let address = config.address.clone();
        let seeds = config
            .seeds
            .iter()
            .filter_map(|seed| front_number(seed))
            .collect();
        let membership = Membership::new(config, self.rng.rand_u64(), self.now);
        let node = SimulatedNode {
            membership,
            process: ProcessState::new(true),
            address: address.clone(),
            seeds,
            expiry: Time::MAX,
        };
        let number = match self.numbers.get(&address).copied() {
            Some(number) => self.replace(number, node),
            None => self.add(address, node),
        };
        self.schedule_expiry(number);
        number
    }

    fn replace(&mut self, number: usize, node: SimulatedNode) -> usize {
        self.sent_before[number] = self.sent_counts(number);
        self.nodes[number] = node;
        number
    }

    fn add(&mut self, address: String, node: SimulatedNode) -> usize {
        let number = self.nodes.len();
        self.nodes.push(node);
        self.sent_before.push(SentCounts::default());
        self.numbers.insert(address, number);
        number
    }

    /// Calls a member's state machine, and carries out its outputs.
    pub fn with_member<T>(
        &mut self,
        number: usize,
        action: impl FnOnce(&mut Membership, Time, &mut Vec<Output>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = action(&mut self.nodes[number].membership, self.now, &mut out);
        for output in out {
            self.carry_out_output(number, output);
        }
        self.schedule_expiry(number);
        result
    }

    fn carry_out_output(&mut self, number: usize, output: Output) {
        match output {
            Output::Send { address, bytes, .. } => {
                let Some(to) = self.numbers.get(&address).copied() else {
                    return;
                };
                let datagram = SentDatagram {
                    from: number,
                    to,
                    bytes,
                };
                if self.is_capturing {
                    self.captured.push(datagram.clone());
                }
                self.transmit(datagram);
            }
            Output::MemberChanged(change) => self.changes.push(ChangeRecord {
                at: self.now,
                by: number,
                change,
            }),
            Output::LocalHealthChanged(health) => self.health_changes.push(HealthRecord {
                at: self.now,
                node: number,
                health,
            }),
        }
    }

    /// Sends a datagram through the network.
    pub fn transmit(&mut self, datagram: SentDatagram) {
        let link = Link {
            from: datagram.from,
            to: datagram.to,
        };
        let size = datagram.bytes.len();
        let arrivals = self
            .conditions
            .arrivals(self.now, link, size, &mut self.rng);
        for at in arrivals {
            self.queue.schedule(at, Event::Datagram(datagram.clone()));
        }
    }

    fn schedule_expiry(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let at = node.membership.next_expiry().max(self.now);
        if at != node.expiry && at < Time::MAX {
            node.expiry = at;
            self.queue.schedule(at, Event::Expiry { node: number });
        }
    }

    /// Lets virtual time pass.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            match event {
                Event::Datagram(datagram) => self.deliver(datagram),
                Event::Expiry { node } => self.expire(node, at),
            }
        }
        self.now = until;
    }

    /// Runs a member's timers, unless the event was overtaken by another one.
    fn expire(&mut self, number: usize, at: Time) {
        let node = &mut self.nodes[number];
        let can_run = node.process.is_running() && !node.process.is_paused();
        if can_run && node.expiry == at {
            node.expiry = Time::MAX;
            self.with_member(number, Membership::expire);
        }
    }

    fn deliver(&mut self, datagram: SentDatagram) {
        let receiver = &mut self.nodes[datagram.to].process;
        let Some(datagram) = receiver.accept(datagram) else {
            return;
        };
        let from = self.nodes[datagram.from].address.clone();
        self.with_member(datagram.to, |member, now, out| {
            member.receive(now, &from, &datagram.bytes, out);
        });
    }

    /// Ends a process without notice.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].process.kill();
    }

    /// Pauses a process.
    pub fn pause(&mut self, number: usize) {
        self.nodes[number].process.pause();
    }

    /// Resumes a process: what its socket buffered is received first, then its timers run.
    pub fn resume(&mut self, number: usize) {
        for datagram in self.nodes[number].process.resume() {
            self.deliver(datagram);
        }
        self.with_member(number, Membership::expire);
    }

    /// What a process sent, its previous incarnations included.
    fn sent_counts(&self, number: usize) -> SentCounts {
        let counters = self.nodes[number].membership.counters();
        let current = SentCounts {
            datagrams: counters.datagrams_sent,
            bytes: counters.bytes_sent,
        };
        self.sent_before[number] + current
    }

    /// Whether each viewer sees each viewed front (except itself) in this state.
    #[must_use]
    pub fn all_see(&self, viewers: &[usize], viewed: &[usize], state: MemberState) -> bool {
        cluster::all_see(self, viewers, viewed, state)
    }

    /// Advances until a condition holds; how long it took.
    pub fn advance_until(
        &mut self,
        within: Duration,
        holds: impl Fn(&SimulatedNetwork) -> bool,
    ) -> Option<Duration> {
        let started = self.now;
        while self.now.duration_since(started) <= within {
            if holds(self) {
                return Some(self.now.duration_since(started));
            }
            self.advance(POLL_INTERVAL);
        }
        None
    }

    /// The members' views that changed to dead from a time on, in order.
    #[must_use]
    pub fn accusations(&self, from: Time) -> Vec<Accusation> {
        self.changes
            .iter()
            .filter(|record| record.at >= from && record.change.state == MemberState::Dead)
            .map(|record| Accusation {
                by: record.by,
                accused: record.change.name.clone(),
            })
            .collect()
    }
}
