//! Structured logs on standard error, written by a thread of their own: a coroutine must not wait for a terminal.
use std::io::BufWriter;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait for the writer at most; beyond, lines are dropped rather than players kept waiting.
const WAITING: usize = 65_536;

const BUFFER: usize = 64 * 1024;

/// Starts the logs; they are written until the guard is dropped. Nothing that a player keeps secret is ever logged:
/// keys, and so sessions, appear by number only.
pub(crate) fn start(level: &str, json: bool) -> WorkerGuard {
    start_bounded(level, json, WAITING)
}

/// The same with another bound on the lines that wait.
pub(crate) fn start_bounded(level: &str, json: bool, waiting: usize) -> WorkerGuard {
    // The writer flushes when no line waits: under load many lines go out with one call of the kernel.
    let out = BufWriter::with_capacity(BUFFER, std::io::stderr());
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(waiting)
        .finish(out);
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
