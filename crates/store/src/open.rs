//! How a folder is taken: whose fault it is when it can't be, and what is begun instead.
//!
//! - Another process has it, or a later release wrote it: the operator's fault. Nothing is touched, and the front does not start.
//! - The file is torn: it is set aside, a new one is begun, and the past counts as unknown, so that servers are asked what they ran.
//! - The disk fails: the past is unknown, and nothing can be kept; the front starts and sets up nothing that is paid.
use crate::errors::Error;
use crate::tables::{self, Kept, VERSION};
use crankpaddle_recovery::{
    ConservativeBound, PreviousShutdown, RecoveredState, StillValid, StoreWrite,
};
use redb::{Builder, Database, DatabaseError, StorageBackend};
use std::fmt;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write as _};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const FILE: &str = "front.redb";
const VERSION_FILE: &str = "VERSION";
/// Memory that the database may use.
const CACHE: usize = 16 << 20;

type Opener = Box<dyn Fn(&Builder) -> Result<Database, DatabaseError> + Send>;

/// A store that is open. It is closed when it is dropped.
pub struct Store {
    db: Option<Database>, // None: after a fault of the disk it has to be opened anew.
    dir: PathBuf,
    again: Opener,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("dir", &self.dir)
            .finish_non_exhaustive()
    }
}

/// What came of taking a folder.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// What former lives left.
    pub recovered: RecoveredState,
    /// A file that was no store any more, set aside under this name.
    pub quarantined: Option<(PathBuf, Error)>,
}

/// What an error of the database comes from.
fn told(dir: &Path, e: redb::Error) -> Error {
    let dir = dir.to_owned();
    match e {
        redb::Error::DatabaseAlreadyOpen | redb::Error::LockProtocolMismatch => {
            Error::Locked { dir }
        }
        // Danger: bytes that are no database are told as an I/O error of this kind. A torn file taken for a failing disk would stop
        // paid service until an operator comes.
        redb::Error::Io(e)
            if matches!(e.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
        {
            Error::Torn {
                dir,
                what: e.to_string(),
            }
        }
        redb::Error::Io(source) => Error::Disk { dir, source },
        redb::Error::Corrupted(what) => Error::Torn { dir, what },
        other @ (redb::Error::PreviousIo | redb::Error::DatabaseClosed) => Error::Disk {
            dir,
            source: io::Error::other(other.to_string()),
        },
        other => Error::Torn {
            dir,
            what: other.to_string(),
        },
    }
}

fn opened(dir: &Path, made: Result<Database, DatabaseError>) -> Result<Database, Error> {
    made.map_err(|e| told(dir, e.into()))
}

/// Opens and reads. Danger: the database may panic on bytes that it did not write. Covered: its own check of all it holds, which finds
/// them at the price of one reading; a panic all the same counts as torn.
fn load(
    dir: &Path,
    open: impl Fn(&Builder) -> Result<Database, DatabaseError>,
) -> Result<(Database, Kept), Error> {
    let mut builder = Builder::new();
    builder
        .set_cache_size(CACHE)
        .set_check_integrity_on_open(true);
    let all = catch_unwind(AssertUnwindSafe(|| {
        let db = opened(dir, open(&builder))?;
        let kept = tables::read(&db).map_err(|e| told(dir, e))?;
        Ok((db, kept))
    }));
    all.unwrap_or_else(|_| {
        Err(Error::Torn {
            dir: dir.to_owned(),
            what: "the database gave up on it".into(),
        })
    })
}

fn past(kept: Kept, boot: &str) -> RecoveredState {
    let ended = match kept.epoch {
        0 => PreviousShutdown::Unknown,
        _ if kept.in_order => PreviousShutdown::Clean,
        _ if kept.boot != boot => PreviousShutdown::PowerLost,
        _ => PreviousShutdown::Killed,
    };
    RecoveredState {
        epoch: StillValid(kept.epoch + 1),
        intents: StillValid(kept.intents),
        fleet_size: ConservativeBound::new(kept.fleet),
        shutdown: ended,
        uptime_ms: StillValid(kept.ran),
    }
}

impl Store {
    /// Takes a folder, made if it is not there, and begins a life. `boot` differs with each boot of the host.
    ///
    /// # Errors
    /// It is another's, a later release's, or the disk fails; a torn file is no error.
    pub fn open(dir: &Path, boot: &str) -> Result<OpenedStore, Error> {
        let disk = |source: io::Error| Error::Disk {
            dir: dir.to_owned(),
            source,
        };
        fs::create_dir_all(dir).map_err(disk)?;
        let file = dir.join(FILE);
        let mut set_aside = None;
        match version(dir).map_err(disk)? {
            Version::Of(found) if found > VERSION => {
                return Err(Error::Future {
                    dir: dir.to_owned(),
                    found,
                    known: VERSION,
                })
            }
            Version::Of(_) => {}
            Version::None if !file.exists() => {}
            Version::None | Version::Torn => {
                let what = "its VERSION is missing or no number".to_owned();
                set_aside = aside(
                    dir,
                    Error::Torn {
                        dir: dir.to_owned(),
                        what,
                    },
                )
                .map_err(disk)?;
            }
        }
        write_version(dir).map_err(disk)?;
        let path = file;
        let again: Opener = Box::new(move |builder| builder.create(&path));
        let open = || load(dir, &again);
        let (db, kept) = match open() {
            Err(torn @ Error::Torn { .. }) => {
                set_aside = aside(dir, torn).map_err(disk)?.or(set_aside);
                open()?
            }
            other => other?,
        };
        let store = Store {
            db: Some(db),
            dir: dir.to_owned(),
            again,
        };
        let past = store.begin(kept, boot)?;
        Ok(OpenedStore {
            store,
            recovered: past,
            quarantined: set_aside,
        })
    }

    /// The same on any disk: for tests that watch it, slow it down or let it fail.
    ///
    /// # Errors
    /// The disk fails, or what is on it is no store.
    pub fn open_backend<B: StorageBackend + Clone>(
        backend: B,
        boot: &str,
    ) -> Result<OpenedStore, Error> {
        let dir = PathBuf::from("(a disk of its own)");
        let again: Opener = Box::new(move |builder| builder.create_with_backend(backend.clone()));
        let (db, kept) = load(&dir, &again)?;
        let store = Store {
            db: Some(db),
            dir,
            again,
        };
        let past = store.begin(kept, boot)?;
        Ok(OpenedStore {
            store,
            recovered: past,
            quarantined: None,
        })
    }

    fn begin(&self, kept: Kept, boot: &str) -> Result<RecoveredState, Error> {
        if kept.spoilt > 0 {
            tracing::warn!(dir = %self.dir.display(), entries = kept.spoilt, "entries of the store could not be read");
        }
        let past = past(kept, boot);
        if let Some(db) = &self.db {
            tables::begin(db, past.epoch.0, boot).map_err(|e| told(&self.dir, e))?;
        }
        Ok(past)
    }

    /// Writes, all or nothing; once it returns, it outlives a power loss. After a fault of the disk the next call opens it anew.
    ///
    /// # Errors
    /// The disk fails; none of it may be relied on.
    pub fn write(&mut self, writes: &[StoreWrite]) -> Result<(), Error> {
        if self.db.is_none() {
            // What is read is what this life wrote before the fault; it is known.
            self.db = Some(load(&self.dir, &self.again)?.0);
        }
        let Some(db) = &self.db else { return Ok(()) };
        tables::write(db, writes).map_err(|e| {
            self.db = None;
            told(&self.dir, e)
        })
    }

    /// The folder.
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

enum Version {
    None,
    Torn,
    Of(u32),
}

fn version(dir: &Path) -> io::Result<Version> {
    match fs::read(dir.join(VERSION_FILE)) {
        Ok(bytes) => {
            let text = String::from_utf8(bytes).unwrap_or_default();
            Ok(text
                .strip_suffix('\n')
                .and_then(|t| t.parse().ok())
                .map_or(Version::Torn, Version::Of))
        }
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(Version::None),
        Err(e) => Err(e),
    }
}

fn write_version(dir: &Path) -> io::Result<()> {
    if matches!(version(dir)?, Version::Of(VERSION)) {
        return Ok(());
    }
    let next = dir.join("VERSION.new");
    let mut file = File::create(&next)?;
    writeln!(file, "{VERSION}")?;
    file.sync_all()?;
    fs::rename(&next, dir.join(VERSION_FILE))?;
    File::open(dir)?.sync_all() // So that the name outlives a power loss too.
}

/// Sets a file aside that is no store any more; what it holds may still be of use to people.
fn aside(dir: &Path, why: Error) -> io::Result<Option<(PathBuf, Error)>> {
    let file = dir.join(FILE);
    if !file.exists() {
        return Ok(None);
    }
    let free = (1..)
        .map(|n| dir.join(format!("{FILE}.torn-{n}")))
        .find(|path| !path.exists());
    let Some(free) = free else { return Ok(None) };
    fs::rename(&file, &free)?;
    Ok(Some((free, why)))
}
