//! Runs cases on processes that are simulated in virtual time. The processes can run any state machine, so that other
//! membership protocols can be compared in the same cases.
use crate::cluster::{Cluster, EntryAge, MemberTransition, SendRate};
use crate::error::ActionError;
use crate::network_conditions::NetworkConditions;
use crate::scenario::{CaseAction, DelayRange, FrontSet, HostAction};
use crate::seconds;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use std::ops::Add;
use std::time::Duration;

/// Range of a datagram's transit time on a simulated network, if the case states none.
pub const DEFAULT_DELAY: DelayRange = DelayRange {
    min: Duration::from_micros(200),
    max: Duration::from_millis(2),
};
/// The time of the virtual clock at the start of a run.
pub const SIMULATION_START: Time = Time(100_000_000_000);

/// The number of datagrams and bytes that a process sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// Number of datagrams, including those that the network lost.
    pub datagrams: u64,
    /// Total size of the datagrams in bytes.
    pub bytes: u64,
}

impl SentCounts {
    fn rate_over(self, time: Duration) -> SendRate {
        SendRate {
            datagrams: self.datagrams as f64 / seconds(time),
            bytes: self.bytes as f64 / seconds(time),
        }
    }
}

impl Add for SentCounts {
    type Output = SentCounts;

    fn add(self, other: SentCounts) -> SentCounts {
        SentCounts {
            datagrams: self.datagrams + other.datagrams,
            bytes: self.bytes + other.bytes,
        }
    }
}

/// Control and observation of simulated processes, which are numbered from 0. Each implementation is also a [`Cluster`].
pub trait SimulatedProcesses {
    /// The number of processes, whether they run or not.
    fn count(&self) -> usize;
    /// Whether a process runs, paused or not.
    fn is_running(&self, front: usize) -> bool;
    /// Starts a process as a new incarnation, in place of the previous one.
    fn restart(&mut self, front: usize);
    /// Ends a process abruptly, without a chance to announce that it leaves.
    fn kill(&mut self, front: usize);
    /// Makes a process announce that it leaves the fleet; it is not ended by this.
    fn leave(&mut self, front: usize);
    /// Pauses a process: it handles no datagrams and no timers.
    fn pause(&mut self, front: usize);
    /// Resumes a paused process, which receives what its socket buffered.
    fn resume(&mut self, front: usize);
    /// Makes a process write its entry of the gossip state.
    ///
    /// # Errors
    /// The processes have no gossip state, or the write was rejected.
    fn write_entry(&mut self, front: usize) -> Result<(), ActionError>;
    /// Carries out an action on hosts.
    ///
    /// # Errors
    /// The simulation has no hosts.
    fn act_on_hosts(&mut self, action: &HostAction) -> Result<(), ActionError>;
    /// Advances the virtual clock by this time.
    fn advance(&mut self, time: Duration);
    /// The conditions of the network between the processes.
    fn conditions(&mut self) -> &mut NetworkConditions;
    /// The current time of the virtual clock.
    fn clock(&self) -> Time;
    /// The state in which one process sees another; `None` if it doesn't know the other.
    fn member_state(&self, viewer: usize, viewed: usize) -> Option<MemberState>;
    /// A process's estimate of its own health; `None` if the protocol has no such estimate.
    fn own_health(&self, front: usize) -> Option<LocalHealth>;
    /// All changes of views at or after a time, in chronological order.
    fn transitions_since(&self, from: Time) -> Vec<MemberTransition>;
    /// The age of the gossip entry that was written last, as one process knows it; `None` if that process doesn't have it.
    fn last_entry_age(&self, reader: usize) -> Option<EntryAge>;
    /// What a process sent, including its previous incarnations.
    fn sent_by(&self, front: usize) -> SentCounts;
}

impl<P: SimulatedProcesses> Cluster for P {
    fn fronts(&self) -> usize {
        self.count()
    }

    fn now(&self) -> Time {
        self.clock()
    }

    fn run(&mut self, time: Duration) {
        self.advance(time);
    }

    fn act(&mut self, action: &CaseAction) -> Result<(), ActionError> {
        carry_out(self, action)
    }

    fn state(&self, viewer: usize, viewed: usize) -> Option<MemberState> {
        self.member_state(viewer, viewed)
    }

    fn local_health(&self, front: usize) -> Option<LocalHealth> {
        self.own_health(front)
    }

    fn transitions(&self, from: Time) -> Vec<MemberTransition> {
        self.transitions_since(from)
    }

    fn entry_age(&self, reader: usize) -> Option<EntryAge> {
        self.last_entry_age(reader)
    }

    fn sent(&self) -> SendRate {
        let elapsed = self.clock().duration_since(SIMULATION_START);
        let elapsed = elapsed.max(Duration::from_nanos(1));
        (0..self.count())
            .map(|front| self.sent_by(front).rate_over(elapsed))
            .fold(SendRate::default(), SendRate::max)
    }
}

/// Carries out an action on simulated processes.
fn carry_out<P: SimulatedProcesses>(
    processes: &mut P,
    action: &CaseAction,
) -> Result<(), ActionError> {
    let count = processes.count();
    match action {
        CaseAction::Start(fronts) => start(processes, fronts),
        CaseAction::Kill(fronts) => for_each(processes, fronts, P::kill),
        CaseAction::ShutDown(fronts) => for_each(processes, fronts, |processes, front| {
            processes.leave(front);
            processes.kill(front);
        }),
        CaseAction::Pause(fronts) => for_each(processes, fronts, P::pause),
        CaseAction::Resume(fronts) => for_each(processes, fronts, P::resume),
        CaseAction::Restart { fronts, after } => {
            for_each(processes, fronts, P::kill);
            processes.advance(*after);
            for_each(processes, fronts, P::restart);
        }
        CaseAction::SetNetwork { .. }
        | CaseAction::Partition { .. }
        | CaseAction::Heal
        | CaseAction::Flood { .. } => {
            processes.conditions().act(action, count, DEFAULT_DELAY);
        }
        CaseAction::SelectBuild { .. } => {} // A simulation has only one build.
        CaseAction::Host(action) => processes.act_on_hosts(action)?,
        CaseAction::WriteEntry { front } => processes.write_entry(*front)?,
    }
    Ok(())
}

fn for_each<P: SimulatedProcesses>(
    processes: &mut P,
    fronts: &FrontSet,
    action: impl Fn(&mut P, usize),
) {
    for front in fronts.members(processes.count()) {
        action(processes, front);
    }
}

/// Starts the processes that do not run.
fn start<P: SimulatedProcesses>(processes: &mut P, fronts: &FrontSet) {
    for front in fronts.members(processes.count()) {
        if !processes.is_running(front) {
            processes.restart(front);
        }
    }
}
