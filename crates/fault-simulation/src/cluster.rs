//! The interface that a case runs on. It is implemented for a simulated fleet in one process and for a fleet of real processes.
use crate::error::ActionError;
use crate::scenario::CaseAction;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use std::time::Duration;

/// A change of the state in which one front sees another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTransition {
    /// Time of the change on the cluster's clock.
    pub at: Time,
    /// Number of the front whose view changed.
    pub viewer: usize,
    /// Number of the front that is seen in another state now.
    pub viewed: usize,
    /// The state after the change.
    pub state: MemberState,
    /// Whether the viewed front has another incarnation than before, that is, whether it restarted.
    pub restarted: bool,
}

/// The rate at which a front sends to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendRate {
    /// Datagrams per second, on average.
    pub datagrams: f64,
    /// Bytes of datagrams per second, on average.
    pub bytes: f64,
}

impl SendRate {
    /// The maximum of both rates, each taken separately: the two results may come from different fronts.
    #[must_use]
    pub fn max(self, other: SendRate) -> SendRate {
        SendRate {
            datagrams: self.datagrams.max(other.datagrams),
            bytes: self.bytes.max(other.bytes),
        }
    }
}

/// What became of the viewers whose session was lost in a power failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryProgress {
    /// Viewers that have a session again.
    pub restored: u64,
    /// Viewers that left before they had a session again.
    pub left: u64,
    /// All viewers that lost their session, including the restored ones and those that left.
    pub lost: u64,
}

/// The age of an entry of the gossip state, as a front computes it and as it really is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAge {
    /// The age that the reading front computes.
    pub reported: Duration,
    /// The age on the cluster's clock, since the entry was written.
    pub actual: Duration,
}

/// A fleet of fronts, numbered from 0, and the network between them.
pub trait Cluster {
    /// The number of fronts, whether they run or not.
    fn fronts(&self) -> usize;
    /// The current time on the cluster's clock.
    fn now(&self) -> Time;
    /// Lets this much time pass: on the virtual clock, or by waiting.
    fn run(&mut self, time: Duration);
    /// Carries out an action on the fronts, their hosts or the network.
    ///
    /// # Errors
    /// This cluster doesn't support the action, or the action failed.
    fn act(&mut self, action: &CaseAction) -> Result<(), ActionError>;
    /// The state in which one front sees another. `None` if it doesn't know the other front, or if its view was not read yet.
    fn state(&self, viewer: usize, viewed: usize) -> Option<MemberState>;
    /// A front's estimate of how well it is connected. `None` if it has none, or if it was not read yet.
    fn local_health(&self, front: usize) -> Option<LocalHealth>;
    /// All changes of views at or after a time, in chronological order.
    fn transitions(&self, from: Time) -> Vec<MemberTransition>;
    /// The age of the gossip entry that was written last, as one front knows it. `None` if that front doesn't have the entry.
    fn entry_age(&self, reader: usize) -> Option<EntryAge>;
    /// The highest send rate of any front, where each rate is the average since the start of the run.
    fn sent(&self) -> SendRate;
    /// Counts the viewers that lost their session in a power failure: of paid classes only, or of all classes. `None` if the
    /// cluster has no sessions.
    fn recovery_progress(&self, _paid: bool) -> Option<RecoveryProgress> {
        None
    }
    /// The time that the servers whose power failed need to accept this many sessions, if only their slow start limits them.
    /// `None` if the cluster has no servers, or if the time can't be computed from their configuration.
    fn warm_up_time(&self, _sessions: f64) -> Option<Duration> {
        None
    }
}

/// Whether each of the viewers sees each of the viewed fronts, except itself, in this state.
pub fn all_see<C: Cluster + ?Sized>(
    cluster: &C,
    viewers: &[usize],
    viewed: &[usize],
    state: MemberState,
) -> bool {
    viewers.iter().all(|viewer| {
        viewed
            .iter()
            .all(|front| viewer == front || cluster.state(*viewer, *front) == Some(state))
    })
}
