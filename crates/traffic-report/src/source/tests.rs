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
