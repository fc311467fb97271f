//! Load reports in responses: the `endpoint-load-metrics` field of Open Request Cost Aggregation, in its text and JSON
//! forms. Names are those of the OrcaLoadReport message; application metrics stand under `named_metrics`.
use serde_json::Value;

/// The field's name.
pub const FIELD: &str = "endpoint-load-metrics";

/// Why a load report could not be read.
#[derive(Debug, thiserror::Error)]
pub enum LoadReportError {
    /// The form is neither TEXT nor JSON.
    #[error("load report in form {0:?}; known: TEXT, JSON")]
    UnknownForm(String),
    /// The JSON form is malformed.
    #[error("load report: {0}")]
    Json(#[from] serde_json::Error),
    /// A metric of the text form has no value.
    #[error("load report: {0:?} has no value")]
    MissingValue(String),
    /// A metric's value is not a finite number.
    #[error("load report: {0:?} is no number")]
    NotANumber(String),
}

/// The metrics of a report by name; nested ones as `named_metrics.link_asked`.
///
/// # Errors
/// The form is unknown or malformed.
pub fn parse(value: &str) -> Result<Vec<(String, f64)>, LoadReportError> {
    let value = value.trim();
    let (form, report) = value.split_once(' ').unwrap_or((value, ""));
    match form {
        "TEXT" => parse_text(report),
        "JSON" => parse_json(report),
        other => Err(LoadReportError::UnknownForm(other.to_owned())),
    }
}

fn parse_text(report: &str) -> Result<Vec<(String, f64)>, LoadReportError> {
    let metrics = report.split(',').map(str::trim);
    let stated = metrics.filter(|metric| !metric.is_empty());
    stated.map(parse_metric).collect()
}

fn parse_json(report: &str) -> Result<Vec<(String, f64)>, LoadReportError> {
    let object: Value = serde_json::from_str(report)?;
    let mut metrics = Vec::new();
    flatten("", &object, &mut metrics);
    Ok(metrics)
}

fn parse_metric(text: &str) -> Result<(String, f64), LoadReportError> {
    let Some((name, value)) = text.split_once(['=', ':']) else {
        return Err(LoadReportError::MissingValue(text.to_owned()));
    };
    match value.trim().parse::<f64>() {
        Ok(number) if number.is_finite() => Ok((name.trim().to_owned(), number)),
        _ => Err(LoadReportError::NotANumber(value.to_owned())),
    }
}

/// Appends the numbers in `value`, named by their path.
fn flatten(path: &str, value: &Value, metrics: &mut Vec<(String, f64)>) {
    let Value::Object(fields) = value else {
        if let Some(number) = value.as_f64() {
            metrics.push((path.to_owned(), number));
        }
        return;
    };
    for (name, value) in fields {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        flatten(&path, value, metrics);
    }
}

/// A report in text form.
#[must_use]
pub fn write(metrics: &[(&str, f64)]) -> String {
    let pairs: Vec<String> = metrics
        .iter()
        .map(|(name, value)| format!("{name}={value:.4}"))
        .collect();
    format!("TEXT {}", pairs.join(", "))
}

#[cfg(test)]
mod tests;
