//! The state of a member as another one knows it, and which of two updates is the later.
use serde::{Deserialize, Serialize};

/// The state of a member (SWIM).
///
/// The order of the variants is part of the datagram format and of the precedence between updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes, or another member reports that it does.
    Alive,
    /// It did not answer a probe of some member; it may refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It left in order. No other state of this incarnation can follow.
    Left,
}

impl MemberState {
    /// Whether a member in this state is probed and receives gossip: alive or suspect.
    #[must_use]
    pub fn is_active(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// Identifies one process among all that used a member's name. The greater one started later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IncarnationId {
    /// See [`MemberVersion::epoch`].
    pub epoch: u64,
    /// See [`MemberVersion::incarnation`].
    pub incarnation: u64,
}

/// The version of what is known of a member. The greatest is the latest, so that updates may arrive late, twice and in any
/// order: members that received the same updates know the same.
///
/// - A later start (`epoch`, then `incarnation`) supersedes everything reported of an earlier one. A host whose wall clock was
///   set back starts with a smaller epoch; the member itself raises it when it receives the greater one.
/// - Within an incarnation, having left is final. Why: otherwise delayed updates would bring a member back that left in order.
/// - Otherwise a higher count of refutations, which only the member itself raises, supersedes any state reported with a lower
///   one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    /// When this incarnation started: milliseconds of its host's wall clock, raised where that is behind.
    pub epoch: u64,
    /// Drawn at random at its start: distinguishes two processes that use one name.
    pub incarnation: u64,
    /// How often the member refuted a suspicion.
    pub refutations: u32,
    /// Its state.
    pub state: MemberState,
}

impl MemberVersion {
    /// Which process of the member's name this is about.
    #[must_use]
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId {
            epoch: self.epoch,
            incarnation: self.incarnation,
        }
    }

    /// Whether this is later than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &MemberVersion) -> bool {
        self.precedence() > other.precedence()
    }

    /// Whether both are about one incarnation.
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

/// What decides between two versions; an earlier field outweighs all later ones.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    incarnation_id: IncarnationId,
    has_left: bool,
    refutations: u32,
    state: MemberState,
}
