//! The list service, and the copy of the list on disk that a front starts from when the service is down.
use crate::shared::{Msg, Shared};
use crankpaddle_config::Config;
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{clock, sleep, spawn, Socket, Stack};
use crankpaddle_server_protocol::list::{self, CachedEndpoints};
use std::fs;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const MILLISECOND: u64 = 1_000_000;
/// First and longest pause between calls of the service; half of it is drawn, so that fronts do not call together.
const PAUSE: (u64, u64) = (100 * MILLISECOND, 2000 * MILLISECOND);

/// The list as it was when this front last ran, if there is one.
pub(crate) fn cached(config: &Config) -> io::Result<Option<CachedEndpoints>> {
    let Some(path) = &config.list_cache else {
        return Ok(None);
    };
    match fs::read_to_string(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(io::Error::new(e.kind(), format!("{}: {e}", path.display()))),
        Ok(text) => match CachedEndpoints::from_text(&text) {
            Ok(held) => Ok(Some(held)),
            // A broken copy must not keep a front from starting: the service will tell.
            Err(what) => {
                tracing::warn!(path = %path.display(), what = what.to_string(), "the cached list is not used");
                Ok(None)
            }
        },
    }
}

/// Follows the service for ever.
pub(crate) fn follow(shared: Arc<Shared>, until: Arc<AtomicBool>) {
    spawn(Stack::Usual, move || {
        let mut misses = 0u32;
        while !until.load(Ordering::Acquire) {
            let heard = listen(&shared).is_some();
            shared.tell(Msg::ListFailed);
            misses = if heard { 0 } else { misses + 1 };
            let pause = PAUSE.0.saturating_mul(1 << misses.min(8)).min(PAUSE.1);
            sleep(Duration::from_nanos(rand::random_range(pause / 2..=pause)));
        }
    });
}

/// Listens as long as the service speaks; `None` if it said nothing.
fn listen(shared: &Shared) -> Option<()> {
    let address = shared.config.list_service;
    let socket = Arc::new(Socket::connect(&address, shared.connect_within()).ok()?);
    let silence = shared.limits().silence;
    socket.set_expiry(clock::now().saturating_add(silence));
    shared.quick.watch(&socket);
    socket
        .write_all(&list::subscribe(&address.to_string(), shared.names.front()))
        .ok()?;
    let mut wire = HttpExchange::new(socket);
    let head = wire.response_head().ok().filter(|h| h.status == 200)?;
    let mut events = wire.events(&head, silence).ok()?;
    let mut heard = None;
    loop {
        let event = match events.next() {
            Ok(event) => event,
            Err(fault) => {
                if let ExchangeError::Bad(bad) = fault {
                    tracing::warn!(%bad, "the list service's stream is malformed");
                }
                return heard;
            }
        };
        match list::read(&event) {
            Ok(Some((kind, list))) => {
                heard = Some(());
                shared.tell(Msg::List(kind, list));
            }
            Ok(None) => {}
            // Danger: after a change that can't be read, later ones apply to the wrong list. Call again for a whole.
            Err(what) => {
                tracing::warn!(%what, "the list service's stream is malformed");
                return heard;
            }
        }
    }
}
