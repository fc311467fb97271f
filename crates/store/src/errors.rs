//! The errors of a store, with advice to the operator for each of them.
use miette::Diagnostic;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};

/// Why a store can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum StoreError {
    /// Another process has the folder open.
    #[error("{}: another process has this store open", dir.display())]
    #[diagnostic(
        code(store::locked),
        help("give each front a store.dir of its own; if a previous process of this front is still shutting down, start again once it has exited")
    )]
    Locked {
        /// The folder that the setting `store.dir` names.
        dir: PathBuf,
    },
    /// A later release wrote the folder.
    #[error("{}: version {found} of the store is from a later release; this one reads up to {supported}", dir.display())]
    #[diagnostic(
        code(store::future), // The code is documented and must not change.
        help("start the release that wrote it, or give this one an empty store.dir; nothing in the folder was changed")
    )]
    NewerVersion {
        /// The folder that the setting `store.dir` names.
        dir: PathBuf,
        /// The version that the folder's version file states.
        found: u32,
        /// The latest version that this release reads.
        supported: u32,
    },
    /// Reading or writing the disk failed.
    #[error("{}: {source}", dir.display())]
    #[diagnostic(
        code(store::disk),
        help("check that the disk is present, has free space and can be written to; until then no paid session is set up, and free ones are served")
    )]
    Disk {
        /// The folder that the setting `store.dir` names.
        dir: PathBuf,
        /// The error of the operating system, or of the database on a disk that failed before.
        source: io::Error,
    },
    /// The folder's content is not a valid store.
    #[error("{}: {source}", dir.display())]
    #[diagnostic(
        code(store::torn), // The code is documented and must not change.
        help("the file was moved aside in the folder and a new one created; servers are queried for what they ran; keep the file if bills are disputed")
    )]
    Corrupted {
        /// The folder that the setting `store.dir` names.
        dir: PathBuf,
        /// What is wrong with the content.
        source: Corruption,
    },
}

/// What is wrong with the content of a store's folder.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// There is a database file, but no valid version file.
    #[error("its VERSION file is missing or not a number")]
    VersionFile,
    /// The database library panicked while it read the file.
    #[error("the database panicked while reading it")]
    DatabasePanic,
    /// The database library found invalid content, described by this text.
    #[error("{0}")]
    Content(String),
    /// The database library reported invalid content as an I/O error.
    #[error(transparent)]
    Io(io::Error),
    /// The database library can't use the file for another reason.
    #[error(transparent)]
    Database(Box<redb::Error>),
}

impl StoreError {
    /// One error of each kind, from which docs/errors.md is generated.
    #[must_use]
    pub fn samples() -> Vec<StoreError> {
        let dir = || PathBuf::from("DIR");
        vec![
            StoreError::Locked { dir: dir() },
            StoreError::NewerVersion {
                dir: dir(),
                found: 9,
                supported: 1,
            },
            StoreError::Disk {
                dir: dir(),
                source: io::Error::from(ErrorKind::StorageFull),
            },
            StoreError::Corrupted {
                dir: dir(),
                source: Corruption::Content("WHAT".into()),
            },
        ]
    }

    /// The advice to an operator, for log lines; empty if there is none.
    #[must_use]
    pub fn help_text(&self) -> String {
        self.help().map(|help| help.to_string()).unwrap_or_default()
    }

    pub(crate) fn disk(dir: &Path, source: io::Error) -> StoreError {
        StoreError::Disk {
            dir: dir.to_owned(),
            source,
        }
    }

    pub(crate) fn corrupted(dir: &Path, source: Corruption) -> StoreError {
        StoreError::Corrupted {
            dir: dir.to_owned(),
            source,
        }
    }

    /// Classifies an error of the database: another process has the folder open, the disk fails, or the content is invalid.
    pub(crate) fn from_database(dir: &Path, error: impl Into<redb::Error>) -> StoreError {
        match error.into() {
            redb::Error::DatabaseAlreadyOpen | redb::Error::LockProtocolMismatch => {
                StoreError::Locked {
                    dir: dir.to_owned(),
                }
            }
            // Workaround for redb 4.6.0, which reports a file that is not a database, or is too short, as an I/O error of these
            // kinds. If a corrupted file were mistaken for a failing disk, paid service would stop until an operator
            // intervenes.
            redb::Error::Io(error)
                if matches!(
                    error.kind(),
                    ErrorKind::InvalidData | ErrorKind::UnexpectedEof
                ) =>
            {
                StoreError::corrupted(dir, Corruption::Io(error))
            }
            redb::Error::Io(source) => StoreError::disk(dir, source),
            redb::Error::Corrupted(content) => {
                StoreError::corrupted(dir, Corruption::Content(content))
            }
            closed @ (redb::Error::PreviousIo | redb::Error::DatabaseClosed) => {
                StoreError::disk(dir, io::Error::other(closed.to_string()))
            }
            other => StoreError::corrupted(dir, Corruption::Database(Box::new(other))),
        }
    }
}

#[cfg(test)]
mod tests;
