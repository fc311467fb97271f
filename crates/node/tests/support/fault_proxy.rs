//! A proxy that withholds the bytes that one side sends, and resets connections.
use super::wait;
use rustix::net::sockopt::set_socket_linger;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The direction in which a proxy withholds bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Withheld {
    /// From the side that connects.
    Requests,
    /// From the side that is connected to.
    Responses,
}

/// A proxy in front of a listening process.
pub(crate) struct FaultProxy {
    pub(crate) address: SocketAddr,
    state: Arc<ProxyState>,
}

struct ProxyState {
    withheld: Withheld,
    is_withholding: AtomicBool,
    /// Number of checks that found bytes to be withheld since the last reset of the connections.
    withheld_checks: AtomicUsize,
    connections: Mutex<Vec<ProxiedConnection>>,
}

/// Both sides of a proxied connection.
struct ProxiedConnection {
    client: TcpStream,
    server: TcpStream,
    is_reset: Arc<AtomicBool>,
}

impl FaultProxy {
    pub(crate) fn start(target: SocketAddr, withheld: Withheld) -> FaultProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let state = Arc::new(ProxyState {
            withheld,
            is_withholding: AtomicBool::new(false),
            withheld_checks: AtomicUsize::new(0),
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

    /// From now on, withholds all bytes of the chosen direction.
    pub(crate) fn withhold(&self) {
        self.state.is_withholding.store(true, Ordering::Release);
    }

    /// Waits until bytes are withheld on a connection that was not reset.
    pub(crate) fn wait_for_withheld(&self) {
        wait("the proxy withholds something", || {
            self.state.withheld_checks.load(Ordering::Acquire) > 0
        });
    }

    /// Passes on the bytes that were withheld, and all that follow.
    pub(crate) fn pass_on(&self) {
        self.state.is_withholding.store(false, Ordering::Release);
    }

    /// Ends the connection with this number, counted from 0 in the order in which they were opened, towards the side that connects.
    /// The other side is not told; what it sends on the connection is lost.
    pub(crate) fn end_towards_client(&self, number: usize) {
        let connections = self.state.connections.lock().expect("unpoisoned");
        let connection = &connections[number];
        connection.is_reset.store(true, Ordering::Release);
        let _ = connection.client.shutdown(Shutdown::Both); // It may have ended already.
    }

    /// Resets all connections, as a machine does that fails and restarts. Bytes that were withheld on them are lost.
    pub(crate) fn reset_connections(&self) {
        self.state.withheld_checks.store(0, Ordering::Release);
        for connection in self.state.connections.lock().expect("unpoisoned").drain(..) {
            connection.is_reset.store(true, Ordering::Release);
            for stream in [&connection.client, &connection.server] {
                set_socket_linger(stream, Some(Duration::ZERO)).expect("the option can be set");
                let _ = stream.shutdown(Shutdown::Read); // This ends its copying thread.
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
    let is_reset = Arc::new(AtomicBool::new(false));
    let requests = Direction {
        from: clone(&client),
        to: clone(&server),
        is_reset: is_reset.clone(),
        may_withhold: state.withheld == Withheld::Requests,
    };
    let responses = Direction {
        from: clone(&server),
        to: clone(&client),
        is_reset: is_reset.clone(),
        may_withhold: state.withheld == Withheld::Responses,
    };
    state
        .connections
        .lock()
        .expect("unpoisoned")
        .push(ProxiedConnection {
            client,
            server,
            is_reset,
        });
    for direction in [requests, responses] {
        let state = state.clone();
        std::thread::spawn(move || direction.copy(&state));
    }
}

/// One direction of a proxied connection.
struct Direction {
    from: TcpStream,
    to: TcpStream,
    is_reset: Arc<AtomicBool>,
    /// Whether this is the direction in which the proxy withholds bytes.
    may_withhold: bool,
}

impl Direction {
    fn is_reset(&self) -> bool {
        self.is_reset.load(Ordering::Acquire)
    }

    /// Copies bytes until the connection ends.
    fn copy(mut self, state: &ProxyState) {
        let mut buffer = [0u8; 4096];
        while let Ok(length @ 1..) = self.from.read(&mut buffer) {
            self.wait_while_withheld(state);
            if self.is_reset() || self.to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        if !self.is_reset() {
            let _ = self.to.shutdown(Shutdown::Write); // It may have ended already.
        }
    }

    fn wait_while_withheld(&self, state: &ProxyState) {
        while self.may_withhold && state.is_withholding.load(Ordering::Acquire) && !self.is_reset()
        {
            state.withheld_checks.fetch_add(1, Ordering::AcqRel);
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}
