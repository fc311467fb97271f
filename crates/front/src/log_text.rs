//! The text of answers and notifications in log lines. It contains the Retry-After in nanoseconds, whereas the
//! derived `Debug` text would use a unit that depends on its length.
use crate::output::{Answer, Notification};
use crankpaddle_time::nanoseconds;
use std::fmt;
use std::time::Duration;

impl Answer {
    /// The text of the answer in log lines, with its Retry-After in nanoseconds (0 for none).
    pub fn log_text(&self) -> impl fmt::Debug + '_ {
        AnswerLogText(self)
    }
}

impl Notification {
    /// The text of the notification in log lines, with its Retry-After in nanoseconds (0 for none).
    pub fn log_text(&self) -> impl fmt::Debug + '_ {
        NotificationLogText(self)
    }
}

struct AnswerLogText<'a>(&'a Answer);

impl fmt::Debug for AnswerLogText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Answer::Rejected {
                reason,
                retry_after,
            } => write_with_retry_after(formatter, "Rejected", reason, *retry_after),
            other => other.fmt(formatter),
        }
    }
}

struct NotificationLogText<'a>(&'a Notification);

impl fmt::Debug for NotificationLogText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Notification::SessionEnded {
                reason,
                retry_after,
            } => write_with_retry_after(formatter, "SessionEnded", reason, *retry_after),
            other => other.fmt(formatter),
        }
    }
}

fn write_with_retry_after(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    reason: &dyn fmt::Debug,
    retry_after: Option<Duration>,
) -> fmt::Result {
    formatter
        .debug_tuple(name)
        .field(reason)
        .field(&retry_after.map_or(0, nanoseconds))
        .finish()
}

#[cfg(test)]
mod tests;
