//! The board: entries that only their owner writes, each with its age.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of one value at most; all entries of a member must fit one datagram.
pub const MOST_VALUE: usize = 512;

/// An entry as its reader sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// What its owner wrote.
    pub value: Vec<u8>,
    /// Nanoseconds since it was written, at least: added up on the way from each host's monotonic clock; what it spent
    /// between two hosts is not counted, since no two clocks are compared.
    pub age: u64,
    /// The owner's life in which it was written, and the how manieth write of that life it was.
    pub version: (u64, u64, u32),
}

/// An entry on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Written {
    pub owner: String,
    pub key: u8,
    pub epoch: u64,
    pub life: u64,
    pub count: u32,
    pub age: u64,
    pub value: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Held {
    version: (u64, u64, u32),
    age: u64,  // When it came ...
    came: u64, // ... and when that was here.
    value: Vec<u8>,
}

/// All entries known here.
#[derive(Clone, Debug, Default)]
pub(crate) struct Board {
    held: BTreeMap<(String, u8), Held>,
}

impl Board {
    /// Takes an entry if it is later than what is held; true if so.
    pub(crate) fn take(&mut self, now: u64, entry: &Written) -> bool {
        let version = (entry.epoch, entry.life, entry.count);
        let at = (entry.owner.clone(), entry.key);
        if entry.value.len() > MOST_VALUE
            || self.held.get(&at).is_some_and(|h| h.version >= version)
        {
            return false;
        }
        let held = Held {
            version,
            age: entry.age,
            came: now,
            value: entry.value.clone(),
        };
        self.held.insert(at, held);
        true
    }

    /// An entry as it goes out now.
    pub(crate) fn written(&self, now: u64, owner: &str, key: u8) -> Option<Written> {
        let held = self.held.get(&(owner.to_owned(), key))?;
        let (epoch, life, count) = held.version;
        let age = held.age.saturating_add(now.saturating_sub(held.came));
        let value = held.value.clone();
        Some(Written {
            owner: owner.to_owned(),
            key,
            epoch,
            life,
            count,
            age,
            value,
        })
    }

    pub(crate) fn read(&self, now: u64, owner: &str, key: u8) -> Option<Entry> {
        let w = self.written(now, owner, key)?;
        Some(Entry {
            value: w.value,
            age: w.age,
            version: (w.epoch, w.life, w.count),
        })
    }

    /// The owners and keys from some place on, round about: what a digest tells of.
    pub(crate) fn versions(&self, from: usize, most: usize) -> Vec<(String, u8, (u64, u64, u32))> {
        let all = self.held.len();
        let of = |(at, held): (&(String, u8), &Held)| (at.0.clone(), at.1, held.version);
        let begin = if all == 0 { 0 } else { from % all };
        self.held
            .iter()
            .skip(begin)
            .chain(self.held.iter().take(begin))
            .take(most)
            .map(of)
            .collect()
    }

    pub(crate) fn version(&self, owner: &str, key: u8) -> Option<(u64, u64, u32)> {
        self.held.get(&(owner.to_owned(), key)).map(|h| h.version)
    }

    /// Forgets all of an owner.
    pub(crate) fn forget(&mut self, owner: &str) {
        self.held.retain(|(of, _), _| of != owner);
    }
}
