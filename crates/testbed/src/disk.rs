//! A simulated disk, in memory, that can be made full or slow.
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A storage backend whose faults are switched on by its public fields. Clones share the same data and faults.
#[derive(Clone, Debug)]
pub struct FaultyDisk {
    inner: Arc<InMemoryBackend>,
    /// Whether the disk is full, so that writes and syncs fail.
    pub is_full: Arc<AtomicBool>,
    /// Extra duration of each sync in milliseconds; 0 means none.
    pub sync_delay_ms: Arc<AtomicU64>,
    /// Number of syncs that were started; syncs of a full disk are not counted.
    pub syncs: Arc<AtomicU64>,
}

impl Default for FaultyDisk {
    fn default() -> FaultyDisk {
        FaultyDisk::new()
    }
}

impl FaultyDisk {
    /// An empty disk without faults.
    #[must_use]
    pub fn new() -> FaultyDisk {
        FaultyDisk {
            inner: Arc::new(InMemoryBackend::new()),
            is_full: Arc::default(),
            sync_delay_ms: Arc::default(),
            syncs: Arc::default(),
        }
    }

    fn check_capacity(&self) -> Result<(), Error> {
        if self.is_full.load(Ordering::Acquire) {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }
}

impl StorageBackend for FaultyDisk {
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
        std::thread::sleep(Duration::from_millis(
            self.sync_delay_ms.load(Ordering::Acquire),
        ));
        self.inner.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.check_capacity()?;
        self.inner.write(offset, data)
    }
}
