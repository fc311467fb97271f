//! What a store costs: a commit alone, many at once, and reading what is there, beside the least that any store could take: the same
//! bytes appended to a file and synced. `cargo run --release -p crankpaddle-store --example cost [FOLDER]`
use crankpaddle_recovery::{Intent, IntentOutcome, Key, StoreWrite};
use crankpaddle_store::Store;
use std::fs::{self, File};
use std::io::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

const ALONE: usize = 400;

fn keep(n: u64) -> StoreWrite {
    let key = Key {
        tenant: format!("t{}", n % 5),
        bill: format!("{n:032x}"),
    };
    let name = format!("{:016x}-{n:x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let intent = Intent {
        class: "licensed-view".into(),
        server: n as u32 % 150,
        attempt_name: name,
        server_incarnation: "17".into(),
        outcome: IntentOutcome::InFlight,
        retained_until: u64::MAX,
    };
    StoreWrite::Put(key, intent)
}

fn told(what: &str, mut times: Vec<Duration>, each: usize) {
    times.sort_unstable();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    println!(
        "{what:44} p50 {:7.2} ms  p99 {:7.2} ms  a write {:7.1} us",
        at(0.5),
        at(0.99),
        at(0.5) * 1e3 / each as f64
    );
}

fn size(dir: &Path) -> u64 {
    fs::read_dir(dir).map_or(0, |all| {
        all.flatten()
            .filter_map(|f| f.metadata().ok())
            .map(|m| m.len())
            .sum()
    })
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let dir = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, Into::into)
        .join("crankpaddle-cost");
    let _ = fs::remove_dir_all(&dir); // Of a run that was broken off.
    fs::create_dir_all(&dir)?;
    for group in [1, 16, 256] {
        let folder = dir.join(format!("group-{group}"));
        let mut store = Store::open(&folder, "boot")?.store;
        let (mut times, mut floor) = (Vec::new(), Vec::new());
        let mut plain = File::create(dir.join("plain"))?;
        for round in 0..ALONE as u64 {
            let writes: Vec<StoreWrite> = (0..group).map(|n| keep(round * group + n)).collect();
            let begun = Instant::now();
            store.write(&writes)?;
            times.push(begun.elapsed());
            let bytes = vec![7u8; 120 * group as usize];
            let begun = Instant::now();
            plain.write_all(&bytes)?;
            plain.sync_data()?;
            floor.push(begun.elapsed());
        }
        told(
            &format!("{group} at once, in the store"),
            times,
            group as usize,
        );
        told(
            &format!("{group} at once, appended to a file"),
            floor,
            group as usize,
        );
    }
    for entries in [1_000u64, 10_000, 100_000] {
        let folder = dir.join(format!("entries-{entries}"));
        let mut store = Store::open(&folder, "boot")?.store;
        let all: Vec<u64> = (0..entries).collect();
        for some in all.chunks(1000) {
            store.write(&some.iter().map(|n| keep(*n)).collect::<Vec<_>>())?;
        }
        // As a power loss leaves it: a copy, without the closing of the file.
        let copy = dir.join(format!("copy-{entries}"));
        fs::create_dir_all(&copy)?;
        for file in fs::read_dir(&folder)? {
            let file = file?;
            fs::copy(file.path(), copy.join(file.file_name()))?;
        }
        let begun = Instant::now();
        let taken = Store::open(&copy, "other boot")?;
        let took = begun.elapsed();
        println!(
            "{entries:7} entries: read after a power loss in {:8.1} ms ({:.2} us an entry), {:.1} MB, {:?}",
            took.as_secs_f64() * 1e3,
            took.as_secs_f64() * 1e6 / entries as f64,
            size(&folder) as f64 / 1e6,
            taken.recovered.shutdown
        );
        assert_eq!(taken.recovered.intents.0.len(), entries as usize);
    }
    fs::remove_dir_all(&dir)?;
    Ok(())
}
