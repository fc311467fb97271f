//! Both descriptions as one page that can be read offline: without scripts, external styles or network access.
use serde_json::Value;
use std::fmt::Write;

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// A short name of the values that a schema allows; a reference becomes a link.
fn kind(schema: &Value) -> String {
    if let Some(name) = schema["$ref"].as_str().and_then(|r| r.rsplit('/').next()) {
        let name = escaped(name);
        return format!("<a href=\"#{name}\">{name}</a>");
    }
    if let Some(value) = schema.get("const") {
        return format!("<code>{}</code>", escaped(&value.to_string()));
    }
    if schema["items"].is_object() {
        return format!("list of {}", kind(&schema["items"]));
    }
    let alternatives = ["anyOf", "oneOf"]
        .iter()
        .filter_map(|word| schema[word].as_array())
        .flatten();
    let kinds: Vec<String> = alternatives.map(kind).collect();
    if !kinds.is_empty() {
        return kinds.join(" or ");
    }
    match &schema["type"] {
        Value::String(name) => escaped(name),
        Value::Array(names) => names
            .iter()
            .filter_map(Value::as_str)
            .map(escaped)
            .collect::<Vec<_>>()
            .join(" or "),
        _ => "any".to_owned(),
    }
}

fn fields(out: &mut String, schema: &Value, depth: usize) {
    let required: Vec<&str> = schema["required"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    for (name, inner) in schema["properties"].as_object().into_iter().flatten() {
        let must = if required.contains(&name.as_str()) {
            ""
        } else {
            ", optional"
        };
        let words = escaped(inner["description"].as_str().unwrap_or(""));
        let _ = writeln!(
            out,
            "<tr><td style=\"padding-left:{}em\"><code>{}</code></td><td>{}{must}</td><td>{words}</td></tr>",
            depth * 2,
            escaped(name),
            kind(inner)
        );
        fields(out, inner, depth + 1);
    }
    for value in schema["oneOf"].as_array().into_iter().flatten() {
        if let Some(constant) = value.get("const") {
            let words = escaped(value["description"].as_str().unwrap_or(""));
            let _ = writeln!(
                out,
                "<tr><td><code>{}</code></td><td></td><td>{words}</td></tr>",
                escaped(&constant.to_string())
            );
        }
    }
}

fn table(out: &mut String, schema: &Value) {
    out.push_str("<table>\n");
    fields(out, schema, 0);
    out.push_str("</table>\n");
}

fn section(out: &mut String, title: &str, words: &str, anchor: &str) {
    let _ = writeln!(
        out,
        "<h3 id=\"{}\">{}</h3>\n<p>{}</p>",
        escaped(anchor),
        escaped(title),
        escaped(words)
    );
}

const HEAD: &str = "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"><title>crankpaddle session API</title>\n<style>\
    body{font:16px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
    table{border-collapse:collapse;width:100%}td{border-top:1px solid #ccc;padding:.2em .6em;vertical-align:top}\
    code{background:#f3f3f3}</style></head>\n<body>\n";

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

fn object(value: &Value) -> impl Iterator<Item = (&String, &Value)> {
    value.as_object().into_iter().flatten()
}

/// The page for an AsyncAPI and an OpenAPI document.
pub(crate) fn html(asyncapi: &Value, openapi: &Value) -> String {
    let mut out = String::from(HEAD);
    title(&mut out, &asyncapi["info"]);
    messages(&mut out, asyncapi, "call", "What players call");
    messages(&mut out, asyncapi, "tell", "What fronts answer and tell");
    paths(&mut out, openapi);
    out.push_str("<h2>Types</h2>\n");
    for document in [asyncapi, openapi] {
        for (name, schema) in object(&document["components"]["schemas"]) {
            section(&mut out, name, text(&schema["description"]), name);
            table(&mut out, schema);
        }
    }
    out.push_str("</body>\n</html>\n");
    out
}

fn title(out: &mut String, info: &Value) {
    let name = escaped(text(&info["title"]));
    let version = escaped(text(&info["version"]));
    let description = escaped(text(&info["description"]));
    let _ = writeln!(out, "<h1>{name} {version}</h1>");
    let _ = writeln!(out, "<p>{description}</p>");
}

/// The messages of one operation, each with its payload.
fn messages(out: &mut String, asyncapi: &Value, operation: &str, title: &str) {
    let _ = writeln!(out, "<h2>{title}</h2>");
    let listed = asyncapi["operations"][operation]["messages"].as_array();
    for entry in listed.into_iter().flatten() {
        let name = text(&entry["$ref"]).rsplit('/').next().unwrap_or("");
        let message = &asyncapi["components"]["messages"][name];
        section(out, name, text(&message["summary"]), name);
        table(out, &message["payload"]);
    }
}

/// The paths of the HTTP, each with its answers.
fn paths(out: &mut String, openapi: &Value) {
    out.push_str("<h2>HTTP</h2>\n");
    let description = escaped(text(&openapi["info"]["description"]));
    let _ = writeln!(out, "<p>{description}</p>");
    for (path, methods) in object(&openapi["paths"]) {
        let get = &methods["get"];
        section(out, &format!("GET {path}"), text(&get["summary"]), path);
        out.push_str("<table>\n");
        for (status, response) in object(&get["responses"]) {
            let bodies: Vec<String> = object(&response["content"])
                .map(|(media, of)| format!("{}: {}", escaped(media), kind(&of["schema"])))
                .collect();
            let words = escaped(text(&response["description"]));
            let bodies = bodies.join("<br>");
            let _ = writeln!(
                out,
                "<tr><td>{status}</td><td>{words}</td><td>{bodies}</td></tr>"
            );
        }
        out.push_str("</table>\n");
    }
}

#[cfg(test)]
mod tests;
