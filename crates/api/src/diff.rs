//! Compares two versions of a description, and classifies each change by its effect on clients and servers of the old version.
//!
//! A schema describes the set of values that it allows. A change makes this set wider, narrower, or both. A receiver
//! understands a sender if the receiver's version allows every value that the sender's version allows. For messages of clients
//! this means that old clients work with new servers if no set became narrower, and new clients work with old servers if no set
//! became wider. For messages of servers it is the other way round. A change that the comparison does not understand counts as
//! wider and narrower.
mod schemas;

use crate::errors::ApiError;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// The side that sends the values whose schema changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The client sends calls and HTTP requests.
    Client,
    /// The server sends answers, notifications and HTTP responses.
    Server,
}

/// The effect of a change on old clients and old servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Compatibility {
    /// No effect: old clients and old servers keep working.
    Compatible,
    /// Old clients keep working with new servers; new clients can't rely on old servers.
    ForOldClients,
    /// New clients work with old servers; old clients can't rely on new servers.
    ForOldServers,
    /// Neither old clients nor old servers can be relied on.
    Breaking,
}

impl fmt::Display for Compatibility {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Compatibility::Compatible => "compatible",
            Compatibility::ForOldClients => "compatible for old clients",
            Compatibility::ForOldServers => "compatible for old servers",
            Compatibility::Breaking => "breaking",
        })
    }
}

/// A change between two versions of a description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Where the change is, such as `refused.error.data.reason`.
    pub location: String,
    /// What changed there.
    pub description: String,
    /// The effect of the change.
    pub compatibility: Compatibility,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {}: {}",
            self.compatibility, self.location, self.description
        )
    }
}

/// Keywords of a schema that do not restrict the allowed values.
const ANNOTATION_KEYWORDS: [&str; 8] = [
    "title",
    "description",
    "summary",
    "name",
    "contentType",
    "x-since",
    "format",
    "default",
];

/// Keywords of a schema that are compared by their meaning.
const COMPARED_KEYWORDS: [&str; 10] = [
    "type",
    "properties",
    "required",
    "additionalProperties",
    "items",
    "minimum",
    "maximum",
    "minLength",
    "maxLength",
    "$ref",
];

struct Comparison<'a> {
    old: &'a Value,
    new: &'a Value,
    changes: Vec<Change>,
}

/// How the set of allowed values changed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SetChange {
    Wider,
    Narrower,
    /// Wider and narrower, or changed in a way that is not understood.
    Incomparable,
}

fn compatibility_of(sender: Sender, set_change: SetChange) -> Compatibility {
    match (sender, set_change) {
        (_, SetChange::Incomparable) => Compatibility::Breaking,
        (Sender::Client, SetChange::Wider) | (Sender::Server, SetChange::Narrower) => {
            Compatibility::ForOldClients
        }
        (Sender::Client, SetChange::Narrower) | (Sender::Server, SetChange::Wider) => {
            Compatibility::ForOldServers
        }
    }
}

/// Returns all changes from one description to another. Both must be AsyncAPI, or both OpenAPI.
///
/// # Errors
/// The two documents are of different kinds, or of an unknown one.
pub fn diff(old: &Value, new: &Value) -> Result<Vec<Change>, ApiError> {
    let mut comparison = Comparison {
        old,
        new,
        changes: Vec::new(),
    };
    if old["asyncapi"].is_string() && new["asyncapi"].is_string() {
        for (operation, sender) in [("call", Sender::Client), ("tell", Sender::Server)] {
            comparison.messages(operation, sender);
        }
    } else if old["openapi"].is_string() && new["openapi"].is_string() {
        comparison.paths();
    } else {
        return Err(ApiError::DifferentKinds);
    }
    Ok(comparison.changes)
}

/// Maximum number of references that are followed in a row, so that a cycle ends.
const MAX_REFERENCE_DEPTH: usize = 16;

/// Follows references through a document.
fn resolved<'v>(document: &'v Value, mut value: &'v Value) -> &'v Value {
    for _ in 0..MAX_REFERENCE_DEPTH {
        let target = value["$ref"]
            .as_str()
            .and_then(|reference| document.pointer(reference.strip_prefix('#')?));
        match target {
            Some(target) => value = target,
            None => break,
        }
    }
    value
}

/// The property names of an object; none of any other value.
fn keys(value: &Value) -> BTreeSet<String> {
    value
        .as_object()
        .into_iter()
        .flat_map(|object| object.keys().cloned())
        .collect()
}

/// The values that an enum allows, listed directly or as the constants of alternatives. `None` if the schema is not an enum.
fn enum_values(schema: &Value) -> Option<Vec<Value>> {
    if let Some(list) = schema["enum"].as_array() {
        return Some(list.clone());
    }
    let mut values = Vec::new();
    for alternative in schema["oneOf"].as_array()? {
        match (alternative.get("const"), alternative["enum"].as_array()) {
            (Some(value), _) => values.push(value.clone()),
            (None, Some(list)) => values.extend(list.iter().cloned()),
            (None, None) => return None,
        }
    }
    Some(values)
}

/// The elements of an array. `null` has none, and any other value is its own only element.
fn as_list(value: &Value) -> Vec<Value> {
    match value {
        Value::Array(elements) => elements.clone(),
        Value::Null => Vec::new(),
        single => vec![single.clone()],
    }
}

/// The names and payloads of the messages of an operation.
fn messages_by_name(document: &Value, operation: &str) -> Vec<(String, Value)> {
    let listed = document["operations"][operation]["messages"].as_array();
    listed
        .into_iter()
        .flatten()
        .map(|entry| resolved(document, entry))
        .map(|message| {
            let name = message["name"].as_str().unwrap_or("");
            (name.to_owned(), message["payload"].clone())
        })
        .collect()
}

impl Comparison<'_> {
    fn add(
        &mut self,
        sender: Sender,
        location: &str,
        set_change: SetChange,
        description: impl Into<String>,
    ) {
        self.changes.push(Change {
            location: location.to_owned(),
            description: description.into(),
            compatibility: compatibility_of(sender, set_change),
        });
    }

    fn messages(&mut self, operation: &str, sender: Sender) {
        let before = messages_by_name(self.old, operation);
        let after = messages_by_name(self.new, operation);
        for (name, payload) in &before {
            match after.iter().find(|(other, _)| other == name) {
                Some((_, new_payload)) => self.schema(sender, name, payload, new_payload),
                None => self.add(sender, name, SetChange::Narrower, "the message was removed"),
            }
        }
        for (name, _) in &after {
            if !before.iter().any(|(other, _)| other == name) {
                self.add(sender, name, SetChange::Wider, "the message was added");
            }
        }
    }

    fn paths(&mut self) {
        let (old, new) = (self.old, self.new);
        let (before, after) = (&old["paths"], &new["paths"]);
        for path in keys(before).union(&keys(after)) {
            match (before.get(path), after.get(path)) {
                (Some(_), None) => {
                    self.add(
                        Sender::Client,
                        path,
                        SetChange::Narrower,
                        "the path was removed",
                    );
                }
                (None, Some(_)) => {
                    self.add(Sender::Client, path, SetChange::Wider, "the path was added");
                }
                (Some(was), Some(is)) => {
                    self.responses(
                        &format!("GET {path}"),
                        &was["get"]["responses"],
                        &is["get"]["responses"],
                    );
                }
                (None, None) => {}
            }
        }
        let (was, is) = (
            &old["components"]["responses"],
            &new["components"]["responses"],
        );
        self.responses("any request", was, is);
    }

    fn responses(&mut self, request: &str, before: &Value, after: &Value) {
        for status in keys(before).union(&keys(after)) {
            let location = format!("{request} {status}");
            match (before.get(status), after.get(status)) {
                (Some(_), None) => {
                    self.add(
                        Sender::Server,
                        &location,
                        SetChange::Narrower,
                        "the status was removed",
                    );
                }
                (None, Some(_)) => self.add(
                    Sender::Server,
                    &location,
                    SetChange::Wider,
                    "the status was added",
                ),
                (Some(was), Some(is)) => {
                    self.media_types(&location, &was["content"], &is["content"]);
                }
                (None, None) => {}
            }
        }
    }

    fn media_types(&mut self, location: &str, before: &Value, after: &Value) {
        for media in keys(before).union(&keys(after)) {
            match (before.get(media), after.get(media)) {
                (Some(was), Some(is)) => {
                    self.schema(Sender::Server, location, &was["schema"], &is["schema"]);
                }
                (Some(_), None) => {
                    let description = format!("the media type {media} was removed");
                    self.add(Sender::Server, location, SetChange::Narrower, description);
                }
                (None, _) => {
                    let description = format!("the media type {media} was added");
                    self.add(Sender::Server, location, SetChange::Wider, description);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
