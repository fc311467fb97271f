//! Watches a session: fetches its segments until the time to watch is over or the session ends.
use super::attempt::AttemptResult;
use super::{PlayerClient, PlayerPool, CONNECT_TIMEOUT};
use crate::record::Seen;
use crankpaddle_http::head;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{clock, sleep, IdleSweeper, Socket};
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_time::Time;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// Pause after a segment that could not be fetched.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// A fetch that has begun may continue for this long after the time to watch is over.
const SEGMENT_GRACE: Duration = Duration::from_secs(1);
/// Timeout of the front's answer to the close of a session.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The location of a session's media, from the URL that the front returned.
struct MediaLocation {
    address: SocketAddr,
    /// Request target of the media: the path of the URL.
    target: String,
    /// Name of the session at its server.
    session_name: String,
}

impl MediaLocation {
    fn parse(url: &str) -> Option<MediaLocation> {
        let (address, path) = url.strip_prefix("http://")?.split_once('/')?;
        Some(MediaLocation {
            address: address.parse().ok()?,
            target: format!("/{path}"),
            session_name: path.split('/').nth(1).unwrap_or("").to_owned(),
        })
    }
}

/// What a player has received from its front since it last looked.
struct Received {
    /// Set where the front ended the session.
    session_over: Option<SessionOver>,
    /// Whether the connection is closed.
    disconnected: bool,
}

struct SessionOver {
    /// The front's Retry-After, where it sent one.
    retry_after: Option<Duration>,
}

/// The result of fetching a segment.
struct Fetched {
    /// Number of bytes that were read.
    bytes: u64,
    /// Whether the whole segment was read.
    complete: bool,
}

impl Fetched {
    const NOTHING: Fetched = Fetched {
        bytes: 0,
        complete: false,
    };
}

impl PlayerPool {
    /// Watches a session for `time`, or until it ends or the players leave.
    pub(super) fn watch(
        &self,
        mut client: PlayerClient,
        session: &str,
        media: &str,
        time: Duration,
    ) -> AttemptResult {
        let until = clock::now() + time;
        let Some(location) = MediaLocation::parse(media) else {
            return AttemptResult::DoesNotReturn;
        };
        let name = location.session_name.clone();
        let mut reader = MediaReader {
            location,
            sweeper: &self.sweeper,
            exchange: None,
        };
        let mut bytes = 0u64;
        while self.stays(until) {
            let fetched = reader.fetch_segment(until);
            bytes += fetched.bytes;
            if !fetched.complete {
                sleep(FETCH_RETRY_INTERVAL);
            }
            let received = receive(&mut client);
            if received.disconnected && self.behavior.retries_with_same_key && clock::now() < until
            {
                self.recorder.record(Seen::Fetched { name, bytes });
                return AttemptResult::FrontLost;
            }
            if let Some(SessionOver { retry_after }) = received.session_over {
                self.recorder.record(Seen::Fetched { name, bytes });
                client.close();
                return AttemptResult::MayReturn { retry_after };
            }
        }
        self.recorder.record(Seen::Fetched { name, bytes });
        self.close_session(client, session);
        AttemptResult::Watched
    }

    fn close_session(&self, mut client: PlayerClient, session: &str) {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let _ = client.send(client::close(call, session)); // If the front has died, its session is over anyway.
        let deadline = clock::now() + CLOSE_TIMEOUT;
        while let Ok(event) = client.next(deadline) {
            if matches!(event, ClientEvent::Closed { id } | ClientEvent::Unknown { id } if id == call)
            {
                break;
            }
        }
        client.close();
    }
}

/// Reads all messages that the front has sent so far.
fn receive(client: &mut PlayerClient) -> Received {
    let mut received = Received {
        session_over: None,
        disconnected: false,
    };
    loop {
        match client.poll() {
            Ok(Some(ClientEvent::End { retry_after_ms, .. })) => {
                let retry_after = retry_after_ms.map(Duration::from_millis);
                received.session_over = Some(SessionOver { retry_after });
            }
            Ok(Some(_)) => {}
            Ok(None) => return received,
            Err(_) => {
                received.disconnected = true;
                return received;
            }
        }
    }
}

/// Fetches the media of a session, over one connection for as long as that works.
struct MediaReader<'a> {
    location: MediaLocation,
    sweeper: &'a IdleSweeper,
    exchange: Option<HttpExchange>,
}

impl MediaReader<'_> {
    /// Fetches a segment. After an incomplete segment the next one is fetched over a new connection.
    fn fetch_segment(&mut self, until: Time) -> Fetched {
        let fetched = self.try_fetch(until).unwrap_or(Fetched::NOTHING);
        if !fetched.complete {
            self.exchange = None;
        }
        fetched
    }

    /// `None` where the request failed before the body.
    fn try_fetch(&mut self, until: Time) -> Option<Fetched> {
        let location = &self.location;
        let exchange = match &mut self.exchange {
            Some(exchange) => exchange,
            empty => {
                let socket = Arc::new(Socket::connect(&location.address, CONNECT_TIMEOUT).ok()?);
                self.sweeper.watch(&socket);
                empty.insert(HttpExchange::new(socket))
            }
        };
        exchange.socket.set_expiry(until + SEGMENT_GRACE);
        let host = location.address.to_string();
        let request = head::request("GET", &location.target, &host, &[], b"");
        exchange.socket.write_all(&request).ok()?;
        let response = exchange.response_head().ok()?;
        if response.status != 200 {
            return None;
        }
        let framing = response.framing().ok()?;
        Some(match exchange.drain_body(framing) {
            Ok(bytes) => Fetched {
                bytes,
                complete: true,
            },
            Err(error) => Fetched {
                bytes: error.received,
                complete: false,
            },
        })
    }
}
