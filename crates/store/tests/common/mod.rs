//! A disk in memory that records its operations, and intents to write to a store.
#![allow(dead_code)] // Each test binary uses only a part of this module.
use crankpaddle_recovery::{Intent, IntentOutcome, Key, RecoveredState, StoreWrite};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn key(number: u64) -> Key {
    Key {
        tenant: format!("t{}", number % 3),
        bill: format!("{number:032x}"),
    }
}

pub(crate) fn intent(number: u64, outcome: IntentOutcome) -> Intent {
    Intent {
        class: "licensed-view".into(),
        server: number as u32 % 12,
        attempt_name: format!("{number:016x}-{number:x}"),
        server_incarnation: "1".into(),
        outcome,
        retained_until: number,
    }
}

pub(crate) fn put_intent(number: u64, outcome: IntentOutcome) -> StoreWrite {
    StoreWrite::Put(key(number), intent(number, outcome))
}

/// The intents that a store contains.
pub(crate) type Entries = BTreeMap<Key, Intent>;

pub(crate) fn recovered_entries(recovered: &RecoveredState) -> Entries {
    recovered.intents.0.iter().cloned().collect()
}

/// Applies writes to entries in the way in which a store does.
pub(crate) fn apply_writes(entries: &mut Entries, writes: &[StoreWrite]) {
    for write in writes {
        match write {
            StoreWrite::Put(key, intent) => {
                entries.insert(key.clone(), intent.clone());
            }
            StoreWrite::Remove(key) => {
                entries.remove(key);
            }
            StoreWrite::FleetSize(_) | StoreWrite::Uptime(_) | StoreWrite::CleanShutdown => {}
        }
    }
}

/// An operation of a disk that changes its content or syncs it.
#[derive(Clone, Debug)]
pub(crate) enum DiskOperation {
    Write { offset: u64, data: Vec<u8> },
    SetLength(u64),
    Sync,
}

/// A disk in memory that records each operation that changes or syncs it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordingDisk {
    bytes: Arc<Mutex<Vec<u8>>>,
    operations: Arc<Mutex<Vec<DiskOperation>>>,
}

impl RecordingDisk {
    pub(crate) fn with_content(bytes: Vec<u8>) -> RecordingDisk {
        RecordingDisk {
            bytes: Arc::new(Mutex::new(bytes)),
            operations: Arc::default(),
        }
    }

    pub(crate) fn operations(&self) -> Vec<DiskOperation> {
        lock(&self.operations).clone()
    }

    pub(crate) fn operation_count(&self) -> usize {
        lock(&self.operations).len()
    }
}

impl StorageBackend for RecordingDisk {
    fn len(&self) -> Result<u64, Error> {
        Ok(lock(&self.bytes).len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let bytes = lock(&self.bytes);
        let start = offset as usize;
        let content = bytes
            .get(start..start + out.len())
            .ok_or(Error::from(ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(content);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        lock(&self.bytes).resize(len as usize, 0);
        lock(&self.operations).push(DiskOperation::SetLength(len));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        lock(&self.operations).push(DiskOperation::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        overwrite(&mut lock(&self.bytes), offset, data);
        lock(&self.operations).push(DiskOperation::Write {
            offset,
            data: data.to_vec(),
        });
        Ok(())
    }
}

/// Writes data at an offset, and extends the content if it is too short.
pub(crate) fn overwrite(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let start = offset as usize;
    let end = start + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[start..end].copy_from_slice(data);
}
