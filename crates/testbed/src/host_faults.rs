//! Hosts whose power goes: the disks and boots of fronts, and servers that come back cold.
use crate::list_service::{entry, ListService};
use crate::server::Fleet;
use crate::udp_proxy::write_key;
use crankpaddle_config::Config;
use crankpaddle_fault_simulation::Spoil;
use crankpaddle_front::jitter;
use crankpaddle_server_protocol::list::EndpointState;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The warming of servers is added up in steps of so many nanoseconds, for so many at most.
const STEP: u64 = 10_000_000;
const STEPS: u64 = 60_000;

/// What fronts keep over a power loss, where a case has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Memory {
    /// What they began, settled with the servers, and service returns in order.
    Preserved,
    /// Nothing; the list is believed as it is told.
    Forgotten,
    /// What they began, and nobody is asked: service returns at once, and what is open counts as run.
    Trusted,
}

pub(crate) struct Hosts {
    dir: PathBuf,
    key: PathBuf,
    memory: Memory,
    seed: u64,
    boots: Vec<u32>,
    warming_up: usize, // Servers whose power went.
}

impl Hosts {
    pub(crate) fn new(dir: &Path, memory: Memory, seed: u64, fronts: usize) -> io::Result<Hosts> {
        let hosts = Hosts {
            dir: dir.to_owned(),
            key: write_key(dir)?,
            memory,
            seed,
            boots: vec![0; fronts],
            warming_up: 0,
        };
        for i in 0..fronts {
            // What an earlier play left: with the same seed players come with the same keys, which are spent there.
            for folder in [hosts.store(i), hosts.copy_dir(i)]
                .into_iter()
                .filter(|folder| folder.exists())
            {
                fs::remove_dir_all(folder)?;
            }
            hosts.boot(i)?;
        }
        Ok(hosts)
    }

    fn boot(&self, i: usize) -> io::Result<()> {
        fs::write(
            self.dir.join(format!("boot-{i}")),
            format!("{} of host {i}", self.boots[i]),
        )
    }

    fn store(&self, i: usize) -> PathBuf {
        self.dir.join(format!("store-{i}"))
    }

    fn copy_dir(&self, i: usize) -> PathBuf {
        self.dir.join(format!("store-{i}-copied"))
    }

    /// A front's store, as its configuration has it.
    pub(crate) fn block(&self, i: usize) -> String {
        let at_once = "settle: \"1us\" calm: \"1us\" paid_first: \"1us\"";
        let steps = match self.memory {
            Memory::Forgotten => return String::new(),
            Memory::Preserved => "",
            Memory::Trusted => at_once,
        };
        let (dir, key, boot) = (self.store(i), &self.key, self.dir.join(format!("boot-{i}")));
        format!(
            "store {{ name: \"front-{i}\" dir: {dir:?} key_file: {key:?} boot_file: {boot:?} {steps} }}\n"
        )
    }

    /// The power of these fronts goes.
    pub(crate) fn off(&mut self, fronts: &[usize]) -> io::Result<()> {
        fronts.iter().try_for_each(|i| {
            self.boots[*i] += 1;
            self.boot(*i)
        })
    }

    pub(crate) fn servers_off(&mut self, fleet: &Fleet, servers: &[usize]) {
        servers.iter().for_each(|id| fleet.crash(*id as u32));
        self.warming_up += servers.len();
    }

    /// They start, cold, and the list service hears of it in its own time.
    pub(crate) fn servers_on(
        &self,
        fleet: &Arc<Fleet>,
        list: &ListService,
        servers: &[usize],
    ) -> io::Result<()> {
        for id in servers.iter().map(|id| *id as u32) {
            fleet.restart(id)?;
            let started = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis() as u64;
            let address = fleet.servers[id as usize].address;
            list.change(entry(
                &fleet.config,
                id,
                address,
                EndpointState::Ready,
                started,
            ));
        }
        Ok(())
    }

    /// Copies disks as they are now.
    pub(crate) fn copy(&self, fronts: &[usize]) -> io::Result<()> {
        fronts
            .iter()
            .try_for_each(|i| replace(&self.store(*i), &self.copy_dir(*i)))
    }

    pub(crate) fn spoil(&self, fronts: &[usize], spoil: Spoil) -> io::Result<()> {
        for i in fronts {
            let (store, file) = (self.store(*i), self.store(*i).join("front.redb"));
            if !store.exists() {
                continue; // It keeps nothing.
            }
            match spoil {
                Spoil::Intact => {}
                Spoil::Empty => fs::remove_dir_all(&store)?,
                Spoil::Old => replace(&self.copy_dir(*i), &store)?,
                Spoil::Torn => {
                    let full_bytes = fs::read(&file)?;
                    let at =
                        (jitter(self.seed ^ (*i as u64) << 20) * full_bytes.len() as f64) as usize;
                    fs::write(&file, &full_bytes[..at])?;
                }
            }
        }
        Ok(())
    }

    /// How long after their start the servers whose power went could have taken so many sessions, each pushed to the brink of its
    /// falling over at each moment: what no front can better. Those whose power stayed take all at once.
    pub(crate) fn warming(&self, config: &Config, sessions: f64) -> Option<u64> {
        let s = &config.settings;
        let rate = f64::from(*s.stream_capacity.first()?) / s.slow_start_duration as f64
            * s.overload_multiple;
        let mut taken = 0.0;
        for step in 0..STEPS {
            if taken >= sessions {
                return Some(step * STEP);
            }
            let age = (step * STEP) as f64 / s.slow_start_duration as f64;
            let warm_up_progress =
                (s.slow_start_min_factor + (1.0 - s.slow_start_min_factor) * age).min(1.0);
            taken += self.warming_up as f64 * rate * warm_up_progress * STEP as f64;
        }
        None
    }
}

fn replace(from: &Path, to: &Path) -> io::Result<()> {
    if to.exists() {
        fs::remove_dir_all(to)?;
    }
    fs::create_dir_all(to)?;
    for file in fs::read_dir(from)? {
        let file = file?;
        fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}
