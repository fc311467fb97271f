//! Set-ups of a measurement that failed, by side and cause, so that one of them does not throw a run away and many
//! can't hide in its figures.
use crankpaddle_session_api::client::ClientEvent;
use std::collections::BTreeMap;
use std::fmt;
use std::io;

/// Counts by cause, and all set-ups tried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Failures {
    tried: u64,
    causes: BTreeMap<String, u64>,
}

impl Failures {
    /// A set-up came out.
    pub fn note<T>(&mut self, came_out: &Result<T, String>) {
        self.tried += 1;
        if let Err(cause) = came_out {
            *self.causes.entry(cause.clone()).or_default() += 1;
        }
    }

    /// Failed ones over all; 0 where none was tried.
    pub fn share(&self) -> f64 {
        self.causes.values().sum::<u64>() as f64 / self.tried.max(1) as f64
    }
}

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} failed",
            self.causes.values().sum::<u64>(),
            self.tried
        )?;
        self.causes
            .iter()
            .try_for_each(|(cause, n)| write!(f, "; {cause}: {n}"))
    }
}

/// What an answer that is not the wanted one is counted under.
pub fn cause_of_answer(said: &ClientEvent) -> String {
    match said {
        ClientEvent::Refused { reason, .. } => format!("refused, {reason}"),
        ClientEvent::Failed { reason, .. } => format!("failed, {reason}"),
        ClientEvent::Error { code, .. } => format!("error {code}"),
        ClientEvent::End { reason, .. } => format!("ended, {reason}"),
        other => format!(
            "unexpected {}",
            format!("{other:?}")
                .split([' ', '{'])
                .next()
                .unwrap_or("answer")
        ),
    }
}

/// What a broken connection is counted under.
pub fn cause_of_error(doing: &str, e: &io::Error) -> String {
    format!("{doing}: {}", e.kind())
}

#[cfg(test)]
mod tests;
