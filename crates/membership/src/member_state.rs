//! The state of a member as another one knows it, and which of two updates about it is the later one.
use serde::{Deserialize, Serialize};

/// The state of a member (SWIM).
///
/// The order of the variants is part of the datagram format. It also decides between updates: of two that are otherwise equal,
/// the one with the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes, or another member reports that it does.
    Alive,
    /// It did not answer a probe of some member. It may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It announced that it leaves. No other state of this incarnation can follow.
    Left,
}

impl MemberState {
    /// Whether a member in this state is probed and receives gossip: alive or suspect.
    #[must_use]
    pub fn is_active(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// Identifies one process among all that have used a member's name. A process that started later compares greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId {
    /// See [`MemberVersion::epoch`].
    pub epoch: u64,
    /// See [`MemberVersion::incarnation`].
    pub incarnation: u64,
}

/// The version of what is known of a member.
///
/// Versions are totally ordered and the greatest one is kept. So updates may arrive late, more than once and in any order:
/// members that received the same updates know the same versions. The order is:
///
/// - A later start (`epoch`, then `incarnation`) supersedes everything that was reported of an earlier one. A host whose wall
///   clock was set back starts with a smaller epoch; the member raises its epoch when it receives the greater one.
/// - Within an incarnation, [`MemberState::Left`] supersedes every other state, so that delayed updates can't bring a member
///   back that has left.
/// - Otherwise a higher count of refutations, which only the member itself raises, supersedes any state that was reported with
///   a lower count.
///
/// The order of the fields is part of the datagram format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    /// When this incarnation started, in milliseconds of its host's wall clock. The member raises it if an earlier incarnation
    /// had a greater epoch.
    pub epoch: u64,
    /// A random number drawn at its start, which distinguishes processes that use one name.
    pub incarnation: u64,
    /// How often this incarnation refuted a suspicion or a report of its death.
    pub refutations: u32,
    /// The state of the member in this incarnation.
    pub state: MemberState,
}

impl MemberVersion {
    /// The process that this version describes.
    #[must_use]
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId {
            epoch: self.epoch,
            incarnation: self.incarnation,
        }
    }

    /// Whether this version takes precedence over `other`.
    #[must_use]
    pub fn supersedes(&self, other: &MemberVersion) -> bool {
        self.precedence() > other.precedence()
    }

    /// Whether both versions describe the same incarnation.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &MemberVersion) -> bool {
        self.incarnation_id() == other.incarnation_id()
    }

    fn precedence(&self) -> Precedence {
        Precedence {
            incarnation_id: self.incarnation_id(),
            has_left: self.state == MemberState::Left,
            refutations: self.refutations,
            state: self.state,
        }
    }
}

/// The sort key of versions. Fields are compared in the order in which they are declared.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    incarnation_id: IncarnationId,
    has_left: bool,
    refutations: u32,
    state: MemberState,
}
