//! What can go wrong with a store, and what an operator can do.
use miette::Diagnostic;
use std::io;
use std::path::PathBuf;
use thiserror::Error as Derive;

/// Why a store can't be used.
#[derive(Debug, Derive, Diagnostic)]
pub enum Error {
    /// Two fronts were given one folder.
    #[error("{}: another process has this store open", dir.display())]
    #[diagnostic(
        code(store::locked),
        help("give each front a store.dir of its own; if a former process of this front still ends, start again when it has")
    )]
    Locked {
        /// The folder.
        dir: PathBuf,
    },
    /// A later release wrote it.
    #[error("{}: version {found} of the store is from a later release; this one reads up to {known}", dir.display())]
    #[diagnostic(
        code(store::future),
        help("start the release that wrote it, or give this one an empty store.dir; nothing in the folder was touched")
    )]
    Future {
        /// The folder.
        dir: PathBuf,
        /// The version found.
        found: u32,
        /// The latest version known here.
        known: u32,
    },
    /// The disk does not do what it should.
    #[error("{}: {source}", dir.display())]
    #[diagnostic(
        code(store::disk),
        help("see that the disk is there, has room and can be written to; until then no paid session is set up, and free ones are served")
    )]
    Disk {
        /// The folder.
        dir: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// What is there is no store any more.
    #[error("{}: {what}", dir.display())]
    #[diagnostic(
        code(store::torn),
        help("the file was set aside in the folder and a new one begun; what servers ran is asked of them; keep the file if bills are disputed")
    )]
    Torn {
        /// The folder.
        dir: PathBuf,
        /// What was found.
        what: String,
    },
}

impl Error {
    /// One of each kind, for the page on errors.
    pub fn samples() -> Vec<Error> {
        let dir = || PathBuf::from("DIR");
        vec![
            Error::Locked { dir: dir() },
            Error::Future {
                dir: dir(),
                found: 9,
                known: 1,
            },
            Error::Disk {
                dir: dir(),
                source: io::Error::from(io::ErrorKind::StorageFull),
            },
            Error::Torn {
                dir: dir(),
                what: "WHAT".into(),
            },
        ]
    }
}

#[cfg(test)]
mod tests;
