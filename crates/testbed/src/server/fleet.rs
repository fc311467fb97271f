//! The fleet of stand-in servers: their layout, their restarts and the faults that a scenario switches on.
use super::session::Session;
use super::{lock, Server};
use crate::fault_mode::Mode;
use crate::model::{Model, Spec};
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

/// Time within which the port of a stopped server must be free again.
const PORT_FREE_WITHIN: Duration = Duration::from_secs(5);
/// Pause between two attempts to listen on that port.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which idle connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Added to a rack's number, so that its uplink draws another factor than a server's link.
const UPLINK_SEED_OFFSET: usize = 1000;

/// What all servers share.
pub struct Fleet {
    /// The configuration of the fronts, for rungs and classes.
    pub config: Arc<Config>,
    /// Where all events are recorded.
    pub recorder: Recorder,
    pub(crate) model: Mutex<Model>,
    pub(super) sweeper: IdleSweeper,
    /// Length of a segment.
    pub(super) segment: Duration,
    /// Number of the next stream.
    pub(super) next_stream: AtomicU64,
    random_draws: AtomicU64,
    /// The servers by number.
    pub servers: Vec<Arc<Server>>,
}

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of servers; server n lies in cell n and in zone n modulo the number of zones.
    pub count: usize,
    /// Cores of each server.
    pub cores: usize,
    /// Processor time of a set-up.
    pub work: Duration,
    /// Part by which the bandwidths of links and uplinks differ.
    pub uneven: f64,
    /// Length of a segment.
    pub segment: Duration,
    /// Seed for bandwidths and random faults.
    pub seed: u64,
}

impl Layout {
    /// A factor around 1 for the bandwidth of a link or uplink.
    fn bandwidth_factor(&self, number: usize) -> f64 {
        let draw = jitter(self.seed ^ (number as u64) << 8);
        1.0 + self.uneven * (2.0 * draw - 1.0)
    }

    fn model(&self, config: &Config) -> Model {
        let settings = &config.settings;
        let spec = Spec {
            cores: self.cores,
            work: self.work,
            places: settings.stream_capacity[0],
            slow_start_duration: Duration::from_nanos(settings.slow_start_duration),
            slow_start_min_factor: settings.slow_start_min_factor,
            overload_multiple: settings.overload_multiple,
            overload_window: Duration::from_nanos(settings.overload_window),
            guard: settings.server_rejection_threshold,
        };
        let racks = settings.racks as usize;
        let links: Vec<_> = (0..self.count)
            .map(|n| (n % racks, settings.link_kb * self.bandwidth_factor(n)))
            .collect();
        let uplinks = (0..racks)
            .map(|rack| settings.uplink_kb * self.bandwidth_factor(UPLINK_SEED_OFFSET + rack))
            .collect();
        Model::new(spec, &links, uplinks)
    }
}

impl Fleet {
    /// Starts a fleet that is warmed up, on free ports. Call [`crankpaddle_net::start`] before.
    ///
    /// # Errors
    /// No port can be listened on.
    pub fn start(
        config: Arc<Config>,
        layout: &Layout,
        recorder: Recorder,
    ) -> io::Result<Arc<Fleet>> {
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for id in 0..layout.count as u32 {
            let listener = listen(([127, 0, 0, 1], 0).into())?;
            servers.push(Arc::new(Server::new(id, listener.local_addr()?)));
            listeners.push(listener);
        }
        let fleet = Arc::new(Fleet {
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

    /// A draw of `0.0..1.0`.
    pub(super) fn draw(&self) -> f64 {
        jitter(self.random_draws.fetch_add(1, Ordering::Relaxed))
    }

    /// Divides the bandwidth of every link and uplink by `times`; 1: the usual bandwidth.
    pub fn set_slow(&self, times: f64) {
        lock(&self.model).set_slow(times);
    }

    /// The zone of a server.
    #[must_use]
    pub fn zone(&self, id: u32) -> usize {
        id as usize % self.config.zones.len()
    }

    /// Stops a server's process: connections break, the port is closed.
    pub fn crash(&self, id: u32) {
        let server = &self.servers[id as usize];
        server.go_down(self);
    }

    /// Starts a server's process again, in slow start. Call on a thread: it waits until the port of the previous
    /// incarnation is free.
    ///
    /// # Errors
    /// Its port was taken meanwhile.
    pub fn restart(self: &Arc<Fleet>, id: u32) -> io::Result<()> {
        let server = &self.servers[id as usize];
        let listener = listen_once_free(server.address)?;
        lock(&self.model).start(id as usize, clock::now());
        *lock(&server.mode) = Mode::default();
        server.begin_incarnation();
        let places = f64::from(self.config.settings.stream_capacity[0]);
        self.recorder.see(Seen::Started { server: id, places });
        server.listen(self, listener);
        Ok(())
    }

    /// Erases what a server wrote down of its previous incarnations. It keeps the sessions that play.
    pub fn lose_inventory(&self, id: u32) {
        lock(&self.servers[id as usize].set_up_log).lose();
    }

    /// Changes the faults of a server.
    pub fn set_mode(&self, id: u32, change: impl FnOnce(&mut Mode)) {
        change(&mut lock(&self.servers[id as usize].mode));
    }

    /// Ends the sessions of a server: `finished` as when the title ends, otherwise as on a graceful shutdown.
    pub fn end_sessions(&self, id: u32, finished: bool) {
        let server = &self.servers[id as usize];
        let playing = |(name, session): (&String, &Session)| session.plays.then(|| name.clone());
        let names: Vec<String> = lock(&server.sessions).iter().filter_map(playing).collect();
        for name in names {
            server.notify_session_over(&name, finished);
            server.end(self, &name);
        }
    }

    /// Streams of all servers.
    #[must_use]
    pub fn streams(&self) -> usize {
        let model = lock(&self.model);
        (0..self.servers.len()).map(|n| model.streams(n)).sum()
    }

    /// Media rate of a session, kB a second.
    pub(crate) fn rate(&self, class: usize, rung: u8) -> f64 {
        let settings = &self.config.settings;
        let rung_kb = settings.rung_kb.get(usize::from(rung));
        let rate_factor = settings.classes.get(class).map_or(1.0, |c| c.rate_factor);
        rung_kb.copied().unwrap_or(0.0) * rate_factor
    }
}

fn listen_once_free(address: SocketAddr) -> io::Result<TcpListener> {
    let deadline = clock::now() + PORT_FREE_WITHIN;
    loop {
        match listen(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && clock::now() < deadline => {
                std::thread::sleep(LISTEN_RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
