//! A front that loses power. Its disk, its servers and its list service outlive its process.
pub(crate) mod player;

use crate::support::{KEY, TIMEOUT};
use crankpaddle_config::Config;
use crankpaddle_server_protocol::sessions::billing_key;
use crankpaddle_testbed::list_service::{entry, EndpointState, ListService};
use crankpaddle_testbed::process::Process;
use crankpaddle_testbed::record::{Recorder, Seen};
use crankpaddle_testbed::script::{fleet_config, front_block, FLEET};
use crankpaddle_testbed::server::{FleetLayout, SimulatedFleet};
use player::{established, ApiPlayer};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;

pub(crate) const PAID: &str = "licensed-view";
pub(crate) const FREE: &str = "preview";
pub(crate) const SERVERS: u32 = 12;

/// Interval at which a condition is polled, because the recorder has no notifications.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);

pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// How often a key's set-up was sent to servers, and how often they billed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyCounts {
    pub(crate) sent: usize,
    pub(crate) billed: usize,
}

pub(crate) const ONCE: KeyCounts = KeyCounts { sent: 1, billed: 1 };

/// Servers, a list service, and a front of which only the disk outlives its incarnations.
pub(crate) struct PowerLossHarness {
    pub(crate) dir: TempDir,
    pub(crate) fleet: Arc<SimulatedFleet>,
    list: Arc<ListService>,
    recorder: Recorder,
    pub(crate) config: Arc<Config>,
    boots: u32,
}

impl PowerLossHarness {
    pub(crate) fn new() -> PowerLossHarness {
        crankpaddle_net::start(Some(2));
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("key"), KEY).unwrap();
        let config = Arc::new(fleet_config(FLEET).unwrap());
        let recorder = Recorder::default();
        // A set-up takes 300 ms of work, long enough for power to be lost while it is in progress.
        let layout = FleetLayout {
            count: SERVERS as usize,
            cores: 3,
            work: Duration::from_nanos(300_000_000),
            uneven: 0.0,
            segment: Duration::from_nanos(200_000_000),
            seed: 3,
        };
        let fleet = SimulatedFleet::start(config.clone(), &layout, recorder.clone()).unwrap();
        let entries = fleet
            .servers
            .iter()
            .map(|server| entry(&config, server.id, server.address, EndpointState::Ready, 0))
            .collect();
        let list =
            ListService::start(entries, Duration::from_nanos(1_000_000), recorder.clone()).unwrap();
        let mut harness = PowerLossHarness {
            dir,
            fleet,
            list,
            recorder,
            config,
            boots: 0,
        };
        harness.next_boot();
        harness
    }

    /// Changes the host's boot id, as a restart of the host does.
    pub(crate) fn next_boot(&mut self) {
        self.boots += 1;
        fs::write(self.dir.path().join("boot"), format!("boot {}", self.boots)).unwrap();
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Starts an incarnation of the front with the harness's disk.
    pub(crate) fn start_front(&self) -> Process {
        let dir = self.path("store");
        let key = self.path("key");
        let boot = self.path("boot");
        let store = format!(
            "store {{ name: \"north-1\" dir: {dir:?} key_file: {key:?} boot_file: {boot:?} settle: \"2s\" calm: \"50ms\" }}\n"
        );
        let cache = self.path("list");
        let block = front_block(
            0,
            1,
            "north",
            &self.list.address.to_string(),
            &cache.to_string_lossy(),
        );
        let exe = Path::new(env!("CARGO_BIN_EXE_crankpaddle"));
        Process::start(exe, self.dir.path(), "front", &(block + &store + FLEET)).unwrap()
    }

    pub(crate) fn recorded(&self, matches: impl Fn(&Seen) -> bool) -> usize {
        self.recorder
            .all()
            .iter()
            .filter(|record| matches(&record.seen))
            .count()
    }

    pub(crate) fn counts_of(&self, key: &str) -> KeyCounts {
        let billed_key = billing_key(key);
        KeyCounts {
            sent: self
                .recorded(|seen| matches!(seen, Seen::SetUp { bill, .. } if *bill == billed_key)),
            billed: self
                .recorded(|seen| matches!(seen, Seen::Billed { bill, .. } if *bill == billed_key)),
        }
    }

    /// Sets whether servers run set-ups without answering.
    pub(crate) fn set_hanging(&self, hangs: bool) {
        for id in 0..SERVERS {
            self.fleet.set_faults(id, |faults| faults.hangs = hangs);
        }
    }

    /// Sets whether servers are unreachable.
    pub(crate) fn set_vanished(&self, vanished: bool) {
        for id in 0..SERVERS {
            self.fleet
                .set_faults(id, |faults| faults.vanished = vanished);
        }
    }

    /// Waits until a free session is established, which requires that every server has reported its inventory.
    pub(crate) fn wait_until_serving(&self, front: &Process, key: &str) {
        established(&ApiPlayer::connect(front).open_until_admitted(key, FREE));
    }
}
