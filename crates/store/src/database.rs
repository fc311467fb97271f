//! Opening the database and reading all of its content.
use crate::errors::{Corruption, StoreError};
use crate::tables::{self, StoredState};
use redb::{Builder, Database, DatabaseError};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// The size of the database's page cache. It can be small, since the entries of a front are small and are read only once, at
/// the start.
const CACHE_BYTES: usize = 16 << 20;

/// Opens the database with the given settings. It is called again after a failed write.
pub(crate) type DatabaseOpener = Box<dyn Fn(&Builder) -> Result<Database, DatabaseError> + Send>;

/// An open database, and the state that it contained when it was opened.
pub(crate) struct LoadedDatabase {
    pub(crate) database: Database,
    pub(crate) state: StoredState,
}

/// Opens the database and reads its content.
///
/// Workaround for redb 4.6.0, which may panic on content that it did not write. Its integrity check detects such content, at
/// the price of reading the whole file. If it panics nevertheless, the file counts as corrupted.
pub(crate) fn load(dir: &Path, opener: &DatabaseOpener) -> Result<LoadedDatabase, StoreError> {
    let mut builder = Builder::new();
    builder
        .set_cache_size(CACHE_BYTES)
        .set_check_integrity_on_open(true);
    let loaded = catch_unwind(AssertUnwindSafe(|| open_and_read(dir, opener, &builder)));
    loaded.unwrap_or_else(|_| Err(StoreError::corrupted(dir, Corruption::DatabasePanic)))
}

fn open_and_read(
    dir: &Path,
    opener: &DatabaseOpener,
    builder: &Builder,
) -> Result<LoadedDatabase, StoreError> {
    let database = opener(builder).map_err(|error| StoreError::from_database(dir, error))?;
    let state = tables::read(&database).map_err(|error| StoreError::from_database(dir, error))?;
    Ok(LoadedDatabase { database, state })
}
