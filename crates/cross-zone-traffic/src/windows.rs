//! Byte totals of recent seconds, minutes and hours, in bounded memory.
use crankpaddle_time::{nanoseconds, Time};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);
/// Seconds whose totals are retained.
const RETAINED_SECONDS: usize = 120;
/// Minutes whose totals are retained.
const RETAINED_MINUTES: usize = 120;
/// Hours whose totals are retained: a week.
const RETAINED_HOURS: usize = 168;

/// A ring buffer of byte totals, one for each recent span of time.
#[derive(Clone, Debug)]
struct Ring {
    /// Length of a span.
    span: Duration,
    /// The total of span `n` is at `n` modulo the number of totals.
    totals: Vec<u64>,
    /// Number of the newest span.
    newest: u64,
}

impl Ring {
    fn new(span: Duration, retained: usize) -> Ring {
        Ring {
            span,
            totals: vec![0; retained],
            newest: 0,
        }
    }

    fn retained(&self) -> u64 {
        self.totals.len() as u64
    }

    fn index(&self, number: u64) -> usize {
        (number % self.retained()) as usize
    }

    fn add(&mut self, at: Time, bytes: u64) {
        let number = at.as_nanos() / nanoseconds(self.span);
        if number > self.newest {
            self.advance_to(number);
        }
        if self.newest - number < self.retained() {
            let index = self.index(number);
            self.totals[index] = self.totals[index].saturating_add(bytes);
        }
    }

    /// Clears the spans up to a new newest one, each at most once.
    fn advance_to(&mut self, number: u64) {
        let last_to_clear = number.min(self.newest + self.retained());
        for cleared in self.newest + 1..=last_to_clear {
            let index = self.index(cleared);
            self.totals[index] = 0;
        }
        self.newest = number;
    }

    /// The recent spans, oldest first.
    fn recent(&self) -> Vec<SpanTotal> {
        let oldest = (self.newest + 1).saturating_sub(self.retained());
        (oldest..=self.newest)
            .map(|number| SpanTotal {
                start: Time(number * nanoseconds(self.span)),
                bytes: self.totals[self.index(number)],
            })
            .collect()
    }
}

/// The length of the spans that totals are kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// A second.
    Second,
    /// A minute.
    Minute,
    /// An hour.
    Hour,
}

/// The bytes of one span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanTotal {
    /// When the span starts.
    pub start: Time,
    /// Bytes sent in it.
    pub bytes: u64,
}

/// Bytes of one flow over recent spans, and in all.
#[derive(Clone, Debug)]
pub struct Windows {
    seconds: Ring,
    minutes: Ring,
    hours: Ring,
    total: u64,
}

impl Default for Windows {
    fn default() -> Windows {
        Windows {
            seconds: Ring::new(SECOND, RETAINED_SECONDS),
            minutes: Ring::new(MINUTE, RETAINED_MINUTES),
            hours: Ring::new(HOUR, RETAINED_HOURS),
            total: 0,
        }
    }
}

impl Windows {
    /// Adds bytes that were sent at a time. Bytes older than the retained spans are added to the total only.
    pub fn add(&mut self, at: Time, bytes: u64) {
        self.seconds.add(at, bytes);
        self.minutes.add(at, bytes);
        self.hours.add(at, bytes);
        self.total = self.total.saturating_add(bytes);
    }

    /// All bytes ever added.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Replaces the total by one that was saved.
    pub(crate) fn set_total(&mut self, total: u64) {
        self.total = total;
    }

    /// The recent spans, oldest first.
    #[must_use]
    pub fn recent(&self, span: Span) -> Vec<SpanTotal> {
        match span {
            Span::Second => self.seconds.recent(),
            Span::Minute => self.minutes.recent(),
            Span::Hour => self.hours.recent(),
        }
    }
}

#[cfg(test)]
mod tests;
