//! What a net does to datagrams: which are lost, doubled, late, cut off. The same for a net in memory and for one of sockets.
use crate::cluster::Cuts;
use crate::scenario::Act;
use std::collections::HashMap;

/// What waits longer than this for a way with a bandwidth is lost.
const QUEUE: u64 = 1_000_000_000;

/// Whether a datagram from one to another gets through now.
pub type Lets = Box<dyn Fn(usize, usize) -> bool + Send>;

/// The state of a net. Times are nanoseconds.
pub struct Weather {
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Part that arrives twice.
    pub doubled: f64,
    /// Least and most time on the way.
    pub delay: (u64, u64),
    /// Bytes a second from one to another; infinite: no bound.
    pub bandwidth: f64,
    /// Whether a datagram from one to another gets through now.
    pub lets: Lets,
    /// Members whose datagrams arrive so many times.
    pub floods: HashMap<usize, u32>,
    cuts: Cuts,
    taken: HashMap<(usize, usize), u64>, // Until when a way with a bandwidth is taken.
}

impl Weather {
    /// A good net with this delay.
    pub fn fair(delay: (u64, u64)) -> Weather {
        Weather {
            loss: 0.0,
            doubled: 0.0,
            delay,
            bandwidth: f64::INFINITY,
            lets: Box::new(|_, _| true),
            floods: HashMap::new(),
            cuts: Cuts::default(),
            taken: HashMap::new(),
        }
    }

    /// Does what a case does to the net between so many fronts; false where it does something else. `usual`: least and most
    /// time on the way where the case states none.
    pub fn act(&mut self, act: &Act, fleet: usize, usual: (u64, u64)) -> bool {
        match act {
            Act::Net {
                loss,
                doubled,
                delay,
                bandwidth,
            } => {
                (self.loss, self.doubled, self.bandwidth) = (*loss, *doubled, *bandwidth);
                self.delay = delay.unwrap_or(usual);
            }
            Act::Cut { from, to, both } => {
                let (from, to) = (from.of(fleet), to.of(fleet));
                self.cuts.cut(&from, &to, fleet);
                if *both {
                    self.cuts.cut(&to, &from, fleet);
                }
                let cuts = self.cuts.clone();
                self.lets = Box::new(move |a, b| cuts.lets(a, b));
            }
            Act::Heal => {
                self.cuts = Cuts::default();
                self.lets = Box::new(|_, _| true);
            }
            Act::Flood(fronts, times) => {
                self.floods
                    .extend(fronts.of(fleet).into_iter().map(|i| (i, *times)));
            }
            _ => return false,
        }
        true
    }

    /// When the copies of a datagram arrive; none where it is lost.
    pub fn arrivals(
        &mut self,
        now: u64,
        way: (usize, usize),
        bytes: usize,
        rng: &mut oorandom::Rand64,
    ) -> Vec<u64> {
        let mut arrivals = Vec::new();
        if !(self.lets)(way.0, way.1) {
            return arrivals;
        }
        for _ in 0..self.floods.get(&way.0).copied().unwrap_or(1) {
            if rng.rand_float() < self.loss {
                continue;
            }
            let Some(leaves) = self.leaves(now, way, bytes) else {
                continue;
            };
            let copies = 1 + usize::from(self.doubled > 0.0 && rng.rand_float() < self.doubled);
            for _ in 0..copies {
                let late = (rng.rand_float() * (self.delay.1 - self.delay.0) as f64) as u64;
                arrivals.push(leaves + self.delay.0 + late);
            }
        }
        arrivals
    }

    fn leaves(&mut self, now: u64, way: (usize, usize), bytes: usize) -> Option<u64> {
        if self.bandwidth.is_infinite() {
            return Some(now);
        }
        let taken = self.taken.entry(way).or_insert(now);
        let begins = (*taken).max(now);
        if begins - now > QUEUE {
            return None;
        }
        *taken = begins + (bytes as f64 / self.bandwidth * 1e9) as u64;
        Some(*taken)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_narrow_way_makes_wait_and_then_loses_and_another_is_free() {
        let mut rng = oorandom::Rand64::new(1);
        let mut net = Weather {
            bandwidth: 1000.0,
            ..Weather::fair((0, 0))
        };
        let arrive: Vec<Vec<u64>> = (0..4)
            .map(|_| net.arrivals(0, (0, 1), 500, &mut rng))
            .collect();
        assert_eq!(
            arrive,
            [
                vec![500_000_000],
                vec![1_000_000_000],
                vec![1_500_000_000],
                vec![]
            ]
        );
        assert_eq!(net.arrivals(0, (1, 0), 500, &mut rng), [500_000_000]);
    }

    #[test]
    fn parts_are_lost_and_doubled_and_a_flood_comes_many_times() {
        let mut rng = oorandom::Rand64::new(1);
        let mut net = Weather {
            loss: 0.3,
            doubled: 0.5,
            ..Weather::fair((1, 9))
        };
        let all: Vec<u64> = (0..10_000)
            .flat_map(|_| net.arrivals(0, (0, 1), 1, &mut rng))
            .collect();
        assert!(
            (all.len() as f64 / 10_500.0 - 1.0).abs() < 0.05,
            "{}",
            all.len()
        );
        assert!(all.iter().all(|at| (1..=9).contains(at)));
        let mut net = Weather {
            floods: [(3, 50)].into(),
            ..Weather::fair((1, 9))
        };
        assert_eq!(net.arrivals(0, (3, 1), 1, &mut rng).len(), 50);
        assert_eq!(net.arrivals(0, (1, 3), 1, &mut rng).len(), 1);
        net.lets = Box::new(|a, _| a != 3);
        assert!(net.arrivals(0, (3, 1), 1, &mut rng).is_empty());
    }
}
