//! Folders: whose fault it is when one can't be taken, and what is begun instead.
mod common;
use common::{held, intent, key};
use crankpaddle_recovery::{IntentOutcome, PreviousShutdown, StoreWrite};
use crankpaddle_store::{Error, Store, StoreWriter, WriteRequest};
use crankpaddle_testbed::disk::Poor;
use std::fs;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(20);

fn keep(n: u64, fate: IntentOutcome) -> StoreWrite {
    StoreWrite::Put(key(n), intent(n, fate))
}

fn files(dir: &Path) -> Vec<(String, Vec<u8>)> {
    let entries = fs::read_dir(dir).unwrap().map(|e| e.unwrap());
    let mut all: Vec<_> = entries
        .map(|e| {
            (
                e.file_name().to_string_lossy().into_owned(),
                fs::read(e.path()).unwrap(),
            )
        })
        .collect();
    all.sort();
    all
}

#[test]
fn a_life_knows_how_the_one_before_ended() {
    let dir = tempfile::tempdir().unwrap();
    let open = |boot: &str| Store::open(dir.path(), boot).unwrap();
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
            keep(1, IntentOutcome::InFlight),
            StoreWrite::FleetSize(40),
            StoreWrite::Uptime(77),
            StoreWrite::CleanShutdown,
        ])
        .unwrap();
    drop(third);
    // Whatever the boot: nothing was left open.
    let fourth = open("c").recovered;
    assert_eq!(
        (
            fourth.shutdown,
            fourth.fleet_size.at_least(11),
            fourth.uptime_ms.0
        ),
        (PreviousShutdown::Clean, 40, 77)
    );
    assert_eq!(
        held(&fourth),
        [(key(1), intent(1, IntentOutcome::InFlight))].into()
    );
    assert_eq!(
        open("c").recovered.shutdown,
        PreviousShutdown::Killed,
        "in order holds for one life"
    );
}

#[test]
fn two_processes_never_have_one_folder() {
    let dir = tempfile::tempdir().unwrap();
    let first = Store::open(dir.path(), "a").unwrap();
    assert!(matches!(
        Store::open(dir.path(), "a"),
        Err(Error::Locked { .. })
    ));
    drop(first);
    Store::open(dir.path(), "a").unwrap();
}

#[test]
fn a_later_releases_folder_is_refused_and_not_touched() {
    let dir = tempfile::tempdir().unwrap();
    Store::open(dir.path(), "a")
        .unwrap()
        .store
        .write(&[keep(1, IntentOutcome::InFlight)])
        .unwrap();
    fs::write(dir.path().join("VERSION"), "2\n").unwrap();
    let before = files(dir.path());
    assert!(matches!(
        Store::open(dir.path(), "a"),
        Err(Error::NewerVersion {
            found: 2,
            supported: 1,
            ..
        })
    ));
    assert_eq!(files(dir.path()), before);
}

#[test]
fn a_file_torn_at_any_byte_is_set_aside_or_read_whole_and_never_stops_a_start() {
    let dir = tempfile::tempdir().unwrap();
    let writes: Vec<StoreWrite> = (0..20).map(|n| keep(n, IntentOutcome::InFlight)).collect();
    Store::open(dir.path(), "a")
        .unwrap()
        .store
        .write(&writes)
        .unwrap();
    let file = dir.path().join("front.redb");
    let whole = fs::read(&file).unwrap();
    let (mut aside, mut read) = (0, 0);
    // Each place near the head, where all is decided, and steps that meet each page elsewhere.
    let cuts = (0..600)
        .step_by(7)
        .chain((600..whole.len()).step_by(whole.len() / 40));
    let spoils = (0..600)
        .step_by(11)
        .chain((600..whole.len()).step_by(whole.len() / 40 + 1));
    let torn = cuts.map(|n| whole[..n].to_vec()).chain(spoils.map(|n| {
        let mut bytes = whole.clone();
        bytes[n] ^= 0x5a;
        bytes
    }));
    for bytes in torn {
        fs::write(&file, &bytes).unwrap();
        let taken = Store::open(dir.path(), "a").unwrap();
        if let Some((path, why)) = taken.quarantined {
            assert!(matches!(why, Error::Corrupted { .. }), "{why}");
            assert_eq!(
                fs::read(&path).unwrap(),
                bytes,
                "what was set aside is as it was found"
            );
            assert_eq!(
                (taken.recovered.shutdown, held(&taken.recovered).len()),
                (PreviousShutdown::Unknown, 0)
            );
            fs::remove_file(path).unwrap();
            aside += 1;
        } else if !bytes.is_empty() {
            // Read, and not less than all of it; or what it was before anything was written.
            assert!([0, 20].contains(&held(&taken.recovered).len()));
            read += 1;
        }
    }
    assert!(aside > 50 && read > 0, "{aside} set aside, {read} read");
}

#[test]
fn a_torn_version_is_no_future_one() {
    let dir = tempfile::tempdir().unwrap();
    Store::open(dir.path(), "a").unwrap();
    for torn in ["", "1", "\u{0}\u{0}\n", "99"] {
        fs::write(dir.path().join("VERSION"), torn).unwrap();
        let taken = Store::open(dir.path(), "a").unwrap();
        assert!(taken.quarantined.is_some(), "{torn:?}");
    }
}

#[test]
fn a_folder_that_can_not_be_made_is_the_disks_fault() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("file");
    fs::write(&file, "").unwrap();
    let e = Store::open(&file.join("store"), "a").unwrap_err();
    assert!(matches!(e, Error::Disk { .. }), "{e}");
}

fn told(writer: &mpsc::Receiver<(u64, bool)>) -> (u64, bool) {
    writer.recv_timeout(LONG).unwrap()
}

fn writer(disk: &Poor) -> (StoreWriter, mpsc::Receiver<(u64, bool)>) {
    let store = Store::open_backend(disk.clone(), "a").unwrap().store;
    let (done, heard) = mpsc::channel();
    (
        StoreWriter::start(store, move |token, result| {
            done.send((token, result.is_ok())).unwrap();
        }),
        heard,
    )
}

#[test]
fn those_that_come_while_the_disk_is_busy_go_together() {
    let disk = Poor::new();
    let (writer, heard) = writer(&disk);
    disk.slow.store(100, Ordering::Release);
    let before = disk.syncs.load(Ordering::Acquire);
    for n in 0..200 {
        writer.submit(WriteRequest {
            writes: vec![keep(n, IntentOutcome::InFlight)],
            token: Some(n),
        });
    }
    let all: Vec<(u64, bool)> = (0..200).map(|_| told(&heard)).collect();
    assert!(
        all.iter()
            .enumerate()
            .all(|(i, told)| *told == (i as u64, true)),
        "in order, each once"
    );
    let syncs = disk.syncs.load(Ordering::Acquire) - before;
    assert!(syncs < 40, "{syncs} syncs for 200 that came at once");
    writer.finish().join().unwrap();
}

#[test]
fn who_waits_for_a_full_disk_is_told_so_and_nobody_waits_for_ever() {
    let disk = Poor::new();
    let (writer, heard) = writer(&disk);
    writer.submit(WriteRequest {
        writes: vec![keep(1, IntentOutcome::InFlight)],
        token: Some(1),
    });
    assert_eq!(told(&heard), (1, true));
    disk.full.store(true, Ordering::Release);
    for n in 2..30 {
        writer.submit(WriteRequest {
            writes: vec![keep(n, IntentOutcome::InFlight)],
            token: Some(n),
        });
        assert_eq!(told(&heard), (n, false));
    }
    writer.finish().join().unwrap();
}

#[test]
fn a_disk_that_has_room_again_is_written_again_and_holds_what_was_told() {
    let disk = Poor::new();
    let mut store = Store::open_backend(disk.clone(), "a").unwrap().store;
    store.write(&[keep(1, IntentOutcome::InFlight)]).unwrap();
    disk.full.store(true, Ordering::Release);
    for _ in 0..3 {
        assert!(matches!(
            store.write(&[keep(2, IntentOutcome::InFlight)]),
            Err(Error::Disk { .. })
        ));
    }
    disk.full.store(false, Ordering::Release);
    store.write(&[keep(3, IntentOutcome::InFlight)]).unwrap();
    drop(store);
    let after = held(&Store::open_backend(disk, "a").unwrap().recovered);
    assert!(
        after.contains_key(&key(1)) && after.contains_key(&key(3)),
        "{after:?}"
    );
}
