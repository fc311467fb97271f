//! A benchmark of the store. It measures commits of one write and of many writes, and reading the persisted state. For
//! comparison, it also appends the same number of bytes to a plain file and syncs it, which is the minimum for any store.
//!
//! Run: `cargo run --release -p crankpaddle-store --example cost [FOLDER]`
use crankpaddle_recovery::{Intent, IntentOutcome, Key, StoreWrite};
use crankpaddle_store::Store;
use std::error::Error;
use std::fs::{self, File};
use std::io::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

/// The number of measured commits for each group size.
const ROUNDS: u64 = 400;
/// The numbers of writes in one commit that are measured.
const GROUP_SIZES: [u64; 3] = [1, 16, 256];
/// The numbers of entries whose reading is measured.
const ENTRY_COUNTS: [u64; 3] = [1_000, 10_000, 100_000];
/// The number of writes per commit that prepare the entries to be read.
const ENTRIES_PER_COMMIT: usize = 1000;
/// The number of bytes per write to the plain file, about the size of an encoded entry.
const PLAIN_ENTRY_BYTES: usize = 120;

fn put_intent(number: u64) -> StoreWrite {
    let key = Key {
        tenant: format!("t{}", number % 5),
        bill: format!("{number:032x}"),
    };
    let intent = Intent {
        class: "licensed-view".into(),
        server: number as u32 % 150,
        attempt_name: format!(
            "{:016x}-{number:x}",
            number.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ),
        server_incarnation: "17".into(),
        outcome: IntentOutcome::InFlight,
        retained_until: u64::MAX,
    };
    StoreWrite::Put(key, intent)
}

fn print_quantiles(label: &str, mut times: Vec<Duration>, writes_per_commit: u64) {
    times.sort_unstable();
    let quantile_ms =
        |quantile: f64| times[((times.len() - 1) as f64 * quantile) as usize].as_secs_f64() * 1e3;
    println!(
        "{label:44} p50 {:7.2} ms  p99 {:7.2} ms  a write {:7.1} us",
        quantile_ms(0.5),
        quantile_ms(0.99),
        quantile_ms(0.5) * 1e3 / writes_per_commit as f64
    );
}

fn folder_bytes(dir: &Path) -> u64 {
    fs::read_dir(dir).map_or(0, |entries| {
        entries
            .flatten()
            .filter_map(|entry| entry.metadata().ok())
            .map(|metadata| metadata.len())
            .sum()
    })
}

fn measure_commits(dir: &Path, group_size: u64) -> Result<(), Box<dyn Error>> {
    let mut store = Store::open(&dir.join(format!("group-{group_size}")), "boot")?.store;
    let mut plain_file = File::create(dir.join("plain"))?;
    let plain_bytes = vec![7u8; PLAIN_ENTRY_BYTES * group_size as usize];
    let mut store_times = Vec::new();
    let mut plain_times = Vec::new();
    for round in 0..ROUNDS {
        let writes: Vec<StoreWrite> = (0..group_size)
            .map(|number| put_intent(round * group_size + number))
            .collect();
        let started_at = Instant::now();
        store.write(&writes)?;
        store_times.push(started_at.elapsed());
        let started_at = Instant::now();
        plain_file.write_all(&plain_bytes)?;
        plain_file.sync_data()?;
        plain_times.push(started_at.elapsed());
    }
    print_quantiles(
        &format!("{group_size} at once, in the store"),
        store_times,
        group_size,
    );
    print_quantiles(
        &format!("{group_size} at once, appended to a file"),
        plain_times,
        group_size,
    );
    Ok(())
}

fn measure_reading(dir: &Path, entry_count: u64) -> Result<(), Box<dyn Error>> {
    let folder = dir.join(format!("entries-{entry_count}"));
    let mut store = Store::open(&folder, "boot")?.store;
    let numbers: Vec<u64> = (0..entry_count).collect();
    for chunk in numbers.chunks(ENTRIES_PER_COMMIT) {
        let writes: Vec<StoreWrite> = chunk.iter().map(|number| put_intent(*number)).collect();
        store.write(&writes)?;
    }
    // The files are copied while the store is open, so that the copy is in the state that a power loss leaves.
    let copy = dir.join(format!("copy-{entry_count}"));
    fs::create_dir_all(&copy)?;
    for file in fs::read_dir(&folder)? {
        let file = file?;
        fs::copy(file.path(), copy.join(file.file_name()))?;
    }
    let started_at = Instant::now();
    let opened = Store::open(&copy, "other boot")?;
    let duration = started_at.elapsed().as_secs_f64();
    println!(
        "{entry_count:7} entries: read after a power loss in {:8.1} ms ({:.2} us an entry), {:.1} MB, {:?}",
        duration * 1e3,
        duration * 1e6 / entry_count as f64,
        folder_bytes(&folder) as f64 / 1e6,
        opened.recovered.shutdown
    );
    assert_eq!(opened.recovered.intents.0.len(), entry_count as usize);
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let dir = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, Into::into)
        .join("crankpaddle-cost");
    // An aborted run may have left its folder. Usually it does not exist, so the result is ignored.
    let _ = fs::remove_dir_all(&dir);
    fs::create_dir_all(&dir)?;
    for group_size in GROUP_SIZES {
        measure_commits(&dir, group_size)?;
    }
    for entry_count in ENTRY_COUNTS {
        measure_reading(&dir, entry_count)?;
    }
    fs::remove_dir_all(&dir)?;
    Ok(())
}
