//! Simulates power losses: the disks and boot identifiers of the fronts' hosts, and the restart of servers.
use crate::list_service::{entry, ListService};
use crate::server::SimulatedFleet;
use crate::udp_proxy::write_key;
use crankpaddle_config::Config;
use crankpaddle_fault_simulation::DiskState;
use crankpaddle_front::jitter;
use crankpaddle_server_protocol::list::EndpointState;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Length of the steps in which the servers' slow start is summed up, nanoseconds.
const WARM_UP_STEP_NANOSECONDS: u64 = 10_000_000;
/// Maximum number of these steps.
const MAX_WARM_UP_STEPS: u64 = 60_000;

/// What fronts persist over a power loss. It has no effect on cases without power losses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retention {
    /// Fronts persist set-ups in progress, reconcile them with the servers after the power loss, and recover service in stages.
    Preserved,
    /// Fronts persist nothing and use the endpoint list as it is.
    Forgotten,
    /// Fronts persist set-ups in progress but don't reconcile them. Service recovers at once, and open set-ups count as run.
    Trusted,
}

/// The fronts' hosts in a case with power losses. Fronts are numbered from 0.
pub(crate) struct SimulatedHosts {
    dir: PathBuf,
    key: PathBuf,
    retention: Retention,
    seed: u64,
    /// Number of restarts of each front's host.
    boots: Vec<u32>,
    /// Number of servers that have lost power.
    restarted_servers: usize,
}

impl SimulatedHosts {
    pub(crate) fn new(
        dir: &Path,
        retention: Retention,
        seed: u64,
        fronts: usize,
    ) -> io::Result<SimulatedHosts> {
        let hosts = SimulatedHosts {
            dir: dir.to_owned(),
            key: write_key(dir)?,
            retention,
            seed,
            boots: vec![0; fronts],
            restarted_servers: 0,
        };
        for front in 0..fronts {
            // With the same seed players use the same idempotency keys as in an earlier run, and the store of that run has
            // recorded them as used.
            remove_if_exists(&hosts.store(front))?;
            remove_if_exists(&hosts.copy_dir(front))?;
            hosts.write_boot_file(front)?;
        }
        Ok(hosts)
    }

    /// Path of the file with the boot identifier of a front's host.
    fn boot_file(&self, front: usize) -> PathBuf {
        self.dir.join(format!("boot-{front}"))
    }

    /// Writes the boot identifier from which a front learns that its host has restarted.
    fn write_boot_file(&self, front: usize) -> io::Result<()> {
        let boot = self.boots[front];
        fs::write(self.boot_file(front), format!("{boot} of host {front}"))
    }

    /// Directory of a front's store.
    fn store(&self, front: usize) -> PathBuf {
        self.dir.join(format!("store-{front}"))
    }

    /// Directory of the copy of a front's store.
    fn copy_dir(&self, front: usize) -> PathBuf {
        self.dir.join(format!("store-{front}-copied"))
    }

    /// The block of a front's configuration about its store; empty where the front persists nothing.
    pub(crate) fn store_block(&self, front: usize) -> String {
        let stage_settings = match self.retention {
            Retention::Forgotten => return String::new(),
            Retention::Preserved => "",
            Retention::Trusted => "settle: \"1us\" calm: \"1us\" paid_first: \"1us\"",
        };
        let dir = self.store(front);
        let key = &self.key;
        let boot = self.boot_file(front);
        format!(
            "store {{ name: \"front-{front}\" dir: {dir:?} key_file: {key:?} boot_file: {boot:?} {stage_settings} }}\n"
        )
    }

    /// Changes the boot identifiers of these fronts' hosts for a power loss. The processes are killed by the caller.
    pub(crate) fn power_off_fronts(&mut self, fronts: &[usize]) -> io::Result<()> {
        for front in fronts.iter().copied() {
            self.boots[front] += 1;
            self.write_boot_file(front)?;
        }
        Ok(())
    }

    /// Crashes these servers for a power loss.
    pub(crate) fn power_off_servers(&mut self, fleet: &SimulatedFleet, servers: &[usize]) {
        for server in servers {
            fleet.crash(*server as u32);
        }
        self.restarted_servers += servers.len();
    }

    /// Restarts these servers in slow start. The list service sends them to fronts after its delay.
    pub(crate) fn power_on_servers(
        &self,
        fleet: &Arc<SimulatedFleet>,
        list: &ListService,
        servers: &[usize],
    ) -> io::Result<()> {
        for server in servers {
            let id = *server as u32;
            fleet.restart(id)?;
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
            let started_ms = since_epoch.unwrap_or_default().as_millis() as u64;
            let address = fleet.servers[*server].address;
            let state = EndpointState::Ready;
            list.change(entry(&fleet.config, id, address, state, started_ms));
        }
        Ok(())
    }

    /// Copies the fronts' disks, for a later change to [`DiskState::Outdated`].
    pub(crate) fn copy_disks(&self, fronts: &[usize]) -> io::Result<()> {
        for front in fronts.iter().copied() {
            replace_dir(&self.store(front), &self.copy_dir(front))?;
        }
        Ok(())
    }

    /// Changes the fronts' disks to the state in which they are found after the power loss.
    pub(crate) fn set_disks(&self, fronts: &[usize], state: DiskState) -> io::Result<()> {
        for front in fronts.iter().copied() {
            let store = self.store(front);
            if !store.exists() {
                continue; // The front persists nothing, so it has no disk to change.
            }
            match state {
                DiskState::Intact => {}
                DiskState::Empty => fs::remove_dir_all(&store)?,
                DiskState::Outdated => replace_dir(&self.copy_dir(front), &store)?,
                DiskState::Torn => self.truncate_store(front)?,
            }
        }
        Ok(())
    }

    /// Truncates the file of a front's store to a random length.
    fn truncate_store(&self, front: usize) -> io::Result<()> {
        let file = self.store(front).join("front.redb");
        let bytes = fs::read(&file)?;
        let draw = jitter(self.seed ^ (front as u64) << 20);
        let length = (draw * bytes.len() as f64) as usize;
        fs::write(&file, &bytes[..length])
    }

    /// Minimum time, in nanoseconds, in which the servers that lost power can accept this number of sessions after their
    /// restart. It is a lower bound for any front, because it assumes that each server accepts set-ups at the highest rate that
    /// does not overload it. Servers that kept power are assumed to accept their sessions at once. `None` where the time is
    /// longer than [`MAX_WARM_UP_STEPS`].
    pub(crate) fn min_warm_up_time(&self, config: &Config, sessions: f64) -> Option<u64> {
        let settings = &config.settings;
        let duration = settings.slow_start_duration as f64;
        let min_factor = settings.slow_start_min_factor;
        let full_rate = f64::from(*settings.stream_capacity.first()?) / duration;
        let highest_rate = full_rate * settings.overload_multiple;
        let mut accepted = 0.0;
        for step in 0..MAX_WARM_UP_STEPS {
            if accepted >= sessions {
                return Some(step * WARM_UP_STEP_NANOSECONDS);
            }
            let elapsed_fraction = (step * WARM_UP_STEP_NANOSECONDS) as f64 / duration;
            let warm_up_progress = (min_factor + (1.0 - min_factor) * elapsed_fraction).min(1.0);
            accepted += self.restarted_servers as f64
                * highest_rate
                * warm_up_progress
                * WARM_UP_STEP_NANOSECONDS as f64;
        }
        None
    }
}

fn remove_if_exists(dir: &Path) -> io::Result<()> {
    if dir.exists() {
        fs::remove_dir_all(dir)?;
    }
    Ok(())
}

/// Makes `to` a copy of the directory `from`.
fn replace_dir(from: &Path, to: &Path) -> io::Result<()> {
    remove_if_exists(to)?;
    fs::create_dir_all(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}
