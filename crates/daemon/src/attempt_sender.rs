//! Sends set-ups to servers. Each set-up has its own coroutine, and a connection that it shares with no other set-up
//! while it lasts.
use crate::message::EventLoopMessage;
use crate::shared::Shared;
use crankpaddle_front::{AttemptId, AttemptOutcome, SetUpResult};
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{spawn_with_state, CloseReason, Socket, Stack};
use crankpaddle_server_protocol::sessions;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Largest accepted body of a response.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;

/// A set-up that is ready to be sent.
pub(crate) struct SetUpRequest {
    pub address: SocketAddr,
    /// The whole HTTP request.
    pub bytes: Vec<u8>,
    pub handle: Arc<AttemptHandle>,
}

/// Lets the event loop abandon an attempt in flight.
#[derive(Default)]
pub(crate) struct AttemptHandle(Mutex<AttemptState>);

#[derive(Default)]
enum AttemptState {
    #[default]
    Connecting,
    InFlight(Arc<Socket>),
    Completed,
}

impl AttemptHandle {
    /// Ends the attempt: the part of the request that is not written yet is never written, and the answer is ignored.
    pub(crate) fn abandon(&self) {
        if let AttemptState::InFlight(socket) = self.complete() {
            socket.close(CloseReason::NotNeeded);
        }
    }

    /// Records the connection that the attempt is sent over. Returns false if the attempt was abandoned before.
    fn send_over(&self, socket: &Arc<Socket>) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_connecting = matches!(*state, AttemptState::Connecting);
        if is_connecting {
            *state = AttemptState::InFlight(socket.clone());
        }
        is_connecting
    }

    /// Records that the answer was received. Returns false if the attempt was abandoned before.
    fn answered(&self) -> bool {
        matches!(self.complete(), AttemptState::InFlight(_))
    }

    /// Ends the attempt and returns its previous state.
    fn complete(&self) -> AttemptState {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut state, AttemptState::Completed)
    }
}

/// Reports the result of an attempt to the event loop when it is dropped. It is the state of the attempt's coroutine, so an
/// attempt whose coroutine panics or overflows its stack ends too.
struct ResultReport {
    shared: Arc<Shared>,
    attempt: AttemptId,
    /// `None` if the coroutine did not return. The set-up may have run then.
    result: Mutex<Option<SetUpResult>>,
}

impl ResultReport {
    fn result(&self) -> MutexGuard<'_, Option<SetUpResult>> {
        self.result.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ResultReport {
    fn drop(&mut self) {
        let result = self.result().take();
        self.shared.send(EventLoopMessage::SetUpCompleted {
            attempt: self.attempt,
            result: result.unwrap_or(SetUpResult::Ended(AttemptOutcome::Reset, Vec::new())),
        });
    }
}

/// Sends an attempt; its result reaches the event loop as a message.
pub(crate) fn send(shared: Arc<Shared>, attempt: AttemptId, request: SetUpRequest) {
    let report = ResultReport {
        shared,
        attempt,
        result: Mutex::new(None),
    };
    spawn_with_state(Stack::Default, report, move |report| {
        let result = perform(&report.shared, &request);
        *report.result() = Some(result);
    });
}

fn perform(shared: &Shared, request: &SetUpRequest) -> SetUpResult {
    let ended = |outcome| SetUpResult::Ended(outcome, Vec::new());
    let Ok(socket) = connection(shared, &request.address) else {
        return ended(AttemptOutcome::ConnectFailed);
    };
    if !request.handle.send_over(&socket) {
        return ended(AttemptOutcome::NotSent);
    }
    // A failed write counts as a failed connection, which proves that the set-up never ran, only if no byte of the
    // request was written. After that the server may have received enough of it.
    if let Err(error) = socket.write_all(&request.bytes) {
        return ended(if error.written == 0 {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Reset
        });
    }
    let mut exchange = HttpExchange::new(socket.clone());
    let (response, body) = match exchange.response(MAX_RESPONSE_BYTES) {
        Ok(answer) => answer,
        Err(ExchangeError::Closed | ExchangeError::Broken) => return ended(AttemptOutcome::Reset),
        Err(ExchangeError::Malformed(_)) => return ended(AttemptOutcome::ServerError),
    };
    if request.handle.answered() && response.keeps_alive() && exchange.is_buffer_empty() {
        let idle_timeout = shared.limits().pool_idle_timeout;
        shared.pool.put(request.address, socket, idle_timeout);
    }
    sessions::parse_set_up_response(&response, &body)
}

/// An idle connection to the server, or a new one.
fn connection(shared: &Shared, address: &SocketAddr) -> io::Result<Arc<Socket>> {
    if let Some(socket) = shared.pool.take(address) {
        return Ok(socket);
    }
    let socket = Socket::connect(address, shared.connect_timeout())?;
    let socket = Arc::new(socket);
    shared.server_sweeper.watch(&socket);
    Ok(socket)
}
