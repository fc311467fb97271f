//! Where reports come from: a front's `GET /traffic`, or the file in which it keeps its account.
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_http::body::Body;
use crankpaddle_http::head::{self, Response};
use crankpaddle_http::HttpError;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

/// Bytes of a report at most.
const MOST: usize = 64 << 20;

/// Why there is no report.
#[derive(Debug)]
pub enum SourceError {
    /// It could not be reached or read.
    Io(io::Error),
    /// It answered or held something else.
    Other(String),
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SourceError::Io(e) => e.fmt(f),
            SourceError::Other(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for SourceError {}

impl From<io::Error> for SourceError {
    fn from(e: io::Error) -> SourceError {
        SourceError::Io(e)
    }
}

fn report(bytes: &[u8]) -> Result<TrafficReport, SourceError> {
    serde_json::from_slice(bytes)
        .map_err(|e| SourceError::Other(format!("is no report of traffic: {e}")))
}

/// Asks a front that runs.
///
/// # Errors
/// It does not answer within the time, or not with a report.
pub fn fetch(front: &SocketAddr, within: Duration) -> Result<TrafficReport, SourceError> {
    report(&get(front, "/traffic", within)?)
}

/// What a front that runs has at a path.
///
/// # Errors
/// It does not answer within the time, or not with status 200.
pub fn get(front: &SocketAddr, path: &str, within: Duration) -> Result<Vec<u8>, SourceError> {
    let mut stream = TcpStream::connect_timeout(front, within)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    stream.write_all(&head::request(
        "GET",
        path,
        &front.to_string(),
        &[("connection", "close")],
        b"",
    ))?;
    let mut answer = Vec::new();
    stream.take(MOST as u64).read_to_end(&mut answer)?;
    let other = |what: String| SourceError::Other(what);
    let (response, at) = Response::parse(&answer)
        .map_err(|bad| other(format!("answered no HTTP: {}", bad.detail())))?
        .ok_or_else(|| other("broke off within its answer".into()))?;
    if response.status != 200 {
        return Err(other(format!("answered with status {}", response.status)));
    }
    let bad = |bad: HttpError| other(format!("answered no HTTP: {}", bad.detail()));
    let mut body = Body::new(response.framing().map_err(bad)?, MOST as u64).map_err(bad)?;
    let mut data = Vec::new();
    body.feed(&answer[at..], &mut data).map_err(bad)?;
    if !body.may_end_at_close() {
        return Err(other("broke off within its answer".into()));
    }
    Ok(data)
}

/// Reads what a front kept of its account.
///
/// # Errors
/// The file can't be read or holds no report.
pub fn load(path: &Path) -> Result<TrafficReport, SourceError> {
    report(&std::fs::read(path)?)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    /// Answers one request with these bytes.
    fn answering(bytes: &'static [u8]) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let mut asked = [0u8; 512];
            let _ = stream.read(&mut asked); // What is asked for does not matter here.
            stream.write_all(bytes).unwrap();
        });
        address
    }

    #[test]
    fn what_is_no_report_is_said_and_never_taken_for_an_empty_one() {
        for (bytes, said) in [
            (
                &b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"[..],
                "status 503",
            ),
            (
                b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
                "is no report",
            ),
            (
                b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{\"front\":",
                "broke off",
            ),
            (b"HTTP/1.1 200", "broke off"),
            (b"nonsense\r\n\r\n", "no HTTP"),
        ] {
            let e = fetch(&answering(bytes), Duration::from_secs(5))
                .unwrap_err()
                .to_string();
            assert!(e.contains(said), "{said}: {e}");
        }
        let whole = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4e\r\n\
            {\"front\":3,\"at_ms\":7,\"flows\":[],\"budgets\":[],\"unsettled_sessions\":0,\"too_late\"\r\n3\r\n:0}\r\n0\r\n\r\n";
        let report = fetch(&answering(whole), Duration::from_secs(5)).unwrap();
        assert_eq!((report.front, report.at_ms), (3, 7));
    }
}
