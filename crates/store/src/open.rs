//! How a folder is opened: which fault makes that fail, and what is created instead.
//!
//! - Another process has it open, or a later release wrote it: the operator's fault. Nothing is changed, and the front does not start.
//! - The database file is corrupted: it is quarantined and a new one is created. The previous state counts as unknown, so that the
//!   servers are queried for what they ran.
//! - The disk fails: the previous state is unknown and nothing can be persisted. The front starts and sets up nothing that is paid.
use crate::database::{self, DatabaseOpener, LoadedDatabase};
use crate::errors::{Corruption, Error};
use crate::tables::{self, StoredState, VERSION};
use crate::version_file::{self, FolderVersion};
use crankpaddle_recovery::{
    ConservativeBound, PreviousShutdown, RecoveredState, StillValid, StoreWrite,
};
use redb::{Database, StorageBackend};
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

const DATABASE_FILE_NAME: &str = "front.redb";
/// Stands in messages for the folder of a store that has none.
const BACKEND_WITHOUT_FOLDER: &str = "(a disk of its own)";

/// An open store. Dropping it closes it.
pub struct Store {
    /// `None` after a fault of the disk, until it is reopened.
    database: Option<Database>,
    dir: PathBuf,
    opener: DatabaseOpener,
}

impl fmt::Debug for Store {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Store")
            .field("dir", &self.dir)
            .finish_non_exhaustive()
    }
}

/// The result of opening a folder.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// What previous incarnations persisted.
    pub recovered: RecoveredState,
    /// The corrupted database file that was moved aside, if there was one.
    pub quarantined: Option<QuarantinedFile>,
}

/// A corrupted database file that was moved aside.
#[derive(Debug)]
pub struct QuarantinedFile {
    /// Its new path.
    pub path: PathBuf,
    /// What is wrong with its content.
    pub reason: Error,
}

impl Store {
    /// Opens a folder, creates it if it does not exist, and begins an incarnation. `boot_id` identifies the present boot of the host.
    ///
    /// # Errors
    /// Another process has the folder open, a later release wrote it, or the disk fails. A corrupted database file is not an error.
    pub fn open(dir: &Path, boot_id: &str) -> Result<OpenedStore, Error> {
        fs::create_dir_all(dir).map_err(|source| Error::disk(dir, source))?;
        let unversioned = quarantine_unversioned(dir)?;
        version_file::write(dir).map_err(|source| Error::disk(dir, source))?;
        let path = dir.join(DATABASE_FILE_NAME);
        let opener: DatabaseOpener = Box::new(move |builder| builder.create(&path));
        let (loaded, corrupted) = load_or_replace(dir, &opener)?;
        begin(dir, opener, loaded, boot_id, corrupted.or(unversioned))
    }

    /// Opens a store on any storage backend: for tests that watch the disk, delay it or let it fail.
    ///
    /// # Errors
    /// The disk fails, or its content is not a valid store.
    pub fn open_backend<B: StorageBackend + Clone>(
        backend: B,
        boot_id: &str,
    ) -> Result<OpenedStore, Error> {
        let dir = Path::new(BACKEND_WITHOUT_FOLDER);
        let opener: DatabaseOpener =
            Box::new(move |builder| builder.create_with_backend(backend.clone()));
        let loaded = database::load(dir, &opener)?;
        begin(dir, opener, loaded, boot_id, None)
    }

    /// Writes all or nothing; the writes are durable once it returns. After a fault of the disk the next call reopens the database.
    ///
    /// # Errors
    /// The disk fails; none of the writes may be relied on.
    pub fn write(&mut self, writes: &[StoreWrite]) -> Result<(), Error> {
        let database = match self.database.take() {
            Some(database) => database,
            // Work-around for redb 4.6.0: once an I/O error occurred, every call fails until the database is reopened. What is read
            // then is dropped: this incarnation wrote it before the fault.
            None => database::load(&self.dir, &self.opener)?.database,
        };
        tables::write(&database, writes).map_err(|error| Error::from_database(&self.dir, error))?;
        self.database = Some(database);
        Ok(())
    }

    /// The folder.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

/// Quarantines the database file if the folder's version file is missing or malformed.
fn quarantine_unversioned(dir: &Path) -> Result<Option<QuarantinedFile>, Error> {
    match version_file::read(dir).map_err(|source| Error::disk(dir, source))? {
        FolderVersion::Number(found) if found > VERSION => Err(Error::NewerVersion {
            dir: dir.to_owned(),
            found,
            supported: VERSION,
        }),
        FolderVersion::Number(_) => Ok(None),
        FolderVersion::Missing | FolderVersion::Malformed => {
            quarantine(dir, Error::corrupted(dir, Corruption::VersionFile))
        }
    }
}

/// Loads the database; a corrupted one is quarantined, and a new one is created.
fn load_or_replace(
    dir: &Path,
    opener: &DatabaseOpener,
) -> Result<(LoadedDatabase, Option<QuarantinedFile>), Error> {
    match database::load(dir, opener) {
        Ok(loaded) => Ok((loaded, None)),
        Err(corrupted @ Error::Corrupted { .. }) => {
            let quarantined = quarantine(dir, corrupted)?;
            Ok((database::load(dir, opener)?, quarantined))
        }
        Err(error) => Err(error),
    }
}

/// Moves the database file aside under a name that is free; people may still need its content. `None`: there is no such file.
fn quarantine(dir: &Path, reason: Error) -> Result<Option<QuarantinedFile>, Error> {
    let file = dir.join(DATABASE_FILE_NAME);
    if !file.exists() {
        return Ok(None);
    }
    let free_path = (1..)
        .map(|number| dir.join(format!("{DATABASE_FILE_NAME}.torn-{number}")))
        .find(|path| !path.exists());
    let Some(free_path) = free_path else {
        return Ok(None);
    };
    fs::rename(&file, &free_path).map_err(|source| Error::disk(dir, source))?;
    Ok(Some(QuarantinedFile {
        path: free_path,
        reason,
    }))
}

/// Begins an incarnation on a loaded database.
fn begin(
    dir: &Path,
    opener: DatabaseOpener,
    loaded: LoadedDatabase,
    boot_id: &str,
    quarantined: Option<QuarantinedFile>,
) -> Result<OpenedStore, Error> {
    let LoadedDatabase { database, state } = loaded;
    if state.undecodable_entries > 0 {
        tracing::warn!(
            dir = %dir.display(),
            entries = state.undecodable_entries,
            "store entries could not be decoded"
        );
    }
    let recovered = recovered_state(state, boot_id);
    tables::begin_incarnation(&database, recovered.epoch.0, boot_id)
        .map_err(|error| Error::from_database(dir, error))?;
    let store = Store {
        database: Some(database),
        dir: dir.to_owned(),
        opener,
    };
    Ok(OpenedStore {
        store,
        recovered,
        quarantined,
    })
}

/// What the new incarnation starts from.
fn recovered_state(state: StoredState, boot_id: &str) -> RecoveredState {
    let shutdown = previous_shutdown(&state, boot_id);
    RecoveredState {
        epoch: StillValid(state.epoch + 1),
        intents: StillValid(state.intents),
        fleet_size: ConservativeBound::new(state.fleet_size),
        shutdown,
        uptime: StillValid(state.uptime),
    }
}

fn previous_shutdown(state: &StoredState, boot_id: &str) -> PreviousShutdown {
    if state.epoch == 0 {
        return PreviousShutdown::Unknown;
    }
    if state.clean_shutdown {
        return PreviousShutdown::Clean;
    }
    if state.boot_id != boot_id {
        return PreviousShutdown::PowerLost;
    }
    PreviousShutdown::Killed
}
