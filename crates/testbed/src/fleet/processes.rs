//! Starts, kills, ends, stops and resumes the processes of the fronts.
use super::ProcessCluster;
use crate::process::{end_all, with_workers, Process};
use crate::record::Seen;
use crate::script::front_block;
use rustix::process::Signal;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// A front's process must end within its configured drain time plus this grace.
const PROCESS_END_GRACE: Duration = Duration::from_secs(5);

/// The configuration of a front that is to start.
struct FrontConfig {
    front: usize,
    text: String,
}

impl ProcessCluster<'_> {
    fn config_text(&self, front: usize) -> String {
        let zones = &self.backend.config.zones;
        let block = front_block(
            front as u32,
            self.options.fronts,
            &zones[front % zones.len()],
            &self.backend.list.address.to_string(),
            &self.list_cache_path(front).to_string_lossy(),
        );
        let probe_every = &self.options.probe_every;
        let peers = self.key.as_ref().map(|key| {
            self.network
                .peers_block(front, &self.seeds, key, probe_every)
        });
        let store = self.hosts.as_ref().map(|hosts| hosts.store_block(front));
        with_workers(&block, self.options.workers)
            + &peers.unwrap_or_default()
            + &store.unwrap_or_default()
            + &self.backend.config_text
    }

    /// Path of the front's cached endpoint list.
    fn list_cache_path(&self, front: usize) -> PathBuf {
        self.options.dir.join(format!("front-{front}.list"))
    }

    /// Starts those of these fronts that don't run, all at the same time.
    pub(super) fn start(&mut self, fronts: &[usize]) -> io::Result<()> {
        let mut configs = Vec::new();
        for front in fronts.iter().copied() {
            if self.processes[front].is_none() {
                let text = self.config_text(front);
                configs.push(FrontConfig { front, text });
            }
        }
        // A front starts without state. Only where the case has power losses do hosts keep their disks.
        if self.hosts.is_none() {
            for config in &configs {
                let _ = std::fs::remove_file(self.list_cache_path(config.front));
                // The file may never have been written.
            }
        }
        for (front, process) in self.start_processes(&configs) {
            let process = process?;
            self.membership_poll
                .set_address(front, Some(process.address));
            self.processes[front] = Some(process);
        }
        Ok(())
    }

    fn start_processes(&self, configs: &[FrontConfig]) -> Vec<(usize, io::Result<Process>)> {
        let start_one = |config: &FrontConfig| {
            let name = format!("front-{}", config.front);
            let other = self.options.other.as_ref();
            let exe = other.filter(|_| self.uses_other_build[config.front]);
            let exe = exe.unwrap_or(&self.options.exe);
            Process::start(exe, &self.options.dir, &name, &config.text)
        };
        let start_one = &start_one;
        std::thread::scope(|scope| {
            let threads: Vec<_> = configs
                .iter()
                .map(|config| (config.front, scope.spawn(move || start_one(config))))
                .collect();
            let panicked = |_| {
                Err(io::Error::other(
                    "the thread that started the front panicked",
                ))
            };
            threads
                .into_iter()
                .map(|(front, thread)| (front, thread.join().unwrap_or_else(panicked)))
                .collect()
        })
    }

    /// Kills fronts. All are signalled before the first is waited for.
    pub(super) fn kill(&mut self, fronts: &[usize]) -> io::Result<()> {
        for front in fronts.iter().copied() {
            if let Some(process) = &self.processes[front] {
                let died = Seen::Died {
                    front: front as u32,
                };
                self.backend.recorder.record(died);
                process.signal(Signal::KILL);
                self.membership_poll.set_address(front, None);
            }
        }
        for front in fronts.iter().copied() {
            if let Some(process) = self.processes[front].take() {
                process.kill()?;
            }
        }
        Ok(())
    }

    /// Ends fronts by a graceful shutdown. Returns a description for each front that ended with an error or not in time.
    pub(super) fn end(&mut self, fronts: &[usize]) -> io::Result<Vec<String>> {
        let mut ending = Vec::new();
        for front in fronts.iter().copied() {
            ending.extend(self.processes[front].take());
        }
        for front in fronts.iter().copied() {
            self.membership_poll.set_address(front, None);
        }
        let drain = self.backend.config.limits.drain_timeout;
        end_all(ending.iter_mut(), drain + PROCESS_END_GRACE)
    }

    /// Stops the processes of fronts, or resumes them.
    pub(super) fn set_stopped(&mut self, fronts: &[usize], stopped: bool) {
        for front in fronts.iter().copied() {
            if self.stopped[front] == stopped {
                continue;
            }
            let Some(process) = &self.processes[front] else {
                continue;
            };
            let seen = Seen::Stalled {
                front: front as u32,
                stopped,
            };
            // The recorded stall must cover the real one, so a stop is recorded before its signal and a resumption after it.
            if stopped {
                self.backend.recorder.record(seen);
                process.signal(Signal::STOP);
            } else {
                process.signal(Signal::CONT);
                self.backend.recorder.record(seen);
            }
            self.stopped[front] = stopped;
        }
    }
}
