//! Errors of the bench's wire.
use std::io;
use thiserror::Error;

/// The input is not a sequence of batches.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input ended within a header.
    #[error("input ends after {received} of {expected} bytes of the {part}")]
    Truncated {
        /// What was being read.
        part: &'static str,
        /// Bytes that came.
        received: usize,
        /// Bytes that should have come.
        expected: usize,
    },
    /// The input could not be read.
    #[error("cannot read the {part}: {source}")]
    Read {
        /// What was being read.
        part: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// A batch states a length that none has.
    #[error("batch {batch}: a length of {length} bytes is out of range")]
    LengthOutOfRange {
        /// The batch.
        batch: u32,
        /// The length, bytes.
        length: usize,
    },
    /// A batch states more records than its length holds.
    #[error("batch {batch}: {records} records do not fit its length of {length} bytes")]
    RecordsDoNotFit {
        /// The batch.
        batch: u32,
        /// Number of records.
        records: usize,
        /// The length, bytes.
        length: usize,
    },
    /// A batch's records could not be read.
    #[error("batch {batch}: cannot read the records: {source}")]
    ReadRecords {
        /// The batch.
        batch: u32,
        /// Why it failed.
        source: io::Error,
    },
    /// The input ended within a batch's records.
    #[error("batch {batch}: input ends after {received} of {expected} bytes")]
    RecordsTruncated {
        /// The batch.
        batch: u32,
        /// Bytes that came.
        received: usize,
        /// Bytes that should have come.
        expected: usize,
    },
    /// A record could not be decoded.
    #[error("batch {batch}, record {index} (code {code}): {source}")]
    Record {
        /// The batch.
        batch: u32,
        /// The record's place in it, from 0.
        index: usize,
        /// The record's code.
        code: u8,
        /// Why it failed.
        source: RecordError,
    },
}

/// A record could not be decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// No record has this code.
    #[error("unknown event code {0}")]
    UnknownCode(u8),
    /// No list of servers is of this kind.
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    /// No session update is of this kind.
    #[error("unknown note kind {0}")]
    UnknownUpdate(u8),
    /// No attempt ends with this outcome.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// No server of a list is in this phase.
    #[error("list entry: unknown phase {0}")]
    UnknownLifecycle(u8),
    /// A load report has more values than a record holds.
    #[error("a load report of {0} values")]
    ReportTooLong(usize),
    /// A record refers to bytes that its batch does not have.
    #[error("offset {offset} with {count} items lies outside the tail of {tail} bytes")]
    OutsideTail {
        /// Where the items should begin, bytes into the tail.
        offset: usize,
        /// Number of items.
        count: usize,
        /// Length of the tail, bytes.
        tail: usize,
    },
    /// A number that stands for a count is none.
    #[error("{value} at byte {offset} is not a small whole number")]
    NotSmallInteger {
        /// The number.
        value: f32,
        /// Its place in the record, bytes.
        offset: usize,
    },
}
