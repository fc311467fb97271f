//! The interface of what a scenario runs on: a fleet in one process, or one of processes.
use crate::error::ActionError;
use crate::scenario::Action;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use std::time::Duration;

/// A front's view of another changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberTransition {
    /// When, by the cluster's clock.
    pub at: Time,
    /// The front whose view it is.
    pub viewer: usize,
    /// The front that is viewed.
    pub viewed: usize,
    /// The state that it is seen in now.
    pub state: MemberState,
    /// Whether it is another incarnation than before.
    pub restarted: bool,
}

/// What is sent in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SendRate {
    /// Datagrams a second.
    pub datagrams: f64,
    /// Bytes a second.
    pub bytes: f64,
}

impl SendRate {
    /// The greater rate of datagrams and the greater rate of bytes, each by itself.
    #[must_use]
    pub fn max(self, other: SendRate) -> SendRate {
        SendRate {
            datagrams: self.datagrams.max(other.datagrams),
            bytes: self.bytes.max(other.bytes),
        }
    }
}

/// Sessions that were lost with the power.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecoveryProgress {
    /// Players that watch again.
    pub restored: u64,
    /// Players that left without a session.
    pub left: u64,
    /// Players that lost a session.
    pub lost: u64,
}

/// The age of an entry, by two clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAge {
    /// As the reading front computes it.
    pub reported: Duration,
    /// By the cluster's clock.
    pub actual: Duration,
}

/// A fleet of fronts and the network between them.
pub trait Cluster {
    /// How many fronts there are, whether they run or not.
    fn fronts(&self) -> usize;
    /// The present point in time.
    fn now(&self) -> Time;
    /// Lets time pass.
    fn run(&mut self, time: Duration);
    /// Carries out an action.
    ///
    /// # Errors
    /// This cluster can't carry it out.
    fn act(&mut self, action: &Action) -> Result<(), ActionError>;
    /// The state that one front sees another in; `None`: it does not know it, or was not asked yet.
    fn state(&self, viewer: usize, viewed: usize) -> Option<MemberState>;
    /// A front's own health.
    fn local_health(&self, front: usize) -> Option<LocalHealth>;
    /// The transitions from a time on, in order.
    fn transitions(&self, from: Time) -> Vec<MemberTransition>;
    /// The age of the entry that was written last, as one front knows it; `None`: it does not.
    fn entry_age(&self, reader: usize) -> Option<EntryAge>;
    /// The highest rate of one front, averaged over the complete run.
    fn sent(&self) -> SendRate;
    /// Sessions lost when the power failed (of paid classes, or of all). `None`: there are no sessions here.
    fn recovery_progress(&self, _paid: bool) -> Option<RecoveryProgress> {
        None
    }
    /// The time that servers whose power failed need to take so many sessions, if only their slow start limits it.
    fn warm_up_time(&self, _sessions: f64) -> Option<Duration> {
        None
    }
}

/// Whether each viewer sees each viewed front (except itself) in this state.
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
