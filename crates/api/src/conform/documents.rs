//! Reads the described messages and responses from the published documents, and compiles their schemas.
use super::{Described, ANY_PATH};
use crate::errors::ApiError;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// Compiles the schema of a message or a body, which may refer to the document's components.
fn compile(document: &Value, name: String, schema: &Value) -> Result<Described, ApiError> {
    let with_components = json!({"allOf": [schema], "components": document["components"]});
    match jsonschema::draft202012::new(&with_components) {
        Ok(validator) => Ok(Described {
            name,
            schema: schema.clone(),
            validator,
        }),
        Err(error) => Err(ApiError::Schema {
            name,
            source: Box::new(error.to_owned()),
        }),
    }
}

/// The value that a reference points to.
fn resolve<'v>(document: &'v Value, reference: &str) -> Option<&'v Value> {
    document.pointer(reference.strip_prefix('#')?)
}

/// The value that the reference in `value` points to.
fn resolve_in<'v>(document: &'v Value, value: &Value) -> Option<&'v Value> {
    resolve(document, value["$ref"].as_str()?)
}

/// Reads the messages of an operation from an AsyncAPI document.
pub(super) fn messages_of(document: &Value, operation: &str) -> Result<Vec<Described>, ApiError> {
    let listed = document["operations"][operation]["messages"].as_array();
    let Some(listed) = listed else {
        return Err(ApiError::MissingOperation {
            operation: operation.to_owned(),
        });
    };
    let mut messages = Vec::with_capacity(listed.len());
    for entry in listed {
        let message =
            resolve_in(document, entry).and_then(|in_channel| resolve_in(document, in_channel));
        let name = message.and_then(|message| message["name"].as_str());
        let (Some(message), Some(name)) = (message, name) else {
            return Err(ApiError::DanglingReference {
                operation: operation.to_owned(),
                message: entry.to_string(),
            });
        };
        messages.push(compile(document, name.to_owned(), &message["payload"])?);
    }
    Ok(messages)
}

/// The path and the status of a described response.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StatusKey {
    pub(super) path: String,
    pub(super) status: String,
}

impl StatusKey {
    /// The name of the item for this response.
    pub(super) fn item(&self) -> String {
        format!("GET {} {}", self.path, self.status)
    }
}

/// The response and the media type of a described body.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BodyKey {
    pub(super) status: StatusKey,
    pub(super) media: String,
}

/// The responses that an OpenAPI document describes.
#[derive(Default)]
pub(super) struct Responses {
    pub(super) bodies: BTreeMap<BodyKey, Described>,
    /// The responses without a body.
    pub(super) statuses: BTreeSet<StatusKey>,
}

impl Responses {
    /// Reads the responses of each path, and under [`ANY_PATH`] those that any path may give.
    pub(super) fn read(document: &Value) -> Result<Responses, ApiError> {
        let paths = document["paths"].as_object();
        let paths = paths.ok_or(ApiError::MissingPaths)?;
        let mut responses = Responses::default();
        for (path, methods) in paths {
            responses.read_path(document, path, &methods["get"]["responses"])?;
        }
        responses.read_path(document, ANY_PATH, &document["components"]["responses"])?;
        Ok(responses)
    }

    fn read_path(&mut self, document: &Value, path: &str, listed: &Value) -> Result<(), ApiError> {
        for (status, response) in listed.as_object().into_iter().flatten() {
            let key = || StatusKey {
                path: path.to_owned(),
                status: status.clone(),
            };
            let content = response["content"].as_object();
            let Some(content) = content.filter(|content| !content.is_empty()) else {
                self.statuses.insert(key());
                continue;
            };
            for (media, media_type) in content {
                let described = compile(document, key().item(), &media_type["schema"])?;
                let key = BodyKey {
                    status: key(),
                    media: media.clone(),
                };
                self.bodies.insert(key, described);
            }
        }
        Ok(())
    }
}

/// Collects the names of the items that a schema describes: each property, and each value of an enum. With an instance, only
/// the items that it contains.
pub(super) fn collect_items(
    document: &Value,
    schema: &Value,
    instance: Option<&Value>,
    path: &str,
    items: &mut Vec<String>,
) {
    if let Some(referenced) = resolve_in(document, schema) {
        collect_items(document, referenced, instance, path, items);
    }
    for keyword in ["allOf", "anyOf", "oneOf"] {
        for alternative in elements(&schema[keyword]) {
            collect_items(document, alternative, instance, path, items);
        }
    }
    // The values of an enum are listed directly, or as the constants of alternatives if each has its own description.
    let constants = elements(&schema["oneOf"]).filter_map(|alternative| alternative.get("const"));
    for value in elements(&schema["enum"]).chain(constants) {
        if instance.is_none_or(|instance| instance == value) {
            items.push(format!("{path} = {value}"));
        }
    }
    collect_properties(document, &schema["properties"], instance, path, items);
    if schema["items"].is_object() {
        let path = format!("{path}[]");
        let Some(list) = instance else {
            return collect_items(document, &schema["items"], None, &path, items);
        };
        for element in elements(list) {
            collect_items(document, &schema["items"], Some(element), &path, items);
        }
    }
}

fn collect_properties(
    document: &Value,
    properties: &Value,
    instance: Option<&Value>,
    path: &str,
    items: &mut Vec<String>,
) {
    for (name, schema) in properties.as_object().into_iter().flatten() {
        let value = instance.and_then(|instance| instance.get(name));
        if instance.is_some() && value.is_none() {
            continue;
        }
        let path = format!("{path}.{name}");
        items.push(path.clone());
        collect_items(document, schema, value, &path, items);
    }
}

/// The elements of an array; none of any other value.
fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}
