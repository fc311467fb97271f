use super::*;
use crate::input_gate::InputGate;
use crate::viewer_connection::MESSAGE_GRACE;
use crankpaddle_net::WriteBuffer;
use crankpaddle_net::{spawn, Socket, Stack};
use crankpaddle_time::Time;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

fn viewer_connection(
    id: ConnectionId,
    socket: Arc<Socket>,
    max_outbox_bytes: usize,
    now: Time,
) -> ViewerConnection {
    let gate = InputGate::new(socket.clone(), 1024, Arc::default());
    ViewerConnection::new(
        id,
        WriteBuffer::new(socket, max_outbox_bytes),
        Arc::new(gate),
        now,
    )
}

fn connect(
    table: &ConnectionTable,
    listener: &TcpListener,
    id: u64,
    has_sent_message: bool,
) -> Arc<ViewerConnection> {
    crankpaddle_net::start(Some(1));
    let (address, (sender, receiver)) =
        (listener.local_addr().unwrap(), std::sync::mpsc::channel());
    spawn(Stack::Default, move || {
        drop(sender.send(Socket::connect(&address, Duration::from_secs(20))));
    });
    let socket = receiver
        .recv_timeout(Duration::from_secs(30))
        .expect("the connect completes")
        .expect("the listener accepts");
    let connection = Arc::new(viewer_connection(
        ConnectionId(id),
        Arc::new(socket),
        1024,
        Time(id),
    ));
    connection
        .has_sent_message
        .store(has_sent_message, Ordering::Relaxed);
    table.insert(&connection);
    connection
}

/// Guards against closing one connection after the other before the first one has freed its slot.
#[test]
fn one_connection_is_closed_at_a_time_and_unused_ones_before_used_ones() {
    let (table, listener) = (
        ConnectionTable::new(1),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let connections = [(1, true), (2, false), (3, false)]
        .map(|(id, has_sent)| connect(&table, &listener, id, has_sent));
    let closed = || {
        connections
            .iter()
            .map(|connection| connection.outbox.socket().is_closed())
            .collect::<Vec<_>>()
    };
    table.close_least_used();
    assert_eq!(closed(), [false, true, false]);
    for _ in 0..100 {
        table.close_least_used();
    }
    assert_eq!(
        closed(),
        [false, true, false],
        "the closed connection has not freed its slot yet"
    );
    table.remove(ConnectionId(2));
    table.close_least_used();
    assert_eq!(closed(), [false, true, true]);
}

/// Guards against closing a connection in use because silent ones are accepted and not in the table yet.
#[test]
fn no_connection_is_closed_before_all_that_were_accepted_are_in_the_table() {
    let (table, listener) = (
        ConnectionTable::new(2),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    assert!(table.acquire_slot() && table.acquire_slot());
    let used = connect(&table, &listener, 1, true);
    assert!(!table.acquire_slot());
    table.release_slot();
    assert!(
        !used.outbox.socket().is_closed(),
        "a silent connection is accepted and not in the table yet"
    );
    let silent = connect(&table, &listener, 2, false);
    assert!(!table.acquire_slot());
    table.release_slot();
    assert!(silent.outbox.socket().is_closed());
    assert!(!used.outbox.socket().is_closed());
}

/// Both ends of a connection with small kernel buffers.
fn small_buffer_pair(listener: &TcpListener) -> (Arc<Socket>, TcpStream) {
    crankpaddle_net::start(Some(1));
    rustix::net::sockopt::set_socket_recv_buffer_size(listener, 1024).unwrap();
    let (address, (sender, receiver)) =
        (listener.local_addr().unwrap(), std::sync::mpsc::channel());
    spawn(Stack::Default, move || {
        drop(sender.send(Socket::connect(&address, Duration::from_secs(20))));
    });
    let (peer, _) = listener.accept().unwrap();
    let socket = receiver
        .recv_timeout(Duration::from_secs(30))
        .unwrap()
        .unwrap();
    (Arc::new(socket), peer)
}

/// Guards against counting only input that the event loop has handled.
#[test]
fn what_is_unread_partial_queued_or_unanswered_is_pending_work() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (socket, mut peer) = small_buffer_pair(&listener);
    let connection = viewer_connection(ConnectionId(1), socket.clone(), 64 << 20, Time(0));
    let pending = |unread| connection.has_pending_work(Time(5), unread);
    assert!(!pending(UnreadInput::Include));
    connection.queued_messages.store(1, Ordering::Relaxed);
    assert!(
        pending(UnreadInput::Include) && !pending(UnreadInput::Ignore),
        "a message that was read and not handled"
    );
    connection.queued_messages.store(0, Ordering::Relaxed);
    connection.pending_set_ups.store(1, Ordering::Relaxed);
    assert!(
        pending(UnreadInput::Ignore),
        "a set-up that was handled and not answered"
    );
    connection.pending_set_ups.store(0, Ordering::Relaxed);
    connection.set_partial_message_since(Some(Time(5)));
    assert!(
        pending(UnreadInput::Include) && !pending(UnreadInput::Ignore),
        "a message that was partially received"
    );
    connection.set_partial_message_since(None);
    peer.write_all(b"x").unwrap();
    assert!(
        pending(UnreadInput::Include) && !pending(UnreadInput::Ignore),
        "input that was not read"
    );
    assert_eq!(socket.try_read(&mut [0u8; 65_536]).unwrap(), Some(1));
    assert!(!pending(UnreadInput::Include));
}

/// Guards against clients that stop amid a message and keep all slots for the time that a message may take (review, case 5).
#[test]
fn a_connection_whose_message_is_overdue_gives_its_slot_up_unless_something_else_is_pending() {
    let (table, listener) = (
        ConnectionTable::new(3),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let now = clock::now();
    let [with_session, stopped, young] = [(1, true), (2, true), (3, false)]
        .map(|(id, has_sent)| connect(&table, &listener, id, has_sent));
    stopped.set_partial_message_since(Some(now - 2 * MESSAGE_GRACE));
    young.set_partial_message_since(Some(now));
    assert!(stopped.may_be_displaced(now) && !young.may_be_displaced(now));
    assert!(young.may_be_displaced(now + 2 * MESSAGE_GRACE));
    for count in [&stopped.pending_set_ups, &stopped.queued_messages] {
        count.store(1, Ordering::Relaxed);
        assert!(!stopped.may_be_displaced(now), "a set-up would be lost");
        count.store(0, Ordering::Relaxed);
    }
    table.close_least_used();
    assert!(
        stopped.outbox.socket().is_closed(),
        "it has sent a message before"
    );
    assert!(!with_session.outbox.socket().is_closed());
}

#[test]
fn what_is_unsent_is_pending_work_until_its_viewer_has_timed_out() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (socket, mut peer) = small_buffer_pair(&listener);
    let connection = viewer_connection(ConnectionId(1), socket, 64 << 20, Time(0));
    connection.extend_output_deadline(Time(10));
    while connection.outbox.is_empty() {
        assert!(
            connection.outbox.push(&[b'x'; 4096]),
            "the buffer was full before the kernel refused bytes"
        );
    }
    assert!(
        connection.has_pending_work(Time(5), UnreadInput::Ignore),
        "an answer that a slow reader has not read"
    );
    assert!(
        !connection.has_pending_work(Time(10), UnreadInput::Ignore),
        "its viewer no longer waits"
    );
    let mut buffer = [0u8; 65_536];
    while !connection.outbox.flush() {
        assert!(peer.read(&mut buffer).unwrap() > 0);
    }
    assert!(
        !connection.has_pending_work(Time(5), UnreadInput::Include),
        "the kernel has accepted all output"
    );
}

/// Guards against load shedding, or the close of silent connections, that considers handled input only.
#[test]
fn a_connection_with_unread_or_queued_input_is_not_closed() {
    let (table, listener) = (
        ConnectionTable::new(1),
        TcpListener::bind("127.0.0.1:0").unwrap(),
    );
    let (socket, mut peer) = small_buffer_pair(&listener);
    let connection = Arc::new(viewer_connection(
        ConnectionId(1),
        socket.clone(),
        1024,
        Time(0),
    ));
    table.insert(&connection);
    peer.write_all(b"{").unwrap();
    socket.set_expiry(Time(1));
    socket.expire(Time(2));
    table.close_least_used();
    assert!(!socket.is_closed(), "the connection has unread input");
    assert_eq!(socket.try_read(&mut [0u8; 8]).unwrap(), Some(1));
    connection.queued_messages.store(1, Ordering::Relaxed);
    table.close_least_used();
    assert!(!socket.is_closed(), "the connection has a queued message");
    connection.queued_messages.store(0, Ordering::Relaxed);
    socket.expire(Time(2));
    assert!(
        socket.is_closed(),
        "nothing is pending, and the connection has expired"
    );
}

/// Guards against closing a connection for a partial message while a set-up on it waits for its answer.
#[test]
fn the_deadline_of_a_partial_message_leaves_time_for_pending_set_ups() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (socket, _peer) = small_buffer_pair(&listener);
    let connection = viewer_connection(ConnectionId(1), socket, 1024, Time(0));
    connection.extend_output_deadline(Time(100));
    let timeout = Duration::from_nanos(10);
    assert_eq!(connection.message_deadline(Time(5), timeout), Time(15));
    connection.pending_set_ups.store(1, Ordering::Relaxed);
    assert_eq!(
        connection.message_deadline(Time(5), timeout),
        Time(110),
        "the deadline starts when the viewer no longer waits for its answer"
    );
}
