//! The subscription to a server's event stream.
use super::ServerLink;
use crate::message::ServerMessage;
use crate::server_connection_state::{ReachabilityTracker, StreamFailure};
use crate::shared::Shared;
use crankpaddle_http::head::OK;
use crankpaddle_net::exchange::{Events, ExchangeError, HttpExchange};
use crankpaddle_net::{clock, sleep, Socket};
use crankpaddle_server_protocol::event_stream::{self, ServerEvent};
use crankpaddle_time::Time;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// Pause between two checks whether the event loop still has a backlog.
const BACKLOG_PAUSE: Duration = Duration::from_millis(1);

impl ServerLink {
    /// Passes the events of the server's event stream to the event loop, and reopens the stream when it ends, until
    /// the link is idle.
    pub(super) fn follow_stream(&self, shared: &Shared) {
        let mut reachability =
            ReachabilityTracker::new(clock::now(), shared.limits().silence_timeout);
        loop {
            let requested_at = clock::now();
            let failure = match self.open_stream(shared) {
                Ok(events) => self.read_events(shared, events, requested_at, &mut reachability),
                Err(failure) => failure,
            };
            let decision = reachability.stream_failed(clock::now(), failure);
            if decision.is_server_lost {
                shared.send_from_server(self.id, ServerMessage::Unreachable { requested_at });
            }
            if self.unsubscribe_if_idle() {
                return;
            }
            if !decision.backoff.is_zero() {
                sleep(decision.backoff);
            }
        }
    }

    fn open_stream(&self, shared: &Shared) -> Result<Events, StreamFailure> {
        let socket = Socket::connect(&self.address, shared.connect_timeout());
        let socket = Arc::new(socket.map_err(|error| connect_failure(&error))?);
        let silence_timeout = shared.limits().silence_timeout;
        socket.set_expiry(clock::now() + silence_timeout);
        shared.server_sweeper.watch(&socket);
        self.set_stream_socket(&socket);
        let request = event_stream::subscribe(&self.address.to_string(), shared.names.front_name());
        let sent = socket.write_all(&request);
        sent.map_err(|_| StreamFailure::NoResponse)?;
        let mut exchange = HttpExchange::new(socket);
        let head = exchange.response_head();
        let head = head.map_err(|_| StreamFailure::NoResponse)?;
        if head.status != OK {
            return Err(StreamFailure::NoResponse);
        }
        let events = exchange.events(&head, silence_timeout);
        events.map_err(|_| StreamFailure::NoResponse)
    }

    /// Reads events until the stream ends; returns how it ended.
    fn read_events(
        &self,
        shared: &Shared,
        mut events: Events,
        requested_at: Time,
        reachability: &mut ReachabilityTracker,
    ) -> StreamFailure {
        let mut has_started = false;
        loop {
            while shared.has_server_backlog() {
                sleep(BACKLOG_PAUSE); // Back-pressure: nothing is read from this server meanwhile.
            }
            let event = match events.next() {
                Ok(event) => event,
                Err(error) => return self.stream_ended(shared, &error, has_started),
            };
            match event_stream::read(&event) {
                Ok(Some(ServerEvent::StreamStart(start))) => {
                    let message = ServerMessage::StreamStarted {
                        start,
                        requested_at,
                    };
                    shared.send_from_server(self.id, message);
                    reachability.stream_started(clock::now());
                    has_started = true;
                }
                Ok(Some(event)) => self.pass_event(shared, event),
                Ok(None) => {} // An unknown kind of event, which a later release of the server may send.
                Err(error) => self.log_malformed(&error.to_string()),
            }
        }
    }

    /// Passes an event other than the start of the stream to the event loop.
    fn pass_event(&self, shared: &Shared, event: ServerEvent) {
        let message = match event {
            ServerEvent::StreamStart(_) => return, // Handled by the caller.
            ServerEvent::SessionUpdates { session, updates } => ServerMessage::SessionUpdated {
                session_name: session,
                updates,
            },
            ServerEvent::SessionOver {
                session,
                outcome,
                sent_bytes,
            } => ServerMessage::SessionEnded {
                session_name: session,
                outcome,
                sent_bytes,
            },
            ServerEvent::Traffic(counts) => ServerMessage::TrafficCounted { counts },
        };
        shared.send_from_server(self.id, message);
    }

    fn stream_ended(
        &self,
        shared: &Shared,
        error: &ExchangeError,
        has_started: bool,
    ) -> StreamFailure {
        if let ExchangeError::Malformed(reason) = error {
            self.log_malformed(&reason.to_string());
        }
        if !has_started {
            return StreamFailure::NoResponse;
        }
        // If this front closed the connection, or it expired, its end says nothing about the server.
        let socket = self.stream_socket();
        if socket.is_some_and(|socket| !socket.is_closed()) {
            shared.send_from_server(self.id, ServerMessage::StreamClosed);
        }
        StreamFailure::StreamClosed
    }

    fn log_malformed(&self, reason: &str) {
        tracing::warn!(server_id = self.id.0, reason, "server stream malformed");
    }
}

fn connect_failure(error: &io::Error) -> StreamFailure {
    match error.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => StreamFailure::Refused,
        _ => StreamFailure::NoResponse,
    }
}
