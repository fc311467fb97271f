//! Frees closed streams after a delay, because `may` still reads from them for a moment.
use crate::{clock, runtime};
use crankpaddle_time::Time;
use may::net::TcpStream;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How long a closed stream is kept: much longer than a thread may take between making a coroutine resumable and its last
/// read from the stream.
const FREE_DELAY: Duration = Duration::from_millis(200);
/// Most closed streams that are kept, as each occupies a file descriptor.
const MAX_CLOSED_STREAMS: usize = 1024;

/// A closed stream that is to be freed.
struct ClosedStream {
    closed_at: Time,
    stream: Box<TcpStream>,
}

static CLOSED: Mutex<VecDeque<ClosedStream>> = Mutex::new(VecDeque::new());

/// Keeps a closed stream for [`FREE_DELAY`] before it is freed, and frees earlier streams whose delay has passed.
///
/// `wait_io` of `may` (0.3.51, `RawIoBlock::subscribe`) makes the coroutine resumable and then still reads from the stream.
/// If the coroutine wakes on another thread, ends and frees the stream meanwhile, that is a read of freed memory. The cost
/// of the delay is that the file descriptor of a closed socket is released some 200 ms late.
///
/// With one worker thread the stream is freed immediately: the coroutine can't resume before that thread has finished the
/// wait, and file descriptors may be scarce.
pub(super) fn free_later(stream: Box<TcpStream>) {
    if runtime::has_one_worker() {
        return drop(stream);
    }
    let now = clock::now();
    let due = {
        let mut closed = CLOSED.lock().unwrap_or_else(PoisonError::into_inner);
        closed.push_back(ClosedStream {
            closed_at: now,
            stream,
        });
        take_due(&mut closed, now)
    };
    // The streams are freed after the lock is released, because closing their descriptors takes time.
    for closed in due {
        drop(closed.stream);
    }
}

/// Removes the streams whose delay has passed, and the oldest ones beyond [`MAX_CLOSED_STREAMS`].
fn take_due(closed: &mut VecDeque<ClosedStream>, now: Time) -> Vec<ClosedStream> {
    let mut due = Vec::new();
    while closed.len() > MAX_CLOSED_STREAMS || is_oldest_due(closed, now) {
        due.extend(closed.pop_front());
    }
    due
}

fn is_oldest_due(closed: &VecDeque<ClosedStream>, now: Time) -> bool {
    let oldest = closed.front();
    oldest.is_some_and(|oldest| now.duration_since(oldest.closed_at) > FREE_DELAY)
}
