//! Structured logs on standard error. A separate thread writes them, because a coroutine must not block on a slow terminal
//! or pipe.
use std::io::BufWriter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Maximum number of log lines queued for the writer thread. Further lines are dropped, so that a slow reader of the log
/// doesn't delay players.
const MAX_QUEUED_LINES: usize = 65_536;

/// Size of the writer's buffer.
const WRITE_BUFFER_BYTES: usize = 64 * 1024;

/// Starts the logs, which are written until the guard is dropped. Secrets of players are never logged: idempotency keys, and
/// so sessions, appear only by number.
pub(crate) fn start(level: &str, json: bool) -> WorkerGuard {
    start_bounded(level, json, MAX_QUEUED_LINES)
}

/// Like [`start`], with at most `max_queued_lines` lines queued for the writer thread.
pub(crate) fn start_bounded(level: &str, json: bool, max_queued_lines: usize) -> WorkerGuard {
    // The writer flushes when its queue is empty, so that under load one system call writes many lines.
    let out = BufWriter::with_capacity(WRITE_BUFFER_BYTES, std::io::stderr());
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(max_queued_lines)
        .finish(out);
    // `may` is the log target of the coroutine runtime.
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
