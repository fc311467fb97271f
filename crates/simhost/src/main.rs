//! Adapter that hosts instances of [`PlacementPolicy`](crankpaddle::PlacementPolicy) for the simulator, over standard
//! input and output. It decides nothing itself.
mod host;
use crankpaddle_simhost::wire::{Batch, WireError};
use host::{Host, HostError};
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;
use thiserror::Error;

/// Size of the input buffer and of the output buffer, bytes.
const BUFFER_BYTES: usize = 1 << 16;

/// The reason why the adapter exits with a failure.
#[derive(Debug, Error)]
enum AdapterError {
    /// The input cannot be read or is not a valid sequence of batches.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// A record could not be handled.
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

/// Handles batches and sends a reply to each, until the input ends.
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
