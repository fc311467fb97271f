//! Processes that are simulated in virtual time as a cluster for scenarios, whatever state machine they run.
use crate::cluster::{Cluster, EntryAge, MemberTransition, SendRate};
use crate::error::ActionError;
use crate::network_conditions::NetworkConditions;
use crate::scenario::{Action, DelayRange, Fronts, HostAction};
use crate::seconds;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use std::ops::Add;
use std::time::Duration;

/// The usual transit time of a datagram.
pub const USUAL_DELAY: DelayRange = DelayRange {
    min: Duration::from_micros(200),
    max: Duration::from_millis(2),
};
/// When the virtual clock begins.
pub const START_OF_TIME: Time = Time(100_000_000_000);

/// What a process sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentCounts {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
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

/// Control over simulated processes, and what can be seen of them. Each implementation is a [`Cluster`].
pub trait SimulatedProcesses {
    /// How many processes there are, whether they run or not.
    fn count(&self) -> usize;
    /// Whether a process runs, paused or not.
    fn is_running(&self, front: usize) -> bool;
    /// Starts a process as a new incarnation.
    fn restart(&mut self, front: usize);
    /// Ends a process without notice.
    fn kill(&mut self, front: usize);
    /// Makes a process announce that it leaves.
    fn leave(&mut self, front: usize);
    /// Pauses a process.
    fn pause(&mut self, front: usize);
    /// Resumes a paused process.
    fn resume(&mut self, front: usize);
    /// Makes a process write its entry.
    ///
    /// # Errors
    /// There are no entries here.
    fn write(&mut self, front: usize) -> Result<(), ActionError>;
    /// Carries out an action on hosts.
    ///
    /// # Errors
    /// There are no hosts here.
    fn act_on_hosts(&mut self, action: &HostAction) -> Result<(), ActionError>;
    /// Lets virtual time pass.
    fn advance(&mut self, time: Duration);
    /// The network between the processes.
    fn conditions(&mut self) -> &mut NetworkConditions;
    /// The virtual clock.
    fn clock(&self) -> Time;
    /// The state that one process sees another in; `None`: it does not know it.
    fn member_state(&self, viewer: usize, viewed: usize) -> Option<MemberState>;
    /// A process's own health; `None`: it does not estimate any.
    fn own_health(&self, front: usize) -> Option<LocalHealth>;
    /// The transitions from a time on, in order.
    fn transitions_since(&self, from: Time) -> Vec<MemberTransition>;
    /// The age of the entry that was written last, as one process knows it; `None`: it does not.
    fn last_entry_age(&self, reader: usize) -> Option<EntryAge>;
    /// What a process sent, its previous incarnations included.
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

    fn act(&mut self, action: &Action) -> Result<(), ActionError> {
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
        let elapsed = self.clock().duration_since(START_OF_TIME);
        let elapsed = elapsed.max(Duration::from_nanos(1));
        (0..self.count())
            .map(|front| self.sent_by(front).rate_over(elapsed))
            .fold(SendRate::default(), SendRate::max)
    }
}

/// Carries out an action on simulated processes.
fn carry_out<P: SimulatedProcesses>(processes: &mut P, action: &Action) -> Result<(), ActionError> {
    let count = processes.count();
    match action {
        Action::Start(fronts) => start(processes, fronts),
        Action::Kill(fronts) => for_each(processes, fronts, P::kill),
        Action::ShutDown(fronts) => for_each(processes, fronts, |processes, front| {
            processes.leave(front);
            processes.kill(front);
        }),
        Action::Pause(fronts) => for_each(processes, fronts, P::pause),
        Action::Resume(fronts) => for_each(processes, fronts, P::resume),
        Action::Restart { fronts, after } => {
            for_each(processes, fronts, P::kill);
            processes.advance(*after);
            for_each(processes, fronts, P::restart);
        }
        Action::SetNetwork { .. }
        | Action::Partition { .. }
        | Action::Heal
        | Action::Flood { .. } => {
            processes.conditions().act(action, count, USUAL_DELAY);
        }
        Action::SelectBuild { .. } => {} // There is only one build in a simulation.
        Action::Host(action) => processes.act_on_hosts(action)?,
        Action::WriteEntry { front } => processes.write(*front)?,
    }
    Ok(())
}

fn for_each<P: SimulatedProcesses>(
    processes: &mut P,
    fronts: &Fronts,
    action: impl Fn(&mut P, usize),
) {
    for front in fronts.of(processes.count()) {
        action(processes, front);
    }
}

/// Starts the processes that do not run.
fn start<P: SimulatedProcesses>(processes: &mut P, fronts: &Fronts) {
    for front in fronts.of(processes.count()) {
        if !processes.is_running(front) {
            processes.restart(front);
        }
    }
}
