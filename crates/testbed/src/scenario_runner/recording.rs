//! Writes records to disk and reads them, one JSON object a line.
use crate::record::Record;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

/// Writes records to a file, one JSON object a line.
///
/// # Errors
/// The file can't be written.
pub fn write_records(path: &Path, records: &[Record]) -> io::Result<()> {
    let mut file = io::BufWriter::new(File::create(path)?);
    for record in records {
        serde_json::to_writer(&mut file, record)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

/// Reads records that [`write_records`] wrote.
///
/// # Errors
/// The file can't be read, or a line is not a record; the error names the line.
pub fn read_records(path: &Path) -> io::Result<Vec<Record>> {
    let lines = BufReader::new(File::open(path)?).lines().enumerate();
    let parse = |(index, line): (usize, io::Result<String>)| {
        serde_json::from_str(&line?)
            .map_err(|error| io::Error::other(format!("line {}: {error}", index + 1)))
    };
    lines.map(parse).collect()
}
