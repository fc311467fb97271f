//! Errors of this package.
use crankpaddle_membership::WriteError;
use std::io;
use thiserror::Error;

/// Why an action of a scenario could not be carried out.
#[derive(Debug, Error)]
pub enum ActionError {
    /// The cluster has no way to carry it out.
    #[error("{0}")]
    Unsupported(String),
    /// A front could not write its entry.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// A process could not be started, stopped or reached.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The processes took part, but not as they should.
    #[error("{}", .0.join("; "))]
    Faults(Vec<String>),
}

/// Why a text is no set of fronts.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FrontsError {
    /// An item is neither a number, a range, a part nor a group.
    #[error(
        "{item:?} names no fronts; allowed: all, none, 3, 3-7, 0/10, 0%-50%{}",
        .groups.iter().map(|group| format!(", {group}")).collect::<String>()
    )]
    UnknownItem {
        /// The item.
        item: String,
        /// The names of the case's groups.
        groups: Vec<String>,
    },
}
