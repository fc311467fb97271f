//! How entries lie in the database.
use crankpaddle_recovery::{Intent, Key, StoreWrite};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableError};
use std::collections::BTreeMap;

/// The version of all that is below.
pub(crate) const VERSION: u32 = 1;

const INTENTS: TableDefinition<(&str, &str), &[u8]> = TableDefinition::new("intents");
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");
const WORDS: TableDefinition<&str, &str> = TableDefinition::new("words");

const EPOCH: &str = "epoch";
const IN_ORDER: &str = "ended-in-order";
const FLEET: &str = "fleet";
const RAN: &str = "ran";
const BOOT: &str = "boot";

/// All that is kept.
#[derive(Debug, Default)]
pub(crate) struct Kept {
    pub intents: Vec<(Key, Intent)>,
    pub epoch: u64,
    pub in_order: bool,
    pub fleet: u32,
    pub ran: u64,
    pub boot: String,
    /// Entries that could not be read.
    pub spoilt: usize,
}

/// Reads all.
pub(crate) fn read(db: &Database) -> Result<Kept, redb::Error> {
    let mut kept = Kept::default();
    let reading = db.begin_read()?;
    match reading.open_table(INTENTS) {
        Ok(table) => {
            for entry in table.iter()? {
                let (key, bytes) = entry?;
                let (tenant, bill) = key.value();
                let key = Key {
                    tenant: tenant.to_owned(),
                    bill: bill.to_owned(),
                };
                match postcard::from_bytes(bytes.value()) {
                    Ok(intent) => kept.intents.push((key, intent)),
                    Err(_) => kept.spoilt += 1,
                }
            }
        }
        Err(TableError::TableDoesNotExist(_)) => return Ok(kept), // It is new.
        Err(e) => return Err(e.into()),
    }
    let table = reading.open_table(NUMBERS)?;
    let mut numbers = BTreeMap::new();
    for entry in table.iter()? {
        let (name, number) = entry?;
        numbers.insert(name.value().to_owned(), number.value());
    }
    let number = |name| numbers.get(name).copied().unwrap_or(0);
    kept.epoch = number(EPOCH);
    kept.in_order = number(IN_ORDER) == 1;
    kept.fleet = number(FLEET) as u32;
    kept.ran = number(RAN);
    kept.boot = reading
        .open_table(WORDS)?
        .get(BOOT)?
        .map(|w| w.value().to_owned())
        .unwrap_or_default();
    Ok(kept)
}

/// Begins a life; what it returns outlives a power loss.
pub(crate) fn begin(db: &Database, epoch: u64, boot: &str) -> Result<(), redb::Error> {
    let writing = db.begin_write()?;
    {
        writing.open_table(INTENTS)?;
        let mut numbers = writing.open_table(NUMBERS)?;
        numbers.insert(EPOCH, epoch)?;
        numbers.insert(IN_ORDER, 0)?;
        writing.open_table(WORDS)?.insert(BOOT, boot)?;
    }
    Ok(writing.commit()?)
}

/// Writes in one go, all or nothing; once it returns it outlives a power loss.
pub(crate) fn write(db: &Database, writes: &[StoreWrite]) -> Result<(), redb::Error> {
    let writing = db.begin_write()?;
    {
        let mut intents = writing.open_table(INTENTS)?;
        let mut numbers = writing.open_table(NUMBERS)?;
        for write in writes {
            match write {
                StoreWrite::Put(key, intent) => {
                    let bytes = postcard::to_allocvec(intent).unwrap_or_default(); // It has no form that fails.
                    intents.insert((key.tenant.as_str(), key.bill.as_str()), bytes.as_slice())?;
                }
                StoreWrite::Remove(key) => {
                    drop(intents.remove((key.tenant.as_str(), key.bill.as_str()))?);
                }
                StoreWrite::FleetSize(fronts) => drop(numbers.insert(FLEET, u64::from(*fronts))?),
                StoreWrite::Uptime(ran) => drop(numbers.insert(RAN, ran)?),
                StoreWrite::CleanShutdown => drop(numbers.insert(IN_ORDER, 1)?),
            }
        }
    }
    Ok(writing.commit()?)
}
