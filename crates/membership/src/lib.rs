//! Group membership of a fleet of fronts: which members are alive, and a gossip state of small values that reaches all of them.
//!
//! A pure state machine: datagrams and time go in, datagrams and changes come out. The protocol is SWIM with suspicion (Das,
//! Gupta, Motivala, 2002) with Lifeguard's local health (Dadgar, Phillips, Currey, 2018).
//!
//! Nothing here is agreed upon. Each front enforces its limits alone: what peers report may make it more careful, and a peer
//! that is silent, late, wrong or lying costs quality of its decisions, but never breaks one of its limits.
//!
//! - [`Membership`]: probes, suspicion, refutation, rejoining, the member's own health;
//! - [`MemberVersion`]: what is known of one member, and which of two updates is the later;
//! - [`Entry`]: a value that a member published in the gossip state, with its age;
//! - `wire`: the datagram format, versioned and authenticated by a keyed checksum.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod error;
mod gossip_state;
mod local_health;
mod member_state;
mod membership;
mod suspicion;
mod token_bucket;
mod wire;

pub use error::WriteError;
pub use gossip_state::{Entry, EntryVersion, MAX_VALUE_BYTES};
pub use local_health::LocalHealth;
pub use member_state::{IncarnationId, MemberState, MemberVersion};
pub use membership::{Counters, Member, MemberChange, Membership, MembershipConfig, Output};
