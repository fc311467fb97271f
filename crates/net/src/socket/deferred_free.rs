//! Closed streams that are freed after a delay.
use crate::{clock, runtime};
use crankpaddle_time::Time;
use may::net::TcpStream;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// How long a closed stream is held: much longer than a thread may take between handing a coroutine over and
/// its last read from the stream.
const DELAY: Duration = Duration::from_millis(200);
/// Streams held at most, as each holds a file descriptor.
const MAX_HELD: usize = 1024;

/// A closed stream.
struct ClosedStream {
    closed_at: Time,
    stream: Box<TcpStream>,
}

static CLOSED: Mutex<VecDeque<ClosedStream>> = Mutex::new(VecDeque::new());

/// Frees a closed stream after a delay.
///
/// Why: `wait_io` of may (0.3.51) hands the coroutine over first and then still reads from the stream
/// (`RawIoBlock::subscribe`); a coroutine that wakes on another thread, ends and frees the stream meanwhile would leave
/// that read to freed memory. The cost: a closed socket's descriptor is freed some 200 ms late.
///
/// With one worker a coroutine can't run on before the one thread is done with the wait, and descriptors may be few: then
/// the stream is freed at once.
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
    // The lock is released: closing the descriptors takes time.
    for closed in due {
        drop(closed.stream);
    }
}

fn take_due(closed: &mut VecDeque<ClosedStream>, now: Time) -> Vec<ClosedStream> {
    let mut due = Vec::new();
    while closed.len() > MAX_HELD || is_oldest_due(closed, now) {
        due.extend(closed.pop_front());
    }
    due
}

fn is_oldest_due(closed: &VecDeque<ClosedStream>, now: Time) -> bool {
    let oldest = closed.front();
    oldest.is_some_and(|oldest| now.duration_since(oldest.closed_at) > DELAY)
}
