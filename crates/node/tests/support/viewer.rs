//! A stand-in viewer.
use super::{set_up, LONG};
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A stand-in viewer's connection.
pub(crate) struct Viewer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Viewer {
    pub(crate) fn connect(address: SocketAddr) -> Viewer {
        let stream = TcpStream::connect(address).expect("the node listens");
        stream.set_read_timeout(Some(LONG)).expect("a bound");
        stream
            .set_nodelay(true)
            .expect("small lines go out at once");
        let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        Viewer { stream, reader }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the node reads");
    }

    pub(crate) fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub(crate) fn send_json(&mut self, value: &Value) {
        self.send(format!("{value}\n").as_bytes());
    }

    pub(crate) fn start(&mut self, tag: Tag, class: &str, left: u64) {
        self.send_json(&set_up(tag, class, &left.to_string(), ""));
    }

    pub(crate) fn finish(&mut self, tag: Tag, cause: u16) {
        self.send_json(&json!({"verb": "FINISH", "tag": tag.as_str(), "opts": {}, "rc": cause}));
    }

    /// Breaks the connection at once.
    pub(crate) fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))
            .expect("an option");
    }

    /// Closes the connection when something has arrived on it, without reading that.
    pub(crate) fn close_unread(self) {
        let arrived = self.stream.peek(&mut [0u8; 1]).expect("something arrives");
        assert!(arrived > 0, "the node closed the connection");
    }

    /// The next message.
    pub(crate) fn next_message(&mut self) -> Value {
        let mut line = String::new();
        let got = self
            .reader
            .read_line(&mut line)
            .expect("the node sends something in time");
        assert!(got > 0, "the node closed the connection");
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line:?}: {e}"))
    }

    /// Whether the connection ended without a further message.
    pub(crate) fn is_closed(&mut self) -> bool {
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(got) => got == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }

    /// Waits for the answer to a test: all sent before on this connection was handled.
    pub(crate) fn echo(&mut self) -> Value {
        self.send_json(&json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0}));
        self.next_message()
    }
}
