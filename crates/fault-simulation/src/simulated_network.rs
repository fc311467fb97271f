//! A simulated fleet in one process: members on a network in memory, with a virtual clock. All random numbers come from one
//! seed.
mod member_config;
mod processes;
mod records;

pub use member_config::{front_name, front_number, member_config};
pub use records::{Accusation, ChangeRecord, HealthRecord, SentDatagram};

use crate::cluster;
use crate::event_queue::EventQueue;
use crate::network_conditions::{Link, NetworkConditions};
use crate::process_state::ProcessState;
use crate::scenario::FleetCase;
use crate::simulated_process::{SentCounts, DEFAULT_DELAY, SIMULATION_START};
use crankpaddle_membership::{MemberState, Membership, MembershipConfig, MembershipOutput};
use crankpaddle_time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Virtual time between two evaluations of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The epoch of restarted processes, in milliseconds. It is lower than that of the first processes, as if the host's clock had
/// been set back.
const RESTART_EPOCH: u64 = 500_000;
/// Base of the incarnations of restarted processes, so that they differ from those of all first processes.
const RESTART_INCARNATIONS: u64 = 1_000_000;

enum Event {
    Datagram(SentDatagram),
    TimerExpiry { node: usize },
}

/// A process of the simulated fleet.
pub struct SimulatedNode {
    /// The state machine of the process, as it also runs behind real sockets.
    pub membership: Membership,
    process: ProcessState<SentDatagram>,
    address: String,
    seeds: Vec<usize>,
    scheduled_expiry: Time, // Time of the only valid timer event; `Time::MAX` if there is none.
}

/// A fleet of simulated processes and the network between them. Processes are numbered from 0.
pub struct SimulatedNetwork {
    /// Current time of the virtual clock.
    pub now: Time,
    /// The processes, indexed by their number.
    pub nodes: Vec<SimulatedNode>,
    /// All changes of members' views of each other, in chronological order.
    pub changes: Vec<ChangeRecord>,
    /// All changes of members' own health, in chronological order.
    pub health_changes: Vec<HealthRecord>,
    /// Faults, delay and bandwidth of the network.
    pub conditions: NetworkConditions,
    /// Whether sent datagrams are added to `captured`; off at first.
    pub is_capturing: bool,
    /// Datagrams that were sent while capturing was on, for tests that send them again.
    pub captured: Vec<SentDatagram>,
    queue: EventQueue<Event>,
    rng: oorandom::Rand64,
    numbers_by_address: BTreeMap<String, usize>,
    last_write: Option<LastWrite>,
    restarts: u64,
    sent_by_previous: Vec<SentCounts>, // What the previous incarnations sent, indexed by the process's number.
}

/// Who wrote the latest entry of the gossip state, and when.
struct LastWrite {
    node: usize,
    at: Time,
}

impl SimulatedNetwork {
    /// A network without processes and without faults.
    #[must_use]
    pub fn new(seed: u64) -> SimulatedNetwork {
        SimulatedNetwork {
            now: SIMULATION_START,
            nodes: Vec::new(),
            changes: Vec::new(),
            health_changes: Vec::new(),
            conditions: NetworkConditions::without_faults(DEFAULT_DELAY),
            is_capturing: false,
            captured: Vec::new(),
            queue: EventQueue::default(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            numbers_by_address: BTreeMap::new(),
            last_write: None,
            restarts: 0,
            sent_by_previous: Vec::new(),
        }
    }

    /// A fleet of this many fronts that all join through front 0.
    #[must_use]
    pub fn with_fleet(fronts: usize, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork::new(seed);
        for number in 0..fronts {
            network.start(member_config(number, &[0]));
        }
        network
    }

    /// A fleet of this many fronts with the seeds of a case; fronts that do not run at the start of the case are killed.
    #[must_use]
    pub fn for_case(case: &FleetCase, fronts: usize, seed: u64) -> SimulatedNetwork {
        let mut network = SimulatedNetwork::new(seed);
        let seeds = case.seeds.members(fronts);
        for number in 0..fronts {
            network.start(member_config(number, &seeds));
            if !case.initial_fronts.contains(number, fronts) {
                network.kill(number);
            }
        }
        network
    }

    /// Starts a process and returns its number. A process at the same address is replaced.
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
            scheduled_expiry: Time::MAX,
        };
        let number = match self.numbers_by_address.get(&address).copied() {
            Some(number) => self.replace(number, node),
            None => self.add(address, node),
        };
        self.schedule_expiry(number);
        number
    }

    fn replace(&mut self, number: usize, node: SimulatedNode) -> usize {
        self.sent_by_previous[number] = self.sent_counts(number);
        self.nodes[number] = node;
        number
    }

    fn add(&mut self, address: String, node: SimulatedNode) -> usize {
        let number = self.nodes.len();
        self.nodes.push(node);
        self.sent_by_previous.push(SentCounts::default());
        self.numbers_by_address.insert(address, number);
        number
    }

    /// Calls a member's state machine, carries out its outputs and schedules its next timer.
    pub fn with_member<T>(
        &mut self,
        number: usize,
        action: impl FnOnce(&mut Membership, Time, &mut Vec<MembershipOutput>) -> T,
    ) -> T {
        let mut out = Vec::new();
        let result = action(&mut self.nodes[number].membership, self.now, &mut out);
        for output in out {
            self.carry_out_output(number, output);
        }
        self.schedule_expiry(number);
        result
    }

    fn carry_out_output(&mut self, number: usize, output: MembershipOutput) {
        match output {
            MembershipOutput::Send { address, bytes, .. } => {
                let Some(to) = self.numbers_by_address.get(&address).copied() else {
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
            MembershipOutput::MemberChanged(change) => self.changes.push(ChangeRecord {
                at: self.now,
                viewer: number,
                change,
            }),
            MembershipOutput::LocalHealthChanged(health) => {
                self.health_changes.push(HealthRecord {
                    at: self.now,
                    node: number,
                    health,
                });
            }
        }
    }

    /// Sends a datagram through the network, which may lose, delay or duplicate it.
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
        if at != node.scheduled_expiry && at < Time::MAX {
            node.scheduled_expiry = at;
            self.queue.schedule(at, Event::TimerExpiry { node: number });
        }
    }

    /// Advances the virtual clock by this time and handles all events up to then.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            match event {
                Event::Datagram(datagram) => self.deliver(datagram),
                Event::TimerExpiry { node } => self.expire(node, at),
            }
        }
        self.now = until;
    }

    /// Runs a member's timers, unless the process does not run now or another timer event has replaced this one.
    fn expire(&mut self, number: usize, at: Time) {
        let node = &mut self.nodes[number];
        let can_run = node.process.is_running() && !node.process.is_paused();
        if can_run && node.scheduled_expiry == at {
            node.scheduled_expiry = Time::MAX;
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

    /// Ends a process abruptly, without a chance to announce that it leaves.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].process.kill();
    }

    /// Pauses a process: it handles no datagrams and no timers.
    pub fn pause(&mut self, number: usize) {
        self.nodes[number].process.pause();
    }

    /// Resumes a process. It first receives the datagrams that its socket buffered, then runs its overdue timers.
    pub fn resume(&mut self, number: usize) {
        for datagram in self.nodes[number].process.resume() {
            self.deliver(datagram);
        }
        self.with_member(number, Membership::expire);
    }

    /// What a process sent, including its previous incarnations.
    fn sent_counts(&self, number: usize) -> SentCounts {
        let counters = self.nodes[number].membership.counters();
        let current = SentCounts {
            datagrams: counters.datagrams_sent,
            bytes: counters.bytes_sent,
        };
        self.sent_by_previous[number] + current
    }

    /// Whether each of the viewers sees each of the viewed fronts, except itself, in this state.
    #[must_use]
    pub fn all_see(&self, viewers: &[usize], viewed: &[usize], state: MemberState) -> bool {
        cluster::all_see(self, viewers, viewed, state)
    }

    /// Advances the clock until a condition holds, and returns how long that took; `None` if it did not hold within the limit.
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

    /// All declarations of a member as dead at or after a time, in chronological order.
    #[must_use]
    pub fn accusations(&self, from: Time) -> Vec<Accusation> {
        self.changes
            .iter()
            .filter(|record| record.at >= from && record.change.state == MemberState::Dead)
            .map(|record| Accusation {
                accuser: record.viewer,
                accused: record.change.name.clone(),
            })
            .collect()
    }
}
