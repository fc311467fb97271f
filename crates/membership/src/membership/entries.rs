//! Entries of the gossip state: writes of this member's own entries, and updates of the entries of others.
use super::gossip_queue::GossipItem;
use super::own_identity::IMPLAUSIBLE_COUNT;
use super::Membership;
use crate::error::WriteError;
use crate::gossip_state::{Entry, EntryKey, EntryUpdate, EntryVersion, MAX_VALUE_BYTES};
use crate::member_state::MemberState;
use crate::wire::MAX_DATAGRAM_BYTES;
use crankpaddle_time::Time;

/// The number of bytes that an entry leaves for the sender's header in a datagram.
const HEADER_ALLOWANCE_BYTES: usize = 200;

impl Membership {
    /// Writes an entry of this member, which replaces the previous value of that key.
    ///
    /// # Errors
    /// The value is longer than [`MAX_VALUE_BYTES`].
    pub fn write(&mut self, now: Time, key: u8, value: Vec<u8>) -> Result<(), WriteError> {
        if value.len() > MAX_VALUE_BYTES
            || value.len() + HEADER_ALLOWANCE_BYTES > MAX_DATAGRAM_BYTES
        {
            return Err(WriteError::ValueTooLong {
                limit: MAX_VALUE_BYTES,
            });
        }
        let previous = self.gossip_state.version(&self.own_entry_key(key));
        let write_count = previous.map_or(0, |version| version.write_count);
        self.write_with_count(now, key, value, write_count.saturating_add(1));
        Ok(())
    }

    /// The entry of a member as it is known at `now`; `None` if it is not known, or its owner has left.
    #[must_use]
    pub fn entry(&self, now: Time, owner: &str, key: u8) -> Option<Entry> {
        let entry = EntryKey {
            owner: owner.to_owned(),
            key,
        };
        self.gossip_state.read(now, &entry)
    }

    fn own_entry_key(&self, key: u8) -> EntryKey {
        EntryKey {
            owner: self.config.name.clone(),
            key,
        }
    }

    fn write_with_count(&mut self, now: Time, key: u8, value: Vec<u8>, write_count: u32) {
        let entry = self.own_entry_key(key);
        let update = EntryUpdate {
            entry: entry.clone(),
            version: EntryVersion {
                epoch: self.own_version.epoch,
                incarnation: self.own_version.incarnation,
                write_count,
            },
            age_nanoseconds: 0,
            value,
        };
        self.own_entry_keys.insert(key);
        if self.gossip_state.apply(now, &update) {
            self.enqueue(GossipItem::Entry(entry), now);
        }
    }

    /// Writes all entries of this member again under its present epoch, with their write counts restarted at 1.
    pub(super) fn rewrite_own_entries(&mut self, now: Time) {
        for key in self.own_entry_keys.clone() {
            if let Some(entry) = self.gossip_state.read(now, &self.own_entry_key(key)) {
                self.write_with_count(now, key, entry.value, 1);
            }
        }
    }

    /// Applies an update of an entry. It is ignored unless the present incarnation of its owner wrote it.
    pub(super) fn apply_entry_update(&mut self, now: Time, update: &EntryUpdate) {
        if update.entry.owner == self.config.name {
            self.check_own_entry(now, update);
            return;
        }
        let Some(owner) = self.members.version(&update.entry.owner) else {
            return;
        };
        let is_current = owner.state != MemberState::Left
            && owner.incarnation_id() == update.version.incarnation_id();
        if is_current && self.gossip_state.apply(now, update) {
            self.enqueue(GossipItem::Entry(update.entry.clone()), now);
        }
    }

    /// Checks an update of an entry of this member. One that it never wrote is forged, and is overwritten with the true value.
    ///
    /// If the update claims a later incarnation or an implausible write count, this member advances its epoch, since a greater
    /// write count alone would not supersede the update or would soon overflow.
    fn check_own_entry(&mut self, now: Time, update: &EntryUpdate) {
        let own_incarnation = self.own_version.incarnation_id();
        let stored = self.gossip_state.version(&update.entry);
        let is_known_write = stored.is_some_and(|stored| stored >= update.version);
        if is_known_write || update.version.incarnation_id() < own_incarnation {
            return;
        }
        self.counters.forged += 1;
        let is_implausible = update.version.write_count >= IMPLAUSIBLE_COUNT
            || update.version.incarnation_id() > own_incarnation;
        if is_implausible {
            let epoch = update.version.epoch.max(self.own_version.epoch);
            self.advance_epoch(now, epoch.saturating_add(1));
            return;
        }
        if let Some(entry) = self.gossip_state.read(now, &update.entry) {
            let write_count = update.version.write_count + 1;
            self.write_with_count(now, update.entry.key, entry.value, write_count);
        }
    }
}
