//! Writes files, each replaced as a whole, on a thread of its own, because a coroutine must not wait for a disk.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread::JoinHandle;

struct WriterThread {
    texts: mpsc::Sender<String>,
    thread: JoinHandle<()>,
}

/// Writes the latest queued text to a file. A text may be skipped if a newer one is queued before it is written.
pub(crate) struct FileWriter(Option<WriterThread>);

impl FileWriter {
    /// Starts a writer to a file; if `path` is `None`, it writes nothing. `content` names the file's content in log lines.
    pub(crate) fn start(path: Option<PathBuf>, content: &'static str) -> FileWriter {
        let writer = path.map(|path| {
            let (texts, queue) = mpsc::channel::<String>();
            let thread = std::thread::spawn(move || write_all(&path, content, &queue));
            WriterThread { texts, thread }
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
            let _ = writer.texts.send(text); // Never fails: the thread lives as long as this sender.
        }
    }

    /// Closes the queue and returns the thread, which may still be writing. It must be joined where blocking is allowed.
    pub(crate) fn finish(self) -> Option<JoinHandle<()>> {
        self.0.map(|writer| writer.thread)
    }
}

fn write_all(path: &Path, content: &'static str, queue: &mpsc::Receiver<String>) {
    while let Ok(mut text) = queue.recv() {
        while let Ok(newer) = queue.try_recv() {
            text = newer;
        }
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
