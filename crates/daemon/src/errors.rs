//! Why a front does not start or does not take over a configuration, and what an operator can do.
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
    /// An address can't be listened on.
    #[error("{address}: {source}")]
    #[diagnostic(
        code(front::listen),
        help("another process may listen there, or the address is none of this host's; see front.listen and peers.listen")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file that a previous incarnation saved can't be read, or is not this front's.
    #[error("{}: {source}", path.display())]
    #[diagnostic(
        code(front::kept), // The code is in published pages, so it stays.
        help("give the front the file that it wrote, or move this one away to begin anew; see front.list_cache and front.traffic_file")
    )]
    SavedFile {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: SavedFileError,
    },
    /// A key can't be used.
    #[error("{}: {source}", path.display())]
    #[diagnostic(
        code(front::key),
        help("the file must hold 32 hex digits, the same on all fronts of the fleet; head -c 16 /dev/urandom | xxd -p makes one")
    )]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: KeyFileError,
    },
    /// The store can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Store(#[from] crankpaddle_store::Error),
}

/// What is wrong with a file that a previous incarnation saved.
#[derive(Debug, Error)]
pub enum SavedFileError {
    /// It can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It holds no traffic account.
    #[error("no account of traffic: {0}")]
    NotATrafficAccount(#[from] serde_json::Error),
    /// It is the traffic account of another front.
    #[error("is the account of front {front}, not of this one")]
    OtherFront {
        /// The number of the front that wrote it.
        front: u32,
    },
}

/// What is wrong with a key's file.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// It can't be read.
    #[error(transparent)]
    Read(#[from] io::Error),
    /// It holds something else than a key.
    #[error("is no key: 32 hex digits are wanted")]
    Malformed,
}

/// Why the budgets of another configuration are not taken over while the front runs; those in force stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{changed}: changed, which needs a restart; the budgets in force stay")]
pub struct BudgetChangeError {
    /// The settings that differ and that the budgets build on.
    pub changed: &'static str,
}

impl StartError {
    /// One of each kind, for `docs/errors.md`.
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
        let store_samples = crankpaddle_store::Error::samples();
        samples.extend(store_samples.into_iter().map(StartError::Store));
        samples
    }
}
