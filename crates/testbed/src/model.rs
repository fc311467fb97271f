//! A model of a fleet's links, uplinks, set-up work, slow start and overload, without sockets or a clock.
//!
//! Where the demand of a link or of a rack's uplink exceeds its bandwidth, all sessions on it get the same share of their
//! rates. A restarted server accepts set-ups at a rate that rises from a fraction of its full rate. A server is overloaded by
//! more than a multiple of that rate within a time window. Figures from this model are not measurements of real servers.
use crankpaddle_time::{nanoseconds, Time};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The properties that all servers of a fleet have.
#[derive(Clone, Debug)]
pub struct ServerSpec {
    /// Number of processor cores of a server.
    pub cores: usize,
    /// Processor time that a set-up takes after the slow start; it takes longer during the slow start.
    pub work: Duration,
    /// Maximum number of streams of a server.
    pub max_streams: u32,
    /// Length of the slow start after a restart.
    pub slow_start_duration: Duration,
    /// Fraction of its full set-up rate that a server has at the beginning of its slow start.
    pub slow_start_min_factor: f64,
    /// A server in slow start is overloaded by more set-ups within `overload_window` than this multiple of its rate at that
    /// time.
    pub overload_multiple: f64,
    /// Length of the sliding window in which the set-ups for `overload_multiple` are counted.
    pub overload_window: Duration,
    /// Link demand, as a fraction of the bandwidth, from which a server rejects set-ups; 0 means that it never does so.
    pub link_rejection_threshold: f64,
}

/// The state of one server in the model.
#[derive(Clone, Debug)]
pub struct ModelServer {
    /// Number of the server's rack.
    pub rack: usize,
    /// Bandwidth of the server's link, kB a second, without slowdown.
    pub link_kb: f64,
    /// When the server was restarted; `None` where it never was.
    started: Option<Time>,
    /// Time until which each core is busy.
    busy_until: Vec<Time>,
    /// Rates of the streams by number, kB a second.
    streams: BTreeMap<u64, f64>,
    /// Times of the set-ups of the current slow start that are within the overload window.
    recent_set_ups: VecDeque<Time>,
}

/// How a server responds to a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetUpResult {
    /// Accepted; the work of the set-up is done at this time.
    DoneAt(Time),
    /// Rejected for lack of capacity; the set-up never runs.
    Full,
    /// The set-up overloaded the server during its slow start; the server stops.
    Overloaded,
}

/// The state of a fleet: streams, busy cores and slow starts of its servers.
#[derive(Clone, Debug)]
pub struct FleetModel {
    spec: ServerSpec,
    /// The servers; the index is the server's number.
    pub servers: Vec<ModelServer>,
    uplinks_kb: Vec<f64>,
    /// Divisor of all bandwidths.
    slowdown: f64,
}

impl FleetModel {
    /// A fleet without streams, whose servers are past their slow start. `links` has the number of the rack and the bandwidth
    /// of the link of each server. All bandwidths are in kB a second.
    #[must_use]
    pub fn new(spec: ServerSpec, links: &[(usize, f64)], uplinks_kb: Vec<f64>) -> FleetModel {
        let server = |(rack, link_kb): &(usize, f64)| ModelServer {
            rack: *rack,
            link_kb: *link_kb,
            started: None,
            busy_until: vec![Time::ZERO; spec.cores.max(1)],
            streams: BTreeMap::new(),
            recent_set_ups: VecDeque::new(),
        };
        FleetModel {
            servers: links.iter().map(server).collect(),
            uplinks_kb,
            spec,
            slowdown: 1.0,
        }
    }

    /// Divides every bandwidth by `divisor` from now on. 1 restores the full bandwidth.
    pub fn set_slow(&mut self, divisor: f64) {
        self.slowdown = divisor.max(1e-3);
    }

    /// Fraction of its full set-up rate that a server has reached; 1 after its slow start.
    #[must_use]
    pub fn warm_up_progress(&self, server: usize, now: Time) -> f64 {
        let Some(started) = self.servers[server].started else {
            return 1.0;
        };
        let slow_start = nanoseconds(self.spec.slow_start_duration).max(1) as f64;
        let elapsed_fraction = nanoseconds(now.duration_since(started)) as f64 / slow_start;
        if elapsed_fraction >= 1.0 {
            return 1.0;
        }
        self.spec.slow_start_min_factor + (1.0 - self.spec.slow_start_min_factor) * elapsed_fraction
    }

    /// Restarts a server. It has no streams and is in slow start.
    pub fn start(&mut self, server: usize, now: Time) {
        let server = &mut self.servers[server];
        server.started = Some(now);
        server.busy_until.fill(Time::ZERO);
        server.streams.clear();
        server.recent_set_ups.clear();
    }

    /// Sets up a stream of `rate_kb` kB a second at a server. If accepted, the stream takes capacity until [`FleetModel::end`].
    ///
    /// # Panics
    /// There is no server of this number.
    pub fn set_up(&mut self, server: usize, stream: u64, rate_kb: f64, now: Time) -> SetUpResult {
        let warm_up_progress = self.warm_up_progress(server, now);
        let link_demand = self.link_demand(server);
        let spec = &self.spec;
        let server = &mut self.servers[server];
        if server.is_overloaded_by_set_up(spec, warm_up_progress, now) {
            return SetUpResult::Overloaded;
        }
        let no_slot = server.streams.len() >= spec.max_streams as usize;
        let no_bandwidth =
            spec.link_rejection_threshold > 0.0 && link_demand >= spec.link_rejection_threshold;
        if no_slot || no_bandwidth {
            return SetUpResult::Full;
        }
        server.streams.insert(stream, rate_kb);
        let core = server.busy_until.iter_mut().min();
        let core = core.expect("a server has a core");
        let work = nanoseconds(spec.work) as f64 / warm_up_progress;
        *core = (*core).max(now) + Duration::from_nanos(work as u64);
        SetUpResult::DoneAt(*core)
    }

    /// Changes the rate of a stream to `rate_kb` kB a second.
    pub fn set_rate(&mut self, server: usize, stream: u64, rate_kb: f64) {
        if let Some(rate) = self.servers[server].streams.get_mut(&stream) {
            *rate = rate_kb;
        }
    }

    /// Ends a stream and frees its capacity.
    pub fn end(&mut self, server: usize, stream: u64) {
        self.servers[server].streams.remove(&stream);
    }

    /// Number of streams that a server runs, including those being set up.
    #[must_use]
    pub fn streams(&self, server: usize) -> usize {
        self.servers[server].streams.len()
    }

    /// Demand of a server's link as a fraction of its bandwidth; above 1 the link is overloaded.
    #[must_use]
    pub fn link_demand(&self, server: usize) -> f64 {
        let server = &self.servers[server];
        server.streams.values().sum::<f64>() / (server.link_kb / self.slowdown)
    }

    /// Demand of the uplink of a server's rack as a fraction of its bandwidth; above 1 the uplink is overloaded.
    #[must_use]
    pub fn uplink_demand(&self, server: usize) -> f64 {
        let rack = self.servers[server].rack;
        let in_rack = self.servers.iter().filter(|server| server.rack == rack);
        in_rack
            .flat_map(|server| server.streams.values())
            .sum::<f64>()
            / (self.uplinks_kb[rack] / self.slowdown)
    }

    /// Fraction of their rates that the streams of a server get.
    #[must_use]
    pub fn share(&self, server: usize) -> f64 {
        1.0 / self
            .link_demand(server)
            .max(self.uplink_demand(server))
            .max(1.0)
    }
}

impl ModelServer {
    /// Counts a set-up during the slow start. Returns whether it overloads the server.
    fn is_overloaded_by_set_up(
        &mut self,
        spec: &ServerSpec,
        warm_up_progress: f64,
        now: Time,
    ) -> bool {
        let in_slow_start = self
            .started
            .is_some_and(|started| now < started + spec.slow_start_duration);
        if !in_slow_start {
            return false;
        }
        self.recent_set_ups.push_back(now);
        self.recent_set_ups
            .retain(|at| now.duration_since(*at) < spec.overload_window);
        let full_rate = f64::from(spec.max_streams) / nanoseconds(spec.slow_start_duration) as f64;
        let rate = full_rate * warm_up_progress;
        let window = nanoseconds(spec.overload_window) as f64;
        let allowed = spec.overload_multiple * rate * window + 1.0;
        self.recent_set_ups.len() as f64 > allowed
    }
}

#[cfg(test)]
mod tests;
