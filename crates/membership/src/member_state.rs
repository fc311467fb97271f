//! What is known of a member, and which of two pieces of news is the later.
use serde::{Deserialize, Serialize};

/// What a member is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers, or somebody says so.
    Alive,
    /// It did not answer somebody; it may refute that.
    Suspect,
    /// It did not refute in time.
    Gone,
    /// It said that it leaves. This life of it is over for good.
    Left,
}

/// One piece of news of a member. The greatest is the latest, so that news may come late, twice and in any order: whoever
/// has heard the same pieces knows the same.
///
/// - A later start (`epoch`, then `life`) is greater than all that was said of an earlier one, and an earlier process's
///   words are old. Danger: a host whose wall clock was set back starts with a smaller epoch; the member itself raises it
///   when it hears of the greater one.
/// - Within a life, to have left is final. Danger: old news of an orderly leave's process would bring it back for ever.
/// - Else a higher `count`, which only the member itself raises, beats whatever was said of a lower one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberVersion {
    /// When this life of the member began: milliseconds of its host's wall clock, raised where that is behind.
    pub epoch: u64,
    /// Drawn at its start: tells two processes apart that use one name.
    pub incarnation: u64,
    /// How often the member refuted what was said of it.
    pub refutations: u32,
    /// What it is taken for.
    pub state: MemberState,
}

impl MemberVersion {
    fn rank(&self) -> (u64, u64, bool, u32, MemberState) {
        (
            self.epoch,
            self.incarnation,
            self.state == MemberState::Left,
            self.refutations,
            self.state,
        )
    }

    /// Whether this is news to one who knows `other`.
    pub fn supersedes(&self, other: &MemberVersion) -> bool {
        self.rank() > other.rank()
    }

    /// Whether both are of one life.
    pub fn is_same_incarnation(&self, other: &MemberVersion) -> bool {
        (self.epoch, self.incarnation) == (other.epoch, other.incarnation)
    }
}
