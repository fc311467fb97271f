//! Counts the failed set-ups of a measurement by cause. A failure does not end the run; the result reports all of them.
use crankpaddle_session_api::client::ClientEvent;
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use thiserror::Error;

/// The cause of a set-up's failure. Its text is the key by which failures are counted and reported.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum SetUpFailure {
    /// The connection could not be established, written to or read from.
    #[error("{action}: {kind}")]
    Connection {
        /// The failed operation: connect, write or read.
        action: &'static str,
        /// The kind of the I/O error.
        kind: io::ErrorKind,
    },
    /// The front rejected the set-up, which had no effect.
    #[error("refused, {reason}")]
    Rejected {
        /// The reason that the answer states.
        reason: String,
    },
    /// The set-up failed, perhaps after an attempt that had an effect at a server.
    #[error("failed, {reason}")]
    Failed {
        /// The reason that the answer states.
        reason: String,
    },
    /// The call was answered with a JSON-RPC error of another kind.
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
    /// An event was received that does not answer the call.
    #[error("unexpected {event}")]
    Unexpected {
        /// Variant name of the event.
        event: String,
    },
}

impl SetUpFailure {
    /// Returns the failure of an operation (connect, write or read) on the connection.
    pub fn connection(action: &'static str, error: &io::Error) -> SetUpFailure {
        SetUpFailure::Connection {
            action,
            kind: error.kind(),
        }
    }

    /// Converts an event that was received instead of the expected answer.
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

/// The name of an event's variant, taken from its debug text.
fn variant_name(event: &ClientEvent) -> String {
    let text = format!("{event:?}");
    text.split([' ', '{']).next().unwrap_or("answer").to_owned()
}

/// The number of set-ups, and the number of failures for each cause. The display text lists both.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    attempted: u64,
    causes: BTreeMap<String, u64>,
}

impl Failures {
    /// Counts one set-up, and its cause if it failed.
    pub fn record<T>(&mut self, result: &Result<T, SetUpFailure>) {
        self.attempted += 1;
        if let Err(cause) = result {
            *self.causes.entry(cause.to_string()).or_default() += 1;
        }
    }

    /// Fraction of the set-ups that failed, from 0 to 1; 0 if there was no set-up.
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
