//! The outputs of the state machine, and the members as they are shown to an operator.
use crate::local_health::LocalHealth;
use crate::member_state::MemberState;
use crankpaddle_time::Time;
use std::time::Duration;

/// An action for the caller to carry out, or a change to report. Outputs must be handled in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipOutput {
    /// Send `bytes` to `address` as one datagram.
    Send {
        /// The receiver's name; empty if it is not known yet, as for a seed.
        name: String,
        /// The address to send to: the one that the receiver announced, a configured seed, or the source address of a datagram
        /// that is answered.
        address: String,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Another member's state or incarnation changed.
    MemberChanged(MemberChange),
    /// This member's own health changed.
    LocalHealthChanged(LocalHealth),
}

/// A change of another member's state or incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The name of the member that changed.
    pub name: String,
    /// The state after the change; it can be the same as before if only the incarnation changed.
    pub state: MemberState,
    /// The name of the member that detected the change; this member's own name if it did so itself.
    pub reported_by: String,
    /// Whether another incarnation was known before, that is, the member was restarted.
    pub restarted: bool,
}

/// Another member as it is shown to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberSnapshot {
    /// The name of the member.
    pub name: String,
    /// The address that it announced last.
    pub address: String,
    /// Its latest known state.
    pub state: MemberState,
    /// When this member learned of that state or of a restart, by its own monotonic clock.
    pub since: Time,
    /// The name of the member that detected this state.
    pub reported_by: String,
    /// The round-trip time of the last probe that the member acknowledged itself; `None` before the first one.
    pub rtt: Option<Duration>,
}
