//! Fetches the traffic reports of fronts, or loads them from files, and formats them as tables, CSV or an SVG plot.
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
