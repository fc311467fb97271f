//! The embedded database of a front: the state that survives a power loss.
//!
//! A [`Store`] is a folder with a database file and a version file; one process has it open at a time. [`Store::open`] reads what
//! previous incarnations of the front persisted and begins a new one. [`Store::write`] returns once its writes are durable.
//! [`StoreWriter`] owns a store on a thread of its own and commits in groups, so that a paid set-up waits for one sync of the disk
//! however many others wait.
//!
//! The package decides nothing but how a folder is opened ([`open`]): which faults are the operator's and which are the disk's.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod database;
mod errors;
pub mod open;
mod tables;
mod version_file;
mod writer;

pub use errors::{Corruption, Error};
pub use open::{OpenedStore, QuarantinedFile, Store};
pub use writer::{StoreWriter, WriteRequest};
