//! A power loss at each moment of a recorded run, with each order in which a disk may have taken what it was not yet made to keep.
//!
//! A disk keeps what was written before the last finished sync. Of what came after, any part of the sectors may be there: in order, out
//! of order, or none. Whatever it is, a store opened on it must hold what some commit left, no older than the last that was told to
//! be on disk.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod common;
use common::{apply, held, intent, key, lock, put, Held, Seen, Watched};
use crankpaddle_recovery::{IntentOutcome, StoreWrite};
use crankpaddle_store::Store;

/// A disk takes so many bytes at once or not at all.
const SECTOR: usize = 4096;
/// All orders are tried of so many sectors; of more, each prefix, each one alone, each one missing, and some drawn.
const ALL_OF: usize = 7;
const DRAWN: usize = 24;

/// What was done, the lives of the store marked by where in the record each commit was told to be on disk.
struct Run {
    seen: Vec<Seen>,
    /// After so many entries of the record, this is held for certain.
    told: Vec<(usize, Held)>,
}

fn record(commits: u64) -> Run {
    let disk = Watched::default();
    let at = |disk: &Watched| lock(&disk.seen).len();
    let taken = Store::open_backend(disk.clone(), "boot").unwrap();
    let (mut store, mut now) = (taken.store, Held::new());
    let mut told = vec![(at(&disk), now.clone())];
    for n in 0..commits {
        // As a front does: an intent, what became of the one before, and sometimes one forgotten.
        let mut writes = vec![StoreWrite::Put(key(n), intent(n, IntentOutcome::InFlight))];
        if n > 0 {
            writes.push(StoreWrite::Put(
                key(n - 1),
                intent(n - 1, IntentOutcome::Established),
            ));
        }
        if n % 3 == 2 {
            writes.push(StoreWrite::Remove(key(n - 2)));
        }
        store.write(&writes).unwrap();
        apply(&mut now, &writes);
        told.push((at(&disk), now.clone()));
    }
    drop(store);
    let seen = lock(&disk.seen).clone();
    Run { seen, told }
}

enum Unit {
    Sector(u64, Vec<u8>),
    Length(u64),
}

fn lay(bytes: &mut Vec<u8>, unit: &Unit) {
    match unit {
        Unit::Sector(offset, data) => put(bytes, *offset, data),
        Unit::Length(len) => bytes.resize(*len as usize, 0),
    }
}

fn subsets(count: usize, rng: &mut oorandom::Rand32) -> Vec<Vec<bool>> {
    if count <= ALL_OF {
        return (0..1u32 << count)
            .map(|set| (0..count).map(|i| set >> i & 1 == 1).collect())
            .collect();
    }
    let mut all: Vec<Vec<bool>> = (0..=count)
        .map(|n| (0..count).map(|i| i < n).collect())
        .collect();
    all.extend((0..count).map(|one| (0..count).map(|i| i == one).collect::<Vec<_>>()));
    all.extend((0..count).map(|one| (0..count).map(|i| i != one).collect::<Vec<_>>()));
    all.extend((0..DRAWN).map(|_| {
        (0..count)
            .map(|_| rng.rand_float() < 0.5)
            .collect::<Vec<_>>()
    }));
    all
}

/// Opens a store on each state that a power loss may have left; states looked at, and what was wrong. With `keeps`, the disk keeps
/// what was synced; without, it lies.
fn check(run: &Run, keeps: bool, seed: u64) -> (usize, Vec<String>) {
    let mut rng = oorandom::Rand32::new(seed);
    let (mut base, mut open): (Vec<u8>, Vec<Unit>) = (Vec::new(), Vec::new());
    let (mut states, mut wrong) = (0, Vec::new());
    for (i, seen) in run.seen.iter().enumerate() {
        match seen {
            Seen::Write(offset, data) => {
                // Sectors lie where the disk has them, not where a write begins.
                let mut at = 0;
                while at < data.len() {
                    let place = *offset as usize + at;
                    let end = data.len().min(at + SECTOR - place % SECTOR);
                    open.push(Unit::Sector(place as u64, data[at..end].to_vec()));
                    at = end;
                }
                continue;
            }
            Seen::Length(len) => {
                open.push(Unit::Length(*len));
                continue;
            }
            Seen::Sync => {}
        }
        // Power goes at any moment before this sync is over. What was told by then must be there; what was being written may be.
        let sure = run
            .told
            .iter()
            .filter(|(at, _)| *at <= i)
            .map(|(_, held)| held)
            .next_back();
        let next = run
            .told
            .iter()
            .find(|(at, _)| *at > i)
            .map(|(_, held)| held);
        for subset in subsets(open.len(), &mut rng) {
            let mut bytes = base.clone();
            open.iter()
                .zip(&subset)
                .filter(|(_, there)| **there)
                .for_each(|(unit, _)| lay(&mut bytes, unit));
            states += 1;
            let found = match Store::open_backend(Watched::of(bytes), "other boot") {
                Ok(taken) => Some(held(&taken.recovered)),
                // Before the first commit there is no store, and what is there is set aside.
                Err(_) if sure.is_none() => continue,
                Err(e) => {
                    wrong.push(format!("at {i}: {e}"));
                    continue;
                }
            };
            let expected = [sure, next];
            if !expected
                .iter()
                .flatten()
                .any(|held| found.as_ref() == Some(held))
                && sure.is_some()
            {
                wrong.push(format!("at {i}: holds what no commit left"));
            }
        }
        if keeps {
            open.drain(..).for_each(|unit| lay(&mut base, &unit));
        }
    }
    (states, wrong)
}

#[test]
fn each_prefix_and_order_of_writes_recovers_to_what_a_commit_left() {
    let run = record(if cfg!(debug_assertions) { 6 } else { 40 });
    let (states, wrong) = check(&run, true, 1);
    println!(
        "{states} states of a disk, {} writes and syncs",
        run.seen.len()
    );
    assert!(states > 200, "{states}");
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn a_disk_that_forgets_what_it_was_made_to_keep_is_found() {
    let run = record(3);
    let (states, wrong) = check(&run, false, 1);
    assert!(!wrong.is_empty(), "{states} states and nothing was missed");
}
