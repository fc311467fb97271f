//! Power losses before each sync of a recorded run, with different subsets of the unsynced writes persisted.
//!
//! A disk holds what was written before the last completed sync. Any subset of the sectors that were written later may be
//! persisted as well. In each case a store that is opened on the disk must contain the result of one commit, and it must not be
//! older than the last commit that was reported as durable.
mod common;
use common::{apply_writes, intent, key, overwrite, put_intent, recovered_entries};
use common::{DiskOperation, Entries, RecordingDisk};
use crankpaddle_recovery::{IntentOutcome, StoreWrite};
use crankpaddle_store::Store;

/// The number of bytes that a disk persists atomically.
const SECTOR_BYTES: usize = 4096;
/// Up to this number of unsynced changes all subsets are checked. Of more changes these subsets are checked: each prefix, each
/// single change, all changes but one, and some random subsets.
const MAX_EXHAUSTIVE_CHANGES: usize = 7;
/// The number of random subsets that are checked.
const RANDOM_SUBSETS: usize = 24;

/// A commit that was reported as durable.
struct Commit {
    /// The number of disk operations up to the report.
    operation_count: usize,
    /// The entries that the store contains after the commit.
    entries: Entries,
}

struct RecordedRun {
    operations: Vec<DiskOperation>,
    commits: Vec<Commit>,
}

/// The writes of one commit of a front: an intent, the outcome of the previous one, and in every third commit the removal of an
/// earlier one.
fn writes_of_commit(number: u64) -> Vec<StoreWrite> {
    let mut writes = vec![put_intent(number, IntentOutcome::InFlight)];
    if number > 0 {
        writes.push(StoreWrite::Put(
            key(number - 1),
            intent(number - 1, IntentOutcome::Established),
        ));
    }
    if number % 3 == 2 {
        writes.push(StoreWrite::Remove(key(number - 2)));
    }
    writes
}

fn record(commit_count: u64) -> RecordedRun {
    let disk = RecordingDisk::default();
    let mut store = Store::open_backend(disk.clone(), "boot").unwrap().store;
    let mut entries = Entries::new();
    let mut commits = vec![Commit {
        operation_count: disk.operation_count(),
        entries: entries.clone(),
    }];
    for number in 0..commit_count {
        let writes = writes_of_commit(number);
        store.write(&writes).unwrap();
        apply_writes(&mut entries, &writes);
        commits.push(Commit {
            operation_count: disk.operation_count(),
            entries: entries.clone(),
        });
    }
    drop(store);
    RecordedRun {
        operations: disk.operations(),
        commits,
    }
}

/// A change of a disk's content that is persisted atomically.
enum Change {
    Sector { offset: u64, data: Vec<u8> },
    Length(u64),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Sector { offset, data } => overwrite(bytes, *offset, data),
            Change::Length(length) => bytes.resize(*length as usize, 0),
        }
    }
}

/// Splits a write at the boundaries of the disk's sectors. The write itself may begin within a sector.
fn split_into_sectors(offset: u64, data: &[u8]) -> Vec<Change> {
    let mut sectors = Vec::new();
    let mut start = 0;
    while start < data.len() {
        let position = offset as usize + start;
        let end = data
            .len()
            .min(start + SECTOR_BYTES - position % SECTOR_BYTES);
        sectors.push(Change::Sector {
            offset: position as u64,
            data: data[start..end].to_vec(),
        });
        start = end;
    }
    sectors
}

/// The subsets of `count` unsynced changes that are checked. Each one tells for every change whether it is persisted.
fn persisted_subsets(count: usize, rng: &mut oorandom::Rand32) -> Vec<Vec<bool>> {
    if count <= MAX_EXHAUSTIVE_CHANGES {
        return (0..1u32 << count)
            .map(|set| (0..count).map(|index| set >> index & 1 == 1).collect())
            .collect();
    }
    let mut subsets: Vec<Vec<bool>> = Vec::new();
    for length in 0..=count {
        subsets.push((0..count).map(|index| index < length).collect());
    }
    for single in 0..count {
        subsets.push((0..count).map(|index| index == single).collect());
    }
    for missing in 0..count {
        subsets.push((0..count).map(|index| index != missing).collect());
    }
    for _ in 0..RANDOM_SUBSETS {
        subsets.push((0..count).map(|_| rng.rand_float() < 0.5).collect());
    }
    subsets
}

/// Replays the disk operations of a recorded run, with a power loss before each sync.
struct Replay<'a> {
    run: &'a RecordedRun,
    rng: oorandom::Rand32,
    synced_bytes: Vec<u8>,
    unsynced: Vec<Change>,
    /// The number of disk contents on which a store was opened.
    checked_contents: usize,
    violations: Vec<String>,
}

impl Replay<'_> {
    /// Opens a store on each content of the disk that a power loss before this sync may leave.
    fn lose_power_before_sync(&mut self, operation: usize) {
        for subset in persisted_subsets(self.unsynced.len(), &mut self.rng) {
            let mut bytes = self.synced_bytes.clone();
            for (change, persisted) in self.unsynced.iter().zip(&subset) {
                if *persisted {
                    change.apply(&mut bytes);
                }
            }
            self.checked_contents += 1;
            if let Err(violation) = self.check_content(operation, bytes) {
                self.violations.push(violation);
            }
        }
    }

    /// Checks that a store opened on this content contains the result of the last commit that was reported before the sync, or
    /// of the commit in progress.
    fn check_content(&self, operation: usize, bytes: Vec<u8>) -> Result<(), String> {
        let commits = &self.run.commits;
        let reported = commits
            .iter()
            .rfind(|commit| commit.operation_count <= operation);
        let in_progress = commits
            .iter()
            .find(|commit| commit.operation_count > operation);
        // Before the first commit there is no store, and invalid content is quarantined.
        let Some(reported) = reported else {
            let _ = Store::open_backend(RecordingDisk::with_content(bytes), "other boot");
            return Ok(());
        };
        let opened = Store::open_backend(RecordingDisk::with_content(bytes), "other boot")
            .map_err(|error| format!("power loss before operation {operation}: {error}"))?;
        let found = recovered_entries(&opened.recovered);
        let is_result_of = |commit: &Commit| commit.entries == found;
        if is_result_of(reported) || in_progress.is_some_and(is_result_of) {
            return Ok(());
        }
        Err(format!("power loss before operation {operation}: the content is not the result of either commit"))
    }

    fn sync(&mut self) {
        for change in self.unsynced.drain(..) {
            change.apply(&mut self.synced_bytes);
        }
    }
}

/// Replays a run on a disk that keeps synced writes, or on one that loses them.
fn replay(run: &RecordedRun, keeps_synced: bool, seed: u64) -> Replay<'_> {
    let mut replay = Replay {
        run,
        rng: oorandom::Rand32::new(seed),
        synced_bytes: Vec::new(),
        unsynced: Vec::new(),
        checked_contents: 0,
        violations: Vec::new(),
    };
    for (index, operation) in run.operations.iter().enumerate() {
        match operation {
            DiskOperation::Write { offset, data } => {
                replay.unsynced.extend(split_into_sectors(*offset, data));
            }
            DiskOperation::SetLength(length) => replay.unsynced.push(Change::Length(*length)),
            DiskOperation::Sync => {
                replay.lose_power_before_sync(index);
                if keeps_synced {
                    replay.sync();
                }
            }
        }
    }
    replay
}

#[test]
fn each_subset_of_unsynced_writes_recovers_to_the_result_of_a_commit() {
    let run = record(if cfg!(debug_assertions) { 6 } else { 40 });
    let replay = replay(&run, true, 1);
    let checked_contents = replay.checked_contents;
    println!(
        "{checked_contents} contents of the disk checked, {} disk operations",
        run.operations.len()
    );
    assert!(checked_contents > 200, "{checked_contents}");
    assert_eq!(replay.violations, Vec::<String>::new());
}

#[test]
fn a_disk_that_loses_synced_writes_is_detected() {
    let run = record(3);
    let replay = replay(&run, false, 1);
    assert!(
        !replay.violations.is_empty(),
        "no violation was found in {} contents of the disk",
        replay.checked_contents
    );
}
