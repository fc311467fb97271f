//! What a change of a description means for clients and servers of the old one.
//!
//! Every change is one of sets: it allows instances that were not allowed (wider), forbids some that were (narrower), or
//! both. A sender made by one description is understood by a receiver made by another where all that it may send is allowed
//! there. So for what clients send, old clients are served if nothing got narrower, and old servers understand new clients
//! if nothing got wider; for what servers send it is the other way round. What is not understood counts as both.
mod schemas;

use crate::errors::ApiError;
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// Who sends what changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// Calls, paths that are asked for.
    Client,
    /// Answers, notifications, statuses.
    Server,
}

/// What a change does to old parties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Nothing: old clients and old servers go on.
    Compatible,
    /// Old clients go on with new servers; new clients can't rely on old servers.
    ForOldClients,
    /// New clients go on with old servers; old clients can't rely on new servers.
    ForOldServers,
    /// Neither.
    Breaking,
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Class::Compatible => "compatible",
            Class::ForOldClients => "compatible for old clients",
            Class::ForOldServers => "compatible for old servers",
            Class::Breaking => "breaking",
        })
    }
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Where.
    pub at: String,
    /// What, and so why it is classed as it is.
    pub what: String,
    /// What it does.
    pub class: Class,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.class, self.at, self.what)
    }
}

/// Words of a schema that say nothing of what is allowed.
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

/// Words of a schema that are compared by their meaning.
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

/// How a set changed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Set {
    Wider,
    Narrower,
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
/// They are not of one kind, or of none that is known.
pub fn diff(old: &Value, new: &Value) -> Result<Vec<Change>, ApiError> {
    let mut c = Comparison {
        old,
        new,
        changes: Vec::new(),
    };
    if old["asyncapi"].is_string() && new["asyncapi"].is_string() {
        for (operation, sender) in [("call", Sender::Client), ("tell", Sender::Server)] {
            c.messages(operation, sender);
        }
    } else if old["openapi"].is_string() && new["openapi"].is_string() {
        c.paths();
    } else {
        return Err(ApiError::DifferentKinds);
    }
    Ok(c.changes)
}

/// Follows references through a document.
fn resolved<'v>(document: &'v Value, mut value: &'v Value) -> &'v Value {
    for _ in 0..16 {
        let target = value["$ref"]
            .as_str()
            .and_then(|r| document.pointer(r.strip_prefix('#')?));
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
        .flat_map(|o| o.keys().cloned())
        .collect()
}

/// The values that an enum allows, as such or as constants of alternatives; `None` for what is no enum.
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

fn list(value: &Value) -> Vec<Value> {
    match value {
        Value::Array(all) => all.clone(),
        Value::Null => Vec::new(),
        one => vec![one.clone()],
    }
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
        let named = |document: &Value| -> Vec<(String, Value)> {
            let listed = document["operations"][operation]["messages"].as_array();
            let each = listed.into_iter().flatten().map(|m| resolved(document, m));
            each.map(|m| {
                (
                    m["name"].as_str().unwrap_or("").to_owned(),
                    m["payload"].clone(),
                )
            })
            .collect()
        };
        let (before, after) = (named(self.old), named(self.new));
        for (name, payload) in &before {
            match after.iter().find(|(other, _)| other == name) {
                Some((_, now)) => self.schema(sender, name, payload, now),
                None => self.found(sender, name, Set::Narrower, "the message is gone"),
            }
        }
        for (name, _) in after
            .iter()
            .filter(|(name, _)| !before.iter().any(|(other, _)| other == name))
        {
            self.found(sender, name, Set::Wider, "a new message");
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
