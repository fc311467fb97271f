//! Failed set-ups of a measurement, counted by cause: a few don't end the run, and many show in its result.
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
        /// The failed operation: connect, write or read.
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
    /// An event was received that is no answer to the call.
    #[error("unexpected {event}")]
    Unexpected {
        /// The name of the event.
        event: String,
    },
}

impl SetUpFailure {
    /// The failure of an operation on the connection.
    pub fn connection(action: &'static str, error: &io::Error) -> SetUpFailure {
        SetUpFailure::Connection {
            action,
            kind: error.kind(),
        }
    }

    /// The failure that an event stands for.
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

/// Number of set-ups, and of the failed ones by the text of their cause.
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

    /// Failed set-ups over all; 0 where there was none.
    pub fn ratio(&self) -> f64 {
        self.count() as f64 / self.attempted.max(1) as f64
    }

    fn count(&self) -> u64 {
        self.causes.values().sum()
    }
}

impl fmt::Display for Failures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {} failed", self.count(), self.attempted)?;
        self.causes
            .iter()
            .try_for_each(|(cause, count)| write!(formatter, "; {cause}: {count}"))
    }
}

#[cfg(test)]
mod tests;
