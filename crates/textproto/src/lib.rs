//! Files in protobuf text format, checked completely: [`Checks`] reads a text by its schema, then its values are checked
//! one by one, and every problem is reported, each with line, column and what is allowed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod checks;
mod locate;
mod structure;
mod units;
mod values;

pub use checks::{Checks, Problem};
pub use units::Unit;
