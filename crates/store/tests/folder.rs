//! Opening the folder of a store and writing to it: which error each fault leads to, when a database is quarantined, and what
//! is recovered.
mod common;
use common::{intent, key, put_intent, recovered_entries};
use crankpaddle_recovery::{IntentOutcome, PreviousShutdown, StoreWrite};
use crankpaddle_store::{QuarantinedFile, Store, StoreError, StoreWriter, WriteRequest};
use crankpaddle_testbed::disk::FaultyDisk;
use std::fs;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

/// How long a test waits for a write before it fails.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// The names and contents of the folder's files, sorted by name.
fn files(dir: &Path) -> Vec<(String, Vec<u8>)> {
    let mut files: Vec<(String, Vec<u8>)> = fs::read_dir(dir)
        .unwrap()
        .map(|entry| {
            let entry = entry.unwrap();
            let name = entry.file_name().to_string_lossy().into_owned();
            (name, fs::read(entry.path()).unwrap())
        })
        .collect();
    files.sort();
    files
}

#[test]
fn an_incarnation_knows_how_the_previous_one_ended() {
    let dir = tempfile::tempdir().unwrap();
    let open = |boot_id: &str| Store::open(dir.path(), boot_id).unwrap();
    let first = open("a");
    assert_eq!(
        (first.recovered.shutdown, first.recovered.epoch.0),
        (PreviousShutdown::Unknown, 1)
    );
    drop(first);
    assert_eq!(open("a").recovered.shutdown, PreviousShutdown::Killed);
    let mut third = open("b");
    assert_eq!(
        (third.recovered.shutdown, third.recovered.epoch.0),
        (PreviousShutdown::PowerLost, 3)
    );
    third
        .store
        .write(&[
            put_intent(1, IntentOutcome::InFlight),
            StoreWrite::FleetSize(40),
            StoreWrite::Uptime(Duration::from_millis(77)),
            StoreWrite::CleanShutdown,
        ])
        .unwrap();
    drop(third);
    // After a clean shutdown it does not matter whether the host was booted since, because nothing was left unresolved.
    let fourth = open("c").recovered;
    assert_eq!(
        (
            fourth.shutdown,
            fourth.fleet_size.at_least(11),
            fourth.uptime.0
        ),
        (PreviousShutdown::Clean, 40, Duration::from_millis(77))
    );
    assert_eq!(
        recovered_entries(&fourth),
        [(key(1), intent(1, IntentOutcome::InFlight))].into()
    );
    assert_eq!(
        open("c").recovered.shutdown,
        PreviousShutdown::Killed,
        "a clean shutdown counts only for the next incarnation"
    );
}

#[test]
fn a_folder_can_not_be_opened_twice_at_a_time() {
    let dir = tempfile::tempdir().unwrap();
    let first = Store::open(dir.path(), "a").unwrap();
    assert!(matches!(
        Store::open(dir.path(), "a"),
        Err(StoreError::Locked { .. })
    ));
    drop(first);
    Store::open(dir.path(), "a").unwrap();
}

#[test]
fn a_folder_of_a_later_release_is_rejected_and_not_changed() {
    let dir = tempfile::tempdir().unwrap();
    Store::open(dir.path(), "a")
        .unwrap()
        .store
        .write(&[put_intent(1, IntentOutcome::InFlight)])
        .unwrap();
    fs::write(dir.path().join("VERSION"), "2\n").unwrap();
    let before = files(dir.path());
    assert!(matches!(
        Store::open(dir.path(), "a"),
        Err(StoreError::NewerVersion {
            found: 2,
            supported: 1,
            ..
        })
    ));
    assert_eq!(files(dir.path()), before);
}

#[test]
fn a_corrupted_file_is_either_quarantined_or_completely_read() {
    let dir = tempfile::tempdir().unwrap();
    let writes: Vec<StoreWrite> = (0..20)
        .map(|number| put_intent(number, IntentOutcome::InFlight))
        .collect();
    Store::open(dir.path(), "a")
        .unwrap()
        .store
        .write(&writes)
        .unwrap();
    let file = dir.path().join("front.redb");
    let intact = fs::read(&file).unwrap();
    let (mut quarantined, mut read) = (0, 0);
    // Many positions in the header are corrupted, and at least one in each page elsewhere.
    let lengths = (0..600)
        .step_by(7)
        .chain((600..intact.len()).step_by(intact.len() / 40));
    let flipped_bytes = (0..600)
        .step_by(11)
        .chain((600..intact.len()).step_by(intact.len() / 40 + 1));
    let truncated = lengths.map(|length| intact[..length].to_vec());
    let corrupted = truncated.chain(flipped_bytes.map(|index| {
        let mut bytes = intact.clone();
        bytes[index] ^= 0x5a;
        bytes
    }));
    for bytes in corrupted {
        fs::write(&file, &bytes).unwrap();
        let opened = Store::open(dir.path(), "a").unwrap();
        if let Some(QuarantinedFile { path, reason }) = opened.quarantined {
            assert!(matches!(reason, StoreError::Corrupted { .. }), "{reason}");
            assert_eq!(
                fs::read(&path).unwrap(),
                bytes,
                "a quarantined file must not be changed"
            );
            assert_eq!(
                (
                    opened.recovered.shutdown,
                    recovered_entries(&opened.recovered).len()
                ),
                (PreviousShutdown::Unknown, 0)
            );
            fs::remove_file(path).unwrap();
            quarantined += 1;
        } else if !bytes.is_empty() {
            // The state is either the last one, or the one before anything was written.
            assert!([0, 20].contains(&recovered_entries(&opened.recovered).len()));
            read += 1;
        }
    }
    assert!(
        quarantined > 50 && read > 0,
        "{quarantined} quarantined, {read} read"
    );
}

#[test]
fn a_malformed_version_is_not_a_later_release() {
    let dir = tempfile::tempdir().unwrap();
    Store::open(dir.path(), "a").unwrap();
    for malformed in ["", "1", "\u{0}\u{0}\n", "99"] {
        fs::write(dir.path().join("VERSION"), malformed).unwrap();
        let opened = Store::open(dir.path(), "a").unwrap();
        assert!(opened.quarantined.is_some(), "{malformed:?}");
    }
}

#[test]
fn a_folder_that_can_not_be_created_is_a_disk_error() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("file");
    fs::write(&file, "").unwrap();
    let error = Store::open(&file.join("store"), "a").unwrap_err();
    assert!(matches!(error, StoreError::Disk { .. }), "{error}");
}

/// Receives the token of each notified requester, and whether its writes are durable.
type Notifications = mpsc::Receiver<(u64, bool)>;

fn next_notification(notifications: &Notifications) -> (u64, bool) {
    notifications.recv_timeout(WRITE_TIMEOUT).unwrap()
}

fn start_writer(disk: &FaultyDisk) -> (StoreWriter, Notifications) {
    let store = Store::open_backend(disk.clone(), "a").unwrap().store;
    let (sender, notifications) = mpsc::channel();
    let writer = StoreWriter::start(store, move |token, result| {
        sender.send((token, result.is_ok())).unwrap();
    });
    (writer, notifications)
}

/// A request whose requester waits, with `number` as its token.
fn waiting_request(number: u64) -> WriteRequest {
    WriteRequest {
        writes: vec![put_intent(number, IntentOutcome::InFlight)],
        token: Some(number),
    }
}

#[test]
fn requests_that_arrive_while_the_disk_is_busy_are_committed_together() {
    let disk = FaultyDisk::new();
    let (writer, notifications) = start_writer(&disk);
    disk.sync_delay_ms.store(100, Ordering::Release);
    let before = disk.syncs.load(Ordering::Acquire);
    for number in 0..200 {
        writer.submit(waiting_request(number));
    }
    let received: Vec<(u64, bool)> = (0..200)
        .map(|_| next_notification(&notifications))
        .collect();
    assert!(
        received
            .iter()
            .enumerate()
            .all(|(index, notification)| *notification == (index as u64, true)),
        "each requester is notified once, in order"
    );
    let syncs = disk.syncs.load(Ordering::Acquire) - before;
    assert!(syncs < 40, "{syncs} syncs for 200 requests at once");
    writer.finish().join().unwrap();
}

#[test]
fn each_requester_is_notified_of_a_full_disk() {
    let disk = FaultyDisk::new();
    let (writer, notifications) = start_writer(&disk);
    writer.submit(waiting_request(1));
    assert_eq!(next_notification(&notifications), (1, true));
    disk.is_full.store(true, Ordering::Release);
    for number in 2..30 {
        writer.submit(waiting_request(number));
        assert_eq!(next_notification(&notifications), (number, false));
    }
    writer.finish().join().unwrap();
}

#[test]
fn writes_succeed_again_once_the_disk_has_space_and_durable_ones_are_kept() {
    let disk = FaultyDisk::new();
    let mut store = Store::open_backend(disk.clone(), "a").unwrap().store;
    store
        .write(&[put_intent(1, IntentOutcome::InFlight)])
        .unwrap();
    disk.is_full.store(true, Ordering::Release);
    for _ in 0..3 {
        assert!(matches!(
            store.write(&[put_intent(2, IntentOutcome::InFlight)]),
            Err(StoreError::Disk { .. })
        ));
    }
    disk.is_full.store(false, Ordering::Release);
    store
        .write(&[put_intent(3, IntentOutcome::InFlight)])
        .unwrap();
    drop(store);
    let entries = recovered_entries(&Store::open_backend(disk, "a").unwrap().recovered);
    assert!(
        entries.contains_key(&key(1)) && entries.contains_key(&key(3)),
        "{entries:?}"
    );
}
