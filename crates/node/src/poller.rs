//! The directory: asked again and again on a thread of its own, which only waits.
use crate::shared::{Msg, Shared};
use crankpaddle_node_protocol::directory::{answer, query, List, MOST_ANSWER};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two questions, the first answered. What happened counts as told after 1.5 s at the latest.
const EVERY: Duration = Duration::from_millis(250);
/// An answer that takes longer counts as lost.
const WITHIN: Duration = Duration::from_millis(150);
/// Pause after a question that came to nothing.
const PAUSE: Duration = Duration::from_millis(50);
/// The thread's stack.
const STACK: usize = 128 * 1024;

/// Follows the directory until told to stop.
///
/// # Errors
/// The thread can't be started.
pub(crate) fn follow(shared: Arc<Shared>, until: Arc<AtomicBool>) -> io::Result<()> {
    let thread = std::thread::Builder::new().name("directory".into()).stack_size(STACK);
    thread.spawn(move || {
        let mut held = shared.config.known.clone();
        let mut line: Option<(SocketAddr, UdpSocket)> = None;
        while !until.load(Ordering::Acquire) {
            let address = shared.nameserver();
            if line.as_ref().is_none_or(|(to, _)| *to != address) {
                line = connect(shared.config.listen, address).ok().map(|socket| (address, socket));
            }
            let told = line.as_ref().and_then(|(_, socket)| ask(socket));
            match told {
                // One that is older than what is held changes nothing.
                Some(list) if list.serial >= held.serial => {
                    if list != held {
                        held = list.clone();
                        shared.tell(Msg::List(list));
                    }
                    std::thread::sleep(EVERY);
                }
                _ => std::thread::sleep(PAUSE),
            }
        }
    })?;
    Ok(())
}

/// From the node's own address; only the directory's answers come through.
fn connect(own: SocketAddr, to: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(SocketAddr::new(own.ip(), 0))?;
    socket.connect(to)?;
    Ok(socket)
}

/// Asks once; `None` if no answer came that says anything.
fn ask(socket: &UdpSocket) -> Option<List> {
    let id: u16 = rand::random();
    socket.send(&query(id).ok()?).ok()?;
    let until = Instant::now() + WITHIN;
    let mut bytes = [0u8; MOST_ANSWER];
    loop {
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        socket.set_read_timeout(Some(left)).ok()?;
        let got = socket.recv(&mut bytes).ok()?;
        match answer(id, &bytes[..got]) {
            Ok(list) => return Some(list),
            // Others may be answers to earlier questions: the right one may still come.
            Err(fault) => tracing::debug!(%fault, "the directory's answer is of no use"),
        }
    }
}
