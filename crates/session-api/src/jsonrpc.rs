//! JSON-RPC 2.0: <https://www.jsonrpc.org/specification>.
use serde::Serialize;
use serde_json::{json, Map, Value};

/// The text is no JSON.
pub const PARSE_ERROR: i64 = -32700;
/// The JSON is no request.
pub const INVALID_REQUEST: i64 = -32600;
/// There is no such method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// The method does not take these parameters.
pub const INVALID_PARAMS: i64 = -32602;
/// The front failed in itself.
pub const INTERNAL_ERROR: i64 = -32603;

/// What a call is answered under: a string, a number or null, as it came.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Id(pub Value);

impl Id {
    /// The id of an answer to what could not be read.
    pub fn null() -> Id {
        Id(Value::Null)
    }
}

/// An error object.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// Its code.
    pub code: i64,
    /// In words.
    pub message: String,
    /// More, by code.
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
    /// What to answer under.
    pub id: Option<Id>,
    /// The method.
    pub method: String,
    /// Its parameters; null where there are none.
    pub params: Value,
}

/// One member of a text: a call, or what is wrong with it and the id to say it under.
pub type Member = Result<Call, (Id, Error)>;

/// A text that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A single call.
    One(Member),
    /// A batch of one member at least; its answers go back together.
    Batch(Vec<Member>),
}

/// Reads a text.
pub fn read(text: &str) -> Message {
    let invalid = |what: &str| (Id::null(), Error::new(INVALID_REQUEST, what));
    match serde_json::from_str(text) {
        Err(e) => Message::One(Err((
            Id::null(),
            Error::new(PARSE_ERROR, format!("not JSON: {e}")),
        ))),
        Ok(Value::Array(members)) if members.is_empty() => {
            Message::One(Err(invalid("an empty batch")))
        }
        Ok(Value::Array(members)) => Message::Batch(members.into_iter().map(member).collect()),
        Ok(value) => Message::One(member(value)),
    }
}

fn member(value: Value) -> Member {
    let Value::Object(mut fields) = value else {
        return Err((
            Id::null(),
            Error::new(INVALID_REQUEST, "a request is an object"),
        ));
    };
    let id = match fields.remove("id") {
        None => None,
        Some(id @ (Value::String(_) | Value::Number(_) | Value::Null)) => Some(Id(id)),
        Some(_) => {
            let what = "an id is a string, a number or null";
            return Err((Id::null(), Error::new(INVALID_REQUEST, what)));
        }
    };
    let said = id.clone().unwrap_or_else(Id::null);
    let invalid = |what: &str| Err((said.clone(), Error::new(INVALID_REQUEST, what)));
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
pub fn result(id: &Id, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// An answer with an error.
pub fn error(id: &Id, error: &Error) -> Value {
    let mut object = Map::new();
    object.insert("code".into(), error.code.into());
    object.insert("message".into(), error.message.clone().into());
    object.extend(error.data.clone().map(|data| ("data".to_owned(), data)));
    json!({"jsonrpc": "2.0", "id": id, "error": object})
}

/// A notification.
pub fn notification(method: &str, params: Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}

#[cfg(test)]
mod tests;
