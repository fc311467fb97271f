//! Set-ups at servers, each a coroutine with a connection of its own while it lasts.
use crate::shared::{Msg, Shared};
use crankpaddle_front::{AttemptId, AttemptOutcome, Input, SetUpResult};
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{spawn, Socket, Stack};
use crankpaddle_server_protocol::sessions;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Bytes of an answer's body at most.
const MOST_ANSWER: u64 = 64 * 1024;

/// An attempt that is out, so that it can be abandoned.
#[derive(Default)]
pub(crate) struct Out(Mutex<State>);

#[derive(Default)]
enum State {
    #[default]
    Connecting,
    On(Arc<Socket>),
    Over,
}

impl Out {
    /// Nothing more is waited for; what was not written yet never will be.
    pub(crate) fn abandon(&self) {
        let before = std::mem::replace(
            &mut *self.0.lock().unwrap_or_else(PoisonError::into_inner),
            State::Over,
        );
        if let State::On(socket) = before {
            socket.close();
        }
    }

    /// Takes the connection that the attempt goes out on; false if it was abandoned before.
    fn goes_on(&self, socket: &Arc<Socket>) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let connecting = matches!(*state, State::Connecting);
        if connecting {
            *state = State::On(socket.clone());
        }
        connecting
    }

    /// The answer is there; false if it was abandoned before.
    fn answered(&self) -> bool {
        let before = std::mem::replace(
            &mut *self.0.lock().unwrap_or_else(PoisonError::into_inner),
            State::Over,
        );
        matches!(before, State::On(_))
    }
}

/// Sends an attempt and tells the hub how it came out.
pub(crate) fn send(
    shared: Arc<Shared>,
    attempt: AttemptId,
    address: SocketAddr,
    bytes: Vec<u8>,
    out: Arc<Out>,
) {
    spawn(Stack::Usual, move || {
        let came_out = carry(&shared, address, &bytes, &out);
        shared.tell(Msg::Server(Input::SetUpCompleted(attempt, came_out)));
    });
}

fn carry(shared: &Shared, address: SocketAddr, bytes: &[u8], out: &Out) -> SetUpResult {
    let ended = |outcome| SetUpResult::Ended(outcome, Vec::new());
    let socket = match shared.pool.take(&address) {
        Some(socket) => socket,
        None => match Socket::connect(&address, shared.connect_within()) {
            Ok(socket) => {
                let socket = Arc::new(socket);
                shared.quick.watch(&socket);
                socket
            }
            Err(_) => return ended(AttemptOutcome::ConnectFailed),
        },
    };
    if !out.goes_on(&socket) {
        return ended(AttemptOutcome::NotSent);
    }
    // "Never ran" is claimed only where nothing of the request was written; one byte of it may have been enough.
    if let Err((written, _)) = socket.write_all(bytes) {
        return ended(if written == 0 {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Reset
        });
    }
    let mut wire = HttpExchange::new(socket.clone());
    let (response, body) = match wire.response(MOST_ANSWER) {
        Ok(answer) => answer,
        Err(ExchangeError::Closed | ExchangeError::Broken) => return ended(AttemptOutcome::Reset),
        Err(ExchangeError::Bad(_)) => return ended(AttemptOutcome::ServerError),
    };
    if out.answered() && response.keeps_alive() && wire.is_clean() {
        shared.pool.put(address, socket, shared.limits().pool_idle);
    }
    sessions::set_up_answer(&response, &body)
}
