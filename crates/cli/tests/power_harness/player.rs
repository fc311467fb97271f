//! A player that uses the session API, and checks of the events that a front sends it.
use crate::support::TIMEOUT;
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_testbed::process::Process;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

/// Interval at which a player retries a rejected request.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) struct ApiPlayer {
    socket: WebSocket<TcpStream>,
    calls: u64,
}

impl ApiPlayer {
    pub(crate) fn connect(front: &Process) -> ApiPlayer {
        let stream = TcpStream::connect(front.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let request = format!("ws://{}/session", front.address)
            .into_client_request()
            .unwrap();
        let (socket, _) = tungstenite::client::client(request, stream).unwrap();
        ApiPlayer { socket, calls: 0 }
    }

    pub(crate) fn open(&mut self, key: &str, class: &str) {
        self.calls += 1;
        let open = Open {
            key: key.into(),
            title: "clip-03".into(),
            class: class.into(),
            ..Open::default()
        };
        self.socket
            .send(Message::text(client::open(self.calls, &open)))
            .unwrap();
    }

    pub(crate) fn close(&mut self, session: &str) {
        self.calls += 1;
        let close = client::close(self.calls, session);
        self.socket.send(Message::text(close)).unwrap();
        assert!(matches!(self.receive(), ClientEvent::Closed { .. }));
    }

    /// Returns the next event that is not a change of rung.
    pub(crate) fn receive(&mut self) -> ClientEvent {
        loop {
            let Message::Text(text) = self.socket.read().unwrap() else {
                continue;
            };
            match client::read(&text).unwrap().remove(0) {
                ClientEvent::Rung { .. } => {}
                event => return event,
            }
        }
    }

    /// Requests a session, and retries while the front rejects it for overload or lack of capacity. Returns the first other
    /// event.
    pub(crate) fn open_until_admitted(&mut self, key: &str, class: &str) -> ClientEvent {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            self.open(key, class);
            match self.receive() {
                ClientEvent::Refused { reason, .. }
                    if reason == "overload" || reason == "no_room" =>
                {
                    assert!(
                        Instant::now() < deadline,
                        "{key} is still rejected: {reason}"
                    );
                    std::thread::sleep(RETRY_INTERVAL);
                }
                event => return event,
            }
        }
    }
}

/// The session and the media address that the viewer of an established session was sent.
pub(crate) struct Established<'a> {
    pub(crate) session: &'a str,
    pub(crate) media: &'a str,
}

pub(crate) fn established(event: &ClientEvent) -> Established<'_> {
    match event {
        ClientEvent::Plays { session, media, .. } => Established { session, media },
        other => panic!("{other:?}"),
    }
}

pub(crate) fn failure_reason(event: &ClientEvent) -> &str {
    match event {
        ClientEvent::Failed { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

pub(crate) fn assert_established_or_failed(event: &ClientEvent) {
    assert!(
        matches!(
            event,
            ClientEvent::Plays { .. } | ClientEvent::Failed { .. }
        ),
        "{event:?}"
    );
}
