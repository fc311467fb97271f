use super::*;
use std::net::TcpListener;

/// Starts a server that responds to one request with `bytes`, and returns its address.
fn serve_once(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0u8; 512];
        let _ = stream.read(&mut request); // The content of the request is not checked.
        stream.write_all(bytes).unwrap();
    });
    address
}

#[test]
fn a_response_without_a_report_is_an_error_and_not_an_empty_report() {
    for (bytes, expected) in [
        (
            &b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"[..],
            "unexpected HTTP status 503",
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            "not a traffic report",
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{\"front\":",
            "incomplete HTTP response",
        ),
        (b"HTTP/1.1 200", "incomplete HTTP response"),
        (b"nonsense\r\n\r\n", "invalid HTTP response"),
    ] {
        let error = fetch(&serve_once(bytes), Duration::from_secs(5))
            .unwrap_err()
            .to_string();
        assert!(error.contains(expected), "{expected}: {error}");
    }
    let complete = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4e\r\n\
        {\"front\":3,\"at_ms\":7,\"flows\":[],\"budgets\":[],\"unsettled_sessions\":0,\"too_late\"\r\n3\r\n:0}\r\n0\r\n\r\n";
    let report = fetch(&serve_once(complete), Duration::from_secs(5)).unwrap();
    assert_eq!((report.front, report.at_ms), (3, 7));
}
