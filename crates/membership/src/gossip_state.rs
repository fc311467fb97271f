//! The gossip state: small values that are replicated to all members. Only its owner may write a value, and readers see its
//! age.
use crate::member_state::IncarnationId;
use crankpaddle_time::{nanoseconds, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest value, in bytes. It is bounded because an entry is sent in one datagram together with the sender's header.
pub const MAX_VALUE_BYTES: usize = 512;

/// The version of an entry. Later writes compare greater: first by the owner's incarnation, then by its count of writes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct EntryVersion {
    /// The owner's epoch at the time of the write; see [`MemberVersion::epoch`](crate::MemberVersion::epoch).
    pub epoch: u64,
    /// The owner's incarnation at the time of the write; see [`MemberVersion::incarnation`](crate::MemberVersion::incarnation).
    pub incarnation: u64,
    /// The number of this write among the writes of that incarnation, counted from 1.
    pub write_count: u32,
}

impl EntryVersion {
    /// The incarnation of the owner that wrote this version.
    #[must_use]
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId {
            epoch: self.epoch,
            incarnation: self.incarnation,
        }
    }
}

/// An entry of the gossip state as a reader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value that its owner wrote.
    pub value: Vec<u8>,
    /// A lower bound of the time since the value was written. It adds up how long each host on the way held the entry, by that
    /// host's monotonic clock. Time in transit is not included, because clocks of different hosts are never compared.
    pub age: Duration,
    /// The version of the write that set the value.
    pub version: EntryVersion,
}

/// Identifies an entry by its owner and a key that the owner chose. The order of the fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct EntryKey {
    pub owner: String,
    pub key: u8,
}

/// An entry as it is sent. The order of the fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryUpdate {
    pub entry: EntryKey,
    pub version: EntryVersion,
    pub age_nanoseconds: u64,
    pub value: Vec<u8>,
}

/// An entry's version in a digest. The order of the fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryDigest {
    pub entry: EntryKey,
    pub version: EntryVersion,
}

/// A value with the age that it had when it was received.
#[derive(Clone, Debug)]
struct StoredEntry {
    version: EntryVersion,
    age_on_receipt: Duration,
    received_at: Time,
    value: Vec<u8>,
}

impl StoredEntry {
    fn age(&self, now: Time) -> Duration {
        self.age_on_receipt + now.duration_since(self.received_at)
    }
}

/// All entries known to this member.
#[derive(Clone, Debug, Default)]
pub(crate) struct GossipState {
    entries: BTreeMap<EntryKey, StoredEntry>,
}

impl GossipState {
    /// Stores an update if its version is later than the stored one. Returns whether it was stored.
    pub(crate) fn apply(&mut self, now: Time, update: &EntryUpdate) -> bool {
        let stored = self.entries.get(&update.entry);
        let is_outdated = stored.is_some_and(|stored| stored.version >= update.version);
        if update.value.len() > MAX_VALUE_BYTES || is_outdated {
            return false;
        }
        let entry = StoredEntry {
            version: update.version,
            age_on_receipt: Duration::from_nanos(update.age_nanoseconds),
            received_at: now,
            value: update.value.clone(),
        };
        self.entries.insert(update.entry.clone(), entry);
        true
    }

    /// An entry in the form in which it is sent at `now`, with its present age.
    pub(crate) fn update(&self, now: Time, entry: &EntryKey) -> Option<EntryUpdate> {
        let stored = self.entries.get(entry)?;
        Some(EntryUpdate {
            entry: entry.clone(),
            version: stored.version,
            age_nanoseconds: nanoseconds(stored.age(now)),
            value: stored.value.clone(),
        })
    }

    /// An entry as a reader sees it at `now`.
    pub(crate) fn read(&self, now: Time, entry: &EntryKey) -> Option<Entry> {
        let stored = self.entries.get(entry)?;
        Some(Entry {
            value: stored.value.clone(),
            age: stored.age(now),
            version: stored.version,
        })
    }

    /// The versions of up to `limit` entries in the order of their keys. It starts at the position `cursor` and continues with
    /// the first entries after the last one.
    pub(crate) fn digest(&self, cursor: usize, limit: usize) -> Vec<EntryDigest> {
        let start = cursor.checked_rem(self.entries.len()).unwrap_or(0);
        let from_start = self.entries.iter().skip(start);
        let before_start = self.entries.iter().take(start);
        from_start
            .chain(before_start)
            .take(limit)
            .map(|(entry, stored)| EntryDigest {
                entry: entry.clone(),
                version: stored.version,
            })
            .collect()
    }

    /// The stored version of an entry; `None` if no value of it is stored.
    pub(crate) fn version(&self, entry: &EntryKey) -> Option<EntryVersion> {
        self.entries.get(entry).map(|stored| stored.version)
    }

    /// Removes all entries of an owner.
    pub(crate) fn remove_owner(&mut self, owner: &str) {
        self.entries.retain(|entry, _| entry.owner != owner);
    }
}
