//! Reports of traffic between zones for operators: fetched from fronts or loaded from their saved files, and printed as a
//! table, CSV, or a plot.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod error;
mod plot;
mod source;
mod text;

pub use error::{PlotError, SourceError};
pub use plot::svg;
pub use source::{fetch, get, load};
pub use text::{csv, table, watch_line};
