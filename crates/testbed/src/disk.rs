//! A stand-in for a disk, in memory, that can be made full or slow.
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A disk that can be made full or slow. Copies share their state.
#[derive(Clone, Debug)]
pub struct Poor {
    inner: Arc<InMemoryBackend>,
    /// Whether it is full: writes and syncs fail.
    pub full: Arc<AtomicBool>,
    /// Extra time of a sync, milliseconds.
    pub slow: Arc<AtomicU64>,
    /// Number of syncs so far.
    pub syncs: Arc<AtomicU64>,
}

impl Default for Poor {
    fn default() -> Poor {
        Poor::new()
    }
}

impl Poor {
    /// An empty disk without faults.
    #[must_use]
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
