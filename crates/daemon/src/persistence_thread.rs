//! Files that are replaced as a whole by a thread of their own: a coroutine must not wait for a disk.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread::JoinHandle;

struct WriterThread {
    texts: mpsc::Sender<String>,
    thread: JoinHandle<()>,
}

/// Writes the latest text that it is given to a file; one that a newer text follows at once may be skipped.
pub(crate) struct FileWriter(Option<WriterThread>);

impl FileWriter {
    /// A writer to this file; without a path it writes nothing. `content` names the texts in the log.
    pub(crate) fn start(path: Option<PathBuf>, content: &'static str) -> FileWriter {
        let writer = path.map(|path| {
            let (texts, queue) = mpsc::channel::<String>();
            let thread = std::thread::spawn(move || write_all(&path, content, &queue));
            WriterThread { texts, thread }
        });
        FileWriter(writer)
    }

    /// Whether anything is written at all.
    pub(crate) fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Queues a text.
    pub(crate) fn write(&self, text: String) {
        if let Some(writer) = &self.0 {
            let _ = writer.texts.send(text); // The thread ends with this sender only.
        }
    }

    /// Ends the queue; returns the thread that still writes, to be joined where waiting is allowed.
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

/// Replaces a file as a whole: at any moment the old or the new one is there.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("new");
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&next, path)
}
