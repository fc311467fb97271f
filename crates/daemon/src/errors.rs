//! Why a front does not start, and what an operator can do.
use miette::Diagnostic;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why a front does not start.
#[derive(Debug, Error, Diagnostic)]
pub enum StartError {
    /// An address can't be had.
    #[error("{address}: {source}")]
    #[diagnostic(
        code(front::listen),
        help("another process may listen there, or the address is none of this host's; see front.listen and peers.listen")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A file that was kept is none of this front's, or can't be read.
    #[error("{source}")]
    #[diagnostic(
        code(front::kept),
        help("give the front the file that it wrote, or move this one away to begin anew; see front.list_cache and front.traffic_file")
    )]
    Kept {
        /// What is wrong, with its path.
        source: io::Error,
    },
    /// A key can't be used.
    #[error("{}: {what}", path.display())]
    #[diagnostic(
        code(front::key),
        help("the file must hold 32 hex digits, the same on all fronts of the fleet; head -c 16 /dev/urandom | xxd -p makes one")
    )]
    Key {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        what: String,
    },
    /// The store can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Store(#[from] crankpaddle_store::Error),
}

impl StartError {
    /// One of each kind, for the page on errors.
    pub fn samples() -> Vec<StartError> {
        let source = || io::Error::from(io::ErrorKind::AddrInUse);
        let own = vec![
            StartError::Listen {
                address: ([127, 0, 0, 1], 7400).into(),
                source: source(),
            },
            StartError::Kept {
                source: io::Error::other("FILE: what is wrong with it"),
            },
            StartError::Key {
                path: "FILE".into(),
                what: "is no key: 32 hex digits are wanted".into(),
            },
        ];
        own.into_iter()
            .chain(
                crankpaddle_store::Error::samples()
                    .into_iter()
                    .map(StartError::Store),
            )
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_kind_has_a_sample_a_code_and_advice() {
        let kind = |e: &StartError| match e {
            StartError::Listen { .. } => 0,
            StartError::Kept { .. } => 1,
            StartError::Key { .. } => 2,
            StartError::Store(_) => 3,
        };
        let samples = StartError::samples();
        let kinds: std::collections::BTreeSet<i32> = samples.iter().map(kind).collect();
        assert_eq!(
            kinds.into_iter().collect::<Vec<_>>(),
            [0, 1, 2, 3],
            "a kind has no sample"
        );
        for e in samples {
            assert!(
                e.code().is_some() && e.help().is_some_and(|h| h.to_string().len() > 20),
                "{e}"
            );
        }
    }
}
