//! The wire format of the simulator: framed little-endian records. This module decodes batches and encodes replies.
//!
//! A batch has a header (number, clock, length, number of records), records of a fixed size, and a tail of variable
//! length to which records refer. A reply has the same structure, without the clock.
mod decode;
mod error;
mod fields;
mod reply;
pub use error::{RecordError, WireError};
pub use reply::Reply;

use crankpaddle::{Endpoint, EndpointListKind, Event, LoadField, Time};
use fields::Fields;
use std::io::{self, Read};

/// Size of the header of a batch, bytes.
const HEADER_BYTES: usize = 20;
/// Size of an event record, bytes.
const EVENT_BYTES: usize = 72;
/// Size of an action record, bytes.
const ACTION_BYTES: usize = 32;
/// Size of an entry in an endpoint list, bytes.
const ENTRY_BYTES: usize = 22;
/// Highest number of load report values in a record.
const LOAD_REPORT_VALUES: usize = 4;
/// Longest batch, bytes; a greater length indicates a corrupt frame.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// A batch of events.
pub struct Batch {
    /// Number of the batch, which its reply repeats.
    pub number: u32,
    /// Simulated time of all its events.
    pub now: Time,
    body: Vec<u8>,
    records: usize,
}

/// One record of a batch. The variants have the names of the simulator's records.
pub enum Record<'a> {
    /// Starts an instance of the policy.
    Spawn {
        /// Number of the instance.
        instance: u32,
        /// Seed of its random choices.
        seed: u64,
        /// Its settings as a JSON document.
        settings: &'a [u8],
    },
    /// Ends an instance that [`Record::Spawn`] started.
    Stop {
        /// Number of the instance.
        instance: u32,
    },
    /// Defines an endpoint list, to which later records refer by its number.
    Directory {
        /// Number of the list.
        list: u8,
        /// One entry for each server of the list.
        entries: Vec<Endpoint>,
    },
    /// Delivers an endpoint list to an instance.
    Topology {
        /// Number of the instance.
        instance: u32,
        /// How the list is to be applied.
        kind: EndpointListKind,
        /// Number of the list.
        list: u8,
    },
    /// Delivers any other event.
    Front {
        /// Number of the instance.
        instance: u32,
        /// The event to deliver.
        event: Event,
    },
    /// Delivers an event with a load report. The meaning of its values depends on the settings of the instance.
    Reported {
        /// Number of the instance.
        instance: u32,
        /// The event, with an empty report; see [`attach_report_values`].
        event: Event,
        /// Values of the report, in the order of the fields in the settings.
        values: Vec<f64>,
    },
}

impl Batch {
    /// Reads the next batch; `None` if the input ends before it.
    ///
    /// # Errors
    /// Fails if the input cannot be read, ends within a batch, or has an invalid header.
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

    /// Number of records in the batch.
    pub fn len(&self) -> usize {
        self.records
    }

    /// Whether the batch has no records.
    pub fn is_empty(&self) -> bool {
        self.records == 0
    }

    /// Decodes the record at `index`.
    ///
    /// # Errors
    /// Fails if the record is not valid.
    ///
    /// # Panics
    /// Panics if the batch has no record with this index.
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

/// Fills `buffer`; `Ok(false)` if the input ends before the first byte.
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

/// Reads the records and the tail of a batch. The buffer grows with the received data instead of being allocated in
/// advance, so that a wrong length does not allocate memory for data that never arrives.
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

/// Fills the load report of an event: pairs its values with the fields that the settings of the instance list.
pub fn attach_report_values(event: &mut Event, values: &[f64], fields: &[LoadField]) {
    if let Event::AttemptEnded { report, .. } | Event::HealthCheckCompleted { report, .. } = event {
        *report = fields.iter().copied().zip(values.iter().copied()).collect();
    }
}
