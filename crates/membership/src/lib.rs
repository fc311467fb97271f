//! Group membership of a fleet of fronts. It detects which members are alive, and replicates small values to all of them by
//! gossip.
//!
//! The package is a pure state machine without I/O: its inputs are received datagrams and the time, and its outputs are
//! datagrams to send and changes to report. The protocol is SWIM with suspicion (Das, Gupta, Motivala, 2002), extended by the
//! local health of Lifeguard (Dadgar, Phillips, Currey, 2018).
//!
//! The protocol provides no consensus. Each front enforces its limits on its own. Reports of peers may only make it more
//! careful: a peer that is silent, late, wrong or malicious makes its decisions worse, but can never make it exceed one of its
//! limits.
//!
//! - [`Membership`]: probes, suspicion, refutation, rejoining, the member's own health;
//! - [`MemberVersion`]: what is known of one member, and which of two updates about it is the later one;
//! - [`Entry`]: a value that a member published in the gossip state, with its age;
//! - `wire`: the datagram format, which has a version and a keyed checksum.
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
pub use membership::{
    Counters, MemberChange, MemberSnapshot, Membership, MembershipConfig, MembershipOutput,
};
