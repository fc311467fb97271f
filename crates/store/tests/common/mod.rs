//! Disks that are watched, slowed down, or fail; and what a store must hold after a run.
#![allow(dead_code)]
use crankpaddle_recovery::{Intent, IntentOutcome, Key, RecoveredState, StoreWrite};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn key(n: u64) -> Key {
    Key {
        tenant: format!("t{}", n % 3),
        bill: format!("{n:032x}"),
    }
}

pub(crate) fn intent(n: u64, fate: IntentOutcome) -> Intent {
    Intent {
        class: "licensed-view".into(),
        server: n as u32 % 12,
        attempt_name: format!("{n:016x}-{n:x}"),
        server_incarnation: "1".into(),
        outcome: fate,
        retained_until: n,
    }
}

/// What a store holds, as operators would count it.
pub(crate) type Held = BTreeMap<Key, Intent>;

pub(crate) fn held(past: &RecoveredState) -> Held {
    past.intents.0.iter().cloned().collect()
}

pub(crate) fn apply(held: &mut Held, writes: &[StoreWrite]) {
    for write in writes {
        match write {
            StoreWrite::Put(key, intent) => drop(held.insert(key.clone(), intent.clone())),
            StoreWrite::Remove(key) => drop(held.remove(key)),
            StoreWrite::FleetSize(_) | StoreWrite::Uptime(_) | StoreWrite::CleanShutdown => {}
        }
    }
}

/// What happened to a disk.
#[derive(Clone, Debug)]
pub(crate) enum Seen {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

/// A disk in memory that remembers all that was done to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Watched {
    pub bytes: Arc<Mutex<Vec<u8>>>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
}

impl Watched {
    pub(crate) fn of(bytes: Vec<u8>) -> Watched {
        Watched {
            bytes: Arc::new(Mutex::new(bytes)),
            seen: Arc::default(),
        }
    }
}

impl StorageBackend for Watched {
    fn len(&self) -> Result<u64, Error> {
        Ok(lock(&self.bytes).len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let bytes = lock(&self.bytes);
        let from = offset as usize;
        let there = bytes
            .get(from..from + out.len())
            .ok_or(Error::from(ErrorKind::UnexpectedEof))?;
        out.copy_from_slice(there);
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        lock(&self.bytes).resize(len as usize, 0);
        lock(&self.seen).push(Seen::Length(len));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        lock(&self.seen).push(Seen::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        put(&mut lock(&self.bytes), offset, data);
        lock(&self.seen).push(Seen::Write(offset, data.to_vec()));
        Ok(())
    }
}

pub(crate) fn put(bytes: &mut Vec<u8>, offset: u64, data: &[u8]) {
    let end = offset as usize + data.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[offset as usize..end].copy_from_slice(data);
}
