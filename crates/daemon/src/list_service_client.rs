//! The subscription to the list service, and the endpoint list saved on disk, with which a front starts while the
//! service is unavailable.
use crate::backoff::ExponentialBackoff;
use crate::errors::{SavedFileError, StartError};
use crate::message::EventLoopMessage;
use crate::shared::Shared;
use crankpaddle_config::Config;
use crankpaddle_http::head::OK;
use crankpaddle_net::exchange::{Events, ExchangeError, HttpExchange};
use crankpaddle_net::{clock, sleep, spawn, Socket, Stack};
use crankpaddle_server_protocol::list::{self, CachedEndpoints};
use crankpaddle_time::nanoseconds;
use std::fs;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Backoff between subscriptions, before jitter is applied.
const BACKOFF: ExponentialBackoff = ExponentialBackoff {
    initial: Duration::from_millis(100),
    max: Duration::from_secs(2),
};

/// A subscription ended without a valid endpoint list.
struct NoListReceived;

/// Loads the endpoint list that a previous incarnation saved, if there is one. A malformed file is ignored, because the
/// service sends a new list.
///
/// # Errors
/// The file can't be read.
pub(crate) fn load_cached_list(config: &Config) -> Result<Option<CachedEndpoints>, StartError> {
    let Some(path) = &config.list_cache else {
        return Ok(None);
    };
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => {
            return Err(StartError::SavedFile {
                path: path.clone(),
                source: SavedFileError::Read(error),
            });
        }
    };
    match CachedEndpoints::from_text(&text) {
        Ok(endpoints) => Ok(Some(endpoints)),
        Err(reason) => {
            tracing::warn!(path = %path.display(), %reason, "cached endpoint list ignored");
            Ok(None)
        }
    }
}

/// Starts a coroutine that keeps a subscription to the list service until `is_stopped` is set.
pub(crate) fn follow(shared: Arc<Shared>, is_stopped: Arc<AtomicBool>) {
    spawn(Stack::Default, move || {
        let mut consecutive_failures = 0u32;
        while !is_stopped.load(Ordering::Acquire) {
            let result = subscribe(&shared);
            shared.send(EventLoopMessage::EndpointListUnavailable);
            consecutive_failures = match result {
                Ok(()) => 0,
                Err(NoListReceived) => consecutive_failures + 1,
            };
            sleep(backoff_with_jitter(consecutive_failures));
        }
    });
}

/// The backoff with random jitter: between half of it and all of it, so that fronts do not reconnect at the same time.
fn backoff_with_jitter(consecutive_failures: u32) -> Duration {
    let longest = nanoseconds(BACKOFF.pause(consecutive_failures));
    Duration::from_nanos(rand::random_range(longest / 2..=longest))
}

/// Subscribes and passes endpoint lists to the event loop until the stream ends. Returns `Ok` if at least one arrived.
fn subscribe(shared: &Shared) -> Result<(), NoListReceived> {
    let mut events = open_stream(shared).ok_or(NoListReceived)?;
    let mut result = Err(NoListReceived);
    loop {
        let event = match events.next() {
            Ok(event) => event,
            Err(error) => {
                if let ExchangeError::Malformed(reason) = error {
                    tracing::warn!(%reason, "list service stream malformed");
                }
                return result;
            }
        };
        match list::read(&event) {
            Ok(Some((kind, list))) => {
                result = Ok(());
                shared.send(EventLoopMessage::EndpointListReceived { kind, list });
            }
            Ok(None) => {} // An unknown kind of event, which a later release of the service may send.
            // The subscription ends here, because changes after one that can't be read would be applied to the wrong
            // list. A new subscription starts with a full list.
            Err(reason) => {
                tracing::warn!(%reason, "list service stream malformed");
                return result;
            }
        }
    }
}

fn open_stream(shared: &Shared) -> Option<Events> {
    let address = shared.config.list_service;
    let socket = Socket::connect(&address, shared.connect_timeout()).ok()?;
    let socket = Arc::new(socket);
    let silence_timeout = shared.limits().silence_timeout;
    socket.set_expiry(clock::now() + silence_timeout);
    shared.server_sweeper.watch(&socket);
    let request = list::subscribe(&address.to_string(), shared.names.front_name());
    socket.write_all(&request).ok()?;
    let mut exchange = HttpExchange::new(socket);
    let head = exchange.response_head().ok()?;
    if head.status != OK {
        return None;
    }
    exchange.events(&head, silence_timeout).ok()
}
