//! A player that uses the first version of the session API.
use super::TEST_TIMEOUT;
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

/// The title that calls without one of their own request.
const DEFAULT_TITLE: &str = "clip-03";

/// A player on a blocking socket.
pub(crate) struct TestPlayer {
    pub socket: WebSocket<TcpStream>,
    /// Number of calls so far, which is the id of the last one.
    calls: u64,
    /// The tenant that calls name; `None` if they name none.
    pub tenant: Option<String>,
}

impl TestPlayer {
    pub(crate) fn connect(address: SocketAddr) -> TestPlayer {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut request = format!("ws://{address}/session")
            .into_client_request()
            .unwrap();
        request.headers_mut().insert(
            "sec-websocket-protocol",
            "session.v1.jsonrpc".parse().unwrap(),
        );
        let (socket, response) = tungstenite::client::client(request, stream).unwrap();
        assert_eq!(
            response.headers()["sec-websocket-protocol"],
            "session.v1.jsonrpc"
        );
        TestPlayer {
            socket,
            calls: 0,
            tenant: None,
        }
    }

    pub(crate) fn send(&mut self, text: impl Into<String>) {
        self.socket.send(Message::text(text.into())).unwrap();
    }

    /// Calls `session.open` for a title without waiting for the answer; returns the call's id.
    pub(crate) fn call_open_title(&mut self, key: &str, class: &str, title: &str) -> u64 {
        let open = self.next_open(key, class, title);
        self.send(open);
        self.calls
    }

    /// Calls `session.open` for the default title; false if the front has ended the connection.
    pub(crate) fn try_call_open(&mut self, key: &str, class: &str) -> bool {
        let open = self.next_open(key, class, DEFAULT_TITLE);
        self.socket.send(Message::text(open)).is_ok()
    }

    /// The text of the next call of `session.open`.
    fn next_open(&mut self, key: &str, class: &str, title: &str) -> String {
        self.calls += 1;
        let open = Open {
            key: key.into(),
            title: title.into(),
            class: class.into(),
            tenant: self.tenant.clone(),
            ..Open::default()
        };
        client::open(self.calls, &open)
    }

    /// Calls `session.open` for the default title without waiting for the answer; returns the call's id.
    pub(crate) fn call_open(&mut self, key: &str, class: &str) -> u64 {
        self.call_open_title(key, class, DEFAULT_TITLE)
    }

    pub(crate) fn receive(&mut self) -> ClientEvent {
        loop {
            match self.socket.read().unwrap() {
                Message::Text(text) => return client::read(&text).unwrap().remove(0),
                Message::Close(_) => panic!("closed"),
                _ => {}
            }
        }
    }

    /// Calls `session.open` for the default title; returns the call's id and the next event.
    pub(crate) fn open_and_wait(&mut self, key: &str, class: &str) -> (u64, ClientEvent) {
        let call = self.call_open(key, class);
        (call, self.receive())
    }

    pub(crate) fn close_session(&mut self, session: &str) -> ClientEvent {
        self.calls += 1;
        let text = client::close(self.calls, session);
        self.send(text);
        loop {
            match self.receive() {
                ClientEvent::Rung { .. } => {}
                event => return event,
            }
        }
    }

    /// Whether nothing is received for a duration. Only for checks that a message is not sent, because it waits that long.
    pub(crate) fn is_silent(&mut self, duration: Duration) -> bool {
        self.socket
            .get_ref()
            .set_read_timeout(Some(duration))
            .unwrap();
        let is_silent = matches!(self.socket.read(), Err(tungstenite::Error::Io(error)) if error.kind() == ErrorKind::WouldBlock);
        let stream = self.socket.get_ref();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        is_silent
    }
}
