//! Session placement and quality decisions for fleets of media servers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod choice;
mod interface;
pub use choice::{benefit, best_regions, erlang_b, Front};
pub use interface::*;
