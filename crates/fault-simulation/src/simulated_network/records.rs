//! Records of what happened on a simulated network.
use crankpaddle_membership::{LocalHealth, MemberChange};
use crankpaddle_time::Time;

/// A datagram that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentDatagram {
    /// Number of the sending process.
    pub from: usize,
    /// Number of the receiving process.
    pub to: usize,
    /// Contents of the datagram.
    pub bytes: Vec<u8>,
}

/// A change of a member's view of another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// Virtual time of the change.
    pub at: Time,
    /// Number of the member whose view changed.
    pub viewer: usize,
    /// The other member's name and its new state.
    pub change: MemberChange,
}

/// A change of a member's own health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthRecord {
    /// Virtual time of the change.
    pub at: Time,
    /// Number of the member whose health changed.
    pub node: usize,
    /// The health after the change.
    pub health: LocalHealth,
}

/// A declaration of a member as dead by another member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accusation {
    /// Number of the member that declared the other one dead.
    pub accuser: usize,
    /// Name of the member that was declared dead.
    pub accused: String,
}
