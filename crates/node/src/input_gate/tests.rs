use super::*;
use crankpaddle_net::{spawn, Stack, WriteBuffer};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;

/// More than the kernel buffers on a loopback connection, so that the sender is stopped if nothing is read.
const SENT_BYTES: usize = 16 * 1024 * 1024;
const TIMEOUT: Duration = Duration::from_secs(30);
/// How long a reader that is not stopped by its gate gets to show that.
const QUIET: Duration = Duration::from_millis(300);

/// A reader that passes on what it reads in pieces of at most 4,096 bytes, and a client that sends at full speed.
struct Flood {
    gate: Arc<InputGate>,
    queue: Receiver<QueuedInput>,
    client: JoinHandle<TcpStream>,
}

impl Flood {
    fn start(max_queued_bytes: usize) -> Flood {
        crankpaddle_net::start(Some(1));
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, queue) = channel();
        let (gates, gate) = channel();
        spawn(Stack::Default, move || {
            let socket = Arc::new(Socket::connect(&address, TIMEOUT).expect("the test listens"));
            let outbox = WriteBuffer::new(socket.clone(), 1024);
            let gate = Arc::new(InputGate::new(socket, max_queued_bytes, Arc::default()));
            gates.send(gate.clone()).expect("the test waits");
            outbox.read_each::<4096>(|bytes| sender.send(gate.admit(bytes.len())).is_ok());
        });
        let (mut stream, _) = listener.accept().expect("the reader connects");
        let client = std::thread::spawn(move || {
            stream
                .write_all(&vec![b'x'; SENT_BYTES])
                .expect("the reader reads");
            stream
        });
        Flood {
            gate: gate.recv().expect("a gate"),
            queue,
            client,
        }
    }

    /// Takes what the reader queues until it queues nothing more.
    fn take_until_quiet(&self) -> Vec<QueuedInput> {
        std::iter::from_fn(|| self.queue.recv_timeout(QUIET).ok()).collect()
    }
}

/// Guards against a client at full speed that fills the memory with messages which are not handled yet.
#[test]
fn a_reader_stops_at_the_bound_and_goes_on_once_its_input_is_handled() {
    const MAX_QUEUED_BYTES: usize = 10_000;
    let flood = Flood::start(MAX_QUEUED_BYTES);
    let held = flood.take_until_quiet();
    let held_bytes: usize = held.iter().map(|queued| queued.bytes).sum();
    assert!((1..=MAX_QUEUED_BYTES).contains(&held_bytes), "{held_bytes}");
    drop(held);
    let mut handled_bytes = held_bytes;
    while handled_bytes < SENT_BYTES {
        let queued = flood
            .queue
            .recv_timeout(TIMEOUT)
            .expect("the reader goes on");
        assert!(flood.gate.queued_bytes() <= MAX_QUEUED_BYTES);
        handled_bytes += queued.bytes;
    }
    assert_eq!(handled_bytes, SENT_BYTES);
    drop(flood.client.join());
    assert_eq!(
        flood.queue.recv_timeout(TIMEOUT).err(),
        Some(RecvTimeoutError::Disconnected)
    );
    assert_eq!(flood.gate.queued_bytes(), 0);
}

/// Guards against a message that is longer than the bound and never passes.
#[test]
fn one_message_above_the_bound_is_queued_at_a_time() {
    let flood = Flood::start(1);
    for _ in 0..3 {
        assert_eq!(flood.take_until_quiet().len(), 1);
    }
    drop(flood.queue);
}
