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
mod tests {
    use super::*;

    #[test]
    fn failures_are_counted_by_cause_and_told_with_their_share() {
        let mut all = Failures::default();
        assert_eq!(
            (all.share(), all.to_string().as_str()),
            (0.0, "0 of 0 failed")
        );
        (0..97).for_each(|_| all.note(&Ok(())));
        let refused = ClientEvent::Refused {
            id: 1,
            reason: "no_room".into(),
            retry_after_ms: None,
        };
        (0..2).for_each(|_| all.note::<()>(&Err(cause_of_answer(&refused))));
        all.note::<()>(&Err(cause_of_error(
            "connect",
            &io::ErrorKind::ConnectionReset.into(),
        )));
        assert!((all.share() - 0.03).abs() < 1e-9);
        let told = "3 of 100 failed; connect: connection reset: 1; refused, no_room: 2";
        assert_eq!(all.to_string(), told);
    }
}
