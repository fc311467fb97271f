//! Folders as released versions wrote them are read whole by this one. A sample is never written anew: when the form changes, one of the
//! new version is added beside it (`CRANKPADDLE_WRITE_SAMPLE=1 cargo test -p crankpaddle-store --test samples`).
mod common;
use common::{held, intent, key, Held};
use crankpaddle_recovery::{IntentOutcome, PreviousShutdown, StoreWrite};
use crankpaddle_store::Store;
use std::fs;
use std::path::{Path, PathBuf};

const FATES: [IntentOutcome; 4] = [
    IntentOutcome::InFlight,
    IntentOutcome::Established,
    IntentOutcome::Completed,
    IntentOutcome::Failed,
];

fn sample(version: u32) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/samples/v{version}"))
}

fn writes() -> Vec<StoreWrite> {
    let entries = (0..12).map(|n| StoreWrite::Put(key(n), intent(n, FATES[n as usize % 4])));
    entries
        .chain([StoreWrite::FleetSize(40), StoreWrite::Uptime(123_456)])
        .collect()
}

#[test]
fn the_first_versions_folder_is_read() {
    let kept = sample(1);
    if std::env::var_os("CRANKPADDLE_WRITE_SAMPLE").is_some() && !kept.join("front.redb").exists() {
        Store::open(&kept, "the sample's boot")
            .unwrap()
            .store
            .write(&writes())
            .unwrap();
    }
    let dir = tempfile::tempdir().unwrap();
    for name in ["VERSION", "front.redb"] {
        fs::copy(kept.join(name), dir.path().join(name)).unwrap();
    }
    let taken = Store::open(dir.path(), "another boot").unwrap();
    assert!(taken.quarantined.is_none());
    let mut expected = Held::new();
    common::apply(&mut expected, &writes());
    assert_eq!(held(&taken.recovered), expected);
    let past = taken.recovered;
    assert_eq!(
        (past.epoch.0, past.shutdown, past.uptime_ms.0),
        (2, PreviousShutdown::PowerLost, 123_456)
    );
    assert_eq!(past.fleet_size.at_least(0), 40);
}
