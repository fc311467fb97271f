//! The bench's wire, as far as tests need it beside the adapter.
#![allow(clippy::missing_errors_doc, clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod wire;
