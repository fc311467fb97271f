//! The messages of the session API, with their payloads as JSON schemas.
use super::schema;
use crankpaddle_session_api::answers::{FAILED, REFUSED, SUPERSEDED, UNKNOWN_SESSION};
use crankpaddle_session_api::jsonrpc::{
    INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, PARSE_ERROR,
};
use crankpaddle_session_api::messages::{
    Closed, Ended, Failed, Moved, Opened, Refused, RungChanged, UnknownName,
};
use crankpaddle_session_api::methods::{Close, Open, Resume};
use schemars::SchemaGenerator;
use serde_json::{json, Value};

/// Which side sends a message.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A call of a player.
    Call,
    /// An answer or a notification of the front.
    Notification,
}

/// A message and its complete payload.
pub(super) struct Message {
    pub(super) name: &'static str,
    pub(super) summary: &'static str,
    pub(super) kind: MessageKind,
    pub(super) payload: Value,
}

fn object(required: &[&str], properties: Value) -> Value {
    json!({"type": "object", "required": required, "properties": properties, "additionalProperties": false})
}

fn version() -> Value {
    json!({"const": "2.0"})
}

/// An id of JSON-RPC.
fn id() -> Value {
    json!({"type": ["string", "number", "null"]})
}

fn call(name: &'static str, summary: &'static str, method: &str, params: Value) -> Message {
    let properties =
        json!({"jsonrpc": version(), "id": id(), "method": {"const": method}, "params": params});
    // Other members than those of JSON-RPC are ignored, as most of its libraries do.
    let required = ["jsonrpc", "id", "method", "params"];
    let payload = json!({"type": "object", "required": required, "properties": properties});
    Message {
        name,
        summary,
        kind: MessageKind::Call,
        payload,
    }
}

fn result(name: &'static str, summary: &'static str, result: Value) -> Message {
    let payload = object(
        &["jsonrpc", "id", "result"],
        json!({"jsonrpc": version(), "id": id(), "result": result}),
    );
    Message {
        name,
        summary,
        kind: MessageKind::Notification,
        payload,
    }
}

/// The member `data` of an error, by its schema.
enum ErrorData {
    None,
    Optional(Value),
    Required(Value),
}

fn error(name: &'static str, summary: &'static str, code: i64, data: ErrorData) -> Message {
    let mut properties = json!({"code": {"const": code}, "message": {"type": "string"}});
    let mut required = vec!["code", "message"];
    match data {
        ErrorData::None => {}
        ErrorData::Optional(schema) => properties["data"] = schema,
        ErrorData::Required(schema) => {
            properties["data"] = schema;
            required.push("data");
        }
    }
    let error = object(&required, properties);
    let payload = object(
        &["jsonrpc", "id", "error"],
        json!({"jsonrpc": version(), "id": id(), "error": error}),
    );
    Message {
        name,
        summary,
        kind: MessageKind::Notification,
        payload,
    }
}

fn notification(name: &'static str, summary: &'static str, method: &str, params: Value) -> Message {
    let payload = object(
        &["jsonrpc", "method", "params"],
        json!({"jsonrpc": version(), "method": {"const": method}, "params": params}),
    );
    Message {
        name,
        summary,
        kind: MessageKind::Notification,
        payload,
    }
}

/// All messages of the session API, in the order in which the document lists them.
pub(super) fn messages(schemas: &mut SchemaGenerator) -> Vec<Message> {
    let mut all = calls(schemas);
    all.extend(results(schemas));
    all.extend(session_errors(schemas));
    all.extend(protocol_errors(schemas));
    all.extend(notifications(schemas));
    all
}

/// Calls of players.
fn calls(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        call(
            "open",
            "Asks for a session, once for each key.",
            "session.open",
            schema::<Open>(schemas),
        ),
        call(
            "resume",
            "Takes a session, or the wait for it, up again.",
            "session.resume",
            schema::<Resume>(schemas),
        ),
        call(
            "close",
            "Ends a session of this connection.",
            "session.close",
            schema::<Close>(schemas),
        ),
    ]
}

/// Answers to a call that succeeded.
fn results(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        result("opened", "The session plays.", schema::<Opened>(schemas)),
        result(
            "closed",
            "The session is closed as asked.",
            schema::<Closed>(schemas),
        ),
    ]
}

/// Answers to a call that was rejected or failed.
fn session_errors(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        error(
            "refused",
            "Refused: nothing of it ran.",
            REFUSED,
            ErrorData::Required(schema::<Refused>(schemas)),
        ),
        error(
            "failed",
            "Failed: an attempt may have run.",
            FAILED,
            ErrorData::Required(schema::<Failed>(schemas)),
        ),
        error(
            "superseded",
            "Another connection took the session up.",
            SUPERSEDED,
            ErrorData::None,
        ),
        error(
            "unknownSession",
            "No such session, or not this connection's.",
            UNKNOWN_SESSION,
            ErrorData::None,
        ),
    ]
}

/// Answers to an invalid call.
fn protocol_errors(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        error(
            "parseError",
            "The text is no JSON.",
            PARSE_ERROR,
            ErrorData::None,
        ),
        error(
            "invalidRequest",
            "The JSON is no request.",
            INVALID_REQUEST,
            ErrorData::None,
        ),
        error(
            "methodNotFound",
            "There is no such method.",
            METHOD_NOT_FOUND,
            ErrorData::None,
        ),
        error(
            "invalidParams",
            "The method does not take these parameters; data where a name in them is not known.",
            INVALID_PARAMS,
            ErrorData::Optional(schema::<UnknownName>(schemas)),
        ),
    ]
}

/// Messages that the front sends without a call.
fn notifications(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        notification(
            "rung",
            "The rung changes.",
            "session.rung",
            schema::<RungChanged>(schemas),
        ),
        notification(
            "end",
            "The session is over.",
            "session.end",
            schema::<Ended>(schemas),
        ),
        notification(
            "move",
            "The session moves.",
            "session.move",
            schema::<Moved>(schemas),
        ),
    ]
}
