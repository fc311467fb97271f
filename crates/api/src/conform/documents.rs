//! Reading the published documents: what they describe, with compiled schemas.
use super::Described;
use crate::errors::ApiError;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// A schema that finds the document's others.
pub(super) fn compiled(
    document: &Value,
    name: String,
    schema: &Value,
) -> Result<Described, ApiError> {
    let with_components = json!({"allOf": [schema], "components": document["components"]});
    match jsonschema::draft202012::new(&with_components) {
        Ok(validator) => Ok(Described {
            name,
            schema: schema.clone(),
            validator,
        }),
        Err(fault) => Err(ApiError::Schema {
            name,
            source: Box::new(fault.to_owned()),
        }),
    }
}

pub(super) fn at<'v>(document: &'v Value, reference: &str) -> Option<&'v Value> {
    document.pointer(reference.strip_prefix('#')?)
}

/// What the reference in `value` points at.
pub(super) fn referenced<'v>(document: &'v Value, value: &Value) -> Option<&'v Value> {
    at(document, value["$ref"].as_str()?)
}

/// The messages of an operation of an AsyncAPI document.
pub(super) fn messages_of(document: &Value, operation: &str) -> Result<Vec<Described>, ApiError> {
    let listed = document["operations"][operation]["messages"].as_array();
    let Some(listed) = listed else {
        return Err(ApiError::MissingOperation {
            operation: operation.to_owned(),
        });
    };
    let mut messages = Vec::with_capacity(listed.len());
    for entry in listed {
        let message = referenced(document, entry).and_then(|m| referenced(document, m));
        let name = message.and_then(|m| m["name"].as_str());
        let (Some(message), Some(name)) = (message, name) else {
            return Err(ApiError::DanglingReference {
                operation: operation.to_owned(),
                message: entry.to_string(),
            });
        };
        messages.push(compiled(document, name.to_owned(), &message["payload"])?);
    }
    Ok(messages)
}

/// Answers of an OpenAPI document: those with a body and those without.
#[derive(Default)]
pub(super) struct Responses {
    pub(super) bodies: BTreeMap<(String, String, String), Described>,
    pub(super) statuses: BTreeSet<(String, String)>,
}

impl Responses {
    /// Reads all answers: those of each path, and under `*` those that any path may give.
    pub(super) fn of(document: &Value) -> Result<Responses, ApiError> {
        let paths = document["paths"].as_object();
        let paths = paths.ok_or(ApiError::MissingPaths)?;
        let mut responses = Responses::default();
        for (path, methods) in paths {
            responses.read_path(document, path, &methods["get"]["responses"])?;
        }
        responses.read_path(document, "*", &document["components"]["responses"])?;
        Ok(responses)
    }

    fn read_path(&mut self, document: &Value, path: &str, listed: &Value) -> Result<(), ApiError> {
        for (status, response) in listed.as_object().into_iter().flatten() {
            let content = response["content"].as_object().filter(|c| !c.is_empty());
            let Some(content) = content else {
                self.statuses.insert((path.to_owned(), status.clone()));
                continue;
            };
            for (media, of) in content {
                let name = format!("GET {path} {status}");
                let described = compiled(document, name, &of["schema"])?;
                let key = (path.to_owned(), status.clone(), media.clone());
                self.bodies.insert(key, described);
            }
        }
        Ok(())
    }
}

/// Names what a schema describes: each property, and each value of an enum. With an instance, only what it holds.
pub(super) fn walk(
    document: &Value,
    schema: &Value,
    instance: Option<&Value>,
    path: &str,
    out: &mut Vec<String>,
) {
    if let Some(referenced) = schema["$ref"].as_str().and_then(|r| at(document, r)) {
        walk(document, referenced, instance, path, out);
    }
    for word in ["allOf", "anyOf", "oneOf"] {
        for inner in schema[word].as_array().into_iter().flatten() {
            walk(document, inner, instance, path, out);
        }
    }
    // An enum's values: as such, or as constants of alternatives, each with a description of its own.
    let constants = schema["oneOf"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|s| s.get("const"));
    for value in schema["enum"]
        .as_array()
        .into_iter()
        .flatten()
        .chain(constants)
    {
        if instance.is_none_or(|i| i == value) {
            out.push(format!("{path} = {value}"));
        }
    }
    for (name, inner) in schema["properties"].as_object().into_iter().flatten() {
        let inner_instance = instance.map(|i| i.get(name));
        if inner_instance != Some(None) {
            let path = format!("{path}.{name}");
            out.push(path.clone());
            walk(document, inner, inner_instance.flatten(), &path, out);
        }
    }
    if schema["items"].is_object() {
        let path = format!("{path}[]");
        match instance {
            None => walk(document, &schema["items"], None, &path, out),
            Some(list) => {
                let each = list.as_array().into_iter().flatten();
                each.for_each(|item| walk(document, &schema["items"], Some(item), &path, out));
            }
        }
    }
}
