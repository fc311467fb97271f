//! Decoding what viewers send.
use super::{Message, Opts, SetUp};
use crate::{ReceiveBuffer, Tag, MAX_MESSAGE_BYTES};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why no more messages can be read from a stream.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// A line is longer than any message.
    #[error("a line of over {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// A line is not a message of the protocol; the text says why.
    #[error("no message: {0}")]
    NoMessage(String),
}

/// A line as it is on the wire; its field names are the protocol's.
#[derive(Deserialize)]
struct Line {
    verb: String,
    tag: String,
    #[serde(default)]
    opts: BTreeMap<String, Value>,
    rc: Option<Value>,
    blob: Option<String>,
}

/// Decodes the byte stream of a viewer's connection.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes bytes and adds the messages that are complete now to `messages`.
    ///
    /// # Errors
    /// No more messages can be read from the stream; those before the error are in `messages`.
    pub fn feed(&mut self, bytes: &[u8], messages: &mut Vec<Message>) -> Result<(), DecodeError> {
        self.0.feed(bytes, |rest| {
            let head = &rest[..rest.len().min(MAX_MESSAGE_BYTES)];
            let Some(end) = head.iter().position(|byte| *byte == b'\n') else {
                if rest.len() >= MAX_MESSAGE_BYTES {
                    return Err(DecodeError::TooLong);
                }
                return Ok(0);
            };
            messages.push(decode_line(&rest[..end])?);
            Ok(end + 1)
        })
    }

    /// Whether a message is partially received.
    #[must_use]
    pub fn has_partial_message(&self) -> bool {
        !self.0.is_empty()
    }
}

fn no_message(what: &str) -> DecodeError {
    DecodeError::NoMessage(what.to_owned())
}

fn decode_line(line: &[u8]) -> Result<Message, DecodeError> {
    let line: Line =
        serde_json::from_slice(line).map_err(|error| DecodeError::NoMessage(error.to_string()))?;
    let tag = Tag::parse(&line.tag).ok_or_else(|| no_message("the tag is not 16 hex digits"))?;
    match line.verb.as_str() {
        "START" => Ok(Message::Start(SetUp {
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
        _ => Err(no_message("an unknown type")),
    }
}

fn finish_cause(rc: Option<&Value>) -> Result<u16, DecodeError> {
    rc.and_then(Value::as_u64)
        .and_then(|cause| u16::try_from(cause).ok())
        .ok_or_else(|| no_message("a release without a cause"))
}

fn decode_opts(opts: BTreeMap<String, Value>) -> Result<Opts, DecodeError> {
    opts.into_iter()
        .map(|(name, value)| match value {
            Value::String(text) => Ok((name, text)),
            Value::Number(number) => Ok((name, number.to_string())),
            _ => Err(no_message("a field that is neither text nor a number")),
        })
        .collect()
}
