//! Sample folders of each version of the stored form, which this release must read completely.
//!
//! A sample is never rewritten. When the stored form changes, a sample of the new version is added:
//! `CRANKPADDLE_WRITE_SAMPLE=1 cargo test -p crankpaddle-store --test samples`
mod common;
use common::{put_intent, recovered_entries, Entries};
use crankpaddle_recovery::{IntentOutcome, PreviousShutdown, StoreWrite};
use crankpaddle_store::Store;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Duration;

const OUTCOMES: [IntentOutcome; 4] = [
    IntentOutcome::InFlight,
    IntentOutcome::Established,
    IntentOutcome::Completed,
    IntentOutcome::Failed,
];

const UPTIME: Duration = Duration::from_millis(123_456);

fn sample_dir(version: u32) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/samples/v{version}"))
}

/// The writes that a sample contains.
fn sample_writes() -> Vec<StoreWrite> {
    let entries = (0..12).map(|number| put_intent(number, OUTCOMES[number as usize % 4]));
    entries
        .chain([StoreWrite::FleetSize(40), StoreWrite::Uptime(UPTIME)])
        .collect()
}

#[test]
fn a_folder_of_version_1_is_completely_read() {
    let sample = sample_dir(1);
    if std::env::var_os("CRANKPADDLE_WRITE_SAMPLE").is_some() && !sample.join("front.redb").exists()
    {
        Store::open(&sample, "the sample's boot")
            .unwrap()
            .store
            .write(&sample_writes())
            .unwrap();
    }
    let dir = tempfile::tempdir().unwrap();
    for name in ["VERSION", "front.redb"] {
        fs::copy(sample.join(name), dir.path().join(name)).unwrap();
    }
    let opened = Store::open(dir.path(), "another boot").unwrap();
    assert!(opened.quarantined.is_none());
    let mut expected = Entries::new();
    common::apply_writes(&mut expected, &sample_writes());
    assert_eq!(recovered_entries(&opened.recovered), expected);
    let recovered = opened.recovered;
    assert_eq!(
        (recovered.epoch.0, recovered.shutdown, recovered.uptime.0),
        (2, PreviousShutdown::PowerLost, UPTIME)
    );
    assert_eq!(recovered.fleet_size.at_least(0), 40);
}
