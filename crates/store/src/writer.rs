//! A store on a thread of its own.
//!
//! Danger: a coroutine that waits for a disk stops all others of its thread. So orders go through a queue, and who waits for one is
//! told when it is on disk. What came while the disk was busy goes together.
use crate::errors::Error;
use crate::open::Store;
use crankpaddle_recovery::StoreWrite;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Writes that nobody waits for go to disk together, after this time.
pub const GATHER: Duration = Duration::from_millis(100);
/// Orders of one commit at most.
const MOST: usize = 1024;
/// After a fault of the disk those that wait are told at once, and it is tried again after this time.
const AFTER_FAULT: Duration = Duration::from_millis(500);

/// What is to be written.
#[derive(Debug)]
pub struct WriteRequest {
    /// In this order, all or nothing.
    pub writes: Vec<StoreWrite>,
    /// Who waits until it is on disk.
    pub token: Option<u64>,
}

/// The way to the thread that writes.
#[derive(Debug)]
pub struct StoreWriter {
    orders: Sender<WriteRequest>,
    thread: JoinHandle<()>,
}

impl StoreWriter {
    /// Starts it. `done` is told who waits no more, and whether what they waited for is on disk.
    pub fn start(
        store: Store,
        done: impl Fn(u64, Result<(), &Error>) + Send + 'static,
    ) -> StoreWriter {
        let (orders, inbox) = mpsc::channel();
        let thread = std::thread::spawn(move || run(store, &inbox, done));
        StoreWriter { orders, thread }
    }

    /// Writes. False: the thread has died, and nobody will be told.
    pub fn submit(&self, order: WriteRequest) -> bool {
        order.writes.is_empty() && order.token.is_none() || self.orders.send(order).is_ok()
    }

    /// Ends; gives the thread that still writes, to be waited for where waiting is allowed.
    pub fn finish(self) -> JoinHandle<()> {
        self.thread
    }
}

/// Takes what lies there, and waits for company while nobody waits for it.
fn gather(first: WriteRequest, inbox: &Receiver<WriteRequest>) -> Vec<WriteRequest> {
    let mut orders = vec![first];
    let until = Instant::now() + GATHER;
    while orders.len() < MOST {
        let next = match orders.iter().any(|o| o.token.is_some()) {
            true => inbox.try_recv().map_err(|_| RecvTimeoutError::Timeout),
            false => inbox.recv_timeout(until.saturating_duration_since(Instant::now())),
        };
        match next {
            Ok(order) => orders.push(order),
            Err(_) => break,
        }
    }
    orders
}

fn run(mut store: Store, inbox: &Receiver<WriteRequest>, done: impl Fn(u64, Result<(), &Error>)) {
    let mut fault: Option<(Instant, Error)> = None;
    while let Ok(first) = inbox.recv() {
        let orders = gather(first, inbox);
        let result = match fault.take() {
            Some((at, e)) if at.elapsed() < AFTER_FAULT => Err((at, e)),
            before => {
                let writes: Vec<StoreWrite> = orders
                    .iter()
                    .flat_map(|o| o.writes.iter().cloned())
                    .collect();
                let result = store.write(&writes);
                match (&result, before.is_some()) {
                    (Ok(()), true) => {
                        tracing::info!(dir = %store.dir().display(), "the store is written again");
                    }
                    (Err(e), false) => {
                        let help = miette::Diagnostic::help(e)
                            .map(|h| h.to_string())
                            .unwrap_or_default();
                        tracing::error!(%e, help, "the store can't be written");
                    }
                    _ => {}
                }
                result.map_err(|e| (Instant::now(), e))
            }
        };
        for token in orders.iter().filter_map(|o| o.token) {
            let told = match &result {
                Ok(()) => Ok(()),
                Err((_, e)) => Err(e),
            };
            done(token, told);
        }
        fault = result.err();
    }
}
