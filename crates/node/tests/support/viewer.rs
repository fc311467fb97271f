//! A viewer for tests.
use super::{start_message, TEST_TIMEOUT};
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The connection of a viewer for tests.
pub(crate) struct TestViewer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl TestViewer {
    pub(crate) fn connect(address: SocketAddr) -> TestViewer {
        let stream = TcpStream::connect(address).expect("the node listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a bound");
        stream
            .set_nodelay(true)
            .expect("small lines go out at once");
        let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        TestViewer { stream, reader }
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

    pub(crate) fn start(&mut self, tag: Tag, class: &str, max_wait_ms: u64) {
        self.send_json(&start_message(tag, class, &max_wait_ms.to_string(), ""));
    }

    pub(crate) fn finish(&mut self, tag: Tag, cause: u16) {
        self.send_json(&json!({"verb": "FINISH", "tag": tag.as_str(), "opts": {}, "rc": cause}));
    }

    /// Resets the connection.
    pub(crate) fn reset(self) {
        // With this option, dropping the stream resets the connection.
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))
            .expect("the option can be set");
    }

    /// Waits until the node has sent something, and closes the connection without reading it.
    pub(crate) fn close_unread(self) {
        let length = self.stream.peek(&mut [0u8; 1]).expect("something arrives");
        assert!(length > 0, "the node closed the connection");
    }

    /// Waits for the next message.
    pub(crate) fn next_message(&mut self) -> Value {
        let mut line = String::new();
        let length = self
            .reader
            .read_line(&mut line)
            .expect("the node sends something in time");
        assert!(length > 0, "the node closed the connection");
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line:?}: {e}"))
    }

    /// Waits for the next message, which must end this session, or reject or fail its set-up, with this cause.
    pub(crate) fn expect_finish(&mut self, session: Tag, cause: u16) {
        let message = self.next_message();
        assert_eq!(
            (&message["verb"], &message["tag"], &message["rc"]),
            (&json!("FINISH"), &json!(session.as_str()), &json!(cause))
        );
    }

    /// Waits for the next message or the end of the connection; true if the connection ended without a further message.
    pub(crate) fn ends_without_message(&mut self) -> bool {
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(length) => length == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }

    /// Whether the connection is open, without waiting.
    pub(crate) fn is_open(&self) -> bool {
        self.stream
            .set_nonblocking(true)
            .expect("the option can be set");
        let peeked = self.stream.peek(&mut [0u8; 1]);
        self.stream
            .set_nonblocking(false)
            .expect("the option can be set");
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends an echo request and returns the next message. When that is the echo's answer, the node has handled everything that
    /// was sent before on this connection.
    pub(crate) fn echo(&mut self) -> Value {
        self.send_json(&json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0}));
        self.next_message()
    }
}
