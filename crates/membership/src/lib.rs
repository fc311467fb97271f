//! The members of a fleet of fronts: who is there, who can hear whom, and a board of small facts that reaches all.
//!
//! Pure: datagrams and time go in, datagrams and changes come out. The reference is SWIM with suspicion (Das, Gupta,
//! Motivala, 2002) and Lifeguard's local health (Dadgar, Phillips, Currey, 2018).
//!
//! **The law.** Nothing here is agreed: each front keeps its rules alone. What peers say may make it more careful; a peer
//! that is silent, late, wrong or lying costs worth, never a rule.
//!
//! - [`MemberVersion`]: what is known of one member, and which of two pieces of news is the later;
//! - [`Membership`]: probes, suspicion, refutation, rejoining, own standing;
//! - [`Entry`]: what a member has on the board, with its age;
//! - [`wire`]: datagrams, keyed and versioned.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod token_bucket;
#[cfg(test)]
mod model_check;
mod gossip_state;
mod local_health;
mod member_state;
mod membership;
mod suspicion;
pub mod wire;

pub use gossip_state::{Entry, MOST_VALUE};
pub use local_health::LocalHealth;
pub use member_state::{MemberState, MemberVersion};
pub use membership::{Counters, Member, MemberChange, Membership, MembershipConfig, Output};
