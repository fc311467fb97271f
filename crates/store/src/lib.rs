//! What a front keeps over a power loss.
//!
//! A [`Store`] is a folder with a database and its version; one process has it open. [`Store::open`] reads what former lives left and
//! begins a new one; [`Store::write`] returns once its writes outlive a power loss. [`StoreWriter`] owns a store on a thread of its own and
//! commits what came together in one go, so that a paid set-up waits for one sync of the disk, whoever else waits.
//!
//! Nothing is decided here but how a folder is taken ([`open`]): what is a fault of the operator's, what a fault of the disk's.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod errors;
pub mod open;
mod tables;
mod writer;

pub use errors::Error;
pub use open::{OpenedStore, Store};
pub use writer::{StoreWriter, WriteRequest, GATHER};
