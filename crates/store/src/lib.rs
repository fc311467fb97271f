//! The embedded database of a front: the state that survives a power loss.
//!
//! A [`Store`] is a folder with a database file and a version file. Only one process at a time can have it open.
//! [`Store::open`] reads the state that previous incarnations of the front persisted, and begins a new incarnation.
//! [`Store::write`] returns once its writes are durable. [`StoreWriter`] owns a store on a thread of its own and commits
//! requests in groups, so that a paid set-up waits for one sync of the disk, regardless of the number of others that wait.
//!
//! The only policy in this package is how a folder is opened ([`open`]): which faults the operator must correct, and which
//! faults the front copes with on its own.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod database;
mod errors;
pub mod open;
mod tables;
mod version_file;
mod writer;

pub use errors::{Corruption, StoreError};
pub use open::{OpenedStore, QuarantinedFile, Store};
pub use writer::{StoreWriter, WriteRequest};
