//! Decodes the bodies of messages incrementally as their bytes arrive.
use crate::head::Framing;
use crate::HttpError;

/// Incrementally decodes a body according to its framing.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
    /// The longest allowed body.
    max_bytes: u64,
    /// Bytes of the body so far. Only counted if the framing does not state the length in advance.
    received_bytes: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    /// Within a body of known length; holds the number of remaining bytes.
    Length(u64),
    /// Within a body that ends with the connection.
    UntilClose,
    /// Within the line with the size of a chunk; holds the bytes of the line so far.
    ChunkSize(Vec<u8>),
    /// Within a chunk; holds the number of remaining bytes.
    Chunk(u64),
    /// Within the CRLF after a chunk; holds how many of its bytes were received.
    ChunkEnd(usize),
    /// Within a trailer line after the last chunk; holds the bytes of the line so far.
    Trailer(Vec<u8>),
    /// The body is complete.
    Done,
}

const CRLF: &[u8] = b"\r\n";
/// The longest line with a chunk's size or a trailer field, in bytes.
pub const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Most hexadecimal digits of a chunk's size; a number with more digits might not fit into 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

impl BodyDecoder {
    /// Starts decoding a body of at most `max_bytes` bytes.
    ///
    /// # Errors
    /// [`HttpError::BodyTooLarge`]: the stated length is larger.
    pub fn new(framing: Framing, max_bytes: u64) -> Result<BodyDecoder, HttpError> {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) if length > max_bytes => {
                return Err(HttpError::BodyTooLarge { max: max_bytes })
            }
            Framing::Length(length) => State::Length(length),
            Framing::UntilClose => State::UntilClose,
            Framing::Chunked => State::ChunkSize(Vec::new()),
        };
        Ok(BodyDecoder {
            state,
            max_bytes,
            received_bytes: 0,
        })
    }

    /// Whether the body was decoded completely; never true for a body that ends with the connection.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the body is complete if the connection ends at this point.
    #[must_use]
    pub fn may_end_at_close(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Consumes bytes of `input` up to the end of the body and appends the decoded bytes to `data`. Returns how many bytes of
    /// `input` were consumed.
    ///
    /// # Errors
    /// The body is malformed or larger than allowed.
    pub fn feed(&mut self, input: &[u8], data: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut consumed = 0;
        while consumed < input.len() && !self.is_complete() {
            consumed += self.feed_in_state(&input[consumed..], data)?;
        }
        Ok(consumed)
    }

    /// Consumes the bytes of `input`, at least one, that belong to the current state. `input` must not be empty.
    fn feed_in_state(&mut self, input: &[u8], data: &mut Vec<u8>) -> Result<usize, HttpError> {
        match &mut self.state {
            State::Length(remaining) => {
                let consumed = take_data(remaining, input, data);
                if *remaining == 0 {
                    self.state = State::Done;
                }
                Ok(consumed)
            }
            State::Chunk(remaining) => {
                let consumed = take_data(remaining, input, data);
                if *remaining == 0 {
                    self.state = State::ChunkEnd(0);
                }
                Ok(consumed)
            }
            State::ChunkEnd(received) => {
                if is_chunk_end_complete(received, input[0])? {
                    self.state = State::ChunkSize(Vec::new());
                }
                Ok(1)
            }
            State::UntilClose => {
                self.count_received(input.len() as u64)?;
                data.extend_from_slice(input);
                Ok(input.len())
            }
            State::ChunkSize(line) => {
                if push_to_line(line, input[0])? {
                    let size = parse_chunk_size(line)?;
                    self.begin_chunk(size)?;
                }
                Ok(1)
            }
            State::Trailer(line) => {
                if push_to_line(line, input[0])? {
                    let is_empty = line.as_slice() == CRLF;
                    self.state = if is_empty {
                        State::Done
                    } else {
                        State::Trailer(Vec::new())
                    };
                }
                Ok(1)
            }
            State::Done => Ok(0),
        }
    }

    /// Starts a chunk, or the trailer after a chunk of size zero.
    fn begin_chunk(&mut self, size: u64) -> Result<(), HttpError> {
        self.count_received(size)?;
        self.state = if size == 0 {
            State::Trailer(Vec::new())
        } else {
            State::Chunk(size)
        };
        Ok(())
    }

    /// Counts bytes of a body whose length was not stated in advance, and checks the limit.
    fn count_received(&mut self, bytes: u64) -> Result<(), HttpError> {
        self.received_bytes = self.received_bytes.saturating_add(bytes);
        if self.received_bytes > self.max_bytes {
            return Err(HttpError::BodyTooLarge {
                max: self.max_bytes,
            });
        }
        Ok(())
    }
}

/// Moves at most `remaining` bytes of `input` to `data`; returns how many.
fn take_data(remaining: &mut u64, input: &[u8], data: &mut Vec<u8>) -> usize {
    let count = input
        .len()
        .min(usize::try_from(*remaining).unwrap_or(usize::MAX));
    data.extend_from_slice(&input[..count]);
    *remaining -= count as u64;
    count
}

/// Checks the next byte of the CRLF after a chunk; returns whether the CRLF is complete.
fn is_chunk_end_complete(received: &mut usize, byte: u8) -> Result<bool, HttpError> {
    if byte != CRLF[*received] {
        return Err(HttpError::ChunkEnd);
    }
    *received += 1;
    Ok(*received == CRLF.len())
}

/// Appends a byte to a line; returns whether the line is complete.
fn push_to_line(line: &mut Vec<u8>, byte: u8) -> Result<bool, HttpError> {
    line.push(byte);
    if line.len() > MAX_CHUNK_LINE_BYTES {
        return Err(HttpError::ChunkLineTooLong);
    }
    Ok(line.ends_with(CRLF))
}

/// Parses the size in the first line of a chunk, which may also hold extensions.
fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let line = line.strip_suffix(CRLF).unwrap_or(line);
    let size = line.split(|byte| *byte == b';').next().unwrap_or(line);
    let digits = std::str::from_utf8(size).unwrap_or("").trim_end();
    // `from_str_radix` would accept a sign.
    let is_hexadecimal = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digits.is_empty() || digits.len() > MAX_CHUNK_SIZE_DIGITS || !is_hexadecimal {
        return Err(HttpError::ChunkSize);
    }
    u64::from_str_radix(digits, 16).map_err(|_| HttpError::ChunkSize)
}

#[cfg(test)]
mod tests;
