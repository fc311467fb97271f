//! Reports of traffic between halls for operators: fetched from fronts or read from what they kept, put together, and
//! shown as a table, CSV, JSON or a plot.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod plot;
mod source;
mod text;

pub use plot::svg;
pub use source::{fetch, get, load, SourceError};
pub use text::{csv, table, watch_line};
