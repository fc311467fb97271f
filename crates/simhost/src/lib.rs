//! The wire format of the simulator, shared by the adapter and by tests.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod wire;
