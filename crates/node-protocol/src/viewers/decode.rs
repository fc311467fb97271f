//! Decoding what viewers send.
use super::{Message, Opts, SetUp};
use crate::{ReceiveBuffer, Tag, MAX_MESSAGE_BYTES};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a stream is of no use any more.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// A line is longer than any message.
    #[error("a line of over {MAX_MESSAGE_BYTES} bytes")]
    TooLong,
    /// A line is no message: what is wrong.
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

/// Reads what a viewer's connection gives.
#[derive(Debug, Default)]
pub struct Decoder(ReceiveBuffer);

impl Decoder {
    /// Takes bytes and adds the messages that are complete now to `messages`.
    ///
    /// # Errors
    /// The stream is of no use any more; what was read before the error is in `messages`.
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
        "FINISH" => {
            let cause = line
                .rc
                .as_ref()
                .and_then(Value::as_u64)
                .and_then(|rc| u16::try_from(rc).ok())
                .ok_or_else(|| no_message("a release without a cause"))?;
            Ok(Message::Finish { tag, cause })
        }
        "ECHO" => Ok(Message::Echo(tag)),
        "PENDING" | "FINISHED" | "NOTICE" | "ECHOED" => Ok(Message::Idle),
        _ => Err(no_message("an unknown type")),
    }
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
