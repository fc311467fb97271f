//! Fleets in one process on a given clock: members on a net in memory, faults between them, and named cases whose claims
//! are judged. The same pure packages run here as behind sockets; seed and size decide all.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod cases;
mod net;

pub use cases::{play, Case, Claim, Played, CASES};
pub use net::{name, settings, Net, Node, MS, SECOND};
