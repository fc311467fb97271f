//! Runs the registry crate `foca` on the same simulated network and in the same cases as the project's own membership, to
//! compare the two: `cargo run --release -p crankpaddle-fault-simulation --example foca -- CASE FRONTS SEED`.
//!
//! `foca` runs with its own configuration for a local network (`Config::new_lan`), with one change: it announces itself to
//! members that are down every 2 s, as the project's membership does, instead of every 65 s. It has no local health, no gossip
//! state and no state for members that left, so claims about these can't hold.
use crankpaddle_fault_simulation::{
    front_name, parse_case, run_case, ActionError, EntryAge, EventQueue, FleetCase, HostAction,
    Link, MemberTransition, NetworkConditions, ProcessState, SentCounts, SimulatedProcesses,
    BUILT_IN_CASES, DEFAULT_DELAY, SIMULATION_START,
};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use foca::{
    AccumulatingRuntime, Config, Foca, Identity, NoCustomBroadcast, OwnedNotification,
    PeriodicParams, PostcardCodec, Timer,
};
use rand_for_foca::rngs::StdRng;
use rand_for_foca::SeedableRng;
use serde::{Deserialize, Serialize};
use std::num::{NonZeroU32, NonZeroUsize};
use std::time::Duration;

/// Time between two attempts of a process to join through the seeds.
const JOIN_INTERVAL: Duration = Duration::from_secs(2);
/// Distance between the incarnations of two starts of processes. `foca` itself increments an incarnation by one when a process
/// that was declared down rejoins, so a larger step keeps restarts distinct.
const INCARNATION_STEP: u64 = 1000;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Id {
    number: u32,
    incarnation: u64,
}

impl Identity for Id {
    type Addr = u32;

    fn renew(&self) -> Option<Id> {
        Some(Id {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> u32 {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self.incarnation > adversary.incarnation
    }
}

type Member = Foca<Id, PostcardCodec, StdRng, NoCustomBroadcast>;

struct Node {
    member: Member,
    process: ProcessState<Vec<u8>>,
    incarnation: u64,
    overdue_timers: Vec<Timer<Id>>, // Timers that expired while the process was paused.
    views: Vec<Option<View>>,
    sent: SentCounts,
}

/// The state and the incarnation in which a member sees another.
#[derive(Clone, Copy)]
struct View {
    state: MemberState,
    incarnation: u64,
}

enum Event {
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    Timer {
        node: usize,
        incarnation: u64,
        timer: Timer<Id>,
    },
    Join {
        node: usize,
        incarnation: u64,
    },
}

struct FocaNetwork {
    now: Time,
    nodes: Vec<Node>,
    seeds: Vec<usize>,
    conditions: NetworkConditions,
    queue: EventQueue<Event>,
    rng: oorandom::Rand64,
    transitions: Vec<MemberTransition>,
    last_incarnation: u64,
}

fn member(fronts: usize, number: usize, incarnation: u64, seed: u64) -> Member {
    let size = NonZeroU32::new(fronts as u32).expect("a fleet has at least one front");
    let config = Config {
        periodic_announce_to_down_members: Some(PeriodicParams {
            frequency: Duration::from_secs(2),
            num_members: NonZeroUsize::MIN,
        }),
        ..Config::new_lan(size)
    };
    let id = Id {
        number: number as u32,
        incarnation,
    };
    Foca::new(id, config, StdRng::seed_from_u64(seed), PostcardCodec)
}

impl FocaNetwork {
    fn for_case(case: &FleetCase, fronts: usize, seed: u64) -> FocaNetwork {
        let mut network = FocaNetwork {
            now: SIMULATION_START,
            nodes: Vec::new(),
            seeds: case.seeds.members(fronts),
            conditions: NetworkConditions::without_faults(DEFAULT_DELAY),
            queue: EventQueue::default(),
            rng: oorandom::Rand64::new(u128::from(seed)),
            transitions: Vec::new(),
            last_incarnation: INCARNATION_STEP,
        };
        for number in 0..fronts {
            network.nodes.push(Node {
                member: member(fronts, number, 1, network.rng.rand_u64()),
                process: ProcessState::new(false),
                incarnation: 1,
                overdue_timers: Vec::new(),
                views: vec![None; fronts],
                sent: SentCounts::default(),
            });
        }
        for number in case.initial_fronts.members(fronts) {
            network.start(number);
        }
        network
    }

    fn start(&mut self, number: usize) {
        self.last_incarnation += INCARNATION_STEP;
        let incarnation = self.last_incarnation;
        let fronts = self.nodes.len();
        let seed = self.rng.rand_u64();
        let node = &mut self.nodes[number];
        node.member = member(fronts, number, incarnation, seed);
        node.incarnation = incarnation;
        node.process.start();
        node.views = vec![None; fronts];
        let join = Event::Join {
            node: number,
            incarnation,
        };
        self.queue.schedule(self.now, join);
    }

    /// Calls a member's state machine and carries out its outputs. The result of the call is ignored, so that datagrams which
    /// the member rejects (from previous incarnations, or from itself) are dropped.
    fn with_member<T>(
        &mut self,
        number: usize,
        action: impl FnOnce(&mut Member, &mut AccumulatingRuntime<Id>) -> T,
    ) {
        let mut runtime = AccumulatingRuntime::new();
        action(&mut self.nodes[number].member, &mut runtime);
        while let Some((to, bytes)) = runtime.to_send() {
            self.send(number, to.number as usize, &bytes);
        }
        let incarnation = self.nodes[number].incarnation;
        while let Some((after, timer)) = runtime.to_schedule() {
            let event = Event::Timer {
                node: number,
                incarnation,
                timer,
            };
            self.queue.schedule(self.now + after, event);
        }
        while let Some(notification) = runtime.to_notify() {
            self.record_transition(number, notification);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let node = &mut self.nodes[from];
        node.sent.datagrams += 1;
        node.sent.bytes += bytes.len() as u64;
        let arrivals =
            self.conditions
                .arrivals(self.now, Link { from, to }, bytes.len(), &mut self.rng);
        for at in arrivals {
            let bytes = bytes.to_vec();
            self.queue.schedule(at, Event::Datagram { to, bytes });
        }
    }

    fn record_transition(&mut self, viewer: usize, notification: OwnedNotification<Id>) {
        let (id, state) = match notification {
            OwnedNotification::MemberUp(id) | OwnedNotification::Rename(_, id) => {
                (id, MemberState::Alive)
            }
            OwnedNotification::MemberDown(id) => (id, MemberState::Dead),
            _ => return,
        };
        let viewed = id.number as usize;
        let view = View {
            state,
            incarnation: id.incarnation,
        };
        let before = self.nodes[viewer].views[viewed].replace(view);
        self.transitions.push(MemberTransition {
            at: self.now,
            viewer,
            viewed,
            state,
            restarted: before.is_some_and(|before| before.incarnation != id.incarnation),
        });
    }

    fn receive(&mut self, number: usize, bytes: &[u8]) {
        self.with_member(number, |member, runtime| member.handle_data(bytes, runtime));
    }

    fn expire(&mut self, number: usize, timer: Timer<Id>) {
        self.with_member(number, |member, runtime| {
            member.handle_timer(timer, runtime)
        });
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Datagram { to, bytes } => self.handle_datagram(to, bytes),
            Event::Timer {
                node,
                incarnation,
                timer,
            } => self.handle_timer(node, incarnation, timer),
            Event::Join { node, incarnation } => self.join(node, incarnation),
        }
    }

    fn handle_datagram(&mut self, to: usize, bytes: Vec<u8>) {
        if let Some(bytes) = self.nodes[to].process.accept(bytes) {
            self.receive(to, &bytes);
        }
    }

    fn handle_timer(&mut self, number: usize, incarnation: u64, timer: Timer<Id>) {
        let node = &mut self.nodes[number];
        if !node.process.is_running() || node.incarnation != incarnation {
            return;
        }
        if node.process.is_paused() {
            node.overdue_timers.push(timer);
        } else {
            self.expire(number, timer);
        }
    }

    /// Announces a process to the seeds, and again after an interval until it knows another member, as any program that uses
    /// the crate has to do.
    fn join(&mut self, number: usize, incarnation: u64) {
        let node = &self.nodes[number];
        let is_current = node.process.is_running() && node.incarnation == incarnation;
        if !is_current || node.member.num_members() > 0 {
            return;
        }
        for seed in self.seeds.clone() {
            if seed == number {
                continue;
            }
            let to = Id {
                number: seed as u32,
                incarnation: 0,
            };
            self.with_member(number, |member, runtime| member.announce(to, runtime));
        }
        let next_attempt = Event::Join {
            node: number,
            incarnation,
        };
        self.queue.schedule(self.now + JOIN_INTERVAL, next_attempt);
    }
}

impl SimulatedProcesses for FocaNetwork {
    fn count(&self) -> usize {
        self.nodes.len()
    }

    fn is_running(&self, front: usize) -> bool {
        self.nodes[front].process.is_running()
    }

    fn restart(&mut self, front: usize) {
        self.start(front);
    }

    fn kill(&mut self, front: usize) {
        self.nodes[front].process.kill();
    }

    fn leave(&mut self, front: usize) {
        self.with_member(front, |member, runtime| member.leave_cluster(runtime));
    }

    fn pause(&mut self, front: usize) {
        self.nodes[front].process.pause();
    }

    fn resume(&mut self, front: usize) {
        let node = &mut self.nodes[front];
        let backlog = node.process.resume();
        let timers = std::mem::take(&mut node.overdue_timers);
        for bytes in backlog {
            self.receive(front, &bytes);
        }
        for timer in timers {
            self.expire(front, timer);
        }
    }

    fn write_entry(&mut self, front: usize) -> Result<(), ActionError> {
        let message = format!(
            "{} can't write an entry: foca has no gossip state",
            front_name(front)
        );
        Err(ActionError::Unsupported(message))
    }

    fn act_on_hosts(&mut self, _: &HostAction) -> Result<(), ActionError> {
        Err(ActionError::Unsupported(
            "power, disks and servers exist only with real processes".to_owned(),
        ))
    }

    fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while let Some((at, event)) = self.queue.pop_until(until) {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = until;
    }

    fn conditions(&mut self) -> &mut NetworkConditions {
        &mut self.conditions
    }

    fn clock(&self) -> Time {
        self.now
    }

    fn member_state(&self, viewer: usize, viewed: usize) -> Option<MemberState> {
        self.nodes[viewer].views[viewed].map(|view| view.state)
    }

    fn own_health(&self, _: usize) -> Option<LocalHealth> {
        None
    }

    fn transitions_since(&self, from: Time) -> Vec<MemberTransition> {
        let first = self
            .transitions
            .partition_point(|transition| transition.at < from);
        self.transitions[first..].to_vec()
    }

    fn last_entry_age(&self, _: usize) -> Option<EntryAge> {
        None
    }

    fn sent_by(&self, front: usize) -> SentCounts {
        self.nodes[front].sent
    }
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let case_name = args.first().map_or("deaths", String::as_str);
    let number_arg = |index: usize, default: u64| {
        args.get(index)
            .and_then(|arg| arg.parse().ok())
            .unwrap_or(default)
    };
    let (fronts, seed) = (number_arg(1, 40) as usize, number_arg(2, 1));
    let Some((_, text)) = BUILT_IN_CASES.iter().find(|(name, _)| *name == case_name) else {
        return eprintln!("unknown case {case_name:?}");
    };
    let case = parse_case(text).expect("built-in cases are valid");
    match run_case(&case, &mut FocaNetwork::for_case(&case, fronts, seed)) {
        Err(error) => eprintln!("{case_name}: {error}"),
        Ok(result) => {
            for claim in &result.claims {
                println!(
                    "{}: {}: {}",
                    if claim.holds { "kept" } else { "BROKEN" },
                    claim.description,
                    claim.measurement
                );
            }
            let ((kept, all), sent) = (result.satisfied_claims(), result.max_send_rate);
            println!("foca {case_name}: fronts {fronts}, claims kept {kept}/{all}, {:.1} datagrams, {:.0} bytes a second", sent.datagrams, sent.bytes);
        }
    }
}
