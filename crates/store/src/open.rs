//! How the folder of a store is opened, and what happens if it can't be used:
//!
//! - If another process has it open, or a later release wrote it, the operator must correct that. Nothing in the folder is
//!   changed, and the front does not start.
//! - If the database file is corrupted, it is quarantined and a new one is created. The previous state counts as unknown, so
//!   the servers are queried for what they ran.
//! - If the disk fails, the previous state is unknown and nothing can be persisted. The front starts, but sets up no paid
//!   sessions.
use crate::database::{self, DatabaseOpener, LoadedDatabase};
use crate::errors::{Corruption, StoreError};
use crate::tables::{self, StoredState, FORMAT_VERSION};
use crate::version_file::{self, FolderVersion};
use crankpaddle_recovery::{
    ConservativeBound, PreviousShutdown, RecoveredState, StillValid, StoreWrite,
};
use redb::{Database, StorageBackend};
use std::fmt;
use std::fs;
use std::path::{Path, PathBuf};

const DATABASE_FILE_NAME: &str = "front.redb";
/// Replaces the folder in messages about a store on another storage backend.
const CUSTOM_BACKEND_NAME: &str = "(custom storage backend)";

/// An open store. Dropping it closes it.
pub struct Store {
    /// `None` after a failed write, until the next write reopens the database.
    database: Option<Database>,
    dir: PathBuf,
    /// Opens the database again after a failed write.
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

/// An opened store with the state that was found in it.
#[derive(Debug)]
pub struct OpenedStore {
    /// The open store, in which the new incarnation has begun.
    pub store: Store,
    /// The state that previous incarnations persisted.
    pub recovered: RecoveredState,
    /// The corrupted database file that was moved aside; `None` if the file was valid or there was none.
    pub quarantined: Option<QuarantinedFile>,
}

/// A corrupted database file that was moved aside, so that an operator can still examine it.
#[derive(Debug)]
pub struct QuarantinedFile {
    /// The path to which the file was moved.
    pub path: PathBuf,
    /// Why the file was moved aside.
    pub reason: StoreError,
}

impl Store {
    /// Opens a folder, or creates it if it does not exist, and begins an incarnation. `boot_id` identifies the present boot of
    /// the host.
    ///
    /// # Errors
    /// Another process has the folder open, a later release wrote it, or the disk fails. A corrupted database file is no error,
    /// since it is quarantined.
    pub fn open(dir: &Path, boot_id: &str) -> Result<OpenedStore, StoreError> {
        fs::create_dir_all(dir).map_err(|source| StoreError::disk(dir, source))?;
        let unversioned = quarantine_unversioned(dir)?;
        version_file::write(dir).map_err(|source| StoreError::disk(dir, source))?;
        let path = dir.join(DATABASE_FILE_NAME);
        let opener: DatabaseOpener = Box::new(move |builder| builder.create(&path));
        let (loaded, corrupted) = load_or_replace(dir, &opener)?;
        begin_incarnation(dir, opener, loaded, boot_id, corrupted.or(unversioned))
    }

    /// Opens a store on any storage backend. Tests use this to observe the operations of a disk, delay them or make them fail.
    ///
    /// # Errors
    /// The disk fails, or its content is not a valid store.
    pub fn open_backend<B: StorageBackend + Clone>(
        backend: B,
        boot_id: &str,
    ) -> Result<OpenedStore, StoreError> {
        let dir = Path::new(CUSTOM_BACKEND_NAME);
        let opener: DatabaseOpener =
            Box::new(move |builder| builder.create_with_backend(backend.clone()));
        let loaded = database::load(dir, &opener)?;
        begin_incarnation(dir, opener, loaded, boot_id, None)
    }

    /// Writes all or nothing. The writes are durable once it returns. After a failed call the next one reopens the database.
    ///
    /// # Errors
    /// The disk fails, or the content of the database is found to be invalid. It is unknown whether the writes are durable.
    pub fn write(&mut self, writes: &[StoreWrite]) -> Result<(), StoreError> {
        let database = match self.database.take() {
            Some(database) => database,
            // Workaround for redb 4.6.0: once an I/O error has occurred, every call fails until the database is reopened. The
            // state that is read then is dropped, because this incarnation wrote it before the fault.
            None => database::load(&self.dir, &self.opener)?.database,
        };
        tables::write(&database, writes)
            .map_err(|error| StoreError::from_database(&self.dir, error))?;
        self.database = Some(database);
        Ok(())
    }

    /// The path of the folder; a placeholder for messages if the store is on another storage backend.
    #[must_use]
    pub fn dir(&self) -> &Path {
        &self.dir
    }
}

/// Quarantines the database file if the folder's version file is missing or malformed. Fails if a later release wrote the
/// folder.
fn quarantine_unversioned(dir: &Path) -> Result<Option<QuarantinedFile>, StoreError> {
    match version_file::read(dir).map_err(|source| StoreError::disk(dir, source))? {
        FolderVersion::Number(found) if found > FORMAT_VERSION => Err(StoreError::NewerVersion {
            dir: dir.to_owned(),
            found,
            supported: FORMAT_VERSION,
        }),
        FolderVersion::Number(_) => Ok(None),
        FolderVersion::Missing | FolderVersion::Malformed => {
            quarantine(dir, StoreError::corrupted(dir, Corruption::VersionFile))
        }
    }
}

/// Loads the database. A corrupted file is quarantined, and a new database is created.
fn load_or_replace(
    dir: &Path,
    opener: &DatabaseOpener,
) -> Result<(LoadedDatabase, Option<QuarantinedFile>), StoreError> {
    match database::load(dir, opener) {
        Ok(loaded) => Ok((loaded, None)),
        Err(corrupted @ StoreError::Corrupted { .. }) => {
            let quarantined = quarantine(dir, corrupted)?;
            Ok((database::load(dir, opener)?, quarantined))
        }
        Err(error) => Err(error),
    }
}

/// Renames the database file to a free name, since its content may still be needed. Returns `None` if there is no database
/// file.
fn quarantine(dir: &Path, reason: StoreError) -> Result<Option<QuarantinedFile>, StoreError> {
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
    fs::rename(&file, &free_path).map_err(|source| StoreError::disk(dir, source))?;
    Ok(Some(QuarantinedFile {
        path: free_path,
        reason,
    }))
}

/// Begins an incarnation of the front on a loaded database.
fn begin_incarnation(
    dir: &Path,
    opener: DatabaseOpener,
    loaded: LoadedDatabase,
    boot_id: &str,
    quarantined: Option<QuarantinedFile>,
) -> Result<OpenedStore, StoreError> {
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
        .map_err(|error| StoreError::from_database(dir, error))?;
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

/// The state from which the new incarnation starts.
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
