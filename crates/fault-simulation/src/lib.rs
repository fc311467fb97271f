//! Cases of a fleet: scripts of what is done to its fronts and to the net between them, with claims that are judged; and fleets
//! in one process on a given clock to play them on. The same pure packages run here as behind sockets; seed and size decide all.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod cluster;
mod network_conditions;
mod runner;
mod scenario;
mod simulated_network;

pub use cluster::{all, Cuts, Rate, Turn, World};
pub use network_conditions::{Lets, Weather};
pub use runner::{play, Judged, Played};
pub use scenario::{parse, Act, Bound, Case, Claim, Fronts, Power, Spoil, Step, CASES};
pub use simulated_network::{name, number, settings, Net, Node, MS, SECOND};
