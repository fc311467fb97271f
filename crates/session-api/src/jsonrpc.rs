//! JSON-RPC 2.0 texts, read and written. The specification: <https://www.jsonrpc.org/specification>.
use serde::Serialize;
use serde_json::{json, Map, Value};

/// Error code: the text is not JSON.
pub const PARSE_ERROR: i64 = -32700;
/// Error code: the JSON is not a request.
pub const INVALID_REQUEST: i64 = -32600;
/// Error code: there is no such method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Error code: the method does not accept these parameters.
pub const INVALID_PARAMS: i64 = -32602;
/// Error code: an internal error of the front.
pub const INTERNAL_ERROR: i64 = -32603;

/// A call's id, repeated in its answer: a string, a number or null, as received.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Id(pub Value);

impl Id {
    /// The id in an answer to a text that could not be read.
    #[must_use]
    pub fn null() -> Id {
        Id(Value::Null)
    }
}

/// An error object.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// Its code.
    pub code: i64,
    /// A short description.
    pub message: String,
    /// Further data; its form depends on the code.
    pub data: Option<Value>,
}

impl Error {
    /// An error without data.
    pub fn new(code: i64, message: impl Into<String>) -> Error {
        Error {
            code,
            message: message.into(),
            data: None,
        }
    }
}

/// A call; without an id it is a notification and gets no answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The id for the answer.
    pub id: Option<Id>,
    /// The method.
    pub method: String,
    /// Its parameters; null where there are none.
    pub params: Value,
}

/// One member of a text: a call, or the error and the id to answer it with.
pub type Member = Result<Call, (Id, Error)>;

/// A text after parsing.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A single call.
    One(Member),
    /// A batch of at least one member; its answers go out together.
    Batch(Vec<Member>),
}

fn invalid_request(id: Id, what: &str) -> (Id, Error) {
    (id, Error::new(INVALID_REQUEST, what))
}

/// Parses a text.
#[must_use]
pub fn read(text: &str) -> Message {
    match serde_json::from_str(text) {
        Err(error) => {
            let error = Error::new(PARSE_ERROR, format!("not JSON: {error}"));
            Message::One(Err((Id::null(), error)))
        }
        Ok(Value::Array(members)) if members.is_empty() => {
            Message::One(Err(invalid_request(Id::null(), "an empty batch")))
        }
        Ok(Value::Array(members)) => Message::Batch(members.into_iter().map(read_member).collect()),
        Ok(value) => Message::One(read_member(value)),
    }
}

fn read_member(value: Value) -> Member {
    let Value::Object(mut fields) = value else {
        return Err(invalid_request(Id::null(), "a request is an object"));
    };
    let id = match fields.remove("id") {
        None => None,
        Some(id @ (Value::String(_) | Value::Number(_) | Value::Null)) => Some(Id(id)),
        Some(_) => {
            let what = "an id is a string, a number or null";
            return Err(invalid_request(Id::null(), what));
        }
    };
    let answer_id = id.clone().unwrap_or_else(Id::null);
    let invalid = |what: &str| Err(invalid_request(answer_id.clone(), what));
    if fields.get("jsonrpc") != Some(&Value::String("2.0".into())) {
        return invalid("jsonrpc is \"2.0\"");
    }
    let Some(Value::String(method)) = fields.remove("method") else {
        return invalid("method is a string");
    };
    let params = fields.remove("params").unwrap_or(Value::Null);
    if !matches!(params, Value::Object(_) | Value::Array(_) | Value::Null) {
        return invalid("params are an object or an array");
    }
    Ok(Call { id, method, params })
}

/// An answer with a result.
#[must_use]
pub fn result(id: &Id, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// An answer with an error.
#[must_use]
pub fn error(id: &Id, error: &Error) -> Value {
    let mut object = Map::new();
    object.insert("code".into(), error.code.into());
    object.insert("message".into(), error.message.clone().into());
    if let Some(data) = &error.data {
        object.insert("data".into(), data.clone());
    }
    json!({"jsonrpc": "2.0", "id": id, "error": object})
}

/// A notification.
#[must_use]
pub fn notification(method: &str, params: Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}

#[cfg(test)]
mod tests;
