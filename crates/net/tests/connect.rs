//! Many connections that fail at once: the case in which the connect of may (0.3.51) reads freed memory.
use crankpaddle_net::{sleep, spawn, Socket, Stack};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const COROUTINES: usize = 64;
const EACH: usize = 200;

/// Runs `each` in many coroutines and waits until all have ended.
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
fn refused_connections_are_reported_as_refused_and_crash_nothing() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = unused.local_addr().unwrap();
    drop(unused);
    let refused = Arc::new(AtomicUsize::new(0));
    let count = refused.clone();
    in_many(move |n| {
        for k in 0..EACH {
            if (n + k) % 7 == 0 {
                sleep(Duration::from_millis(1)); // Continues on the timers' thread.
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
fn sockets_closed_by_both_ends_at_once_crash_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            drop(stream); // Closed as soon as it is accepted.
        }
    });
    in_many(move |_| {
        for _ in 0..EACH / 4 {
            let socket = Arc::new(Socket::connect(&address, Duration::from_secs(10)).unwrap());
            let mut byte = [0u8; 1];
            assert!(!matches!(socket.read(&mut byte), Ok(n) if n > 0));
        }
    });
}

#[test]
fn a_connection_that_is_never_established_times_out() {
    // A listener whose queue is full accepts no more: further connections are never established.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into())
        .unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let queued: Vec<_> = (0..8)
        .map(|_| std::net::TcpStream::connect_timeout(&address, Duration::from_millis(50)))
        .collect();
    assert!(
        queued.iter().any(std::result::Result::is_err),
        "the queue is full"
    );
    in_many(move |n| {
        if n == 0 {
            let started = Instant::now();
            let e = Socket::connect(&address, Duration::from_millis(100))
                .err()
                .map(|e| e.kind());
            assert_eq!(e, Some(ErrorKind::TimedOut));
            assert!(started.elapsed() >= Duration::from_millis(100));
        }
    });
}
