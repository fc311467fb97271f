//! Connections that fail at once, many of them: the case in which may's own connect reads freed memory.
use crankpaddle_net::{sleep, spawn, Socket, Stack};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const COROUTINES: usize = 64;
const EACH: usize = 200;

/// Runs `each` in many coroutines and waits for all.
fn in_many(each: impl Fn(usize) + Send + Sync + 'static) {
    crankpaddle_net::start(Some(4));
    let (each, left) = (Arc::new(each), Arc::new(AtomicUsize::new(COROUTINES)));
    for n in 0..COROUTINES {
        let (each, left) = (each.clone(), left.clone());
        spawn(Stack::Usual, move || {
            each(n);
            left.fetch_sub(1, Ordering::AcqRel);
        });
    }
    let until = Instant::now() + Duration::from_secs(60);
    while left.load(Ordering::Acquire) > 0 {
        assert!(
            Instant::now() < until,
            "{} are stuck",
            left.load(Ordering::Acquire)
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn refused_connections_are_told_as_such_and_harm_nothing() {
    let free = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = free.local_addr().unwrap();
    drop(free);
    let refused = Arc::new(AtomicUsize::new(0));
    let count = refused.clone();
    in_many(move |n| {
        for k in 0..EACH {
            if (n + k) % 7 == 0 {
                sleep(Duration::from_millis(1)); // Goes on in the timers' thread.
            }
            match Socket::connect(&address, Duration::from_millis(250)) {
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                    let _ = count.fetch_add(1, Ordering::Relaxed);
                }
                Err(e) => panic!("{e}"),
                Ok(_) => panic!("nobody listens"),
            }
        }
    });
    assert_eq!(refused.load(Ordering::Relaxed), COROUTINES * EACH);
}

#[test]
fn sockets_closed_by_both_ends_at_once_harm_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            drop(stream); // Closed as soon as it is there.
        }
    });
    in_many(move |_| {
        for _ in 0..EACH / 4 {
            let socket = Arc::new(Socket::connect(&address, Duration::from_secs(10)).unwrap());
            let mut one = [0u8; 1];
            assert!(!matches!(socket.read(&mut one), Ok(n) if n > 0));
        }
    });
}

#[test]
fn a_connection_that_does_not_come_about_ends_in_time() {
    // A listener whose queue is full takes no more: what comes then waits in vain.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let held: Vec<_> = (0..8)
        .map(|_| std::net::TcpStream::connect_timeout(&address, Duration::from_millis(50)))
        .collect();
    assert!(
        held.iter().any(std::result::Result::is_err),
        "the queue is full"
    );
    in_many(move |n| {
        if n == 0 {
            let begun = Instant::now();
            let e = Socket::connect(&address, Duration::from_millis(100))
                .err()
                .map(|e| e.kind());
            assert_eq!(e, Some(ErrorKind::TimedOut));
            assert!(begun.elapsed() >= Duration::from_millis(100));
        }
    });
}
