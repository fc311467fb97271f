//! The stored form: tables, keys and values in the database.
//!
//! The names of tables and keys, and the order of the fields and variants of [`Intent`], are part of the stored form and must
//! not change unless [`FORMAT_VERSION`] does.
use crankpaddle_recovery::intents::whole_milliseconds;
use crankpaddle_recovery::{Intent, Key, StoreWrite};
use redb::{
    Database, ReadTransaction, ReadableDatabase, ReadableTable, Table, TableDefinition, TableError,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// The version of the stored form.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// The intents, encoded in postcard, by tenant and billing identifier.
const INTENTS: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("intents");
/// Numbers on the front and its incarnations, by the keys below.
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");
/// Texts on the last incarnation, by the keys below.
const TEXTS: TableDefinition<&str, &str> = TableDefinition::new("words");

/// In [`NUMBERS`]: the number of starts of the front.
const EPOCH: &str = "epoch";
/// In [`NUMBERS`]: 1 after a graceful shutdown, otherwise 0.
const CLEAN_SHUTDOWN: &str = "ended-in-order";
/// In [`NUMBERS`]: the number of fronts in the fleet.
const FLEET_SIZE: &str = "fleet";
/// In [`NUMBERS`]: the accumulated uptime of all incarnations, in milliseconds.
const UPTIME_MS: &str = "ran";
/// In [`TEXTS`]: identifies the boot of the host during which the last incarnation began.
const BOOT_ID: &str = "boot";

/// The whole content of the database.
#[derive(Debug, Default)]
pub(crate) struct StoredState {
    pub(crate) intents: Vec<(Key, Intent)>,
    /// The number of starts of the front; zero if no incarnation has begun.
    pub(crate) epoch: u64,
    pub(crate) clean_shutdown: bool,
    pub(crate) fleet_size: u32,
    pub(crate) uptime: Duration,
    pub(crate) boot_id: String,
    /// The number of intents that could not be decoded. They are missing in `intents`.
    pub(crate) undecodable_entries: usize,
}

/// Reads the whole content of the database.
pub(crate) fn read(database: &Database) -> Result<StoredState, redb::Error> {
    let transaction = database.begin_read()?;
    let mut state = StoredState::default();
    match transaction.open_table(INTENTS) {
        Ok(table) => read_intents(&table, &mut state)?,
        // Without this table the database is new.
        Err(TableError::TableDoesNotExist(_)) => return Ok(state),
        Err(error) => return Err(error.into()),
    }
    read_numbers(&transaction, &mut state)?;
    state.boot_id = transaction
        .open_table(TEXTS)?
        .get(BOOT_ID)?
        .map(|text| text.value().to_owned())
        .unwrap_or_default();
    Ok(state)
}

fn read_intents(
    table: &impl ReadableTable<(&'static str, &'static str), &'static [u8]>,
    state: &mut StoredState,
) -> Result<(), redb::Error> {
    for entry in table.iter()? {
        let (key, value) = entry?;
        let (tenant, bill) = key.value();
        let key = Key {
            tenant: tenant.to_owned(),
            bill: bill.to_owned(),
        };
        match postcard::from_bytes(value.value()) {
            Ok(intent) => state.intents.push((key, intent)),
            Err(_) => state.undecodable_entries += 1,
        }
    }
    Ok(())
}

fn read_numbers(transaction: &ReadTransaction, state: &mut StoredState) -> Result<(), redb::Error> {
    let table = transaction.open_table(NUMBERS)?;
    let mut numbers = BTreeMap::new();
    for entry in table.iter()? {
        let (name, number) = entry?;
        numbers.insert(name.value().to_owned(), number.value());
    }
    let number = |name| numbers.get(name).copied().unwrap_or(0);
    state.epoch = number(EPOCH);
    state.clean_shutdown = number(CLEAN_SHUTDOWN) == 1;
    state.fleet_size = number(FLEET_SIZE) as u32;
    state.uptime = Duration::from_millis(number(UPTIME_MS));
    Ok(())
}

/// Begins an incarnation, and creates the tables of a new database. This is durable once it returns.
pub(crate) fn begin_incarnation(
    database: &Database,
    epoch: u64,
    boot_id: &str,
) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        transaction.open_table(INTENTS)?;
        let mut numbers = transaction.open_table(NUMBERS)?;
        numbers.insert(EPOCH, epoch)?;
        numbers.insert(CLEAN_SHUTDOWN, 0)?;
        transaction.open_table(TEXTS)?.insert(BOOT_ID, boot_id)?;
    }
    Ok(transaction.commit()?)
}

/// Writes all or nothing. The writes are durable once it returns.
pub(crate) fn write(database: &Database, writes: &[StoreWrite]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut intents = transaction.open_table(INTENTS)?;
        let mut numbers = transaction.open_table(NUMBERS)?;
        for write in writes {
            apply_write(write, &mut intents, &mut numbers)?;
        }
    }
    Ok(transaction.commit()?)
}

fn apply_write(
    write: &StoreWrite,
    intents: &mut Table<(&'static str, &'static str), &'static [u8]>,
    numbers: &mut Table<&'static str, u64>,
) -> Result<(), redb::Error> {
    match write {
        StoreWrite::Put(key, intent) => {
            // Encoding can't fail, since postcard supports all values of the type and the buffer grows as needed.
            let value = postcard::to_allocvec(intent).unwrap_or_default();
            intents.insert((key.tenant.as_str(), key.bill.as_str()), value.as_slice())?;
        }
        StoreWrite::Remove(key) => {
            intents.remove((key.tenant.as_str(), key.bill.as_str()))?;
        }
        StoreWrite::FleetSize(fronts) => {
            numbers.insert(FLEET_SIZE, u64::from(*fronts))?;
        }
        StoreWrite::Uptime(uptime) => {
            numbers.insert(UPTIME_MS, whole_milliseconds(*uptime))?;
        }
        StoreWrite::CleanShutdown => {
            numbers.insert(CLEAN_SHUTDOWN, 1)?;
        }
    }
    Ok(())
}
