//! Reads and checks files in protobuf text format. [`Checks`] parses a text by its schema, and the caller then checks its
//! values one by one. All problems are reported together, each with its line and column, and with what is allowed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod checks;
mod locate;
mod structure;
mod units;
mod values;

pub use checks::{Checks, Problem};
pub use units::Unit;
