//! The fleet of simulated servers: its layout, restarts of servers, and the faults that a scenario switches on.
use super::session::SimulatedSession;
use super::{lock, SimulatedServer};
use crate::fault_mode::ServerFaults;
use crate::model::{FleetModel, ServerSpec};
use crate::record::{Recorder, Seen};
use crankpaddle_config::Config;
use crankpaddle_front::jitter;
use crankpaddle_net::{clock, listen, IdleSweeper};
use may::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time to wait until the port of a stopped server is free again.
const PORT_FREE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts to listen on the port.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which connections are checked for expired timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Added to a rack's number, so that its uplink does not draw the same factor as the link of the server with that number.
const UPLINK_SEED_OFFSET: usize = 1000;

/// A fleet of simulated servers, with what they share.
pub struct SimulatedFleet {
    /// The configuration of the fronts, for zones, rungs and classes.
    pub config: Arc<Config>,
    /// Where all events are recorded.
    pub recorder: Recorder,
    pub(crate) model: Mutex<FleetModel>,
    pub(super) sweeper: IdleSweeper,
    /// Playing time of a media segment.
    pub(super) segment: Duration,
    /// Number that the next stream gets in the model.
    pub(super) next_stream: AtomicU64,
    /// Seed of the next random draw.
    random_draws: AtomicU64,
    /// The servers; the index is the server's number.
    pub servers: Vec<Arc<SimulatedServer>>,
}

/// Size and properties of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Number of servers. Server n is in cell n and in zone n, each modulo the number of cells or zones.
    pub count: usize,
    /// Number of processor cores of each server.
    pub cores: usize,
    /// Processor time that a set-up takes after the slow start.
    pub work: Duration,
    /// The bandwidths of links and uplinks differ from the configured ones by up to this fraction.
    pub uneven: f64,
    /// Playing time of a media segment.
    pub segment: Duration,
    /// Seed of the bandwidths and the random faults.
    pub seed: u64,
}

impl FleetLayout {
    /// A factor around 1 for the bandwidth of a link or uplink. `number` selects the draw.
    fn bandwidth_factor(&self, number: usize) -> f64 {
        let draw = jitter(self.seed ^ (number as u64) << 8);
        1.0 + self.uneven * (2.0 * draw - 1.0)
    }

    fn model(&self, config: &Config) -> FleetModel {
        let settings = &config.settings;
        let spec = ServerSpec {
            cores: self.cores,
            work: self.work,
            max_streams: settings.stream_capacity[0],
            slow_start_duration: Duration::from_nanos(settings.slow_start_duration),
            slow_start_min_factor: settings.slow_start_min_factor,
            overload_multiple: settings.overload_multiple,
            overload_window: Duration::from_nanos(settings.overload_window),
            link_rejection_threshold: settings.server_rejection_threshold,
        };
        let racks = settings.racks as usize;
        let links: Vec<_> = (0..self.count)
            .map(|number| {
                let link_kb = settings.link_kb * self.bandwidth_factor(number);
                (number % racks, link_kb)
            })
            .collect();
        let uplinks = (0..racks)
            .map(|rack| settings.uplink_kb * self.bandwidth_factor(UPLINK_SEED_OFFSET + rack))
            .collect();
        FleetModel::new(spec, &links, uplinks)
    }
}

impl SimulatedFleet {
    /// Starts a fleet on free loopback ports. Its servers are past their slow start. [`crankpaddle_net::start`] must have been
    /// called.
    ///
    /// # Errors
    /// A server can't listen on a port.
    pub fn start(
        config: Arc<Config>,
        layout: &FleetLayout,
        recorder: Recorder,
    ) -> io::Result<Arc<SimulatedFleet>> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for id in 0..layout.count as u32 {
            let listener = listen(([127, 0, 0, 1], 0).into())?;
            servers.push(Arc::new(SimulatedServer::new(id, listener.local_addr()?)));
            listeners.push(listener);
        }
        let fleet = Arc::new(SimulatedFleet {
            recorder,
            model: Mutex::new(layout.model(&config)),
            sweeper: IdleSweeper::start(SWEEP_INTERVAL),
            segment: layout.segment,
            next_stream: AtomicU64::new(1),
            random_draws: AtomicU64::new(layout.seed.rotate_left(17)),
            servers,
            config,
        });
        for (server, listener) in fleet.servers.iter().zip(listeners) {
            server.listen(&fleet, listener);
            server.notify_fronts(&fleet);
        }
        Ok(fleet)
    }

    /// A random number in `0.0..1.0`.
    pub(super) fn draw(&self) -> f64 {
        jitter(self.random_draws.fetch_add(1, Ordering::Relaxed))
    }

    /// Divides the bandwidth of every link and uplink by `divisor`. 1 restores the full bandwidth.
    pub fn set_slow(&self, divisor: f64) {
        lock(&self.model).set_slow(divisor);
    }

    /// Number of a server's zone.
    #[must_use]
    pub fn zone(&self, id: u32) -> usize {
        id as usize % self.config.zones.len()
    }

    /// Simulates a crash of a server's process: its connections break and its port is closed.
    pub fn crash(&self, id: u32) {
        let server = &self.servers[id as usize];
        server.stop(self);
    }

    /// Starts a server's process again, in slow start. Must be called on a thread and not in a coroutine, because it blocks
    /// until the port of the previous incarnation is free.
    ///
    /// # Errors
    /// The port does not become free in time.
    pub fn restart(self: &Arc<SimulatedFleet>, id: u32) -> io::Result<()> {
        let server = &self.servers[id as usize];
        let listener = listen_once_free(server.address)?;
        lock(&self.model).start(id as usize, clock::now());
        *lock(&server.faults) = ServerFaults::default();
        server.begin_incarnation();
        let places = f64::from(self.config.settings.stream_capacity[0]);
        self.recorder.record(Seen::Started { server: id, places });
        server.listen(self, listener);
        Ok(())
    }

    /// Erases a server's log of the set-ups that ran and of its previous incarnations. Sessions that play continue.
    pub fn lose_inventory(&self, id: u32) {
        lock(&self.servers[id as usize].set_up_log).erase();
    }

    /// Changes the active faults of a server.
    pub fn set_faults(&self, id: u32, change: impl FnOnce(&mut ServerFaults)) {
        change(&mut lock(&self.servers[id as usize].faults));
    }

    /// Ends all playing sessions of a server and notifies their fronts. With `finished` the end is that of the title, otherwise
    /// that of a graceful shutdown.
    pub fn end_sessions(&self, id: u32, finished: bool) {
        let server = &self.servers[id as usize];
        let playing =
            |(name, session): (&String, &SimulatedSession)| session.plays.then(|| name.clone());
        let names: Vec<String> = lock(&server.sessions).iter().filter_map(playing).collect();
        for name in names {
            server.notify_session_over(&name, finished);
            server.end(self, &name);
        }
    }

    /// Number of streams of all servers, including those being set up.
    #[must_use]
    pub fn streams(&self) -> usize {
        let model = lock(&self.model);
        (0..self.servers.len())
            .map(|server| model.streams(server))
            .sum()
    }

    /// Media rate of a session of this class at this rung, kB a second; 0 where the rung does not exist.
    pub(crate) fn rate(&self, class: usize, rung: u8) -> f64 {
        let settings = &self.config.settings;
        let rung_kb = settings.rung_kb.get(usize::from(rung));
        let rate_factor = settings
            .classes
            .get(class)
            .map_or(1.0, |class| class.rate_factor);
        rung_kb.copied().unwrap_or(0.0) * rate_factor
    }
}

/// Listens on a port, and retries for [`PORT_FREE_TIMEOUT`] while the port is in use.
fn listen_once_free(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = clock::now() + PORT_FREE_TIMEOUT;
    loop {
        match listen(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && clock::now() < deadline => {
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
