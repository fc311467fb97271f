//! Decodes the messages of viewers.
use super::field_value::{FieldMap, FieldValue};
use super::{Message, Opts, ViewerSetUp};
use crate::{ReceiveBuffer, Tag, MAX_MESSAGE_BYTES};
use serde::Deserialize;
use thiserror::Error;

/// Why no more messages can be decoded from a stream.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// A line is longer than [`MAX_MESSAGE_BYTES`].
    #[error("a line is longer than {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// A line is not a message of the protocol; the text says why.
    #[error("invalid message: {0}")]
    InvalidMessage(String),
}

/// A message as it is on the wire, with the field names of the protocol.
///
/// Its form has two levels, and all other nesting is skipped without recursion: a decoder that follows the nesting of its
/// input overflows the small stack of a coroutine.
#[derive(Deserialize)]
struct Line {
    verb: String,
    tag: String,
    #[serde(default)]
    opts: FieldMap,
    rc: Option<FieldValue>,
    blob: Option<String>,
}

/// Incrementally decodes the byte stream of a viewer's connection.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes the next bytes of the stream and appends the messages that they complete to `messages`.
    ///
    /// # Errors
    /// The stream is malformed, and no more messages can be decoded from it. The messages before the error are in `messages`.
    pub fn feed(&mut self, bytes: &[u8], messages: &mut Vec<Message>) -> Result<(), DecodeError> {
        self.feed_each(bytes, |message, _| messages.push(message))
    }

    /// Takes the next bytes of the stream and passes each message that they complete to `handle`, with its length in bytes on
    /// the wire. A message is decoded only after the one before it was handled.
    ///
    /// # Errors
    /// The stream is malformed, and no more messages can be decoded from it. The messages before the error were passed on.
    pub fn feed_each(
        &mut self,
        bytes: &[u8],
        mut handle: impl FnMut(Message, usize),
    ) -> Result<(), DecodeError> {
        self.0.feed(bytes, |rest| {
            let head = &rest[..rest.len().min(MAX_MESSAGE_BYTES)];
            let Some(end) = head.iter().position(|byte| *byte == b'\n') else {
                if rest.len() >= MAX_MESSAGE_BYTES {
                    return Err(DecodeError::TooLong);
                }
                return Ok(0);
            };
            let length = end + 1;
            handle(decode_line(&rest[..end])?, length);
            Ok(length)
        })
    }

    /// Whether a message was received only in part so far.
    #[must_use]
    pub fn has_partial_message(&self) -> bool {
        !self.0.is_empty()
    }
}

fn invalid_message(reason: &str) -> DecodeError {
    DecodeError::InvalidMessage(reason.to_owned())
}

fn decode_line(line: &[u8]) -> Result<Message, DecodeError> {
    let line: Line = serde_json::from_slice(line)
        .map_err(|error| DecodeError::InvalidMessage(error.to_string()))?;
    let tag =
        Tag::parse(&line.tag).ok_or_else(|| invalid_message("the tag is not 16 hex digits"))?;
    match line.verb.as_str() {
        "START" => Ok(Message::Start(ViewerSetUp {
            tag,
            opts: decode_opts(line.opts)?,
            blob: line.blob,
        })),
        "FINISH" => Ok(Message::Finish {
            tag,
            cause: finish_cause(line.rc.as_ref())?,
        }),
        "ECHO" => Ok(Message::Echo(tag)),
        "PENDING" | "FINISHED" | "NOTICE" | "ECHOED" => Ok(Message::Idle),
        _ => Err(invalid_message("the verb is unknown")),
    }
}

fn finish_cause(rc: Option<&FieldValue>) -> Result<u16, DecodeError> {
    rc.and_then(FieldValue::as_u64)
        .and_then(|cause| u16::try_from(cause).ok())
        .ok_or_else(|| invalid_message("a FINISH has no valid cause (rc)"))
}

/// The fields that the protocol has a use for. Others are allowed, and dropped here, so that a message takes little more memory
/// than its text.
fn decode_opts(opts: FieldMap) -> Result<Opts, DecodeError> {
    if opts.has_other {
        return Err(invalid_message(
            "a field of opts is neither a text nor a number",
        ));
    }
    Ok(opts.texts)
}
