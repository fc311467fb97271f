//! Hosts instances of [`PlacementPolicy`](crankpaddle::PlacementPolicy) on the bench's wire. An adapter only: every
//! decision is the library's.
mod host;
use crankpaddle_simhost::wire::{Batch, WireError};
use host::{Host, HostError};
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;
use thiserror::Error;

/// Size of the input's and the output's buffer, bytes.
const BUFFER_BYTES: usize = 1 << 16;

/// Why the adapter ends with a failure.
#[derive(Debug, Error)]
enum AdapterError {
    /// The input is not what the bench sends.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A record could not be carried out.
    #[error("batch {batch}, record {index}: {source}")]
    Record {
        batch: u32,
        index: usize,
        source: HostError,
    },
    /// The reply could not be written.
    #[error("cannot write the reply: {0}")]
    Write(#[source] io::Error),
}

fn run() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let mut output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    let mut host = Host::default();
    while let Some(batch) = Batch::read(&mut input)? {
        for index in 0..batch.len() {
            let record = batch.record(index)?;
            host.handle_record(batch.now, record)
                .map_err(|source| AdapterError::Record {
                    batch: batch.number,
                    index,
                    source,
                })?;
        }
        host.reply
            .send(batch.number, &mut output)
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crankpaddle-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
