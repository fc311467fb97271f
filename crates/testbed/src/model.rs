//! A model of a fleet's links, uplinks, set-up work, slow start and overload, without sockets or a clock.
//!
//! Where the demand of a link or of a rack's uplink exceeds its bandwidth, all sessions on it get the same share of their
//! rates. A restarted server accepts set-ups at a rate that rises from a part of its full rate; a multiple of that within
//! a time overloads it. Figures that come out of this are a model's.
use crankpaddle_time::{nanoseconds, Time};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// What holds for all servers. Rates in kB a second.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Cores of a server.
    pub cores: usize,
    /// Processor time of a set-up after the slow start.
    pub work: Duration,
    /// Streams that a server runs at most.
    pub places: u32,
    /// Length of the slow start after a restart.
    pub slow_start_duration: Duration,
    /// Part of its full rate that a server has at the beginning of its slow start.
    pub slow_start_min_factor: f64,
    /// A server in slow start is overloaded by more than this multiple of its present rate ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_window: Duration,
    /// Link demand from which a server rejects set-ups; 0: it never does for this reason.
    pub guard: f64,
}

/// A server of the model.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its rack.
    pub rack: usize,
    /// Bandwidth of its link.
    pub link_kb: f64,
    /// When it was started; `None`: long ago.
    started: Option<Time>,
    /// For each core the time until which it is busy.
    busy_until: Vec<Time>,
    /// Rates of the streams.
    streams: BTreeMap<u64, f64>,
    /// Set-ups during the slow start within the overload window.
    recent_set_ups: VecDeque<Time>,
}

/// What a server does with a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpResult {
    /// Accepted; the work is done at this time.
    DoneAt(Time),
    /// Rejected for lack of capacity: it never ran.
    Full,
    /// The server was overloaded during its slow start and stops.
    Overloaded,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct Model {
    spec: Spec,
    /// Servers by number.
    pub servers: Vec<Server>,
    uplinks_kb: Vec<f64>,
    /// What all bandwidths are divided by.
    slowdown: f64,
}

impl Model {
    /// A fleet after its slow start; `links` has each server's rack and link.
    #[must_use]
    pub fn new(spec: Spec, links: &[(usize, f64)], uplinks_kb: Vec<f64>) -> Model {
        let server = |(rack, link_kb): &(usize, f64)| Server {
            rack: *rack,
            link_kb: *link_kb,
            started: None,
            busy_until: vec![Time::ZERO; spec.cores.max(1)],
            streams: BTreeMap::new(),
            recent_set_ups: VecDeque::new(),
        };
        Model {
            servers: links.iter().map(server).collect(),
            uplinks_kb,
            spec,
            slowdown: 1.0,
        }
    }

    /// Divides every bandwidth by `times` from now on; 1: the usual bandwidth.
    pub fn set_slow(&mut self, times: f64) {
        self.slowdown = times.max(1e-3);
    }

    /// Part of its full rate that a server has reached.
    #[must_use]
    pub fn warm_up_progress(&self, server: usize, now: Time) -> f64 {
        let Some(started) = self.servers[server].started else {
            return 1.0;
        };
        let slow_start = nanoseconds(self.spec.slow_start_duration).max(1) as f64;
        let age = nanoseconds(now.duration_since(started)) as f64 / slow_start;
        if age >= 1.0 {
            return 1.0;
        }
        self.spec.slow_start_min_factor + (1.0 - self.spec.slow_start_min_factor) * age
    }

    /// Restarts a server: it is empty and in slow start.
    pub fn start(&mut self, server: usize, now: Time) {
        let server = &mut self.servers[server];
        server.started = Some(now);
        server.busy_until.fill(Time::ZERO);
        server.streams.clear();
        server.recent_set_ups.clear();
    }

    /// Sets a stream up at a server. If accepted, it takes capacity until [`Model::end`].
    ///
    /// # Panics
    /// There is no server of this number.
    pub fn set_up(&mut self, server: usize, stream: u64, kb: f64, now: Time) -> SetUpResult {
        let warm_up_progress = self.warm_up_progress(server, now);
        let link_demand = self.link_demand(server);
        let spec = &self.spec;
        let server = &mut self.servers[server];
        if server.is_overloaded_by_set_up(spec, warm_up_progress, now) {
            return SetUpResult::Overloaded;
        }
        let no_place = server.streams.len() >= spec.places as usize;
        let no_bandwidth = spec.guard > 0.0 && link_demand >= spec.guard;
        if no_place || no_bandwidth {
            return SetUpResult::Full;
        }
        server.streams.insert(stream, kb);
        let core = server.busy_until.iter_mut().min();
        let core = core.expect("a server has a core");
        let work = nanoseconds(spec.work) as f64 / warm_up_progress;
        *core = (*core).max(now) + Duration::from_nanos(work as u64);
        SetUpResult::DoneAt(*core)
    }

    /// Changes the rate of a stream.
    pub fn set_rate(&mut self, server: usize, stream: u64, kb: f64) {
        if let Some(rate) = self.servers[server].streams.get_mut(&stream) {
            *rate = kb;
        }
    }

    /// Ends a stream.
    pub fn end(&mut self, server: usize, stream: u64) {
        self.servers[server].streams.remove(&stream);
    }

    /// Number of streams that a server runs or sets up.
    #[must_use]
    pub fn streams(&self, server: usize) -> usize {
        self.servers[server].streams.len()
    }

    /// Demand of a server's link over its bandwidth.
    #[must_use]
    pub fn link_demand(&self, server: usize) -> f64 {
        let server = &self.servers[server];
        server.streams.values().sum::<f64>() / (server.link_kb / self.slowdown)
    }

    /// Demand of the uplink of a server's rack over its bandwidth.
    #[must_use]
    pub fn uplink_demand(&self, server: usize) -> f64 {
        let rack = self.servers[server].rack;
        let in_rack = self.servers.iter().filter(|s| s.rack == rack);
        in_rack.flat_map(|s| s.streams.values()).sum::<f64>()
            / (self.uplinks_kb[rack] / self.slowdown)
    }

    /// Part of their rates that the streams of a server get.
    #[must_use]
    pub fn share(&self, server: usize) -> f64 {
        1.0 / self
            .link_demand(server)
            .max(self.uplink_demand(server))
            .max(1.0)
    }
}

impl Server {
    /// Counts a set-up during the slow start; whether it is one too many.
    fn is_overloaded_by_set_up(&mut self, spec: &Spec, warm_up_progress: f64, now: Time) -> bool {
        let in_slow_start = self
            .started
            .is_some_and(|started| now < started + spec.slow_start_duration);
        if !in_slow_start {
            return false;
        }
        self.recent_set_ups.push_back(now);
        self.recent_set_ups
            .retain(|at| now.duration_since(*at) < spec.overload_window);
        let full_rate = f64::from(spec.places) / nanoseconds(spec.slow_start_duration) as f64;
        let rate = full_rate * warm_up_progress;
        let window = nanoseconds(spec.overload_window) as f64;
        let allowed = spec.overload_multiple * rate * window + 1.0;
        self.recent_set_ups.len() as f64 > allowed
    }
}

#[cfg(test)]
mod tests;
