//! The messages of the session API, with the JSON schemas of their payloads.
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

/// The side that sends a message.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageSender {
    /// A player, which sends calls.
    Player,
    /// The front, which sends answers and notifications.
    Front,
}

/// A message and the schema of its complete payload.
pub(super) struct Message {
    pub(super) name: &'static str,
    pub(super) summary: &'static str,
    pub(super) sender: MessageSender,
    pub(super) payload: Value,
}

/// The schema of an object that has no other properties than these.
fn object(required: &[&str], properties: Value) -> Value {
    json!({"type": "object", "required": required, "properties": properties, "additionalProperties": false})
}

/// The schema of the member `jsonrpc`.
fn jsonrpc_version() -> Value {
    json!({"const": "2.0"})
}

/// The schema of the member `id`.
fn id() -> Value {
    json!({"type": ["string", "number", "null"]})
}

fn call(name: &'static str, summary: &'static str, method: &str, params: Value) -> Message {
    let properties = json!({"jsonrpc": jsonrpc_version(), "id": id(), "method": {"const": method}, "params": params});
    // Other members are allowed, because the codec ignores them, as most JSON-RPC libraries do.
    let required = ["jsonrpc", "id", "method", "params"];
    let payload = json!({"type": "object", "required": required, "properties": properties});
    Message {
        name,
        summary,
        sender: MessageSender::Player,
        payload,
    }
}

fn result(name: &'static str, summary: &'static str, result: Value) -> Message {
    let payload = object(
        &["jsonrpc", "id", "result"],
        json!({"jsonrpc": jsonrpc_version(), "id": id(), "result": result}),
    );
    Message {
        name,
        summary,
        sender: MessageSender::Front,
        payload,
    }
}

/// Whether an error has the member `data`, and its schema.
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
        json!({"jsonrpc": jsonrpc_version(), "id": id(), "error": error}),
    );
    Message {
        name,
        summary,
        sender: MessageSender::Front,
        payload,
    }
}

fn notification(name: &'static str, summary: &'static str, method: &str, params: Value) -> Message {
    let payload = object(
        &["jsonrpc", "method", "params"],
        json!({"jsonrpc": jsonrpc_version(), "method": {"const": method}, "params": params}),
    );
    Message {
        name,
        summary,
        sender: MessageSender::Front,
        payload,
    }
}

/// All messages of the session API, in the order in which the document lists them.
pub(super) fn messages(schemas: &mut SchemaGenerator) -> Vec<Message> {
    let mut messages = calls(schemas);
    messages.extend(results(schemas));
    messages.extend(session_errors(schemas));
    messages.extend(protocol_errors(schemas));
    messages.extend(notifications(schemas));
    messages
}

/// The calls of players.
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

/// The answers to calls that succeed.
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

/// The answers to calls that are rejected or fail.
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

/// The answers to invalid calls.
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

/// The messages that the front sends without a call.
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
