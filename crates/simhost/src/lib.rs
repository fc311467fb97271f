//! The bench's wire, as far as tests need it beside the adapter.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod wire;
