//! What the state machine gives out: actions to carry out, and the members as an operator sees them.
use crate::local_health::LocalHealth;
use crate::member_state::MemberState;
use crankpaddle_time::Time;
use std::time::Duration;

/// An action to carry out, or a change to report; to be handled in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// The receiver's name; empty where it is not known yet.
        name: String,
        /// The address that the receiver announced.
        address: String,
        /// The datagram.
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
    /// The member's name.
    pub name: String,
    /// Its state now.
    pub state: MemberState,
    /// The name of the member that found the change; this member's own name where it did itself.
    pub reported_by: String,
    /// Whether it is another incarnation than before.
    pub restarted: bool,
}

/// Another member as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// The address that it announces.
    pub address: String,
    /// Its state.
    pub state: MemberState,
    /// When it entered this state, by this member's clock.
    pub since: Time,
    /// The name of the member that found it in this state.
    pub reported_by: String,
    /// The round-trip time of its last acknowledged probe.
    pub rtt: Option<Duration>,
}
