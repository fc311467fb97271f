//! A model of network faults: which datagrams are lost, duplicated, delayed or blocked. The simulated network in memory and the
//! proxy between real sockets both use it.
#[cfg(test)]
mod tests;

use crate::scenario::{CaseAction, DelayRange, FrontSet};
use crate::NANOSECONDS_PER_SECOND;
use crankpaddle_time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Longest time that a datagram waits in the queue of a link with limited bandwidth; one that would wait longer is dropped.
const MAX_QUEUEING: Duration = Duration::from_secs(1);

/// Returns whether datagrams pass on a link; the others are dropped.
pub type LinkFilter = Box<dyn Fn(Link) -> bool + Send>;

/// One direction between two fronts, which are identified by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Link {
    /// Number of the sending front.
    pub from: usize,
    /// Number of the receiving front.
    pub to: usize,
}

/// The faults of a network and its delay and bandwidth, at the current time of a case.
pub struct NetworkConditions {
    /// Probability from 0 to 1 that a datagram is lost.
    pub loss_rate: f64,
    /// Probability from 0 to 1 that a datagram which is not lost arrives twice.
    pub duplication_rate: f64,
    /// Range from which the transit time of each datagram is drawn.
    pub delay: DelayRange,
    /// Bandwidth of each link, in bytes per second; infinite if there is no limit.
    pub bandwidth: f64,
    /// Decides whether datagrams pass on a link; set by partitions, or directly by tests.
    pub link_filter: LinkFilter,
    /// Number of copies that are sent of each datagram of a front, by the front's number; 1 for fronts that are not listed.
    pub floods: HashMap<usize, u32>,
    blocked_links: Vec<BlockedLinks>,
    busy_until: HashMap<Link, Time>, // Only links with limited bandwidth have an entry.
}

/// A set of links on which all datagrams are dropped: those from each front of one set to each front of another.
#[derive(Clone)]
struct BlockedLinks {
    // Both vectors are indexed by the number of the front.
    is_sender: Vec<bool>,
    is_receiver: Vec<bool>,
}

impl BlockedLinks {
    fn new(from: &FrontSet, to: &FrontSet, fleet_size: usize) -> BlockedLinks {
        let membership = |fronts: &FrontSet| {
            (0..fleet_size)
                .map(|front| fronts.contains(front, fleet_size))
                .collect()
        };
        BlockedLinks {
            is_sender: membership(from),
            is_receiver: membership(to),
        }
    }

    fn blocks(&self, link: Link) -> bool {
        let contains =
            |members: &[bool], front: usize| members.get(front).copied().unwrap_or(false);
        contains(&self.is_sender, link.from) && contains(&self.is_receiver, link.to)
    }
}

impl NetworkConditions {
    /// A network without faults, limits or partitions, with transit times from this range.
    #[must_use]
    pub fn without_faults(delay: DelayRange) -> NetworkConditions {
        NetworkConditions {
            loss_rate: 0.0,
            duplication_rate: 0.0,
            delay,
            bandwidth: f64::INFINITY,
            link_filter: Box::new(|_| true),
            floods: HashMap::new(),
            blocked_links: Vec::new(),
            busy_until: HashMap::new(),
        }
    }

    /// Carries out an action on the network between `fleet_size` fronts; actions on fronts and hosts are ignored.
    /// `default_delay` is the transit time if the case states none.
    pub fn act(&mut self, action: &CaseAction, fleet_size: usize, default_delay: DelayRange) {
        match action {
            CaseAction::SetNetwork {
                loss,
                duplicated,
                delay,
                bandwidth,
            } => {
                self.loss_rate = *loss;
                self.duplication_rate = *duplicated;
                self.bandwidth = *bandwidth;
                self.delay = delay.unwrap_or(default_delay);
            }
            CaseAction::Partition {
                from,
                to,
                both_ways,
            } => {
                self.blocked_links
                    .push(BlockedLinks::new(from, to, fleet_size));
                if *both_ways {
                    self.blocked_links
                        .push(BlockedLinks::new(to, from, fleet_size));
                }
                let blocked_links = self.blocked_links.clone();
                self.link_filter =
                    Box::new(move |link| !blocked_links.iter().any(|blocked| blocked.blocks(link)));
            }
            CaseAction::Heal => {
                self.blocked_links.clear();
                self.link_filter = Box::new(|_| true);
            }
            CaseAction::Flood { fronts, copies } => {
                for front in fronts.members(fleet_size) {
                    self.floods.insert(front, *copies);
                }
            }
            _ => {}
        }
    }

    /// Returns the arrival time of each copy of a datagram; empty if the datagram is lost, blocked or dropped by a full queue.
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
            if rng.rand_float() < self.loss_rate {
                continue;
            }
            let Some(departure) = self.departure(now, link, bytes) else {
                continue;
            };
            let is_duplicated =
                self.duplication_rate > 0.0 && rng.rand_float() < self.duplication_rate;
            let copies = if is_duplicated { 2 } else { 1 };
            for _ in 0..copies {
                arrivals.push(departure + self.delay.draw(rng));
            }
        }
        arrivals
    }

    /// Returns the time at which a datagram is completely sent at the link's bandwidth; `None` if the link's queue is full.
    fn departure(&mut self, now: Time, link: Link, bytes: usize) -> Option<Time> {
        if self.bandwidth.is_infinite() {
            return Some(now);
        }
        let busy_until = self.busy_until.entry(link).or_insert(now);
        let starts_at = (*busy_until).max(now);
        if starts_at.duration_since(now) > MAX_QUEUEING {
            return None;
        }
        let transmission_ns = bytes as f64 / self.bandwidth * NANOSECONDS_PER_SECOND;
        *busy_until = starts_at + Duration::from_nanos(transmission_ns as u64);
        Some(*busy_until)
    }
}
