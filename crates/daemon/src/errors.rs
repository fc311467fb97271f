//! Errors for operators: why a front does not start or does not apply a changed configuration, and what to do.
use miette::Diagnostic;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Why a front does not start.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// The front can't listen on an address.
    #[error("can't listen on {address}: {source}")]
    #[diagnostic(
        code(front::listen),
        help("another process may be listening on this address, or the address does not belong to this host; see front.listen and peers.listen")
    )]
    Listen {
        /// The address from the configuration.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file that a previous incarnation saved can't be read, or belongs to another front.
    #[error("{}: {source}", path.display())]
    #[diagnostic(
        code(front::kept), // The code is in published pages, so it stays.
        help("set the path to the file that this front wrote, or move the file away to start without it; see front.list_cache and front.traffic_file")
    )]
    SavedFile {
        /// The path from the configuration.
        path: PathBuf,
        /// What is wrong with it.
        source: SavedFileError,
    },
    /// A key file can't be used.
    #[error("{}: {source}", path.display())]
    #[diagnostic(
        code(front::key),
        help("the file must hold 32 hex digits, the same on all fronts of the fleet; create one with: head -c 16 /dev/urandom | xxd -p")
    )]
    Key {
        /// The path from the configuration.
        path: PathBuf,
        /// What is wrong with it.
        source: KeyFileError,
    },
    /// The store can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Store(#[from] crankpaddle_store::StoreError),
}

/// What is wrong with a file that a previous incarnation saved.
#[derive(Debug, Error)]
pub enum SavedFileError {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file holds no valid traffic report.
    #[error("not a valid traffic report: {0}")]
    NotATrafficReport(#[from] serde_json::Error),
    /// The file is the traffic report of another front.
    #[error("this is the traffic report of the front with index {front}, not of this front")]
    OtherFront {
        /// The index of the front that wrote it (`front.index`).
        front: u32,
    },
}

/// What is wrong with a key file.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// The file holds anything but 32 hexadecimal digits.
    #[error("not a valid key: 32 hex digits are required")]
    Malformed,
}

/// Why the budgets of another configuration can't be applied while the front runs. The current budgets stay in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{changed}: a change requires a restart of the front; the current budgets stay in force")]
pub struct BudgetChangeError {
    /// The settings that differ and that the budgets depend on.
    pub changed: &'static str,
}

impl StartError {
    /// A sample of each kind of error, for `docs/errors.md`.
    #[must_use]
    pub fn samples() -> Vec<StartError> {
        let mut samples = vec![
            StartError::Listen {
                address: ([127, 0, 0, 1], 7400).into(),
                source: io::ErrorKind::AddrInUse.into(),
            },
            StartError::SavedFile {
                path: "FILE".into(),
                source: io::Error::other("what is wrong with it").into(),
            },
            StartError::Key {
                path: "FILE".into(),
                source: KeyFileError::Malformed,
            },
        ];
        let store_samples = crankpaddle_store::StoreError::samples();
        samples.extend(store_samples.into_iter().map(StartError::Store));
        samples
    }
}
