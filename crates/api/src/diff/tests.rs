//! Changes of schemas, messages, paths and statuses, each classified by its sender.
#![allow(clippy::too_many_lines)] // One table of cases.
use super::*;
use serde_json::json;

/// A document in which a client's call or a server's telling has this payload.
fn document(operation: &str, payload: Value) -> Value {
    let message = json!({"name": "m", "payload": payload});
    json!({"asyncapi": "3.0.0", "operations": {operation: {"messages": [{"$ref": "#/m"}]}}, "m": message})
}

fn object(required: &[&str], properties: Value) -> Value {
    json!({"type": "object", "required": required, "properties": properties, "additionalProperties": false})
}

fn classes(operation: &str, old: &Value, new: &Value) -> Vec<Class> {
    let changes = diff(
        &document(operation, old.clone()),
        &document(operation, new.clone()),
    )
    .unwrap();
    changes.into_iter().map(|c| c.class).collect()
}

#[test]
fn each_change_is_classed_by_who_sends_it() {
    use Class::{Breaking, ForOldClients, ForOldServers};
    let (text, number) = (json!({"type": "string"}), json!({"type": "integer"}));
    let base = object(&["a"], json!({"a": text}));
    let with = object(&["a"], json!({"a": text, "b": number}));
    let must = object(&["a", "b"], json!({"a": text, "b": number}));
    let values = |v: &[&str]| json!({"enum": v});
    let documented = |v: &[&str]| {
        let each: Vec<Value> = v
            .iter()
            .map(|v| json!({"const": v, "description": format!("about {v}")}))
            .collect();
        json!({"oneOf": each})
    };
    for (what, old, new, called, told) in [
        (
            "an optional property is added",
            &base,
            &with,
            ForOldClients,
            ForOldServers,
        ),
        (
            "an optional property is gone",
            &with,
            &base,
            ForOldServers,
            ForOldClients,
        ),
        (
            "a needed property is added",
            &base,
            &must,
            Breaking,
            Breaking,
        ),
        (
            "a needed property is gone",
            &must,
            &base,
            Breaking,
            Breaking,
        ),
        (
            "an optional property is needed now",
            &with,
            &must,
            ForOldServers,
            ForOldClients,
        ),
        (
            "a needed property is optional now",
            &must,
            &with,
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
            "a value is gone",
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
        ("another type", &text, &number, Breaking, Breaking),
        (
            "a type more",
            &text,
            &json!({"type": ["string", "null"]}),
            ForOldClients,
            ForOldServers,
        ),
        (
            "a longer text",
            &json!({"type": "string", "maxLength": 5}),
            &json!({"type": "string", "maxLength": 9}),
            ForOldClients,
            ForOldServers,
        ),
        (
            "a higher least",
            &json!({"type": "integer", "minimum": 0}),
            &json!({"type": "integer", "minimum": 1}),
            ForOldServers,
            ForOldClients,
        ),
        (
            "another constant",
            &json!({"const": 1}),
            &json!({"const": 2}),
            Breaking,
            Breaking,
        ),
        (
            "a pattern that nobody here reads",
            &text,
            &json!({"type": "string", "pattern": "a"}),
            Breaking,
            Breaking,
        ),
    ] {
        assert_eq!(classes("call", old, new), [called], "called: {what}");
        assert_eq!(classes("tell", old, new), [told], "told: {what}");
        assert_eq!(classes("call", old, old), [], "{what}: nothing changed");
    }
    // Words for people change nothing.
    let worded = json!({"type": "string", "description": "new words", "title": "T"});
    assert_eq!(classes("tell", &text, &worded), []);
}

#[test]
fn messages_paths_and_statuses_come_and_go() {
    let none = document("nobody", json!({}));
    let call = document("call", json!({}));
    let of = |old: &Value, new: &Value| -> Vec<Class> {
        diff(old, new)
            .unwrap()
            .into_iter()
            .map(|c| c.class)
            .collect()
    };
    assert_eq!(of(&none, &call), [Class::ForOldClients]);
    assert_eq!(of(&call, &none), [Class::ForOldServers]);
    assert_eq!(
        of(&none, &document("tell", json!({}))),
        [Class::ForOldServers]
    );
    let http = |paths: Value| json!({"openapi": "3.1.0", "paths": paths});
    let get = |statuses: Value| json!({"/a": {"get": {"responses": statuses}}});
    let one = http(get(json!({"200": {}})));
    assert_eq!(of(&http(json!({})), &one), [Class::ForOldClients]);
    assert_eq!(of(&one, &http(json!({}))), [Class::ForOldServers]);
    assert_eq!(
        of(&one, &http(get(json!({"200": {}, "503": {}})))),
        [Class::ForOldServers]
    );
    assert!(diff(&one, &call).is_err());
}
