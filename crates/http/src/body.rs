//! Bodies, read piece by piece as they come.
use crate::head::{Bad, Framing};

/// Reads a body by its framing.
#[derive(Clone, Debug)]
pub struct Body {
    state: State,
    most: u64,
    read: u64,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Length(u64),
    UntilClose,
    Size(Vec<u8>), // The line that holds a chunk's size, as far as it came.
    Chunk(u64),
    ChunkEnd(u8),
    Trailer(Vec<u8>),
    Done,
}

/// Bytes of a chunk's size line or of a trailer line at most.
const MOST_LINE: usize = 1024;

impl Body {
    /// A body of at most `most` bytes.
    ///
    /// # Errors
    /// The stated length is over that.
    pub fn new(framing: Framing, most: u64) -> Result<Body, Bad> {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(n) if n > most => return Err(too_large(most)),
            Framing::Length(n) => State::Length(n),
            Framing::UntilClose => State::UntilClose,
            Framing::Chunked => State::Size(Vec::new()),
        };
        Ok(Body {
            state,
            most,
            read: 0,
        })
    }

    /// Whether all of it was read. A body until close never says so.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the end of the connection ends it well.
    pub fn may_close(&self) -> bool {
        matches!(self.state, State::Done | State::UntilClose)
    }

    /// Takes what it can of `input`, adds its data to `data`, and says how many bytes it took.
    ///
    /// # Errors
    /// The body is malformed or larger than allowed.
    pub fn feed(&mut self, input: &[u8], data: &mut Vec<u8>) -> Result<usize, Bad> {
        let mut at = 0;
        while at < input.len() && self.state != State::Done {
            let rest = &input[at..];
            match &mut self.state {
                State::Length(left) | State::Chunk(left) => {
                    let n = rest.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    data.extend_from_slice(&rest[..n]);
                    at += n;
                    *left -= n as u64;
                    if *left == 0 {
                        let chunked = matches!(self.state, State::Chunk(_));
                        self.state = if chunked {
                            State::ChunkEnd(0)
                        } else {
                            State::Done
                        };
                    }
                }
                State::UntilClose => {
                    self.read += rest.len() as u64;
                    if self.read > self.most {
                        return Err(too_large(self.most));
                    }
                    data.extend_from_slice(rest);
                    at = input.len();
                }
                State::ChunkEnd(seen) => {
                    if rest[0] != b"\r\n"[usize::from(*seen)] {
                        return Err(Bad::request(
                            "a chunk that does not end where its size says",
                        ));
                    }
                    at += 1;
                    self.state = if *seen == 0 {
                        State::ChunkEnd(1)
                    } else {
                        State::Size(Vec::new())
                    };
                }
                State::Size(line) | State::Trailer(line) => {
                    line.push(rest[0]);
                    at += 1;
                    if line.len() > MOST_LINE {
                        return Err(Bad::request("a chunk line without end"));
                    }
                    if line.ends_with(b"\r\n") {
                        let line = std::mem::take(line);
                        self.state = self.after_line(&line[..line.len() - 2])?;
                    }
                }
                State::Done => {}
            }
        }
        Ok(at)
    }

    fn after_line(&mut self, line: &[u8]) -> Result<State, Bad> {
        if matches!(self.state, State::Trailer(_)) {
            return Ok(if line.is_empty() {
                State::Done
            } else {
                State::Trailer(Vec::new())
            });
        }
        let size = line.split(|b| *b == b';').next().unwrap_or(line);
        let text = std::str::from_utf8(size).unwrap_or("").trim_end();
        let hex =
            !text.is_empty() && text.len() <= 15 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let size = u64::from_str_radix(text, 16).ok().filter(|_| hex);
        let size = size.ok_or_else(|| Bad::request("a chunk whose size is no number"))?;
        self.read = self.read.saturating_add(size);
        if self.read > self.most {
            return Err(too_large(self.most));
        }
        Ok(if size == 0 {
            State::Trailer(Vec::new())
        } else {
            State::Chunk(size)
        })
    }
}

fn too_large(most: u64) -> Bad {
    Bad {
        status: 413,
        what: format!("a body of more than {most} bytes"),
    }
}

#[cfg(test)]
mod tests;
