//! Actions of a scenario on processes that are simulated in virtual time, whatever state machine they run.
use crate::error::ActionError;
use crate::network_conditions::NetworkConditions;
use crate::scenario::{Act, DelayRange, Fronts, Power};
use crankpaddle_time::Time;
use std::time::Duration;

/// The usual transit time of a datagram.
pub const USUAL_DELAY: DelayRange = DelayRange {
    min: Duration::from_micros(200),
    max: Duration::from_millis(2),
};
/// Datagrams that a paused process's socket buffers; further ones are dropped.
pub const SOCKET_BACKLOG: usize = 200;
/// When the virtual clock begins.
pub const START_OF_TIME: Time = Time(100_000_000_000);

/// Control over simulated processes.
pub trait SimulatedProcesses {
    /// How many processes there are, whether they run or not.
    fn count(&self) -> usize;
    /// Whether a process runs, paused or not.
    fn is_running(&self, front: usize) -> bool;
    /// Starts a process as a new incarnation.
    fn restart(&mut self, front: usize);
    /// Ends a process without notice.
    fn kill(&mut self, front: usize);
    /// Has a process announce that it leaves.
    fn leave(&mut self, front: usize);
    /// Pauses a process.
    fn pause(&mut self, front: usize);
    /// Resumes a paused process.
    fn resume(&mut self, front: usize);
    /// Has a process write its entry.
    ///
    /// # Errors
    /// There are no entries here.
    fn write(&mut self, front: usize) -> Result<(), ActionError>;
    /// Carries out an action on hosts.
    ///
    /// # Errors
    /// There are no hosts here.
    fn act_on_hosts(&mut self, power: &Power) -> Result<(), ActionError>;
    /// Lets virtual time pass.
    fn advance(&mut self, time: Duration);
    /// The network between the processes.
    fn conditions(&mut self) -> &mut NetworkConditions;
}

/// Carries out an action on simulated processes.
///
/// # Errors
/// They can't carry it out.
pub fn carry_out<P: SimulatedProcesses>(processes: &mut P, act: &Act) -> Result<(), ActionError> {
    let count = processes.count();
    match act {
        Act::Start(fronts) => start(processes, fronts),
        Act::Kill(fronts) => for_each(processes, fronts, P::kill),
        Act::End(fronts) => for_each(processes, fronts, |processes, front| {
            processes.leave(front);
            processes.kill(front);
        }),
        Act::Stop(fronts) => for_each(processes, fronts, P::pause),
        Act::GoOn(fronts) => for_each(processes, fronts, P::resume),
        Act::Restart(fronts, after) => {
            for_each(processes, fronts, P::kill);
            processes.advance(*after);
            for_each(processes, fronts, P::restart);
        }
        Act::Net { .. } | Act::Cut { .. } | Act::Heal | Act::Flood(..) => {
            processes.conditions().act(act, count, USUAL_DELAY);
        }
        Act::Runs(..) => {} // There is only one build in a simulation.
        Act::Power(power) => processes.act_on_hosts(power)?,
        Act::Write(front) => processes.write(*front)?,
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

/// Starts those that do not run.
fn start<P: SimulatedProcesses>(processes: &mut P, fronts: &Fronts) {
    for front in fronts.of(processes.count()) {
        if !processes.is_running(front) {
            processes.restart(front);
        }
    }
}
