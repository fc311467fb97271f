//! Byte totals for recent seconds, minutes and hours, in bounded memory.
use crankpaddle_time::{nanoseconds, Time};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(60 * 60);
/// Number of seconds whose totals are retained: 2 minutes.
const RETAINED_SECONDS: usize = 120;
/// Number of minutes whose totals are retained: 2 hours.
const RETAINED_MINUTES: usize = 120;
/// Number of hours whose totals are retained: a week.
const RETAINED_HOURS: usize = 168;

/// A ring buffer of byte totals, one for each recent span of equal length.
#[derive(Clone, Debug)]
struct TotalsRing {
    /// Length of a span.
    span: Duration,
    /// The total of span `n` is at index `n` modulo the number of totals.
    totals: Vec<u64>,
    /// Number of the newest span: its start divided by the length of a span.
    newest_span: u64,
}

impl TotalsRing {
    fn new(span: Duration, retained: usize) -> TotalsRing {
        TotalsRing {
            span,
            totals: vec![0; retained],
            newest_span: 0,
        }
    }

    fn retained_count(&self) -> u64 {
        self.totals.len() as u64
    }

    fn index_of(&self, span_number: u64) -> usize {
        (span_number % self.retained_count()) as usize
    }

    /// Adds bytes to the span that contains `at`. Ignores them if that span is no longer retained.
    fn add(&mut self, at: Time, bytes: u64) {
        let span_number = at.as_nanos() / nanoseconds(self.span);
        if span_number > self.newest_span {
            self.advance_to(span_number);
        }
        if self.newest_span - span_number < self.retained_count() {
            let index = self.index_of(span_number);
            self.totals[index] = self.totals[index].saturating_add(bytes);
        }
    }

    /// Makes a later span the newest one and clears the spans that it replaces.
    fn advance_to(&mut self, span_number: u64) {
        let last_to_clear = span_number.min(self.newest_span + self.retained_count());
        for cleared in self.newest_span + 1..=last_to_clear {
            let index = self.index_of(cleared);
            self.totals[index] = 0;
        }
        self.newest_span = span_number;
    }

    /// The totals of the retained spans, oldest first.
    fn recent(&self) -> Vec<SpanTotal> {
        let oldest = (self.newest_span + 1).saturating_sub(self.retained_count());
        (oldest..=self.newest_span)
            .map(|span_number| SpanTotal {
                start: Time(span_number * nanoseconds(self.span)),
                bytes: self.totals[self.index_of(span_number)],
            })
            .collect()
    }
}

/// Length of the spans for which totals are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// One second; the last 120 are retained.
    Second,
    /// One minute; the last 120 are retained.
    Minute,
    /// One hour; the last 168, a week, are retained.
    Hour,
}

/// Byte total of one span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpanTotal {
    /// Start of the span.
    pub start: Time,
    /// Bytes sent within the span.
    pub bytes: u64,
}

/// Byte totals of one flow: one for each recent span, and one for all time.
#[derive(Clone, Debug)]
pub struct WindowedBytes {
    seconds: TotalsRing,
    minutes: TotalsRing,
    hours: TotalsRing,
    total_bytes: u64,
}

impl Default for WindowedBytes {
    fn default() -> WindowedBytes {
        WindowedBytes {
            seconds: TotalsRing::new(SECOND, RETAINED_SECONDS),
            minutes: TotalsRing::new(MINUTE, RETAINED_MINUTES),
            hours: TotalsRing::new(HOUR, RETAINED_HOURS),
            total_bytes: 0,
        }
    }
}

impl WindowedBytes {
    /// Adds bytes that were sent at a point in time. If the span of that time is no longer retained, they are added only to
    /// the total for all time.
    pub fn add(&mut self, at: Time, bytes: u64) {
        self.seconds.add(at, bytes);
        self.minutes.add(at, bytes);
        self.hours.add(at, bytes);
        self.total_bytes = self.total_bytes.saturating_add(bytes);
    }

    /// Total for all time; it saturates at `u64::MAX`.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total_bytes
    }

    /// Replaces the total for all time by a saved one.
    pub(crate) fn set_total(&mut self, total: u64) {
        self.total_bytes = total;
    }

    /// The totals of the retained spans of a length, oldest first, including those without bytes.
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
