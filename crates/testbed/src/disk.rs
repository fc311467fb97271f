//! A stand-in for a disk: in memory, full or slow when it is told to be.
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A disk that is full or slow when it is told to be.
#[derive(Clone, Debug)]
pub struct Poor {
    inner: Arc<InMemoryBackend>,
    /// Whether it has no room.
    pub full: Arc<AtomicBool>,
    /// Milliseconds that a sync takes.
    pub slow: Arc<AtomicU64>,
    /// Syncs so far.
    pub syncs: Arc<AtomicU64>,
}

impl Default for Poor {
    fn default() -> Poor {
        Poor::new()
    }
}

impl Poor {
    /// A good one.
    pub fn new() -> Poor {
        Poor {
            inner: Arc::new(InMemoryBackend::new()),
            full: Arc::default(),
            slow: Arc::default(),
            syncs: Arc::default(),
        }
    }

    fn check_capacity(&self) -> Result<(), Error> {
        if self.full.load(Ordering::Acquire) {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl StorageBackend for Poor {
    fn len(&self) -> Result<u64, Error> {
        self.inner.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.inner.read(offset, out)
    }

    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.check_capacity()?;
        self.inner.set_len(len)
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.check_capacity()?;
        self.syncs.fetch_add(1, Ordering::AcqRel);
        std::thread::sleep(Duration::from_millis(self.slow.load(Ordering::Acquire)));
        self.inner.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.check_capacity()?;
        self.inner.write(offset, data)
    }
}
