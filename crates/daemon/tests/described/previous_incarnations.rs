//! Scenario: a front reports how its previous incarnation ended, for each way in which it can end.
use crate::support::{Backend, Harness};
use crate::transcript::Transcript;
use crate::{start_harness, start_harness_on};
use crankpaddle_session_api::SessionApiVersion;
use std::net::SocketAddr;
use std::path::PathBuf;
use tempfile::TempDir;

/// The server that is made unreachable in some steps of the scenario.
const UNREACHABLE_SERVER: u32 = 4;

/// The stores of one run, by name. A copy of a running front's store stands for the state that a killed process leaves.
struct Stores {
    dir: TempDir,
    /// The file with the key.
    key: PathBuf,
    /// The file with the identity of the host's boot.
    boot: PathBuf,
    version: SessionApiVersion,
}

impl Stores {
    fn new(version: SessionApiVersion) -> Stores {
        let dir = tempfile::tempdir().unwrap();
        let stores = Stores {
            key: dir.path().join("key"),
            boot: dir.path().join("boot"),
            dir,
            version,
        };
        std::fs::write(&stores.key, "00112233445566778899aabbccddeeff").unwrap();
        stores.set_boot("first");
        stores
    }

    /// Sets the identity of the host's boot. A changed identity stands for a power loss.
    fn set_boot(&self, boot: &str) {
        std::fs::write(&self.boot, boot).unwrap();
    }

    /// The `store` block of a front's configuration, for the store of this name.
    fn config_block(&self, name: &str) -> String {
        let Stores {
            key, boot, version, ..
        } = self;
        let folder = self.dir.path().join(name);
        format!(
            "store {{ name: \"{version:?}\" dir: {folder:?} key_file: {key:?} boot_file: {boot:?} settle: \"500ms\" calm: \"1ms\" }}\nlog {{"
        )
    }

    fn copy(&self, from: &str, to: &str) {
        let target = self.dir.path().join(to);
        std::fs::create_dir_all(&target).unwrap();
        for file in std::fs::read_dir(self.dir.path().join(from)).unwrap() {
            let file = file.unwrap();
            std::fs::copy(file.path(), target.join(file.file_name())).unwrap();
        }
    }
}

pub(crate) fn run(version: SessionApiVersion, transcript: &Transcript) {
    let stores = Stores::new(version);
    start_first_and_stop(&stores, transcript);
    report_clean_and_killed(&stores, transcript);
    stores.set_boot("second");
    report_each_stage(&stores, transcript);
    stores.copy("a", "late");
    report_timeout(&stores, transcript);
    report_unusable_store(&stores, transcript);
}

/// Runs the first front on a store, copies the store while the front runs, and shuts the front down.
fn start_first_and_stop(stores: &Stores, transcript: &Transcript) {
    let first = start_harness(&[
        ("cold: \"8s\"", "cold: \"300ms\""),
        ("log {", &stores.config_block("a")),
    ]);
    wait_for_status(
        transcript,
        &first,
        &["\"unknown\"", "\"paid_served\"", "\"warm\"", "\"normal\""],
    );
    stores.copy("a", "killed");
    stores.copy("a", "lost");
    first.daemon.drain();
    first.daemon.wait();
}

fn report_clean_and_killed(stores: &Stores, transcript: &Transcript) {
    let clean = start_harness(&[("log {", &stores.config_block("a"))]);
    wait_for_status(transcript, &clean, &["\"ended_in_order\""]);
    let killed = start_harness(&[("log {", &stores.config_block("killed"))]);
    wait_for_status(transcript, &killed, &["\"killed\"", "\"servers_told\""]);
}

/// Recovers after a power loss, with long timeouts and an unreachable server, so that each stage can be observed.
fn report_each_stage(stores: &Stores, transcript: &Transcript) {
    let block = stores.config_block("lost");
    let block = block.replace("\"500ms\"", "\"1s\"");
    let block = block.replace("\"1ms\"", "\"1s\"");
    let backend = Backend::new(&[("log {", &block)]);
    backend
        .fleet
        .set_faults(UNREACHABLE_SERVER, |faults| faults.vanished = true);
    let daemon = backend.start_front();
    for stage in ["settling", "paid"] {
        let words = format!("\"stage\":\"{stage}\",\"steps\"");
        wait_for_status_at(transcript, daemon.address(), &[&words]);
    }
    backend
        .fleet
        .set_faults(UNREACHABLE_SERVER, |faults| faults.vanished = false);
    daemon.drain();
    daemon.wait();
}

fn report_timeout(stores: &Stores, transcript: &Transcript) {
    let late = start_harness_on(&[("log {", &stores.config_block("late"))], |backend| {
        backend
            .fleet
            .set_faults(UNREACHABLE_SERVER, |faults| faults.vanished = true);
    });
    wait_for_status(transcript, &late, &["\"power_lost\"", "\"time\""]);
    late.set_faults_on_all(|faults| faults.vanished = false);
}

/// Starts a front whose store can't be created, because its folder would be below a file.
fn report_unusable_store(stores: &Stores, transcript: &Transcript) {
    std::fs::write(stores.dir.path().join("file"), "").unwrap();
    let unusable = start_harness(&[("log {", &stores.config_block("file/below"))]);
    wait_for_status(transcript, &unusable, &["\"unusable\""]);
}

fn wait_for_status(transcript: &Transcript, harness: &Harness, words: &[&str]) {
    wait_for_status_at(transcript, harness.daemon.address(), words);
}

/// Waits until the reply to `GET /fleet` contains all words.
fn wait_for_status_at(transcript: &Transcript, address: SocketAddr, words: &[&str]) {
    transcript.get_until(&format!("{words:?}"), address, "/fleet", |status, body| {
        assert_eq!(status, 200);
        words.iter().all(|word| body.contains(word))
    });
}
