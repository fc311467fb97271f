use super::*;
use crankpaddle_net::{spawn, Socket, Stack};
use std::net::TcpListener;
use std::time::Duration;

fn conn(viewers: &Viewers, listener: &TcpListener, id: u64, spoke: bool) -> Arc<Conn> {
    crankpaddle_net::start(Some(1));
    let (address, (give, given)) = (listener.local_addr().unwrap(), std::sync::mpsc::channel());
    spawn(Stack::Usual, move || drop(give.send(Socket::connect(&address, Duration::from_secs(20)))));
    let socket = given.recv_timeout(Duration::from_secs(30)).expect("it connects").expect("somebody listens");
    let conn = Arc::new(Conn::new(ConnId(id), Outbox::new(Arc::new(socket), 1024), id));
    conn.spoke.store(spoke, Ordering::Relaxed);
    viewers.enter(&conn);
    conn
}

/// Fails where each call closes another one, whether or not the one before has gone.
#[test]
fn one_connection_is_closed_at_a_time_and_none_of_use_before_those_of_none() {
    let (viewers, listener) = (Viewers::new(1), TcpListener::bind("127.0.0.1:0").unwrap());
    let all = [(1, true), (2, false), (3, false)].map(|(id, spoke)| conn(&viewers, &listener, id, spoke));
    let shut = || all.iter().map(|c| c.outbox.socket().is_shut()).collect::<Vec<_>>();
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
