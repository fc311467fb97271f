//! Errors of running cases and of reading them.
use crankpaddle_membership::WriteError;
use std::io;
use thiserror::Error;

/// An action of a case could not be carried out.
#[derive(Debug, Error)]
pub enum ActionError {
    /// The kind of cluster doesn't support the action; the text says what it needs.
    #[error("{0}")]
    Unsupported(String),
    /// A front could not write its entry of the gossip state.
    #[error(transparent)]
    Write(#[from] WriteError),
    /// A process could not be started, stopped or reached.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The action was carried out, but processes misbehaved; one text for each fault.
    #[error("{}", .0.join("; "))]
    Faults(Vec<String>),
}

/// A text could not be read as a set of fronts.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ParseFrontsError {
    /// An item of the list has none of the allowed forms and is not the name of a group.
    #[error(
        "{item:?} names no fronts; allowed: all, none, 3, 3-7, 0/10, 0%-50%{}",
        .groups.iter().map(|group| format!(", {group}")).collect::<String>()
    )]
    UnknownItem {
        /// The text of the item.
        item: String,
        /// The names of the groups that the case defines.
        groups: Vec<String>,
    },
}
