//! Many connects that fail or end immediately. The connect of `may` (0.3.51) reads freed memory in this case, which crashes the
//! process; `Socket::connect` does not use it.
use crankpaddle_net::{sleep, spawn, Socket, Stack};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const COROUTINES: usize = 64;
const CONNECTS_PER_COROUTINE: usize = 200;

/// Runs `run`, which gets the index of its coroutine, in [`COROUTINES`] coroutines and waits until all have ended.
fn in_many_coroutines(run: impl Fn(usize) + Send + Sync + 'static) {
    crankpaddle_net::start(Some(4));
    let (run, running) = (Arc::new(run), Arc::new(AtomicUsize::new(COROUTINES)));
    for index in 0..COROUTINES {
        let (run, running) = (run.clone(), running.clone());
        spawn(Stack::Default, move || {
            run(index);
            running.fetch_sub(1, Ordering::AcqRel);
        });
    }
    let deadline = Instant::now() + Duration::from_secs(60);
    while running.load(Ordering::Acquire) > 0 {
        assert!(
            Instant::now() < deadline,
            "{} coroutines have not ended",
            running.load(Ordering::Acquire)
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn refused_connects_are_reported_as_refused_without_a_crash() {
    let unused = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = unused.local_addr().unwrap();
    drop(unused);
    let refused = Arc::new(AtomicUsize::new(0));
    let count = refused.clone();
    in_many_coroutines(move |index| {
        for attempt in 0..CONNECTS_PER_COROUTINE {
            if (index + attempt) % 7 == 0 {
                sleep(Duration::from_millis(1)); // The coroutine resumes on the thread of the timers.
            }
            match Socket::connect(&address, Duration::from_millis(250)) {
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                    let _ = count.fetch_add(1, Ordering::Relaxed);
                }
                Err(error) => panic!("{error}"),
                Ok(_) => panic!("connected to a port without a listener"),
            }
        }
    });
    assert_eq!(
        refused.load(Ordering::Relaxed),
        COROUTINES * CONNECTS_PER_COROUTINE
    );
}

#[test]
fn closing_sockets_from_both_ends_at_once_causes_no_crash() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            drop(stream); // Closes it as soon as it is accepted.
        }
    });
    in_many_coroutines(move |_| {
        for _ in 0..CONNECTS_PER_COROUTINE / 4 {
            let socket = Arc::new(Socket::connect(&address, Duration::from_secs(10)).unwrap());
            let mut byte = [0u8; 1];
            assert!(!matches!(socket.read(&mut byte), Ok(count) if count > 0));
        }
    });
}

#[test]
fn a_connection_that_is_never_established_times_out() {
    // While the accept queue of a listener is full, further connections are not established.
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
        "the accept queue should be full"
    );
    in_many_coroutines(move |index| {
        if index == 0 {
            let started = Instant::now();
            let error_kind = Socket::connect(&address, Duration::from_millis(100))
                .err()
                .map(|error| error.kind());
            assert_eq!(error_kind, Some(ErrorKind::TimedOut));
            assert!(started.elapsed() >= Duration::from_millis(100));
        }
    });
}
