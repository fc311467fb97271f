//! Paid set-ups, written down before they leave.
//!
//! A paid key has one entry: where its one attempt is out or plays, or that it ran. Danger: a front that forgets an attempt with its
//! power sets the same key up again, and it is paid twice. Covered: the entry is on disk before the first byte of the attempt leaves;
//! what became of it is written later and may be lost, since the servers can be asked. Harm: a paid set-up waits for the disk.
use crate::power_loss_policy::StateKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A paid session as operators' books have it: by name, since numbers of a configuration change with it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Tenant; empty where there are none.
    pub tenant: String,
    /// What it is billed under, which does not tell the player's own key.
    pub bill: String,
}

/// What became of a paid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum IntentOutcome {
    /// An attempt is out, or about to be; it may have run.
    InFlight,
    /// It plays.
    Established,
    /// It ran and is over.
    Completed,
    /// It may have run, and its viewer was told that it failed.
    Failed,
}

/// A paid key's one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Class by name.
    pub class: String,
    /// The server of its last attempt.
    pub server: u32,
    /// The attempt's name there.
    pub attempt_name: String,
    /// The life of that server which was known when it left; empty: none was.
    pub server_incarnation: String,
    /// What became of it.
    pub outcome: IntentOutcome,
    /// Forgotten once all lives of the front together ran for so long, milliseconds. Danger: by the wall clock a host that boots with
    /// the clock of tomorrow would forget what it did a minute ago.
    pub retained_until: u64,
}

/// A change of what is kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreWrite {
    /// This entry, in place of any other of the key.
    Put(Key, Intent),
    /// The key may be forgotten: nothing of it ran, or its time is over.
    Remove(Key),
    /// The fleet has so many fronts.
    FleetSize(u32),
    /// All lives ran together for so many milliseconds.
    Uptime(u64),
    /// This life ends in order.
    CleanShutdown,
}

impl StoreWrite {
    /// What it keeps.
    pub fn thing(&self) -> StateKind {
        match self {
            StoreWrite::Put(
                _,
                Intent {
                    outcome: IntentOutcome::InFlight,
                    ..
                },
            ) => StateKind::Intent,
            StoreWrite::Put(..) | StoreWrite::Remove(_) => StateKind::Fate,
            StoreWrite::FleetSize(_) => StateKind::FleetSize,
            StoreWrite::Uptime(_) | StoreWrite::CleanShutdown => StateKind::Epoch,
        }
    }
}

/// How an attempt of a paid key came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// It plays.
    Established,
    /// It never ran.
    NeverRan,
    /// It plays no more, or it never came to play and may have run.
    Ended,
}

/// The paid keys of this front. Bounded: what ended is forgotten, the oldest first, by time and by number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct IntentLedger {
    entries: BTreeMap<Key, Intent>,
    names: BTreeMap<String, Key>,    // Of attempts that are out or play.
    ended: BTreeMap<(u64, Key), ()>, // By the time until which they are kept.
    keep: u64,
    most: usize,
}

impl IntentLedger {
    /// Ended keys are kept for `keep` milliseconds of running time, and `most` of them at most.
    pub fn new(keep: u64, most: usize, past: &[(Key, Intent)]) -> IntentLedger {
        let mut ledger = IntentLedger {
            keep,
            most,
            ..IntentLedger::default()
        };
        past.iter()
            .for_each(|(key, intent)| ledger.put(key.clone(), intent.clone()));
        ledger
    }

    /// Entries, those that ended with them.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What is known of a key.
    pub fn get(&self, key: &Key) -> Option<&Intent> {
        self.entries.get(key)
    }

    fn put(&mut self, key: Key, intent: Intent) {
        self.take_out(&key);
        if matches!(
            intent.outcome,
            IntentOutcome::InFlight | IntentOutcome::Established
        ) {
            self.names.insert(intent.attempt_name.clone(), key.clone());
        } else {
            self.ended.insert((intent.retained_until, key.clone()), ());
        }
        self.entries.insert(key, intent);
    }

    fn take_out(&mut self, key: &Key) -> Option<Intent> {
        let intent = self.entries.remove(key)?;
        if self.names.get(&intent.attempt_name) == Some(key) {
            self.names.remove(&intent.attempt_name);
        }
        self.ended.remove(&(intent.retained_until, key.clone()));
        Some(intent)
    }

    /// An attempt is about to leave. It must not before this was written to the end.
    pub fn begin_attempt(
        &mut self,
        key: Key,
        class: String,
        server: u32,
        name: String,
        boot: String,
    ) -> StoreWrite {
        let intent = Intent {
            class,
            server,
            attempt_name: name,
            server_incarnation: boot,
            outcome: IntentOutcome::InFlight,
            retained_until: u64::MAX,
        };
        self.put(key.clone(), intent.clone());
        StoreWrite::Put(key, intent)
    }

    /// An attempt came out, by its name; `ran` is how long all lives ran. `None`: it is not one of ours, or nothing changed.
    pub fn attempt_ended(
        &mut self,
        name: &str,
        how: AttemptResult,
        ran: u64,
    ) -> Option<StoreWrite> {
        let key = self.names.get(name)?.clone();
        let fate = match how {
            AttemptResult::NeverRan => {
                self.take_out(&key);
                return Some(StoreWrite::Remove(key));
            }
            AttemptResult::Established => IntentOutcome::Established,
            AttemptResult::Ended
                if self
                    .entries
                    .get(&key)
                    .is_some_and(|i| i.outcome == IntentOutcome::Established) =>
            {
                IntentOutcome::Completed
            }
            AttemptResult::Ended => IntentOutcome::Failed,
        };
        self.set_outcome(&key, fate, ran)
    }

    /// A key turns out to have come to this.
    pub fn set_outcome(&mut self, key: &Key, fate: IntentOutcome, ran: u64) -> Option<StoreWrite> {
        let before = self.entries.get(key)?;
        if before.outcome == fate {
            return None;
        }
        let until = match fate {
            IntentOutcome::InFlight | IntentOutcome::Established => u64::MAX,
            IntentOutcome::Completed | IntentOutcome::Failed => ran.saturating_add(self.keep),
        };
        let intent = Intent {
            outcome: fate,
            retained_until: until,
            ..before.clone()
        };
        self.put(key.clone(), intent.clone());
        Some(StoreWrite::Put(key.clone(), intent))
    }

    /// A key of which a server's book told and this ledger nothing.
    pub fn insert_recovered(&mut self, key: Key, intent: Intent) -> StoreWrite {
        self.put(key.clone(), intent.clone());
        StoreWrite::Put(key, intent)
    }

    /// Nothing of a key ran, as was proven.
    pub fn remove_never_ran(&mut self, key: &Key) -> Option<StoreWrite> {
        self.take_out(key).map(|_| StoreWrite::Remove(key.clone()))
    }

    /// Forgets what is over for long enough, and what is too much; `most_now` entries at a time, so that no call is long.
    pub fn prune(&mut self, ran: u64, most_now: usize) -> Vec<StoreWrite> {
        let mut out = Vec::new();
        while out.len() < most_now {
            let Some((until, key)) = self.ended.keys().next().cloned() else {
                break;
            };
            if until > ran && self.ended.len() <= self.most {
                break;
            }
            self.take_out(&key);
            out.push(StoreWrite::Remove(key));
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(n: u32) -> Key {
        Key {
            tenant: String::new(),
            bill: format!("b{n}"),
        }
    }

    fn out(ledger: &mut IntentLedger, n: u32) -> StoreWrite {
        ledger.begin_attempt(key(n), "paid".into(), 7, format!("name-{n}"), "1".into())
    }

    #[test]
    fn an_attempt_that_never_ran_leaves_nothing_and_one_that_may_have_stays() {
        let mut ledger = IntentLedger::new(1000, 10, &[]);
        assert_eq!(out(&mut ledger, 1).thing(), StateKind::Intent);
        assert_eq!(
            ledger.attempt_ended("name-1", AttemptResult::NeverRan, 0),
            Some(StoreWrite::Remove(key(1)))
        );
        assert!(ledger.is_empty());
        out(&mut ledger, 2);
        ledger.attempt_ended("name-2", AttemptResult::Ended, 50);
        assert_eq!(
            ledger.get(&key(2)).map(|i| (i.outcome, i.retained_until)),
            Some((IntentOutcome::Failed, 1050))
        );
        assert_eq!(
            ledger.attempt_ended("name-2", AttemptResult::NeverRan, 60),
            None,
            "what failed can't be unsaid by a late word"
        );
    }

    #[test]
    fn what_is_out_or_plays_is_never_pruned_and_the_rest_by_time_and_number() {
        let mut ledger = IntentLedger::new(1000, 2, &[]);
        for n in 0..6 {
            out(&mut ledger, n);
        }
        for n in 2..6u32 {
            ledger.attempt_ended(&format!("name-{n}"), AttemptResult::Established, 0);
            ledger.attempt_ended(&format!("name-{n}"), AttemptResult::Ended, u64::from(n));
        }
        assert_eq!(
            ledger.prune(5, 1),
            [StoreWrite::Remove(key(2))],
            "one at a time"
        );
        assert_eq!(
            ledger.prune(5, 100),
            [StoreWrite::Remove(key(3))],
            "two are kept"
        );
        assert_eq!(ledger.prune(1004, 100), [StoreWrite::Remove(key(4))]);
        assert_eq!(
            ledger.prune(u64::MAX - 1, 100),
            [StoreWrite::Remove(key(5))]
        );
        assert_eq!(ledger.len(), 2, "two are out");
    }

    #[test]
    fn nothing_worthless_is_ever_written() {
        let mut ledger = IntentLedger::new(1, 1, &[]);
        let mut writes = vec![
            out(&mut ledger, 1),
            StoreWrite::FleetSize(3),
            StoreWrite::Uptime(1),
            StoreWrite::CleanShutdown,
        ];
        writes.extend(ledger.attempt_ended("name-1", AttemptResult::Ended, 0));
        writes.extend(ledger.prune(u64::MAX, 9));
        assert_eq!(writes.len(), 6);
        assert!(writes
            .iter()
            .all(|w| w.thing().after() != crate::PowerLossPolicy::Discarded));
    }

    #[test]
    fn a_ledger_goes_on_where_the_last_one_stood() {
        let mut first = IntentLedger::new(1000, 10, &[]);
        let writes = [out(&mut first, 1), out(&mut first, 2)];
        let kept: Vec<(Key, Intent)> = writes
            .into_iter()
            .filter_map(|w| {
                if let StoreWrite::Put(key, intent) = w {
                    Some((key, intent))
                } else {
                    None
                }
            })
            .collect();
        let mut second = IntentLedger::new(1000, 10, &kept);
        assert_eq!(
            second
                .attempt_ended("name-2", AttemptResult::Established, 0)
                .map(|w| w.thing()),
            Some(StateKind::Fate)
        );
        assert_eq!(
            second.get(&key(1)).map(|i| i.outcome),
            Some(IntentOutcome::InFlight)
        );
    }
}
