//! Where reports come from: a front's `GET /traffic`, or the file in which it saves its report.
use crate::SourceError;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_http::body::Body;
use crankpaddle_http::head::{self, Response};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Longest response that is read, bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// The status of a successful response.
const STATUS_OK: u16 = 200;

/// Fetches the report of a running front.
///
/// # Errors
/// The front does not respond within the timeout, or not with a report.
pub fn fetch(front: &SocketAddr, timeout: Duration) -> Result<TrafficReport, SourceError> {
    let body = get(front, "/traffic", timeout)?;
    Ok(serde_json::from_slice(&body)?)
}

/// Loads the report that a front saved.
///
/// # Errors
/// The file can't be read or holds no report.
pub fn load(path: &Path) -> Result<TrafficReport, SourceError> {
    let contents = std::fs::read(path)?;
    Ok(serde_json::from_slice(&contents)?)
}

/// The body of a running front's response at a path.
///
/// # Errors
/// The front does not respond within the timeout, or not with status 200.
pub fn get(front: &SocketAddr, path: &str, timeout: Duration) -> Result<Vec<u8>, SourceError> {
    let response = exchange(front, path, timeout)?;
    parse_body(&response)
}

/// Sends a request and reads until the front closes the connection; each step within the timeout.
fn exchange(front: &SocketAddr, path: &str, timeout: Duration) -> Result<Vec<u8>, SourceError> {
    let mut stream = TcpStream::connect_timeout(front, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let close = [("connection", "close")];
    let request = head::request("GET", path, &front.to_string(), &close, b"");
    stream.write_all(&request)?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
    Ok(response)
}

/// The body of a complete response with status 200.
fn parse_body(bytes: &[u8]) -> Result<Vec<u8>, SourceError> {
    let parsed = Response::parse(bytes).map_err(SourceError::InvalidHttp)?;
    let Some((response, head_length)) = parsed else {
        return Err(SourceError::IncompleteResponse);
    };
    if response.status != STATUS_OK {
        return Err(SourceError::UnexpectedStatus(response.status));
    }
    let framing = response.framing().map_err(SourceError::InvalidHttp)?;
    let mut body = Body::new(framing, MAX_RESPONSE_BYTES).map_err(SourceError::InvalidHttp)?;
    let mut content = Vec::new();
    body.feed(&bytes[head_length..], &mut content)
        .map_err(SourceError::InvalidHttp)?;
    if !body.may_end_at_close() {
        return Err(SourceError::IncompleteResponse);
    }
    Ok(content)
}

#[cfg(test)]
mod tests;
