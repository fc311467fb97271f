use super::*;
use crankpaddle_net::{spawn, Socket, Stack};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

fn conn(viewers: &Viewers, listener: &TcpListener, id: u64, spoke: bool) -> Arc<Conn> {
    crankpaddle_net::start(Some(1));
    let (address, (give, given)) = (listener.local_addr().unwrap(), std::sync::mpsc::channel());
    spawn(Stack::Usual, move || {
        drop(give.send(Socket::connect(&address, Duration::from_secs(20))));
    });
    let socket = given
        .recv_timeout(Duration::from_secs(30))
        .expect("it connects")
        .expect("somebody listens");
    let conn = Arc::new(Conn::new(
        ConnId(id),
        WriteBuffer::new(Arc::new(socket), 1024),
        id,
    ));
    conn.spoke.store(spoke, Ordering::Relaxed);
    viewers.enter(&conn);
    conn
}

/// Fails where each call closes another one, whether or not the one before has gone.
#[test]
fn one_connection_is_closed_at_a_time_and_none_of_use_before_those_of_none() {
    let (viewers, listener) = (Viewers::new(1), TcpListener::bind("127.0.0.1:0").unwrap());
    let all =
        [(1, true), (2, false), (3, false)].map(|(id, spoke)| conn(&viewers, &listener, id, spoke));
    let shut = || {
        all.iter()
            .map(|c| c.outbox.socket().is_closed())
            .collect::<Vec<_>>()
    };
    viewers.shed();
    assert_eq!(shut(), [false, true, false]);
    for _ in 0..100 {
        viewers.shed();
    }
    assert_eq!(shut(), [false, true, false], "its place is not free yet");
    viewers.leave(ConnId(2));
    viewers.shed();
    assert_eq!(shut(), [false, true, true]);
}

/// Both ends of a connection whose kernel buffers are small.
fn pair(listener: &TcpListener) -> (Arc<Socket>, TcpStream) {
    crankpaddle_net::start(Some(1));
    rustix::net::sockopt::set_socket_recv_buffer_size(listener, 1024).unwrap();
    let (address, (give, given)) = (listener.local_addr().unwrap(), std::sync::mpsc::channel());
    spawn(Stack::Usual, move || {
        drop(give.send(Socket::connect(&address, Duration::from_secs(20))));
    });
    let (peer, _) = listener.accept().unwrap();
    let socket = given
        .recv_timeout(Duration::from_secs(30))
        .unwrap()
        .unwrap();
    (Arc::new(socket), peer)
}

/// Fails where only what the hub has heard of counts.
#[test]
fn what_is_unread_unheard_unanswered_or_unsent_is_owed_and_nothing_else() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (socket, mut peer) = pair(&listener);
    let conn = Conn::new(ConnId(1), WriteBuffer::new(socket.clone(), 64 << 20), 0);
    assert!(!conn.owes(5, true));
    conn.unheard.store(1, Ordering::Relaxed);
    assert!(
        conn.owes(5, true) && !conn.owes(5, false),
        "read and not heard"
    );
    conn.unheard.store(0, Ordering::Relaxed);
    conn.open.store(1, Ordering::Relaxed);
    assert!(conn.owes(5, false), "heard and not answered");
    conn.open.store(0, Ordering::Relaxed);
    conn.amid.store(true, Ordering::Relaxed);
    assert!(
        conn.owes(5, true) && !conn.owes(5, false),
        "begun and not whole"
    );
    conn.amid.store(false, Ordering::Relaxed);
    conn.owe_until(10);
    while conn.outbox.is_empty() {
        assert!(
            conn.outbox.push(&[b'x'; 4096]),
            "the kernel takes no end of bytes"
        );
    }
    assert!(
        conn.owes(5, false),
        "an answer that a slow reader has not taken"
    );
    assert!(!conn.owes(10, false), "its viewer waits no more");
    let mut piece = [0u8; 65_536];
    while !conn.outbox.flush() {
        assert!(peer.read(&mut piece).unwrap() > 0);
    }
    assert!(!conn.owes(5, true), "it is on its way");
    peer.write_all(b"x").unwrap();
    assert!(conn.owes(5, true) && !conn.owes(5, false), "not read yet");
    assert_eq!(socket.try_read(&mut piece).unwrap(), Some(1));
    assert!(!conn.owes(5, true));
}

/// Fails where the close for want of room, or for silence, looks at what was heard only.
#[test]
fn who_has_said_something_that_is_not_read_or_heard_is_not_closed() {
    let (viewers, listener) = (Viewers::new(1), TcpListener::bind("127.0.0.1:0").unwrap());
    let (socket, mut peer) = pair(&listener);
    let conn = Arc::new(Conn::new(
        ConnId(1),
        WriteBuffer::new(socket.clone(), 1024),
        0,
    ));
    viewers.enter(&conn);
    peer.write_all(b"{").unwrap();
    socket.set_expiry(1);
    socket.expire(2);
    viewers.shed();
    assert!(!socket.is_closed(), "it lies unread");
    assert_eq!(socket.try_read(&mut [0u8; 8]).unwrap(), Some(1));
    conn.unheard.store(1, Ordering::Relaxed);
    viewers.shed();
    assert!(!socket.is_closed(), "it lies unheard");
    conn.unheard.store(0, Ordering::Relaxed);
    socket.expire(2);
    assert!(socket.is_closed(), "nothing is owed, and its time has come");
}

/// A message that began while a set-up waits for its answer on the same connection.
#[test]
fn a_message_that_is_not_whole_in_time_takes_no_set_up_with_it() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (socket, _peer) = pair(&listener);
    let conn = Conn::new(ConnId(1), WriteBuffer::new(socket, 1024), 0);
    conn.owe_until(100);
    assert_eq!(conn.whole_by(5, 10), 15);
    conn.open.store(1, Ordering::Relaxed);
    assert_eq!(conn.whole_by(5, 10), 110, "its answer comes first");
}
