//! The thread that writes a store.
//!
//! Writes have a thread of their own, because a coroutine that waits for a disk blocks all other coroutines of its thread.
//! Requests go through a queue, and a requester that waits is notified when its writes are durable. Requests that arrive while
//! the disk is busy are committed together.
use crate::errors::StoreError;
use crate::open::Store;
use crankpaddle_recovery::StoreWrite;
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long requests for which no requester waits are collected before they are committed together.
const GROUP_COMMIT_DELAY: Duration = Duration::from_millis(100);
/// The maximum number of requests in one commit, which bounds its duration.
const MAX_GROUP_REQUESTS: usize = 1024;
/// How long after a failed commit the disk is not accessed again. Requests fail at once during that time.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A request to write.
#[derive(Debug)]
pub struct WriteRequest {
    /// The writes, which are applied in this order, all or nothing.
    pub writes: Vec<StoreWrite>,
    /// Identifies the requester that waits until the writes are durable; `None` if no requester waits.
    pub token: Option<u64>,
}

/// A handle to the thread that writes a store.
#[derive(Debug)]
pub struct StoreWriter {
    requests: Sender<WriteRequest>,
    thread: JoinHandle<()>,
}

impl StoreWriter {
    /// Starts the thread. It calls `on_written` for each token once it is known whether the writes are durable.
    pub fn start(
        store: Store,
        on_written: impl Fn(u64, Result<(), &StoreError>) + Send + 'static,
    ) -> StoreWriter {
        let (requests, received_requests) = mpsc::channel();
        let thread = std::thread::spawn(move || run(store, &received_requests, on_written));
        StoreWriter { requests, thread }
    }

    /// Queues a request. Returns false if the thread has ended, in which case the requester is not notified.
    pub fn submit(&self, request: WriteRequest) -> bool {
        if request.writes.is_empty() && request.token.is_none() {
            return true;
        }
        self.requests.send(request).is_ok()
    }

    /// Closes the queue. Returns the thread, which still writes the queued requests. Join it where blocking is allowed.
    #[must_use]
    pub fn finish(self) -> JoinHandle<()> {
        self.thread
    }
}

/// The last failed commit.
struct WriteFailure {
    at: Instant,
    error: StoreError,
}

fn run(
    mut store: Store,
    requests: &Receiver<WriteRequest>,
    on_written: impl Fn(u64, Result<(), &StoreError>),
) {
    let mut failure: Option<WriteFailure> = None;
    while let Ok(first) = requests.recv() {
        let group = collect_group(first, requests);
        failure = commit_or_fail_fast(&mut store, &group, failure);
        notify_requesters(&group, failure.as_ref(), &on_written);
    }
}

/// Collects the requests of one commit: those that are queued, and as long as no requester waits also those that arrive within
/// [`GROUP_COMMIT_DELAY`].
fn collect_group(first: WriteRequest, requests: &Receiver<WriteRequest>) -> Vec<WriteRequest> {
    let deadline = Instant::now() + GROUP_COMMIT_DELAY;
    let mut group = vec![first];
    while group.len() < MAX_GROUP_REQUESTS {
        let requester_waits = group.iter().any(|request| request.token.is_some());
        let next = if requester_waits {
            requests.try_recv().map_err(|_| RecvTimeoutError::Timeout)
        } else {
            requests.recv_timeout(deadline.saturating_duration_since(Instant::now()))
        };
        let Ok(request) = next else { break };
        group.push(request);
    }
    group
}

/// Commits a group, or fails it at once if the last failure is more recent than [`RETRY_DELAY`]. Returns the failure; `None` if
/// the group was committed.
fn commit_or_fail_fast(
    store: &mut Store,
    group: &[WriteRequest],
    previous_failure: Option<WriteFailure>,
) -> Option<WriteFailure> {
    match previous_failure {
        Some(failure) if failure.at.elapsed() < RETRY_DELAY => Some(failure),
        Some(_) => commit(store, group, true),
        None => commit(store, group, false),
    }
}

fn commit(store: &mut Store, group: &[WriteRequest], was_failing: bool) -> Option<WriteFailure> {
    let writes: Vec<StoreWrite> = group
        .iter()
        .flat_map(|request| request.writes.iter().cloned())
        .collect();
    let Err(error) = store.write(&writes) else {
        if was_failing {
            tracing::info!(dir = %store.dir().display(), "store writes succeed again");
        }
        return None;
    };
    if !was_failing {
        log_write_failure(store, &error);
    }
    Some(WriteFailure {
        at: Instant::now(),
        error,
    })
}

fn log_write_failure(store: &Store, error: &StoreError) {
    tracing::error!(
        dir = %store.dir().display(),
        %error,
        help = error.help_text(),
        "store write failed"
    );
}

fn notify_requesters(
    group: &[WriteRequest],
    failure: Option<&WriteFailure>,
    on_written: &impl Fn(u64, Result<(), &StoreError>),
) {
    for token in group.iter().filter_map(|request| request.token) {
        let result = failure.map_or(Ok(()), |failure| Err(&failure.error));
        on_written(token, result);
    }
}
