//! Peers that send at full speed do not keep other connections from being served.
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{accept_each, listen};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
const QUESTION: &[u8] = b"GET /question HTTP/1.1\r\nhost: x\r\n\r\n";
const ANSWER: &[u8] = b"answer";

/// Starts a server that answers the path `/question` and no other.
fn start_server() -> SocketAddr {
    crankpaddle_net::start(Some(1)); // All connections share one worker thread.
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    accept_each(
        listener,
        Arc::default(),
        || (),
        |socket, ()| {
            let socket = Arc::new(socket);
            let mut exchange = HttpExchange::new(socket.clone());
            while let Ok(request) = exchange.request_head(None) {
                if request.target == "/question" && socket.write_all(ANSWER).is_err() {
                    return;
                }
            }
        },
    );
    address
}

/// Guards against a reader that never waits: on its worker thread no other socket is polled while its peer sends.
#[test]
fn a_peer_that_sends_requests_at_full_speed_does_not_delay_another() {
    let address = start_server();
    let should_stop = Arc::new(AtomicBool::new(false));
    let flooding: Vec<_> = (0..4)
        .map(|_| {
            let should_stop = should_stop.clone();
            let mut stream = TcpStream::connect(address).expect("the server listens");
            std::thread::spawn(move || {
                let requests = REQUEST.repeat(1000);
                while !should_stop.load(Ordering::Relaxed) {
                    stream.write_all(&requests).expect("the server reads");
                }
            })
        })
        .collect();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(address).expect("the server listens");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a bound");
        stream.write_all(QUESTION).expect("the server reads");
        let mut answer = [0u8; ANSWER.len()];
        stream.read_exact(&mut answer).expect("an answer in time");
        assert_eq!(answer, ANSWER);
    }
    should_stop.store(true, Ordering::Relaxed);
    for thread in flooding {
        thread.join().expect("the server reads to the end");
    }
}
