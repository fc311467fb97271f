//! Writes files, each replaced as a whole, on a thread of its own, because a coroutine must not wait for a disk.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;

/// The text to write next. There is at most one, however slow the disk is: a newer text replaces it.
#[derive(Default)]
struct LatestText {
    state: Mutex<LatestTextState>,
    changed: Condvar,
}

#[derive(Default)]
struct LatestTextState {
    text: Option<String>,
    is_closed: bool,
}

impl LatestText {
    fn state(&self) -> MutexGuard<'_, LatestTextState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn replace(&self, text: String) {
        self.state().text = Some(text);
        self.changed.notify_one();
    }

    /// Makes [`LatestText::take`] return `None` once the last text was taken.
    fn close(&self) {
        self.state().is_closed = true;
        self.changed.notify_one();
    }

    /// Waits for a text and takes it; `None` after the close.
    fn take(&self) -> Option<String> {
        let mut state = self
            .changed
            .wait_while(self.state(), |state| {
                state.text.is_none() && !state.is_closed
            })
            .unwrap_or_else(PoisonError::into_inner);
        state.text.take()
    }
}

/// A writer's thread. Dropping this lets the thread end after the last text.
struct WriterThread {
    latest: Arc<LatestText>,
    thread: Option<JoinHandle<()>>,
}

impl Drop for WriterThread {
    fn drop(&mut self) {
        self.latest.close();
    }
}

/// Writes the latest queued text to a file. A text may be skipped if a newer one is queued before it is written.
pub(crate) struct FileWriter(Option<WriterThread>);

impl FileWriter {
    /// Starts a writer to a file; if `path` is `None`, it writes nothing. `content` names the file's content in log lines.
    pub(crate) fn start(path: Option<PathBuf>, content: &'static str) -> FileWriter {
        let writer = path.map(|path| {
            let latest = Arc::new(LatestText::default());
            let queue = latest.clone();
            let thread = std::thread::spawn(move || write_all(&path, content, &queue));
            WriterThread {
                latest,
                thread: Some(thread),
            }
        });
        FileWriter(writer)
    }

    /// Whether the writer has a file to write.
    pub(crate) fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Queues a text to replace the file's content.
    pub(crate) fn write(&self, text: String) {
        if let Some(writer) = &self.0 {
            writer.latest.replace(text);
        }
    }

    /// Closes the queue and returns the thread, which may still be writing. It must be joined where blocking is allowed.
    pub(crate) fn finish(self) -> Option<JoinHandle<()>> {
        self.0.and_then(|mut writer| writer.thread.take())
    }
}

fn write_all(path: &Path, content: &'static str, queue: &LatestText) {
    while let Some(text) = queue.take() {
        if let Err(error) = replace_file(path, text.as_bytes()) {
            tracing::warn!(path = %path.display(), reason = %error, content, "file write failed");
        }
    }
}

/// Replaces a file atomically: at any moment either the old or the new content is there.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("new");
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&next, path)
}

#[cfg(test)]
mod tests;
