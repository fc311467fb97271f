//! Decodes the messages of servers.
use super::{Kind, Message};
use crate::{ReceiveBuffer, Tag, MAX_MESSAGE_BYTES};
use thiserror::Error;

const RTSP_VERSION: &str = "RTSP/1.0";

/// Why no more messages can be decoded from a stream.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// A message is longer than [`MAX_MESSAGE_BYTES`], or its `Content-Length` says so.
    #[error("a message is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// The first line of a message is neither a request line nor a status line.
    #[error("the first line of a message is neither a request line nor a status line")]
    StartLine,
    /// A header line is malformed, or repeats a header that may occur only once.
    #[error("a header is malformed or repeated")]
    Header,
    /// The `Content-Length` is missing or not a number.
    #[error("the Content-Length is missing or not a number")]
    Length,
    /// A header line is not UTF-8.
    #[error("a header is not UTF-8")]
    Text,
}

/// Incrementally decodes the byte stream of a server's connection.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes the next bytes of the stream and appends the messages that they complete to `messages`.
    ///
    /// # Errors
    /// The stream is malformed, and no more messages can be decoded from it. The messages before the error are in `messages`.
    pub fn feed(&mut self, bytes: &[u8], messages: &mut Vec<Message>) -> Result<(), DecodeError> {
        self.0.feed(bytes, |rest| {
            let Some(decoded) = decode_message(rest)? else {
                return Ok(0);
            };
            messages.push(decoded.message);
            Ok(decoded.length)
        })
    }

    /// Whether a message was received only in part so far.
    #[must_use]
    pub fn has_partial_message(&self) -> bool {
        !self.0.is_empty()
    }
}

/// A decoded message and its length in bytes on the wire.
struct Decoded {
    message: Message,
    length: usize,
}

/// The headers of a message, and their length in bytes including the empty line that ends them.
struct HeaderSection {
    headers: Headers,
    length: usize,
}

/// A line without its line break, and its length in bytes including the line break.
struct Line<'a> {
    text: &'a [u8],
    length: usize,
}

/// The first line of `rest`; `None` if it is incomplete.
fn first_line(rest: &[u8]) -> Option<Line<'_>> {
    let end = rest.iter().position(|byte| *byte == b'\n')?;
    let text = &rest[..end];
    Some(Line {
        text: text.strip_suffix(b"\r").unwrap_or(text),
        length: end + 1,
    })
}

/// Decodes the message at the start of `rest`; `None` if it is incomplete.
fn decode_message(rest: &[u8]) -> Result<Option<Decoded>, DecodeError> {
    let head = &rest[..rest.len().min(MAX_MESSAGE_BYTES)];
    let Some(first) = first_line(head) else {
        return incomplete_first_line(rest);
    };
    let kind = start_line(first.text)?;
    let Some(section) = read_headers(&head[first.length..])? else {
        return incomplete(rest);
    };
    let headers = section.headers;
    let body_start = first.length + section.length;
    // A stated length beyond the limit is an error at once, so that the node neither buffers such a body nor waits for it.
    let body_length = headers.content_length.ok_or(DecodeError::Length)?;
    let end = body_start
        .checked_add(body_length)
        .filter(|end| *end <= MAX_MESSAGE_BYTES)
        .ok_or(DecodeError::TooLong)?;
    let Some(body) = rest.get(body_start..end) else {
        return Ok(None);
    };
    let message = Message {
        kind,
        cseq: headers.cseq.flatten(),
        session: headers.session.flatten(),
        headers: headers.others,
        body: body.to_vec(),
    };
    Ok(Some(Decoded {
        message,
        length: end,
    }))
}

/// Decodes headers up to the empty line that ends them; `None` if that line was not received yet.
fn read_headers(text: &[u8]) -> Result<Option<HeaderSection>, DecodeError> {
    let mut headers = Headers::default();
    let mut length = 0;
    while let Some(line) = first_line(&text[length..]) {
        length += line.length;
        if line.text.is_empty() {
            return Ok(Some(HeaderSection { headers, length }));
        }
        headers.read(line.text)?;
    }
    Ok(None)
}

/// The result for an incomplete message: `None`, or an error if it is already too long.
fn incomplete(rest: &[u8]) -> Result<Option<Decoded>, DecodeError> {
    if rest.len() >= MAX_MESSAGE_BYTES {
        return Err(DecodeError::TooLong);
    }
    Ok(None)
}

/// The result for an incomplete first line: `None`, or an error if no message can start like this.
fn incomplete_first_line(rest: &[u8]) -> Result<Option<Decoded>, DecodeError> {
    let may_be_message = rest.first().is_none_or(u8::is_ascii_uppercase);
    if !may_be_message {
        return Err(DecodeError::StartLine);
    }
    incomplete(rest)
}

/// The headers of a message. The three that may occur only once have fields of their own: the outer option is `None` if the
/// header did not occur, and the inner one if its value is malformed.
#[derive(Default)]
struct Headers {
    content_length: Option<usize>,
    cseq: Option<Option<u32>>,
    session: Option<Option<Tag>>,
    others: Vec<(String, String)>,
}

impl Headers {
    /// Adds a header line.
    fn read(&mut self, line: &[u8]) -> Result<(), DecodeError> {
        let text = std::str::from_utf8(line).map_err(|_| DecodeError::Text)?;
        let (name, value) = text.split_once(':').ok_or(DecodeError::Header)?;
        if !is_header_name(name) {
            return Err(DecodeError::Header);
        }
        let value = value.trim();
        if name.eq_ignore_ascii_case("Content-Length") {
            let length = decimal(value).ok_or(DecodeError::Length)?;
            set_once(&mut self.content_length, length)
        } else if name.eq_ignore_ascii_case("CSeq") {
            set_once(&mut self.cseq, value.parse().ok())
        } else if name.eq_ignore_ascii_case("Session") {
            set_once(&mut self.session, Tag::parse(value))
        } else {
            self.others.push((name.to_owned(), value.to_owned()));
            Ok(())
        }
    }
}

/// Sets a header that may occur only once.
fn set_once<T>(header: &mut Option<T>, value: T) -> Result<(), DecodeError> {
    match header.replace(value) {
        None => Ok(()),
        Some(_) => Err(DecodeError::Header),
    }
}

fn is_header_name(name: &str) -> bool {
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-';
    !name.is_empty() && name.bytes().all(is_name_byte)
}

/// Parses a number that consists of digits only; `parse` alone would accept a sign.
fn decimal(text: &str) -> Option<usize> {
    let is_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_digits {
        return None;
    }
    text.parse().ok()
}

/// Parses the first line of a message.
fn start_line(text: &[u8]) -> Result<Kind, DecodeError> {
    let text = std::str::from_utf8(text).map_err(|_| DecodeError::StartLine)?;
    let mut words = text.splitn(3, ' ');
    let (Some(first), Some(second)) = (words.next(), words.next()) else {
        return Err(DecodeError::StartLine);
    };
    if first == RTSP_VERSION {
        let status = response_status(second).ok_or(DecodeError::StartLine)?;
        return Ok(Kind::Response(status));
    }
    if is_method(first) && second.starts_with("rtsp://") && words.next() == Some(RTSP_VERSION) {
        return Ok(Kind::Request(first.to_owned(), second.to_owned()));
    }
    Err(DecodeError::StartLine)
}

fn response_status(text: &str) -> Option<u16> {
    let is_three_digits = text.len() == 3 && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_three_digits {
        return None;
    }
    text.parse()
        .ok()
        .filter(|status| (100..600).contains(status))
}

fn is_method(text: &str) -> bool {
    let is_method_byte = |byte: u8| byte.is_ascii_uppercase() || byte == b'_';
    !text.is_empty() && text.bytes().all(is_method_byte)
}
