//! Obtains reports from a running front (`GET /traffic`), or from the file in which a front saves its report.
use crate::SourceError;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_http::body::BodyDecoder;
use crankpaddle_http::head::{self, Response};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Maximum number of bytes that are read of a response.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// HTTP status of a successful response.
const STATUS_OK: u16 = 200;

/// Fetches the report of a running front.
///
/// # Errors
/// Fails if the front does not respond within the timeout, or not with a report.
pub fn fetch(front: &SocketAddr, timeout: Duration) -> Result<TrafficReport, SourceError> {
    let body = fetch_path(front, "/traffic", timeout)?;
    Ok(serde_json::from_slice(&body)?)
}

/// Loads the report that a front saved.
///
/// # Errors
/// Fails if the file can't be read or does not contain a report.
pub fn load(path: &Path) -> Result<TrafficReport, SourceError> {
    let contents = std::fs::read(path)?;
    Ok(serde_json::from_slice(&contents)?)
}

/// Sends a `GET` request for a path to a running front and returns the body of its response.
///
/// # Errors
/// Fails if the front does not respond within the timeout, or not with status 200.
pub fn fetch_path(
    front: &SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<Vec<u8>, SourceError> {
    let response = send_request(front, path, timeout)?;
    parse_body(&response)
}

/// Sends a request and reads the response until the front closes the connection. The timeout applies to the connection, and
/// to each read and write.
fn send_request(front: &SocketAddr, path: &str, timeout: Duration) -> Result<Vec<u8>, SourceError> {
    let mut stream = TcpStream::connect_timeout(front, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let headers = [("connection", "close")];
    let request = head::request("GET", path, &front.to_string(), &headers, b"");
    stream.write_all(&request)?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
    Ok(response)
}

/// Extracts the body of a complete response with status 200.
fn parse_body(bytes: &[u8]) -> Result<Vec<u8>, SourceError> {
    let parsed = Response::parse(bytes).map_err(SourceError::InvalidHttp)?;
    let Some((response, head_length)) = parsed else {
        return Err(SourceError::IncompleteResponse);
    };
    if response.status != STATUS_OK {
        return Err(SourceError::UnexpectedStatus(response.status));
    }
    let framing = response.framing().map_err(SourceError::InvalidHttp)?;
    let mut body =
        BodyDecoder::new(framing, MAX_RESPONSE_BYTES).map_err(SourceError::InvalidHttp)?;
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
