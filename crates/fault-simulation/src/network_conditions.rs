//! What a network does to datagrams: which are lost, duplicated, delayed or cut off. The same for a network in memory and for one
//! of sockets.
#[cfg(test)]
mod tests;

use crate::scenario::{Action, DelayRange, Fronts};
use crate::NANOSECONDS_PER_SECOND;
use crankpaddle_time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// A datagram that would wait longer than this for a link with a bandwidth is dropped.
const MAX_QUEUEING: Duration = Duration::from_secs(1);

/// Whether datagrams on a link pass now.
pub type LinkFilter = Box<dyn Fn(Link) -> bool + Send>;

/// One direction between two fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// The sending front.
    pub from: usize,
    /// The receiving front.
    pub to: usize,
}

/// The conditions of a network.
pub struct NetworkConditions {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that arrives twice.
    pub duplicated: f64,
    /// Transit time.
    pub delay: DelayRange,
    /// Bytes a second from one front to another; infinite: no limit.
    pub bandwidth: f64,
    /// Whether datagrams on a link pass now.
    pub link_filter: LinkFilter,
    /// Copies that arrive of each datagram of a front; one of the others'.
    pub floods: HashMap<usize, u32>,
    cuts: Vec<Cut>,
    busy_until: HashMap<Link, Time>, // Of links with a bandwidth.
}

/// A set of links on which nothing passes: from each of some fronts to each of others.
#[derive(Clone)]
struct Cut {
    from: Vec<bool>, // By the number of the front.
    to: Vec<bool>,
}

impl Cut {
    fn new(from: &Fronts, to: &Fronts, fleet: usize) -> Cut {
        let members = |fronts: &Fronts| (0..fleet).map(|i| fronts.has(i, fleet)).collect();
        Cut {
            from: members(from),
            to: members(to),
        }
    }

    fn blocks(&self, link: Link) -> bool {
        let has = |members: &[bool], front: usize| members.get(front).copied().unwrap_or(false);
        has(&self.from, link.from) && has(&self.to, link.to)
    }
}

impl NetworkConditions {
    /// A network without faults.
    #[must_use]
    pub fn good(delay: DelayRange) -> NetworkConditions {
        NetworkConditions {
            loss: 0.0,
            duplicated: 0.0,
            delay,
            bandwidth: f64::INFINITY,
            link_filter: Box::new(|_| true),
            floods: HashMap::new(),
            cuts: Vec::new(),
            busy_until: HashMap::new(),
        }
    }

    /// Carries out an action on the network between so many fronts; other actions are ignored. `usual`: the transit time where
    /// the scenario states none.
    pub fn act(&mut self, action: &Action, fleet: usize, usual: DelayRange) {
        match action {
            Action::SetNetwork {
                loss,
                duplicated,
                delay,
                bandwidth,
            } => {
                self.loss = *loss;
                self.duplicated = *duplicated;
                self.bandwidth = *bandwidth;
                self.delay = delay.unwrap_or(usual);
            }
            Action::Partition {
                from,
                to,
                both_ways,
            } => {
                self.cuts.push(Cut::new(from, to, fleet));
                if *both_ways {
                    self.cuts.push(Cut::new(to, from, fleet));
                }
                let cuts = self.cuts.clone();
                self.link_filter = Box::new(move |link| !cuts.iter().any(|cut| cut.blocks(link)));
            }
            Action::Heal => {
                self.cuts.clear();
                self.link_filter = Box::new(|_| true);
            }
            Action::Flood { fronts, copies } => {
                for front in fronts.of(fleet) {
                    self.floods.insert(front, *copies);
                }
            }
            _ => {}
        }
    }

    /// When the copies of a datagram arrive; none where it is lost.
    pub fn arrivals(
        &mut self,
        now: Time,
        link: Link,
        bytes: usize,
        rng: &mut oorandom::Rand64,
    ) -> Vec<Time> {
        let mut arrivals = Vec::new();
        if !(self.link_filter)(link) {
            return arrivals;
        }
        let copies_sent = self.floods.get(&link.from).copied().unwrap_or(1);
        for _ in 0..copies_sent {
            if rng.rand_float() < self.loss {
                continue;
            }
            let Some(departure) = self.departure(now, link, bytes) else {
                continue;
            };
            let is_duplicated = self.duplicated > 0.0 && rng.rand_float() < self.duplicated;
            let copies = if is_duplicated { 2 } else { 1 };
            for _ in 0..copies {
                arrivals.push(departure + self.delay.draw(rng));
            }
        }
        arrivals
    }

    /// When a datagram has passed the link's bandwidth; `None` if its queue is full.
    fn departure(&mut self, now: Time, link: Link, bytes: usize) -> Option<Time> {
        if self.bandwidth.is_infinite() {
            return Some(now);
        }
        let busy_until = self.busy_until.entry(link).or_insert(now);
        let begins = (*busy_until).max(now);
        if begins.duration_since(now) > MAX_QUEUEING {
            return None;
        }
        let transmission = bytes as f64 / self.bandwidth * NANOSECONDS_PER_SECOND;
        *busy_until = begins + Duration::from_nanos(transmission as u64);
        Some(*busy_until)
    }
}
