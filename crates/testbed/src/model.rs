//! Links, uplinks, set-up work, warmth and falling over of a fleet, without sockets or clock.
//!
//! Where more is asked of a link or a rack's uplink than it gives, all sessions there get the same share of their
//! rates. A started server takes set-ups at a pace that rises from a part of it to the whole; sent a multiple of that
//! for a time, it falls over. Figures that come out of this are a model's.
use std::collections::{BTreeMap, VecDeque};

/// What holds for all servers. Times in nanoseconds, rates in kB a second.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Cores of a server.
    pub cores: usize,
    /// Work of a set-up on a warm core.
    pub work: u64,
    /// Streams at most.
    pub places: u32,
    /// Warm after this time ...
    pub slow_start_duration: u64,
    /// ... from this part.
    pub slow_start_min_factor: f64,
    /// Falls when sent more than this multiple of its pace ...
    pub fall_multiple: f64,
    /// ... for this time.
    pub fall: u64,
    /// Turns set-ups away while so much of its link is asked; 0: never.
    pub guard: f64,
}

/// A server of the model.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its rack.
    pub rack: usize,
    /// What its link gives.
    pub link_kb: f64,
    started: u64, // 0: long past.
    busy: Vec<u64>,
    streams: BTreeMap<u64, f64>,
    arrivals: VecDeque<u64>,
}

/// What comes of a set-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is done at this time.
    DoneAt(u64),
    /// No place or no link is left: turned away unseen.
    Full,
    /// It was too much for a cold server.
    Falls,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct Model {
    spec: Spec,
    /// Servers by number.
    pub servers: Vec<Server>,
    uplinks_kb: Vec<f64>,
    slow: f64,
}

impl Model {
    /// A warm fleet; `links` gives each server's rack and link.
    pub fn new(spec: Spec, links: &[(usize, f64)], uplinks_kb: Vec<f64>) -> Model {
        let server = |(rack, link_kb): &(usize, f64)| Server {
            rack: *rack,
            link_kb: *link_kb,
            started: 0,
            busy: vec![0; spec.cores.max(1)],
            streams: BTreeMap::new(),
            arrivals: VecDeque::new(),
        };
        Model {
            servers: links.iter().map(server).collect(),
            uplinks_kb,
            spec,
            slow: 1.0,
        }
    }

    /// Every link gives this many times less from now on; 1: as it was.
    pub fn set_slow(&mut self, times: f64) {
        self.slow = times.max(1e-3);
    }

    /// Part of its pace that a server has reached.
    pub fn warm_up_progress(&self, server: usize, now: u64) -> f64 {
        let started = self.servers[server].started;
        let age = now.saturating_sub(started) as f64 / self.spec.slow_start_duration.max(1) as f64;
        if started == 0 || age >= 1.0 {
            return 1.0;
        }
        self.spec.slow_start_min_factor + (1.0 - self.spec.slow_start_min_factor) * age
    }

    /// A server starts anew, cold and empty.
    pub fn start(&mut self, server: usize, now: u64) {
        let s = &mut self.servers[server];
        s.started = now;
        s.busy.fill(0);
        s.streams.clear();
        s.arrivals.clear();
    }

    /// A set-up arrives; it holds a place from now on until [`Model::end`], unless it is turned away.
    pub fn set_up(&mut self, server: usize, stream: u64, kb: f64, now: u64) -> Taken {
        let (warmth, asked) = (self.warm_up_progress(server, now), self.link_demand(server));
        let spec = &self.spec;
        let s = &mut self.servers[server];
        if s.started != 0 && now < s.started + spec.slow_start_duration {
            s.arrivals.push_back(now);
            s.arrivals.retain(|t| now - t < spec.fall);
            let rate = f64::from(spec.places) / spec.slow_start_duration as f64 * warmth;
            if s.arrivals.len() as f64 > spec.fall_multiple * rate * spec.fall as f64 + 1.0 {
                return Taken::Falls;
            }
        }
        if s.streams.len() >= spec.places as usize || spec.guard > 0.0 && asked >= spec.guard {
            return Taken::Full;
        }
        s.streams.insert(stream, kb);
        let core = s.busy.iter_mut().min().expect("a server has a core");
        *core = (*core).max(now) + (spec.work as f64 / warmth) as u64;
        Taken::DoneAt(*core)
    }

    /// A session's rate changes.
    pub fn set_rate(&mut self, server: usize, stream: u64, kb: f64) {
        self.servers[server]
            .streams
            .entry(stream)
            .and_modify(|rate| *rate = kb);
    }

    /// A session or set-up is over.
    pub fn end(&mut self, server: usize, stream: u64) {
        self.servers[server].streams.remove(&stream);
    }

    /// Streams that a server runs or sets up.
    pub fn streams(&self, server: usize) -> usize {
        self.servers[server].streams.len()
    }

    /// What is asked of a server's link over what it gives.
    pub fn link_demand(&self, server: usize) -> f64 {
        let s = &self.servers[server];
        s.streams.values().sum::<f64>() / (s.link_kb / self.slow)
    }

    /// The same of its rack's uplink.
    pub fn uplink_demand(&self, server: usize) -> f64 {
        let rack = self.servers[server].rack;
        let there = self.servers.iter().filter(|s| s.rack == rack);
        there.flat_map(|s| s.streams.values()).sum::<f64>() / (self.uplinks_kb[rack] / self.slow)
    }

    /// Share of their rates that sessions at a server get.
    pub fn share(&self, server: usize) -> f64 {
        1.0 / self
            .link_demand(server)
            .max(self.uplink_demand(server))
            .max(1.0)
    }
}

#[cfg(test)]
mod tests;
