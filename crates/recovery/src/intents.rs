//! The write-ahead ledger of paid set-ups.
//!
//! Each paid key has one entry, which states that its one attempt is in flight or established, or that it ran. Without the
//! ledger a front would set up the same key again after a power loss, and the session would be paid twice. The entry is on disk
//! before the first byte of the attempt is sent, at the price that a paid set-up waits for the disk. The outcome is written
//! later. It may be lost, since the inventories of servers show it.
use crate::power_loss_policy::StateKind;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The [`Intent::retained_until`] of an entry whose attempt is active, so that it is never pruned.
pub const RETAINED_WHILE_ACTIVE: u64 = u64::MAX;

/// The whole milliseconds of a duration, which is the unit of stored durations. The result saturates at `u64::MAX`.
#[must_use]
pub fn whole_milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Identifies a paid session for billing. It contains the tenant's name, since the numbers of tenants change with the
/// configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The tenant's name; empty if no tenants are configured.
    pub tenant: String,
    /// The billing identifier, which does not reveal the player's own key.
    pub bill: String,
}

/// The outcome of a paid key.
///
/// The order of the variants is part of the stored form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum IntentOutcome {
    /// An attempt was sent or is about to be sent. It may have run.
    InFlight,
    /// The session is established.
    Established,
    /// The session ran and has ended.
    Completed,
    /// The attempt may have run, and a failure was reported to its viewer.
    Failed,
}

impl IntentOutcome {
    /// Whether the key's attempt is in flight or established, so that a late result can still change the outcome.
    pub(crate) fn is_active(self) -> bool {
        match self {
            IntentOutcome::InFlight | IntentOutcome::Established => true,
            IntentOutcome::Completed | IntentOutcome::Failed => false,
        }
    }
}

/// The one entry of a paid key.
///
/// The order of the fields is part of the stored form.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// The name of the session's class; empty if it is not known.
    pub class: String,
    /// The number of the server of the last attempt.
    pub server: u32,
    /// The name of the attempt at that server.
    pub attempt_name: String,
    /// The server's incarnation that was known when the attempt was sent; empty if none was known.
    pub server_incarnation: String,
    /// The outcome as far as it is known.
    pub outcome: IntentOutcome,
    /// The accumulated uptime of all incarnations of the front, in milliseconds, at which the entry may be pruned. The wall
    /// clock is not used, because a host that boots with a clock that is a day ahead would prune entries that are a minute old.
    pub retained_until: u64,
}

/// A write to the persisted state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreWrite {
    /// Inserts the entry of a key, or replaces it.
    Put(Key, Intent),
    /// Removes the entry of a key, since its attempt never ran or its retention has ended.
    Remove(Key),
    /// Sets the number of fronts in the fleet.
    FleetSize(u32),
    /// Sets the accumulated uptime of all incarnations, which is stored in whole milliseconds.
    Uptime(Duration),
    /// Records that this incarnation ends by a graceful shutdown.
    CleanShutdown,
}

impl StoreWrite {
    /// The kind of state that the write persists.
    #[must_use]
    pub fn state_kind(&self) -> StateKind {
        match self {
            StoreWrite::Put(_, intent) if intent.outcome == IntentOutcome::InFlight => {
                StateKind::Intent
            }
            StoreWrite::Put(..) | StoreWrite::Remove(_) => StateKind::IntentOutcome,
            StoreWrite::FleetSize(_) => StateKind::FleetSize,
            StoreWrite::Uptime(_) | StoreWrite::CleanShutdown => StateKind::Epoch,
        }
    }
}

/// The result of an attempt of a paid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The session is established.
    Established,
    /// The attempt never ran.
    NeverRan,
    /// The session has ended, or the attempt was not established and may have run.
    Ended,
}

/// The paid keys of this front. The number of keys that ended is bounded: they are pruned by age and by number, the oldest
/// first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct IntentLedger {
    entries: BTreeMap<Key, Intent>,
    /// The keys of active attempts, by the name of the attempt.
    active_attempts: BTreeMap<String, Key>,
    /// The keys that ended, ordered by [`Intent::retained_until`].
    pruning_order: BTreeSet<(u64, Key)>,
    /// The uptime of the front for which an ended key is retained.
    retention: Duration,
    /// The maximum number of ended keys.
    max_ended: usize,
}

impl IntentLedger {
    /// A ledger that starts with the `recovered` entries. Ended keys are retained for `retention` of uptime, and at most
    /// `max_ended` of them.
    pub fn new(retention: Duration, max_ended: usize, recovered: &[(Key, Intent)]) -> IntentLedger {
        let mut ledger = IntentLedger {
            retention,
            max_ended,
            ..IntentLedger::default()
        };
        for (key, intent) in recovered {
            ledger.insert(key.clone(), intent.clone());
        }
        ledger
    }

    /// The number of entries, including those that ended.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry of a key; `None` if the key is unknown.
    #[must_use]
    pub fn get(&self, key: &Key) -> Option<&Intent> {
        self.entries.get(key)
    }

    fn insert(&mut self, key: Key, intent: Intent) {
        self.remove(&key);
        if intent.outcome.is_active() {
            self.active_attempts
                .insert(intent.attempt_name.clone(), key.clone());
        } else {
            self.pruning_order
                .insert((intent.retained_until, key.clone()));
        }
        self.entries.insert(key, intent);
    }

    fn remove(&mut self, key: &Key) -> Option<Intent> {
        let intent = self.entries.remove(key)?;
        // The index entry stays if another key uses the same attempt name by now.
        if self.active_attempts.get(&intent.attempt_name) == Some(key) {
            self.active_attempts.remove(&intent.attempt_name);
        }
        self.pruning_order
            .remove(&(intent.retained_until, key.clone()));
        Some(intent)
    }

    fn insert_and_persist(&mut self, key: Key, intent: Intent) -> StoreWrite {
        self.insert(key.clone(), intent.clone());
        StoreWrite::Put(key, intent)
    }

    /// Records an attempt that is about to be sent. The attempt must not be sent before the returned write is on disk.
    #[must_use]
    pub fn begin_attempt(
        &mut self,
        key: Key,
        class: String,
        server: u32,
        attempt_name: String,
        server_incarnation: String,
    ) -> StoreWrite {
        let intent = Intent {
            class,
            server,
            attempt_name,
            server_incarnation,
            outcome: IntentOutcome::InFlight,
            retained_until: RETAINED_WHILE_ACTIVE,
        };
        self.insert_and_persist(key, intent)
    }

    /// Records the result of the attempt with this name. `uptime` is the accumulated uptime of all incarnations. Returns `None`
    /// if the ledger has no such active attempt, or nothing changed.
    pub fn attempt_ended(
        &mut self,
        attempt_name: &str,
        result: AttemptResult,
        uptime: Duration,
    ) -> Option<StoreWrite> {
        let key = self.active_attempts.get(attempt_name)?.clone();
        let outcome = match result {
            AttemptResult::NeverRan => return self.remove_never_ran(&key),
            AttemptResult::Established => IntentOutcome::Established,
            AttemptResult::Ended if self.is_established(&key) => IntentOutcome::Completed,
            AttemptResult::Ended => IntentOutcome::Failed,
        };
        self.set_outcome(&key, outcome, uptime)
    }

    fn is_established(&self, key: &Key) -> bool {
        self.entries
            .get(key)
            .is_some_and(|intent| intent.outcome == IntentOutcome::Established)
    }

    /// Sets the outcome of a key. Returns `None` if the key is unknown or already has this outcome.
    pub fn set_outcome(
        &mut self,
        key: &Key,
        outcome: IntentOutcome,
        uptime: Duration,
    ) -> Option<StoreWrite> {
        let previous = self.entries.get(key)?;
        if previous.outcome == outcome {
            return None;
        }
        let retained_until = if outcome.is_active() {
            RETAINED_WHILE_ACTIVE
        } else {
            self.retained_until(uptime)
        };
        let intent = Intent {
            outcome,
            retained_until,
            ..previous.clone()
        };
        Some(self.insert_and_persist(key.clone(), intent))
    }

    /// Sets the outcome of a key that ran or may have run according to a server's inventory. The entry is created if the ledger
    /// does not have the key. Returns `None` if nothing changed.
    pub fn resolve(
        &mut self,
        key: &Key,
        outcome: IntentOutcome,
        uptime: Duration,
    ) -> Option<StoreWrite> {
        if self.entries.contains_key(key) {
            return self.set_outcome(key, outcome, uptime);
        }
        let intent = Intent {
            class: String::new(),
            server: 0,
            attempt_name: String::new(),
            server_incarnation: String::new(),
            outcome,
            retained_until: self.retained_until(uptime),
        };
        Some(self.insert_recovered(key.clone(), intent))
    }

    /// The [`Intent::retained_until`] of a key that ended at this uptime.
    fn retained_until(&self, uptime: Duration) -> u64 {
        whole_milliseconds(uptime).saturating_add(whole_milliseconds(self.retention))
    }

    /// Inserts the entry of a key that a server's inventory lists, or replaces it.
    #[must_use]
    pub fn insert_recovered(&mut self, key: Key, intent: Intent) -> StoreWrite {
        self.insert_and_persist(key, intent)
    }

    /// Removes a key whose attempt is proven never to have run. Returns `None` if the key is unknown.
    pub fn remove_never_ran(&mut self, key: &Key) -> Option<StoreWrite> {
        self.remove(key)?;
        Some(StoreWrite::Remove(key.clone()))
    }

    /// Removes ended keys whose retention has ended, or that exceed the maximum number, the oldest first. At most `limit` keys
    /// are removed, so that no call takes long.
    #[must_use]
    pub fn prune(&mut self, uptime: Duration, limit: usize) -> Vec<StoreWrite> {
        let mut writes = Vec::new();
        while writes.len() < limit {
            let Some((retained_until, key)) = self.pruning_order.first().cloned() else {
                break;
            };
            if retained_until > whole_milliseconds(uptime)
                && self.pruning_order.len() <= self.max_ended
            {
                break;
            }
            self.remove(&key);
            writes.push(StoreWrite::Remove(key));
        }
        writes
    }
}

#[cfg(test)]
mod tests;
