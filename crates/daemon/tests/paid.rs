//! Tests for paid set-ups while the disk is slow, full or missing: paid requests are rejected, and free classes are served
//! as usual.
mod support;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_store::Store;
use crankpaddle_testbed::disk::FaultyDisk;
use crankpaddle_testbed::record::Seen;
use std::io::{Read, Write};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{wait_until, Backend, Harness, FREE, PAID};
use tempfile::TempDir;

/// The `store` block of a front's configuration, with the store in `folder` and its key file in `dir`.
fn store_block(dir: &Path, folder: &Path) -> String {
    let key = dir.join("key");
    std::fs::write(&key, "00112233445566778899aabbccddeeff").unwrap();
    format!(
        "store {{ name: \"a\" dir: {folder:?} key_file: {key:?} settle: \"1s\" calm: \"1ms\" paid_first: \"1ms\" }}\nlog {{"
    )
}

/// Starts a front whose store is on a simulated disk.
fn start_on(disk: &FaultyDisk) -> (Harness, TempDir) {
    let dir = tempfile::tempdir().unwrap();
    let block = store_block(dir.path(), &dir.path().join("store"));
    let backend = Backend::new(&[("log {", &block)]);
    let disk = disk.clone();
    let daemon = crankpaddle_daemon::Daemon::start_on(backend.front_config(), |boot| {
        Store::open_backend(disk, boot)
    })
    .unwrap();
    (Harness::with_front(backend, daemon, ""), dir)
}

/// The state of the store as `GET /fleet` reports it.
fn store_state(harness: &Harness) -> String {
    let mut stream = harness.connect();
    stream
        .write_all(b"GET /fleet HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
        .unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let state = response
        .split("\"store\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next());
    state.unwrap_or_default().to_owned()
}

#[test]
fn a_paid_set_up_is_sent_when_its_intent_is_on_disk_and_free_ones_never_wait() {
    let disk = FaultyDisk::new();
    let (harness, _dir) = start_on(&disk);
    disk.sync_delay_ms.store(400, Ordering::Release);
    let (mut paying, mut other) = (harness.connect_player(), harness.connect_player());
    let started_at = Instant::now();
    paying.call_open("slow-paid", PAID);
    assert!(matches!(
        other.open_and_wait("quick-free", FREE).1,
        ClientEvent::Plays { .. }
    ));
    assert_eq!(
        harness.set_ups_and_bills("slow-paid").0,
        0,
        "the paid set-up was sent too early; the free session was established after {:?}",
        started_at.elapsed()
    );
    assert!(matches!(paying.receive(), ClientEvent::Plays { .. }));
    assert!(started_at.elapsed() >= Duration::from_millis(400));
    assert_eq!(harness.set_ups_and_bills("slow-paid"), (1, 1));
}

#[test]
fn a_disk_slower_than_the_viewers_timeout_rejects_the_request_and_nothing_is_sent() {
    let disk = FaultyDisk::new();
    let (harness, _dir) = start_on(&disk);
    disk.sync_delay_ms.store(2500, Ordering::Release);
    let mut paying = harness.connect_player();
    let started_at = Instant::now();
    let (_, event) = paying.open_and_wait("too-slow", PAID);
    assert!(
        started_at.elapsed() < Duration::from_millis(1500),
        "a viewer waits no longer than 1.5 s"
    );
    assert!(matches!(event, ClientEvent::Refused { .. }), "{event:?}");
    // The set-up must not be sent even after its intent is on disk.
    let syncs = disk.syncs.load(Ordering::Acquire);
    wait_until("the disk to write", || {
        disk.syncs.load(Ordering::Acquire) > syncs
    });
    assert!(matches!(
        harness
            .connect_player()
            .open_and_wait("another-free", FREE)
            .1,
        ClientEvent::Plays { .. }
    ));
    assert_eq!(harness.set_ups_and_bills("too-slow"), (0, 0));
}

#[test]
fn with_a_full_disk_paid_set_ups_are_rejected_until_it_has_space_and_free_classes_are_served() {
    let disk = FaultyDisk::new();
    let (harness, _dir) = start_on(&disk);
    let mut player = harness.connect_player();
    assert!(matches!(
        player.open_and_wait("before-full", PAID).1,
        ClientEvent::Plays { .. }
    ));
    disk.is_full.store(true, Ordering::Release);
    let (_, event) = player.open_and_wait("while-full", PAID);
    assert!(
        matches!(event, ClientEvent::Refused { .. }),
        "nothing ran, so the request is rejected: {event:?}"
    );
    assert_eq!(
        (
            harness.set_ups_and_bills("while-full"),
            store_state(&harness).as_str()
        ),
        ((0, 0), "failing")
    );
    assert!(matches!(
        player.open_and_wait("free-full", FREE).1,
        ClientEvent::Plays { .. }
    ));
    disk.is_full.store(false, Ordering::Release);
    wait_until("the front to write to the disk again", || {
        let mut player = harness.connect_player();
        matches!(
            player
                .open_and_wait(&format!("again-{}", harness.count_seen(|_| true)), PAID)
                .1,
            ClientEvent::Plays { .. }
        )
    });
    assert_eq!(store_state(&harness), "written");
    assert_eq!(
        harness.count_seen(|seen| matches!(seen, Seen::Fell { .. })),
        0
    );
}

#[test]
fn a_front_starts_without_a_usable_disk_and_rejects_paid_set_ups() {
    let dir = tempfile::tempdir().unwrap();
    // The first store can't be created, because its folder would be below a file. The second one is on `/dev/full`, which
    // stands for a full disk.
    std::fs::write(dir.path().join("file"), "").unwrap();
    let full = dir.path().join("full");
    std::fs::create_dir(&full).unwrap();
    std::os::unix::fs::symlink("/dev/full", full.join("front.redb")).unwrap();
    std::fs::write(full.join("VERSION"), "1\n").unwrap();
    for folder in [dir.path().join("file/below"), full] {
        let harness = Harness::new(&[("log {", &store_block(dir.path(), &folder))]);
        assert_eq!(store_state(&harness), "unusable", "{folder:?}");
        let mut player = harness.connect_player();
        assert!(matches!(
            player.open_and_wait("paid-without", PAID).1,
            ClientEvent::Refused { .. }
        ));
        assert_eq!(harness.set_ups_and_bills("paid-without"), (0, 0));
        assert!(matches!(
            player.open_and_wait("free-without", FREE).1,
            ClientEvent::Plays { .. }
        ));
    }
}
