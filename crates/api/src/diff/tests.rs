//! The classification of changes of schemas, messages, paths and statuses.
#![allow(clippy::too_many_lines)] // One table of cases.
use super::*;
use serde_json::json;

/// A document in which a message of one operation has this payload; `call` is sent by clients, `tell` by servers.
fn document(operation: &str, payload: Value) -> Value {
    let message = json!({"name": "m", "payload": payload});
    json!({"asyncapi": "3.0.0", "operations": {operation: {"messages": [{"$ref": "#/m"}]}}, "m": message})
}

fn object(required: &[&str], properties: Value) -> Value {
    json!({"type": "object", "required": required, "properties": properties, "additionalProperties": false})
}

fn compatibilities(operation: &str, old: &Value, new: &Value) -> Vec<Compatibility> {
    let changes = diff(
        &document(operation, old.clone()),
        &document(operation, new.clone()),
    )
    .unwrap();
    changes
        .into_iter()
        .map(|change| change.compatibility)
        .collect()
}

#[test]
fn each_change_of_a_schema_is_classified_by_its_sender() {
    use Compatibility::{Breaking, ForOldClients, ForOldServers};
    let (text, number) = (json!({"type": "string"}), json!({"type": "integer"}));
    let base = object(&["a"], json!({"a": text}));
    let with_optional = object(&["a"], json!({"a": text, "b": number}));
    let with_required = object(&["a", "b"], json!({"a": text, "b": number}));
    let values = |names: &[&str]| json!({"enum": names});
    let documented = |names: &[&str]| {
        let alternatives: Vec<Value> = names
            .iter()
            .map(|name| json!({"const": name, "description": format!("about {name}")}))
            .collect();
        json!({"oneOf": alternatives})
    };
    for (change, old, new, if_called, if_told) in [
        (
            "an optional property is added",
            &base,
            &with_optional,
            ForOldClients,
            ForOldServers,
        ),
        (
            "an optional property is removed",
            &with_optional,
            &base,
            ForOldServers,
            ForOldClients,
        ),
        (
            "a required property is added",
            &base,
            &with_required,
            Breaking,
            Breaking,
        ),
        (
            "a required property is removed",
            &with_required,
            &base,
            Breaking,
            Breaking,
        ),
        (
            "an optional property becomes required",
            &with_optional,
            &with_required,
            ForOldServers,
            ForOldClients,
        ),
        (
            "a required property becomes optional",
            &with_required,
            &with_optional,
            ForOldClients,
            ForOldServers,
        ),
        (
            "a value is added",
            &values(&["x"]),
            &values(&["x", "y"]),
            ForOldClients,
            ForOldServers,
        ),
        (
            "a value is removed",
            &values(&["x", "y"]),
            &values(&["x"]),
            ForOldServers,
            ForOldClients,
        ),
        (
            "a documented value is added",
            &documented(&["x"]),
            &documented(&["x", "y"]),
            ForOldClients,
            ForOldServers,
        ),
        ("the type changes", &text, &number, Breaking, Breaking),
        (
            "a type is added",
            &text,
            &json!({"type": ["string", "null"]}),
            ForOldClients,
            ForOldServers,
        ),
        (
            "the maximum length rises",
            &json!({"type": "string", "maxLength": 5}),
            &json!({"type": "string", "maxLength": 9}),
            ForOldClients,
            ForOldServers,
        ),
        (
            "the minimum rises",
            &json!({"type": "integer", "minimum": 0}),
            &json!({"type": "integer", "minimum": 1}),
            ForOldServers,
            ForOldClients,
        ),
        (
            "the constant changes",
            &json!({"const": 1}),
            &json!({"const": 2}),
            Breaking,
            Breaking,
        ),
        (
            "a keyword that the comparison does not know is added",
            &text,
            &json!({"type": "string", "pattern": "a"}),
            Breaking,
            Breaking,
        ),
    ] {
        assert_eq!(
            compatibilities("call", old, new),
            [if_called],
            "sent by clients: {change}"
        );
        assert_eq!(
            compatibilities("tell", old, new),
            [if_told],
            "sent by servers: {change}"
        );
        assert_eq!(compatibilities("call", old, old), [], "{change}: not yet");
    }
    // Annotations don't change the allowed values.
    let annotated = json!({"type": "string", "description": "new words", "title": "T"});
    assert_eq!(compatibilities("tell", &text, &annotated), []);
}

#[test]
fn added_and_removed_messages_paths_and_statuses_are_classified() {
    let none = document("nobody", json!({}));
    let call = document("call", json!({}));
    let compatibilities_of = |old: &Value, new: &Value| -> Vec<Compatibility> {
        diff(old, new)
            .unwrap()
            .into_iter()
            .map(|change| change.compatibility)
            .collect()
    };
    assert_eq!(
        compatibilities_of(&none, &call),
        [Compatibility::ForOldClients]
    );
    assert_eq!(
        compatibilities_of(&call, &none),
        [Compatibility::ForOldServers]
    );
    assert_eq!(
        compatibilities_of(&none, &document("tell", json!({}))),
        [Compatibility::ForOldServers]
    );
    let http = |paths: Value| json!({"openapi": "3.1.0", "paths": paths});
    let get = |statuses: Value| json!({"/a": {"get": {"responses": statuses}}});
    let one = http(get(json!({"200": {}})));
    assert_eq!(
        compatibilities_of(&http(json!({})), &one),
        [Compatibility::ForOldClients]
    );
    assert_eq!(
        compatibilities_of(&one, &http(json!({}))),
        [Compatibility::ForOldServers]
    );
    assert_eq!(
        compatibilities_of(&one, &http(get(json!({"200": {}, "503": {}})))),
        [Compatibility::ForOldServers]
    );
    assert!(diff(&one, &call).is_err());
}
