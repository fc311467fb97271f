//! A proxy that withholds what one side sends, and cuts connections.
use super::wait;
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Whose messages a proxy withholds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Withheld {
    /// Of the side that connects.
    Requests,
    /// Of the side that is connected to.
    Responses,
}

/// A proxy in front of a listener.
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    state: Arc<ProxyState>,
}

struct ProxyState {
    withheld: Withheld,
    is_withholding: AtomicBool,
    /// Pieces that arrived while they were withheld.
    withheld_pieces: AtomicUsize,
    connections: Mutex<Vec<ProxiedConnection>>,
}

/// Both sides of a connection.
struct ProxiedConnection {
    client: TcpStream,
    server: TcpStream,
    is_cut: Arc<AtomicBool>,
}

impl FaultProxy {
    pub(crate) fn start(target: SocketAddr, withheld: Withheld) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(ProxyState {
            withheld,
            is_withholding: AtomicBool::new(false),
            withheld_pieces: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let of_connections = state.clone();
        std::thread::spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else { return };
                forward(client, target, &of_connections);
            }
        });
        FaultProxy { address, state }
    }

    /// From now on, nothing that the one side sends is passed on.
    pub(crate) fn withhold(&self) {
        self.state.is_withholding.store(true, Ordering::Release);
    }

    /// Waits until something was sent that is withheld, on a connection that was not reset.
    pub(crate) fn wait_for_withheld(&self) {
        wait("something is withheld", || {
            self.state.withheld_pieces.load(Ordering::Acquire) > 0
        });
    }

    /// Passes on what was withheld, and all that follows.
    pub(crate) fn pass_on(&self) {
        self.state.is_withholding.store(false, Ordering::Release);
    }

    /// Ends all connections by a reset, as a machine does that fails and restarts. What was withheld on them is lost.
    pub(crate) fn reset_connections(&self) {
        self.state.withheld_pieces.store(0, Ordering::Release);
        for connection in self.state.connections.lock().expect("unpoisoned").drain(..) {
            connection.is_cut.store(true, Ordering::Release);
            for stream in [&connection.client, &connection.server] {
                set_socket_linger(stream, Some(Duration::ZERO)).expect("an option");
                let _ = stream.shutdown(Shutdown::Read); // Its copying thread ends.
            }
        }
    }
}

fn forward(client: TcpStream, target: SocketAddr, state: &Arc<ProxyState>) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    for stream in [&client, &server] {
        stream
            .set_nodelay(true)
            .expect("small messages go out at once");
    }
    let clone = |stream: &TcpStream| stream.try_clone().expect("a descriptor");
    let is_cut = Arc::new(AtomicBool::new(false));
    let requests = Direction {
        from: clone(&client),
        to: clone(&server),
        is_cut: is_cut.clone(),
        is_withheld: state.withheld == Withheld::Requests,
    };
    let responses = Direction {
        from: clone(&server),
        to: clone(&client),
        is_cut: is_cut.clone(),
        is_withheld: state.withheld == Withheld::Responses,
    };
    state
        .connections
        .lock()
        .expect("unpoisoned")
        .push(ProxiedConnection {
            client,
            server,
            is_cut,
        });
    for direction in [requests, responses] {
        let state = state.clone();
        std::thread::spawn(move || direction.copy(&state));
    }
}

/// One direction of a connection.
struct Direction {
    from: TcpStream,
    to: TcpStream,
    is_cut: Arc<AtomicBool>,
    is_withheld: bool,
}

impl Direction {
    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Acquire)
    }

    /// Copies until the connection ends.
    fn copy(mut self, state: &ProxyState) {
        let mut piece = [0u8; 4096];
        while let Ok(length @ 1..) = self.from.read(&mut piece) {
            self.wait_while_withheld(state);
            if self.is_cut() || self.to.write_all(&piece[..length]).is_err() {
                break;
            }
        }
        if !self.is_cut() {
            let _ = self.to.shutdown(Shutdown::Write); // It may have ended.
        }
    }

    fn wait_while_withheld(&self, state: &ProxyState) {
        while self.is_withheld && state.is_withholding.load(Ordering::Acquire) && !self.is_cut() {
            state.withheld_pieces.fetch_add(1, Ordering::AcqRel);
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
