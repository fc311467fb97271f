//! The player's side: calls written, answers and notifications read.
use crate::answers::{FAILED, REFUSED, SUPERSEDED, UNKNOWN_SESSION};
use crate::methods::{Close, Open, Resume};
use serde::Serialize;
use serde_json::{json, Value};

/// Why a text is not a front's message.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// It is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// It is JSON, but no message that a front sends.
    #[error("not a front's message: {0}")]
    UnexpectedMessage(Value),
}

/// A front's message.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// Answer to a call: the session is established.
    Plays {
        /// The call's id.
        id: u64,
        /// The session's name.
        session: String,
        /// Where its media is fetched from.
        media: String,
        /// The rung in force.
        rung: u8,
    },
    /// Answer to a call: the session was closed.
    Closed {
        /// The call's id.
        id: u64,
    },
    /// Answer to a call: rejected, without effect.
    Refused {
        /// The call's id.
        id: u64,
        /// The reason as on the wire.
        reason: String,
        /// Retry-After in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Answer to a call: failed, perhaps with effect.
    Failed {
        /// The call's id.
        id: u64,
        /// The reason as on the wire.
        reason: String,
    },
    /// Answer to a call: another connection resumed the session.
    Superseded {
        /// The call's id.
        id: u64,
    },
    /// Answer to a call: no such session.
    Unknown {
        /// The call's id.
        id: u64,
    },
    /// Any other error.
    Error {
        /// The call's id, if the error names it.
        id: Option<u64>,
        /// The error code.
        code: i64,
        /// The error message.
        message: String,
    },
    /// Notification: the rung of a session changes.
    Rung {
        /// The session's name.
        session: String,
        /// The rung in force from now on.
        rung: u8,
    },
    /// Notification: the session has ended.
    End {
        /// The session's name.
        session: String,
        /// The reason as on the wire.
        reason: String,
        /// Retry-After in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Notification: the session migrates; open it again with the same key.
    Move {
        /// The session's name.
        session: String,
    },
}

fn call(id: u64, method: &str, params: impl Serialize) -> String {
    json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).to_string()
}

/// A call that opens a session.
#[must_use]
pub fn open(id: u64, params: &Open) -> String {
    call(id, "session.open", params)
}

/// A call that resumes a session.
#[must_use]
pub fn resume(id: u64, params: &Resume) -> String {
    call(id, "session.resume", params)
}

/// A call that closes a session.
#[must_use]
pub fn close(id: u64, session: &str) -> String {
    let session = session.to_owned();
    call(id, "session.close", Close { session })
}

/// Reads a text: one message, or all messages of a batch.
///
/// # Errors
/// The text is not JSON, or holds a message that no front sends.
pub fn read(text: &str) -> Result<Vec<ClientEvent>, ClientError> {
    match serde_json::from_str(text)? {
        Value::Array(members) => members.iter().map(read_message).collect(),
        message => Ok(vec![read_message(&message)?]),
    }
}

fn read_message(message: &Value) -> Result<ClientEvent, ClientError> {
    parse_message(message).ok_or_else(|| ClientError::UnexpectedMessage(message.clone()))
}

fn parse_message(message: &Value) -> Option<ClientEvent> {
    if message["jsonrpc"] != "2.0" {
        return None;
    }
    if let Some(method) = message["method"].as_str() {
        return parse_notification(method, &message["params"]);
    }
    let id = message["id"].as_u64();
    if let Some(error) = message.get("error") {
        return parse_error(id, error);
    }
    parse_result(id?, &message["result"])
}

fn parse_notification(method: &str, params: &Value) -> Option<ClientEvent> {
    let session = text(&params["session"])?;
    match method {
        "session.rung" => Some(ClientEvent::Rung {
            session,
            rung: rung(&params["rung"])?,
        }),
        "session.end" => Some(ClientEvent::End {
            session,
            reason: text(&params["reason"])?,
            retry_after_ms: params["retry_after_ms"].as_u64(),
        }),
        "session.move" => Some(ClientEvent::Move { session }),
        _ => None,
    }
}

fn parse_error(id: Option<u64>, error: &Value) -> Option<ClientEvent> {
    let code = error["code"].as_i64()?;
    let data = &error["data"];
    match (id, code) {
        (Some(id), REFUSED) => Some(ClientEvent::Refused {
            id,
            reason: text(&data["reason"])?,
            retry_after_ms: data["retry_after_ms"].as_u64(),
        }),
        (Some(id), FAILED) => Some(ClientEvent::Failed {
            id,
            reason: text(&data["reason"])?,
        }),
        (Some(id), SUPERSEDED) => Some(ClientEvent::Superseded { id }),
        (Some(id), UNKNOWN_SESSION) => Some(ClientEvent::Unknown { id }),
        _ => Some(ClientEvent::Error {
            id,
            code,
            message: text(&error["message"])?,
        }),
    }
}

fn parse_result(id: u64, result: &Value) -> Option<ClientEvent> {
    if result["closed"] == true {
        return Some(ClientEvent::Closed { id });
    }
    Some(ClientEvent::Plays {
        id,
        session: text(&result["session"])?,
        media: text(&result["media"])?,
        rung: rung(&result["rung"])?,
    })
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

fn rung(value: &Value) -> Option<u8> {
    u8::try_from(value.as_u64()?).ok()
}

#[cfg(test)]
mod tests;
