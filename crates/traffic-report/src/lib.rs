//! Fetches the traffic reports of fronts, or loads them from files, and formats them as tables, CSV or an SVG plot.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod error;
mod plot;
mod source;
mod text;

pub use error::{PlotError, SourceError};
pub use plot::plot_svg;
pub use source::{fetch, fetch_path, load};
pub use text::{format_csv, format_tables, watch_line};
