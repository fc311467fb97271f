use super::*;

fn framed(fields: &str) -> Result<Framing, HttpError> {
    let text = format!("POST /x HTTP/1.1\r\nhost: a\r\n{fields}\r\n");
    Request::parse(text.as_bytes())
        .unwrap()
        .expect("whole")
        .0
        .framing()
}

#[test]
fn bodies_are_framed_unambiguously_or_rejected() {
    assert_eq!(framed(""), Ok(Framing::Length(0)));
    assert_eq!(framed("content-length: 7\r\n"), Ok(Framing::Length(7)));
    assert_eq!(
        framed("content-length: 7\r\ncontent-length: 7\r\n"),
        Ok(Framing::Length(7))
    );
    assert_eq!(
        framed("transfer-encoding: chunked\r\n"),
        Ok(Framing::Chunked)
    );
    for (fields, status) in [
        ("content-length: 7\r\ncontent-length: 8\r\n", 400),
        ("content-length: 7\r\ntransfer-encoding: chunked\r\n", 400),
        ("content-length: +7\r\n", 400),
        ("content-length: 7, 7\r\n", 400),
        ("content-length: 99999999999999999999\r\n", 400),
        ("transfer-encoding: gzip, chunked\r\n", 501),
    ] {
        assert_eq!(framed(fields).unwrap_err().status(), status, "{fields}");
    }
}

#[test]
fn malformed_heads_are_rejected_with_their_status() {
    for (text, status) in [
        ("GET / HTTP/1.1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        ("GET / HTTP/2.0\r\nhost: a\r\n\r\n", 505),
        ("GET / HTTP/1.1\r\nhost : a\r\n\r\n", 400),
        ("\x01\x02 garbage\r\n\r\n", 400),
    ] {
        assert_eq!(
            Request::parse(text.as_bytes()).unwrap_err().status(),
            status,
            "{text:?}"
        );
    }
    let many = format!(
        "GET / HTTP/1.1\r\nhost: a\r\n{}\r\n",
        "x: y\r\n".repeat(MAX_FIELDS)
    );
    assert_eq!(Request::parse(many.as_bytes()).unwrap_err().status(), 431);
    let long = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}",
        "y".repeat(MAX_HEAD_BYTES)
    );
    assert_eq!(Request::parse(long.as_bytes()).unwrap_err().status(), 431);
    assert_eq!(Request::parse(b"GET / HT"), Ok(None));
}

#[test]
fn keep_alive_follows_the_version_and_the_connection_field() {
    let keeps = |text: &str| {
        Request::parse(text.as_bytes())
            .unwrap()
            .unwrap()
            .0
            .keeps_alive()
    };
    assert!(keeps("GET / HTTP/1.1\r\nhost: a\r\n\r\n"));
    assert!(!keeps(
        "GET / HTTP/1.1\r\nhost: a\r\nconnection: Close\r\n\r\n"
    ));
    assert!(!keeps("GET / HTTP/1.0\r\n\r\n"));
    assert!(keeps("GET / HTTP/1.0\r\nconnection: x, keep-alive\r\n\r\n"));
}
