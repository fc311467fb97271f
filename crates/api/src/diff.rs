//! Compares two versions of a description, and classifies each change by its effect on clients and servers of the old version.
//!
//! A schema stands for the set of values that it allows. A change makes this set wider, narrower, or both. A receiver understands a
//! sender if its version allows every value that the sender's version allows. So for messages of clients, old clients keep working if
//! no set became narrower, and old servers understand new clients if no set became wider; for messages of servers it is the other way
//! round. A change that the comparison does not understand counts as both.
mod schemas;

use crate::errors::ApiError;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// The sender of what changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// Of calls, and of requests for paths.
    Client,
    /// Of answers, notifications and statuses.
    Server,
}

/// The effect of a change on old clients and old servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// None: old clients and old servers keep working.
    Compatible,
    /// Old clients keep working with new servers; new clients can't rely on old servers.
    ForOldClients,
    /// New clients work with old servers; old clients can't rely on new servers.
    ForOldServers,
    /// Neither old clients nor old servers can be relied on.
    Breaking,
}

impl fmt::Display for Class {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Class::Compatible => "compatible",
            Class::ForOldClients => "compatible for old clients",
            Class::ForOldServers => "compatible for old servers",
            Class::Breaking => "breaking",
        })
    }
}

/// A change between two versions of a description.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The place in the description.
    pub at: String,
    /// What changed there.
    pub what: String,
    /// Its effect.
    pub class: Class,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.class, self.at, self.what)
    }
}

/// Keywords of a schema that do not restrict the allowed values.
const PROSE: [&str; 8] = [
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
const COMPARED: [&str; 10] = [
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
enum Set {
    Wider,
    Narrower,
    /// Wider and narrower, or not understood.
    Other,
}

fn class(sender: Sender, set: Set) -> Class {
    match (sender, set) {
        (_, Set::Other) => Class::Breaking,
        (Sender::Client, Set::Wider) | (Sender::Server, Set::Narrower) => Class::ForOldClients,
        (Sender::Client, Set::Narrower) | (Sender::Server, Set::Wider) => Class::ForOldServers,
    }
}

/// All changes from one description to another, both AsyncAPI or both OpenAPI.
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

/// References of references are followed this often, so that a cycle ends.
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

fn keys(value: &Value) -> BTreeSet<String> {
    value
        .as_object()
        .into_iter()
        .flat_map(|object| object.keys().cloned())
        .collect()
}

/// The values that an enum allows, as such or as constants of alternatives; `None` if the schema is not an enum.
fn values(schema: &Value) -> Option<Vec<Value>> {
    if let Some(list) = schema["enum"].as_array() {
        return Some(list.clone());
    }
    let mut all = Vec::new();
    for alternative in schema["oneOf"].as_array()? {
        match (alternative.get("const"), alternative["enum"].as_array()) {
            (Some(value), _) => all.push(value.clone()),
            (None, Some(list)) => all.extend(list.iter().cloned()),
            (None, None) => return None,
        }
    }
    Some(all)
}

/// The elements of an array, any other value as the only element, and none for null.
fn list(value: &Value) -> Vec<Value> {
    match value {
        Value::Array(all) => all.clone(),
        Value::Null => Vec::new(),
        one => vec![one.clone()],
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
    fn found(&mut self, sender: Sender, at: &str, set: Set, what: impl Into<String>) {
        self.changes.push(Change {
            at: at.to_owned(),
            what: what.into(),
            class: class(sender, set),
        });
    }

    fn messages(&mut self, operation: &str, sender: Sender) {
        let before = messages_by_name(self.old, operation);
        let after = messages_by_name(self.new, operation);
        for (name, payload) in &before {
            match after.iter().find(|(other, _)| other == name) {
                Some((_, new_payload)) => self.schema(sender, name, payload, new_payload),
                None => self.found(sender, name, Set::Narrower, "the message is gone"),
            }
        }
        for (name, _) in &after {
            if !before.iter().any(|(other, _)| other == name) {
                self.found(sender, name, Set::Wider, "a new message");
            }
        }
    }

    fn paths(&mut self) {
        let (old, new) = (self.old, self.new);
        let (before, after) = (&old["paths"], &new["paths"]);
        for path in keys(before).union(&keys(after)) {
            match (before.get(path), after.get(path)) {
                (Some(_), None) => {
                    self.found(Sender::Client, path, Set::Narrower, "the path is gone");
                }
                (None, Some(_)) => self.found(Sender::Client, path, Set::Wider, "a new path"),
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

    fn responses(&mut self, at: &str, before: &Value, after: &Value) {
        for status in keys(before).union(&keys(after)) {
            let place = format!("{at} {status}");
            match (before.get(status), after.get(status)) {
                (Some(_), None) => {
                    self.found(Sender::Server, &place, Set::Narrower, "the status is gone");
                }
                (None, Some(_)) => self.found(Sender::Server, &place, Set::Wider, "a new status"),
                (Some(was), Some(is)) => {
                    self.media_types(&place, &was["content"], &is["content"]);
                }
                (None, None) => {}
            }
        }
    }

    fn media_types(&mut self, place: &str, before: &Value, after: &Value) {
        for media in keys(before).union(&keys(after)) {
            match (before.get(media), after.get(media)) {
                (Some(was), Some(is)) => {
                    self.schema(Sender::Server, place, &was["schema"], &is["schema"]);
                }
                (Some(_), None) => {
                    let what = format!("no {media} any more");
                    self.found(Sender::Server, place, Set::Narrower, what);
                }
                (None, _) => {
                    let what = format!("{media} too");
                    self.found(Sender::Server, place, Set::Wider, what);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
