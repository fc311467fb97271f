//! The bench's wire: framed little-endian records. It decodes batches and encodes replies, and decides nothing.
//!
//! A batch has a header (number, clock, length, number of records), records of a fixed size, and a tail that records
//! refer to. A reply is built alike.
mod decode;
mod error;
mod fields;
mod reply;
pub use error::{RecordError, WireError};
pub use reply::Reply;

use crankpaddle::{Endpoint, EndpointListKind, Event, LoadField, Time};
use fields::Fields;
use std::io::{self, Read};

/// Size of a batch's header.
const HEADER_BYTES: usize = 20;
/// Size of an event's record.
const EVENT_BYTES: usize = 72;
/// Size of an action's record.
const ACTION_BYTES: usize = 32;
/// Size of an entry of a list of servers.
const ENTRY_BYTES: usize = 22;
/// Values of a load report that a record holds.
const LOAD_REPORT_VALUES: usize = 4;
/// Longest batch; a length beyond this is a broken frame.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// A batch of events.
pub struct Batch {
    /// Its number.
    pub number: u32,
    /// The clock.
    pub now: Time,
    body: Vec<u8>,
    records: usize,
}

/// One record of a batch. The variants are called like the bench's records.
pub enum Record<'a> {
    /// An instance starts.
    Spawn {
        /// The instance.
        instance: u32,
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings, JSON.
        settings: &'a [u8],
    },
    /// An instance ends.
    Stop {
        /// The instance.
        instance: u32,
    },
    /// A list of servers, for the records that refer to it.
    Directory {
        /// Its number.
        list: u8,
        /// The servers.
        entries: Vec<Endpoint>,
    },
    /// An instance receives a list of servers.
    Topology {
        /// The instance.
        instance: u32,
        /// How it is to be read.
        kind: EndpointListKind,
        /// The list's number.
        list: u8,
    },
    /// Any other event.
    Front {
        /// The instance.
        instance: u32,
        /// The event.
        event: Event,
    },
    /// An event with a load report, whose fields only the instance's settings name.
    Reported {
        /// The instance.
        instance: u32,
        /// The event, with an empty report.
        event: Event,
        /// The report's figures.
        values: Vec<f64>,
    },
}

impl Batch {
    /// Reads the next batch; `None` at the end of input between batches.
    ///
    /// # Errors
    /// The input cannot be read, ends within a batch, or is no batch.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
        let mut header = [0; HEADER_BYTES];
        if !fill(input, &mut header, "batch header")? {
            return Ok(None);
        }
        let header = Fields(&header);
        let batch = header.u32(0);
        let length = header.u32(12) as usize;
        let records = header.u32(16) as usize;
        if !(4..=MAX_BATCH_BYTES).contains(&length) {
            return Err(WireError::LengthOutOfRange { batch, length });
        }
        if records.saturating_mul(EVENT_BYTES) > length - 4 {
            return Err(WireError::RecordsDoNotFit {
                batch,
                records,
                length,
            });
        }
        Ok(Some(Batch {
            number: batch,
            now: Time(header.u64(4)),
            body: read_body(input, batch, length - 4)?,
            records,
        }))
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// Decodes the record at `index`.
    ///
    /// # Errors
    /// It is no record that the bench sends.
    ///
    /// # Panics
    /// The batch has no such record.
    pub fn record(&self, index: usize) -> Result<Record<'_>, WireError> {
        let start = index * EVENT_BYTES;
        let record = Fields(&self.body[start..start + EVENT_BYTES]);
        let tail = &self.body[self.records * EVENT_BYTES..];
        decode::decode(record, tail).map_err(|source| WireError::Record {
            batch: self.number,
            index,
            code: record.u8(0),
            source,
        })
    }
}

/// Fills `buffer`; `Ok(false)` at the end of input before its first byte.
fn fill(input: &mut impl Read, buffer: &mut [u8], part: &'static str) -> Result<bool, WireError> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) if received == 0 => return Ok(false),
            Ok(0) => {
                return Err(WireError::Truncated {
                    part,
                    received,
                    expected: buffer.len(),
                })
            }
            Ok(count) => received += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(source) => return Err(WireError::Read { part, source }),
        }
    }
    Ok(true)
}

/// Reads the records and the tail of a batch. Why it isn't read into a buffer of that length: it grows with what
/// arrives, so that a wrong length cannot claim the memory at once.
fn read_body(input: &mut impl Read, batch: u32, expected: usize) -> Result<Vec<u8>, WireError> {
    let mut body = Vec::new();
    let received = input
        .take(expected as u64)
        .read_to_end(&mut body)
        .map_err(|source| WireError::ReadRecords { batch, source })?;
    if received < expected {
        return Err(WireError::RecordsTruncated {
            batch,
            received,
            expected,
        });
    }
    Ok(body)
}

/// Gives the values of a report the names of their fields.
pub fn name_report(event: &mut Event, values: &[f64], fields: &[LoadField]) {
    if let Event::AttemptEnded { report, .. } | Event::HealthCheckCompleted { report, .. } = event {
        *report = fields.iter().copied().zip(values.iter().copied()).collect();
    }
}
