//! Set-ups of a measurement that failed, counted by cause, so that one of them does not throw a run away and many
//! can't hide in its figures.
use crankpaddle_session_api::client::ClientEvent;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use thiserror::Error;

/// Why a set-up of a measurement failed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum SetUpFailure {
    /// The connection could not be made, written or read.
    #[error("{action}: {kind}")]
    Connection {
        /// What was being done: connect, write or read.
        action: &'static str,
        /// The kind of the I/O error.
        kind: io::ErrorKind,
    },
    /// The front rejected it.
    #[error("refused, {reason}")]
    Rejected {
        /// The reason that the answer states.
        reason: String,
    },
    /// It failed after an attempt.
    #[error("failed, {reason}")]
    Failed {
        /// The reason that the answer states.
        reason: String,
    },
    /// The call itself was in error.
    #[error("error {code}")]
    Call {
        /// The JSON-RPC error code.
        code: i64,
    },
    /// The session ended before it was closed.
    #[error("ended, {reason}")]
    Ended {
        /// The reason that the notification states.
        reason: String,
    },
    /// Something else came than the wanted answer.
    #[error("unexpected {event}")]
    Unexpected {
        /// The name of the event that came.
        event: String,
    },
}

impl SetUpFailure {
    /// The failure of a connection while `action` was under way.
    pub fn connection(action: &'static str, error: &io::Error) -> SetUpFailure {
        SetUpFailure::Connection {
            action,
            kind: error.kind(),
        }
    }

    /// The failure that an event other than the wanted answer amounts to.
    pub fn from_event(event: &ClientEvent) -> SetUpFailure {
        match event {
            ClientEvent::Refused { reason, .. } => SetUpFailure::Rejected {
                reason: reason.clone(),
            },
            ClientEvent::Failed { reason, .. } => SetUpFailure::Failed {
                reason: reason.clone(),
            },
            ClientEvent::Error { code, .. } => SetUpFailure::Call { code: *code },
            ClientEvent::End { reason, .. } => SetUpFailure::Ended {
                reason: reason.clone(),
            },
            other => SetUpFailure::Unexpected {
                event: variant_name(other),
            },
        }
    }
}

/// The name of an event's variant.
fn variant_name(event: &ClientEvent) -> String {
    let text = format!("{event:?}");
    text.split([' ', '{']).next().unwrap_or("answer").to_owned()
}

/// Counts by cause, and all set-ups tried. Causes are listed by their text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    attempted: u64,
    causes: BTreeMap<String, u64>,
}

impl Failures {
    /// Counts the result of a set-up.
    pub fn record<T>(&mut self, result: &Result<T, SetUpFailure>) {
        self.attempted += 1;
        if let Err(cause) = result {
            *self.causes.entry(cause.to_string()).or_default() += 1;
        }
    }

    /// Failed set-ups over all; 0 where none was tried.
    pub fn ratio(&self) -> f64 {
        self.count() as f64 / self.attempted.max(1) as f64
    }

    fn count(&self) -> u64 {
        self.causes.values().sum()
    }
}

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} failed", self.count(), self.attempted)?;
        self.causes
            .iter()
            .try_for_each(|(cause, count)| write!(f, "; {cause}: {count}"))
    }
}

#[cfg(test)]
mod tests;
