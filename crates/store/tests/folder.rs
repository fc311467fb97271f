//! Folders: whose fault it is when one can't be taken, and what is begun instead.
mod common;
use common::{held, intent, key};
use crankpaddle_lab::disk::Poor;
use crankpaddle_recovery::{Ended, Fate, Write};
use crankpaddle_store::{Error, Order, Store, Writer};
use std::fs;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(20);

fn keep(n: u64, fate: Fate) -> Write {
    Write::Keep(key(n), intent(n, fate))
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
    assert_eq!((first.past.ended, first.past.epoch.0), (Ended::Unknown, 1));
    drop(first);
    assert_eq!(open("a").past.ended, Ended::Killed);
    let mut third = open("b");
    assert_eq!(
        (third.past.ended, third.past.epoch.0),
        (Ended::PowerLost, 3)
    );
    third
        .store
        .write(&[
            keep(1, Fate::Out),
            Write::Fleet(40),
            Write::Ran(77),
            Write::InOrder,
        ])
        .unwrap();
    drop(third);
    // Whatever the boot: nothing was left open.
    let fourth = open("c").past;
    assert_eq!(
        (fourth.ended, fourth.fleet.at_least(11), fourth.ran.0),
        (Ended::InOrder, 40, 77)
    );
    assert_eq!(held(&fourth), [(key(1), intent(1, Fate::Out))].into());
    assert_eq!(
        open("c").past.ended,
        Ended::Killed,
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
        .write(&[keep(1, Fate::Out)])
        .unwrap();
    fs::write(dir.path().join("VERSION"), "2\n").unwrap();
    let before = files(dir.path());
    assert!(matches!(
        Store::open(dir.path(), "a"),
        Err(Error::Future {
            found: 2,
            known: 1,
            ..
        })
    ));
    assert_eq!(files(dir.path()), before);
}

#[test]
fn a_file_torn_at_any_byte_is_set_aside_or_read_whole_and_never_stops_a_start() {
    let dir = tempfile::tempdir().unwrap();
    let writes: Vec<Write> = (0..20).map(|n| keep(n, Fate::Out)).collect();
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
        if let Some((path, why)) = taken.set_aside {
            assert!(matches!(why, Error::Torn { .. }), "{why}");
            assert_eq!(
                fs::read(&path).unwrap(),
                bytes,
                "what was set aside is as it was found"
            );
            assert_eq!(
                (taken.past.ended, held(&taken.past).len()),
                (Ended::Unknown, 0)
            );
            fs::remove_file(path).unwrap();
            aside += 1;
        } else if !bytes.is_empty() {
            // Read, and not less than all of it; or what it was before anything was written.
            assert!([0, 20].contains(&held(&taken.past).len()));
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
        assert!(taken.set_aside.is_some(), "{torn:?}");
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

fn writer(disk: &Poor) -> (Writer, mpsc::Receiver<(u64, bool)>) {
    let store = Store::on(disk.clone(), "a").unwrap().store;
    let (done, heard) = mpsc::channel();
    (
        Writer::start(store, move |token, result| {
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
        writer.order(Order {
            writes: vec![keep(n, Fate::Out)],
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
    writer.order(Order {
        writes: vec![keep(1, Fate::Out)],
        token: Some(1),
    });
    assert_eq!(told(&heard), (1, true));
    disk.full.store(true, Ordering::Release);
    for n in 2..30 {
        writer.order(Order {
            writes: vec![keep(n, Fate::Out)],
            token: Some(n),
        });
        assert_eq!(told(&heard), (n, false));
    }
    writer.finish().join().unwrap();
}

#[test]
fn a_disk_that_has_room_again_is_written_again_and_holds_what_was_told() {
    let disk = Poor::new();
    let mut store = Store::on(disk.clone(), "a").unwrap().store;
    store.write(&[keep(1, Fate::Out)]).unwrap();
    disk.full.store(true, Ordering::Release);
    for _ in 0..3 {
        assert!(matches!(
            store.write(&[keep(2, Fate::Out)]),
            Err(Error::Disk { .. })
        ));
    }
    disk.full.store(false, Ordering::Release);
    store.write(&[keep(3, Fate::Out)]).unwrap();
    drop(store);
    let after = held(&Store::on(disk, "a").unwrap().past);
    assert!(
        after.contains_key(&key(1)) && after.contains_key(&key(3)),
        "{after:?}"
    );
}
