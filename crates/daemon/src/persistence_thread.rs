//! Texts that are kept on disk, written by a thread of their own: a coroutine must not wait for a disk.
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread::JoinHandle;

/// Keeps the latest of the texts that it is given.
pub(crate) struct Keeper(Option<(mpsc::Sender<String>, JoinHandle<()>)>);

impl Keeper {
    /// Keeps in a file, or nowhere. `what` names the texts in the log.
    pub(crate) fn start(path: Option<PathBuf>, what: &'static str) -> Keeper {
        let Some(path) = path else {
            return Keeper(None);
        };
        let (sender, texts) = mpsc::channel::<String>();
        let thread = std::thread::spawn(move || {
            while let Ok(mut text) = texts.recv() {
                while let Ok(newer) = texts.try_recv() {
                    text = newer;
                }
                if let Err(e) = replace(&path, text.as_bytes()) {
                    tracing::warn!(path = %path.display(), %e, what, "not kept");
                }
            }
        });
        Keeper(Some((sender, thread)))
    }

    /// Whether anything is kept at all.
    pub(crate) fn keeps(&self) -> bool {
        self.0.is_some()
    }

    pub(crate) fn keep(&self, text: String) {
        if let Some((sender, _)) = &self.0 {
            let _ = sender.send(text); // The thread ends with this only.
        }
    }

    /// Ends; gives the thread that still writes, to be waited for where waiting is allowed.
    pub(crate) fn finish(self) -> Option<JoinHandle<()>> {
        self.0.map(|(_, thread)| thread)
    }
}

/// Replaces a file as a whole: at any moment the old or the new one is there.
fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let next = path.with_extension("new");
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&next, path)
}
