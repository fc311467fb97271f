//! Structured logs on standard error, written by a thread of their own: a coroutine must not wait for a terminal.
use std::io::BufWriter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines queued for the writer at most; beyond, lines are dropped rather than players delayed.
const QUEUED_LINES: usize = 65_536;

/// Bytes of the writer's buffer.
const BUFFER_BYTES: usize = 64 * 1024;

/// Starts the logs; they are written until the guard is dropped. No secret of a player is ever logged: idempotency keys,
/// and so sessions, appear by number only.
pub(crate) fn start(level: &str, json: bool) -> WorkerGuard {
    start_bounded(level, json, QUEUED_LINES)
}

/// As [`start`], with at most `queued_lines` lines queued for the writer.
pub(crate) fn start_bounded(level: &str, json: bool, queued_lines: usize) -> WorkerGuard {
    // The writer flushes when its queue is empty: under load one system call writes many lines.
    let out = BufWriter::with_capacity(BUFFER_BYTES, std::io::stderr());
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(queued_lines)
        .finish(out);
    // `may` is the coroutine runtime's target.
    let filter = EnvFilter::try_from_env("CRANKPADDLE_LOG")
        .unwrap_or_else(|_| EnvFilter::new(format!("{level},may=warn")));
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_ansi(false);
    if json {
        logs.json().flatten_event(true).init();
    } else {
        logs.init();
    }
    guard
}
