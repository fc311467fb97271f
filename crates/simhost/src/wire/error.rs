//! Errors in the input from the simulator.
use std::io;
use thiserror::Error;

/// The reason why a batch could not be read.
#[derive(Debug, Error)]
pub enum WireError {
    /// The input ended within a header.
    #[error("input ends after {received} of {expected} bytes of the {part}")]
    Truncated {
        /// Name of the part that was being read.
        part: &'static str,
        /// Number of bytes received.
        received: usize,
        /// Number of bytes expected.
        expected: usize,
    },
    /// The input could not be read.
    #[error("cannot read the {part}: {source}")]
    Read {
        /// Name of the part that was being read.
        part: &'static str,
        /// The error of the input stream.
        source: io::Error,
    },
    /// A batch states a length that cannot hold the number of records, or that exceeds the maximum.
    #[error("batch {batch}: a length of {length} bytes is out of range")]
    LengthOutOfRange {
        /// Number of the batch.
        batch: u32,
        /// The stated length, bytes.
        length: usize,
    },
    /// A batch states more records than fit its length.
    #[error("batch {batch}: {records} records do not fit its length of {length} bytes")]
    RecordsDoNotFit {
        /// Number of the batch.
        batch: u32,
        /// The stated number of records.
        records: usize,
        /// The stated length, bytes.
        length: usize,
    },
    /// The records of a batch could not be read.
    #[error("batch {batch}: cannot read the records: {source}")]
    ReadRecords {
        /// Number of the batch.
        batch: u32,
        /// The error of the input stream.
        source: io::Error,
    },
    /// The input ended within the records of a batch.
    #[error("batch {batch}: input ends after {received} of {expected} bytes")]
    RecordsTruncated {
        /// Number of the batch.
        batch: u32,
        /// Number of bytes received.
        received: usize,
        /// Number of bytes expected.
        expected: usize,
    },
    /// A record could not be decoded.
    #[error("batch {batch}, record {index} (code {code}): {source}")]
    Record {
        /// Number of the batch.
        batch: u32,
        /// Index of the record in the batch, counted from 0.
        index: usize,
        /// Code of the record.
        code: u8,
        /// Why the record is invalid.
        source: RecordError,
    },
}

/// The reason why a record could not be decoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// There is no record with this code.
    #[error("unknown event code {0}")]
    UnknownCode(u8),
    /// There is no kind of endpoint list with this code.
    #[error("unknown endpoint list kind {0}")]
    UnknownListKind(u8),
    /// There is no kind of session update with this code.
    #[error("unknown session update kind {0}")]
    UnknownUpdate(u8),
    /// There is no outcome with this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    /// There is no lifecycle state with this code.
    #[error("unknown lifecycle state {0} in an endpoint list")]
    UnknownLifecycle(u8),
    /// A load report has more values than a record holds.
    #[error("load report has {0} values, more than a record holds")]
    ReportTooLong(usize),
    /// A record refers to bytes outside the tail of its batch.
    #[error("offset {offset} with {count} items lies outside the tail of {tail} bytes")]
    OutsideTail {
        /// Offset of the items in the tail, bytes.
        offset: usize,
        /// Number of items that the record refers to.
        count: usize,
        /// Length of the tail, bytes.
        tail: usize,
    },
    /// The value of a field for a count or rung is not in the range of such fields.
    #[error("{value} at byte {offset} is not a count below 65536")]
    NotSmallInteger {
        /// The value that was read: negative, not finite or too large.
        value: f32,
        /// Offset of the field in the record, bytes.
        offset: usize,
    },
}
