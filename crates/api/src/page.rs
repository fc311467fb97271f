//! Renders both descriptions as one HTML page without scripts, external styles or network access, so that it can be read
//! offline.
use serde_json::Value;
use std::fmt::Write;

/// Escapes a text for HTML.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// A short name of the type that a schema describes, as HTML. A reference becomes a link.
fn type_label(schema: &Value) -> String {
    if let Some(name) = schema["$ref"]
        .as_str()
        .and_then(|reference| reference.rsplit('/').next())
    {
        let name = escaped(name);
        return format!("<a href=\"#{name}\">{name}</a>");
    }
    if let Some(value) = schema.get("const") {
        return format!("<code>{}</code>", escaped(&value.to_string()));
    }
    if schema["items"].is_object() {
        return format!("list of {}", type_label(&schema["items"]));
    }
    let alternatives = ["anyOf", "oneOf"]
        .iter()
        .filter_map(|keyword| schema[keyword].as_array())
        .flatten();
    let labels: Vec<String> = alternatives.map(type_label).collect();
    if !labels.is_empty() {
        return labels.join(" or ");
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

/// Writes a row for each property, with its own properties indented below it, and a row for each constant of an enum.
fn write_fields(out: &mut String, schema: &Value, depth: usize) {
    let required: Vec<&str> = schema["required"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    for (name, inner) in schema["properties"].as_object().into_iter().flatten() {
        let optional_suffix = if required.contains(&name.as_str()) {
            ""
        } else {
            ", optional"
        };
        let description = escaped(inner["description"].as_str().unwrap_or(""));
        let _ = writeln!(
            out,
            "<tr><td style=\"padding-left:{}em\"><code>{}</code></td><td>{}{optional_suffix}</td><td>{description}</td></tr>",
            depth * 2,
            escaped(name),
            type_label(inner)
        );
        write_fields(out, inner, depth + 1);
    }
    for value in schema["oneOf"].as_array().into_iter().flatten() {
        if let Some(constant) = value.get("const") {
            let description = escaped(value["description"].as_str().unwrap_or(""));
            let _ = writeln!(
                out,
                "<tr><td><code>{}</code></td><td></td><td>{description}</td></tr>",
                escaped(&constant.to_string())
            );
        }
    }
}

fn write_table(out: &mut String, schema: &Value) {
    out.push_str("<table>\n");
    write_fields(out, schema, 0);
    out.push_str("</table>\n");
}

fn write_section(out: &mut String, title: &str, summary: &str, anchor: &str) {
    let _ = writeln!(
        out,
        "<h3 id=\"{}\">{}</h3>\n<p>{}</p>",
        escaped(anchor),
        escaped(title),
        escaped(summary)
    );
}

const PAGE_HEAD: &str = "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\"><title>crankpaddle session API</title>\n<style>\
    body{font:16px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
    table{border-collapse:collapse;width:100%}td{border-top:1px solid #ccc;padding:.2em .6em;vertical-align:top}\
    code{background:#f3f3f3}</style></head>\n<body>\n";

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("")
}

fn object(value: &Value) -> impl Iterator<Item = (&String, &Value)> {
    value.as_object().into_iter().flatten()
}

/// Renders an AsyncAPI and an OpenAPI document as a page.
pub(crate) fn render_page(asyncapi: &Value, openapi: &Value) -> String {
    let mut out = String::from(PAGE_HEAD);
    write_title(&mut out, &asyncapi["info"]);
    write_messages(&mut out, asyncapi, "call", "What players call");
    write_messages(&mut out, asyncapi, "tell", "What fronts answer and tell");
    write_paths(&mut out, openapi);
    out.push_str("<h2>Types</h2>\n");
    for document in [asyncapi, openapi] {
        for (name, schema) in object(&document["components"]["schemas"]) {
            write_section(&mut out, name, text(&schema["description"]), name);
            write_table(&mut out, schema);
        }
    }
    out.push_str("</body>\n</html>\n");
    out
}

fn write_title(out: &mut String, info: &Value) {
    let name = escaped(text(&info["title"]));
    let version = escaped(text(&info["version"]));
    let description = escaped(text(&info["description"]));
    let _ = writeln!(out, "<h1>{name} {version}</h1>");
    let _ = writeln!(out, "<p>{description}</p>");
}

/// Writes the messages of one operation, each with its payload.
fn write_messages(out: &mut String, asyncapi: &Value, operation: &str, title: &str) {
    let _ = writeln!(out, "<h2>{title}</h2>");
    let listed = asyncapi["operations"][operation]["messages"].as_array();
    for entry in listed.into_iter().flatten() {
        let name = text(&entry["$ref"]).rsplit('/').next().unwrap_or("");
        let message = &asyncapi["components"]["messages"][name];
        write_section(out, name, text(&message["summary"]), name);
        write_table(out, &message["payload"]);
    }
}

/// Writes the HTTP paths, each with its responses.
fn write_paths(out: &mut String, openapi: &Value) {
    out.push_str("<h2>HTTP</h2>\n");
    let description = escaped(text(&openapi["info"]["description"]));
    let _ = writeln!(out, "<p>{description}</p>");
    for (path, methods) in object(&openapi["paths"]) {
        let get = &methods["get"];
        write_section(out, &format!("GET {path}"), text(&get["summary"]), path);
        out.push_str("<table>\n");
        for (status, response) in object(&get["responses"]) {
            let bodies: Vec<String> = object(&response["content"])
                .map(|(media, media_type)| {
                    format!("{}: {}", escaped(media), type_label(&media_type["schema"]))
                })
                .collect();
            let description = escaped(text(&response["description"]));
            let bodies = bodies.join("<br>");
            let _ = writeln!(
                out,
                "<tr><td>{status}</td><td>{description}</td><td>{bodies}</td></tr>"
            );
        }
        out.push_str("</table>\n");
    }
}

#[cfg(test)]
mod tests;
