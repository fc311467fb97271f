//! A power loss at each moment of a recorded run, with each order in which a disk may have persisted what was not synced yet.
//!
//! A disk holds what was written before the last completed sync. Of later writes any set of sectors may be persisted: in order, out
//! of order, or none. Whatever it is, a store opened on it must hold the result of some commit, no older than the last one that was
//! reported as durable.
mod common;
use common::{apply, intent, key, overwrite, put, recovered_entries};
use common::{DiskOperation, Entries, RecordingDisk};
use crankpaddle_recovery::{IntentOutcome, StoreWrite};
use crankpaddle_store::Store;

/// A disk persists this number of bytes at once or not at all.
const SECTOR_BYTES: usize = 4096;
/// Up to this number of unsynced changes all subsets are tried; of more, each prefix, each single one, each missing one, and some
/// random ones.
const MAX_EXHAUSTIVE_CHANGES: usize = 7;
const RANDOM_SUBSETS: usize = 24;

/// A commit that was reported as durable.
struct Commit {
    /// The number of disk operations up to the report.
    operation_count: usize,
    /// What the store holds since.
    entries: Entries,
}

struct RecordedRun {
    operations: Vec<DiskOperation>,
    commits: Vec<Commit>,
}

/// The writes of one commit of a front: an intent, the outcome of the one before, and sometimes the removal of an earlier one.
fn writes_of_commit(n: u64) -> Vec<StoreWrite> {
    let mut writes = vec![put(n, IntentOutcome::InFlight)];
    if n > 0 {
        writes.push(StoreWrite::Put(
            key(n - 1),
            intent(n - 1, IntentOutcome::Established),
        ));
    }
    if n % 3 == 2 {
        writes.push(StoreWrite::Remove(key(n - 2)));
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
    for n in 0..commit_count {
        let writes = writes_of_commit(n);
        store.write(&writes).unwrap();
        apply(&mut entries, &writes);
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

/// A change of a disk's content that is persisted at once or not at all.
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

/// Splits a write at the boundaries of the disk's sectors, which are not where a write begins.
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

/// Which of `count` unsynced changes are persisted, in each way that is tried.
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

/// The disk of a recorded run that is replayed, with a power loss before each sync.
struct Replay<'a> {
    run: &'a RecordedRun,
    rng: oorandom::Rand32,
    synced_bytes: Vec<u8>,
    unsynced: Vec<Change>,
    /// The number of disk contents on which a store was opened.
    states: usize,
    violations: Vec<String>,
}

impl Replay<'_> {
    /// Opens a store on each content that a power loss before this sync may have left.
    fn lose_power_before_sync(&mut self, operation: usize) {
        for subset in persisted_subsets(self.unsynced.len(), &mut self.rng) {
            let mut bytes = self.synced_bytes.clone();
            for (change, persisted) in self.unsynced.iter().zip(&subset) {
                if *persisted {
                    change.apply(&mut bytes);
                }
            }
            self.states += 1;
            if let Err(violation) = self.check_content(operation, bytes) {
                self.violations.push(violation);
            }
        }
    }

    /// The last commit reported before the sync must be held; the one in progress may be.
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
            .map_err(|error| format!("at {operation}: {error}"))?;
        let found = recovered_entries(&opened.recovered);
        let holds = |commit: &Commit| commit.entries == found;
        if holds(reported) || in_progress.is_some_and(holds) {
            return Ok(());
        }
        Err(format!("at {operation}: holds what no commit left"))
    }

    fn sync(&mut self) {
        for change in self.unsynced.drain(..) {
            change.apply(&mut self.synced_bytes);
        }
    }
}

/// Replays a run on a disk that keeps what was synced, or on one that does not.
fn replay(run: &RecordedRun, keeps_synced: bool, seed: u64) -> Replay<'_> {
    let mut replay = Replay {
        run,
        rng: oorandom::Rand32::new(seed),
        synced_bytes: Vec::new(),
        unsynced: Vec::new(),
        states: 0,
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
    let states = replay.states;
    println!(
        "{states} states of a disk, {} writes and syncs",
        run.operations.len()
    );
    assert!(states > 200, "{states}");
    assert_eq!(replay.violations, Vec::<String>::new());
}

#[test]
fn a_disk_that_loses_synced_writes_is_detected() {
    let run = record(3);
    let replay = replay(&run, false, 1);
    assert!(
        !replay.violations.is_empty(),
        "{} states and nothing was missed",
        replay.states
    );
}
