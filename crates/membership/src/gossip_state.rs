//! The gossip state: values that only their owner writes, replicated to all members, each with its age.
use crate::member_state::IncarnationId;
use crankpaddle_time::{nanoseconds, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest value, bytes. Why: every entry must fit a datagram together with the sender's header.
pub const MAX_VALUE_BYTES: usize = 512;

/// Orders the writes of one entry: by the owner's incarnation, then by its count of writes.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct EntryVersion {
    /// The owner's epoch when it wrote.
    pub epoch: u64,
    /// The owner's incarnation when it wrote.
    pub incarnation: u64,
    /// Which write of that incarnation it was, from 1 on.
    pub write_count: u32,
}

impl EntryVersion {
    /// The owner's incarnation when it wrote.
    #[must_use]
    pub fn incarnation_id(&self) -> IncarnationId {
        IncarnationId {
            epoch: self.epoch,
            incarnation: self.incarnation,
        }
    }
}

/// An entry as its reader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The value that its owner wrote.
    pub value: Vec<u8>,
    /// Time since it was written, at least: summed up from each host's monotonic clock on the way. Time in transit is not
    /// counted, since no two hosts' clocks are compared.
    pub age: Duration,
    /// Which write it is.
    pub version: EntryVersion,
}

/// Identifies an entry.
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

/// An entry's version as a digest lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EntryDigest {
    pub entry: EntryKey,
    pub version: EntryVersion,
}

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
    /// Stores an update if it is later than the stored entry; true if it was stored.
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

    /// An entry as it would be sent at `now`.
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

    /// The versions of up to `limit` entries, from the position `cursor` on and round to the first ones.
    pub(crate) fn digest(&self, cursor: usize, limit: usize) -> Vec<EntryDigest> {
        let begin = cursor.checked_rem(self.entries.len()).unwrap_or(0);
        let to_the_end = self.entries.iter().skip(begin);
        let from_the_start = self.entries.iter().take(begin);
        to_the_end
            .chain(from_the_start)
            .take(limit)
            .map(|(entry, stored)| EntryDigest {
                entry: entry.clone(),
                version: stored.version,
            })
            .collect()
    }

    /// The version of an entry that is stored.
    pub(crate) fn version(&self, entry: &EntryKey) -> Option<EntryVersion> {
        self.entries.get(entry).map(|stored| stored.version)
    }

    /// Removes all entries of an owner.
    pub(crate) fn remove_owner(&mut self, owner: &str) {
        self.entries.retain(|entry, _| entry.owner != owner);
    }
}
