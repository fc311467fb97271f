//! Load reports in answers: the `endpoint-load-metrics` field of Open Request Cost Aggregation, in its text and JSON
//! forms. Names are those of the OrcaLoadReport message; what is particular to us stands under `named_metrics`.
use serde_json::Value;

/// The field's name.
pub const FIELD: &str = "endpoint-load-metrics";

/// The figures of a report by name; nested ones as `named_metrics.link_asked`.
///
/// # Errors
/// The form is unknown or malformed.
pub fn parse(value: &str) -> Result<Vec<(String, f64)>, String> {
    let (form, rest) = value.trim().split_once(' ').unwrap_or((value.trim(), ""));
    match form {
        "TEXT" => rest
            .split(',')
            .map(str::trim)
            .filter(|p| !p.is_empty())
            .map(pair)
            .collect(),
        "JSON" => {
            let object: Value =
                serde_json::from_str(rest).map_err(|e| format!("load report: {e}"))?;
            let mut all = Vec::new();
            flatten("", &object, &mut all);
            Ok(all)
        }
        other => Err(format!("load report in form {other:?}; known: TEXT, JSON")),
    }
}

fn pair(text: &str) -> Result<(String, f64), String> {
    let (name, value) = text
        .split_once(['=', ':'])
        .ok_or_else(|| format!("load report: {text:?} has no value"))?;
    let number = value.trim().parse::<f64>().ok().filter(|v| v.is_finite());
    let number = number.ok_or_else(|| format!("load report: {value:?} is no number"))?;
    Ok((name.trim().to_owned(), number))
}

fn flatten(path: &str, value: &Value, all: &mut Vec<(String, f64)>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                flatten(&path, value, all);
            }
        }
        other => all.extend(other.as_f64().map(|v| (path.to_owned(), v))),
    }
}

/// A report in text form.
pub fn write(figures: &[(&str, f64)]) -> String {
    let pairs: Vec<String> = figures
        .iter()
        .map(|(name, value)| format!("{name}={value:.4}"))
        .collect();
    format!("TEXT {}", pairs.join(", "))
}

#[cfg(test)]
mod tests;
