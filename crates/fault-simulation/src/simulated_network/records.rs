//! What a simulated network records.
use crankpaddle_membership::{LocalHealth, MemberChange};
use crankpaddle_time::Time;

/// A datagram in transit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentDatagram {
    /// The number of the sender.
    pub from: usize,
    /// The number of the receiver.
    pub to: usize,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// A member's view of another changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRecord {
    /// When, virtual time.
    pub at: Time,
    /// The number of the member whose view it is.
    pub by: usize,
    /// The change.
    pub change: MemberChange,
}

/// A member's own health changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthRecord {
    /// When, virtual time.
    pub at: Time,
    /// The number of the member.
    pub node: usize,
    /// Its health now.
    pub health: LocalHealth,
}

/// A member declared another dead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accusation {
    /// The number of the member that declared it.
    pub by: usize,
    /// The name of the member that was declared dead.
    pub accused: String,
}
