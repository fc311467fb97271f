//! Load reports in responses: the `endpoint-load-metrics` header field of Open Request Cost Aggregation (ORCA), in its text
//! and JSON formats. The names of metrics are those of the OrcaLoadReport message; application metrics are below
//! `named_metrics`.
use crate::json::{self, TooDeep};
use serde_json::Value;

/// The name of the header field.
pub const FIELD: &str = "endpoint-load-metrics";

/// Levels of a report in JSON: the report, and its maps of metrics such as `named_metrics`.
const MAX_JSON_DEPTH: usize = 2;

/// Why a load report could not be parsed.
#[derive(Debug, thiserror::Error)]
pub enum LoadReportError {
    /// The format is neither TEXT nor JSON.
    #[error("load report in unknown format {0:?}; allowed: TEXT, JSON")]
    UnknownFormat(String),
    /// The report in JSON is malformed.
    #[error("malformed load report: {0}")]
    Json(#[from] serde_json::Error),
    /// The report in JSON is nested deeper than the format allows.
    #[error("malformed load report: {0}")]
    TooDeep(#[from] TooDeep),
    /// A metric in the text format has no value.
    #[error("malformed load report: metric {0:?} has no value")]
    MissingValue(String),
    /// The value of a metric is not a finite number.
    #[error("malformed load report: value {0:?} is not a finite number")]
    NotFinite(String),
}

/// Parses a report to the names and values of its metrics. The name of a nested metric is its path, such as
/// `named_metrics.link_asked`.
///
/// # Errors
/// The format is unknown, or the report is malformed.
pub fn parse(value: &str) -> Result<Vec<(String, f64)>, LoadReportError> {
    let value = value.trim();
    let (format, report) = value.split_once(' ').unwrap_or((value, ""));
    match format {
        "TEXT" => parse_text(report),
        "JSON" => parse_json(report),
        other => Err(LoadReportError::UnknownFormat(other.to_owned())),
    }
}

fn parse_text(report: &str) -> Result<Vec<(String, f64)>, LoadReportError> {
    let metrics = report.split(',').map(str::trim);
    let non_empty = metrics.filter(|metric| !metric.is_empty());
    non_empty.map(parse_metric).collect()
}

fn parse_json(report: &str) -> Result<Vec<(String, f64)>, LoadReportError> {
    json::check_depth(report, MAX_JSON_DEPTH)?;
    let object: Value = serde_json::from_str(report)?;
    let mut metrics = Vec::new();
    flatten("", &object, &mut metrics);
    Ok(metrics)
}

/// Parses a metric of the text format: `name=value` or `name:value`.
fn parse_metric(text: &str) -> Result<(String, f64), LoadReportError> {
    let Some((name, value)) = text.split_once(['=', ':']) else {
        return Err(LoadReportError::MissingValue(text.to_owned()));
    };
    match value.trim().parse::<f64>() {
        Ok(number) if number.is_finite() => Ok((name.trim().to_owned(), number)),
        _ => Err(LoadReportError::NotFinite(value.to_owned())),
    }
}

/// Appends the numbers in `value` to `metrics`, each named by its path.
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

/// Encodes a report in the text format, with four decimal places per value.
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
