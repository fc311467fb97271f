//! Actions: what is done to fronts, hosts and the network.
use super::Fronts;
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// An action of a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// They start, from nothing.
    Start(Fronts),
    /// They are killed.
    Kill(Fronts),
    /// They shut down in order.
    End(Fronts),
    /// They are paused.
    Stop(Fronts),
    /// They are resumed.
    GoOn(Fronts),
    /// They are killed and started again after a time.
    Restart(Fronts, Duration),
    /// The conditions of the network from now on.
    Net {
        /// Part of the datagrams that is lost.
        loss: f64,
        /// Part that is duplicated.
        duplicated: f64,
        /// Transit time; `None`: the usual one.
        delay: Option<DelayRange>,
        /// Bytes a second from one front to another.
        bandwidth: f64,
    },
    /// Nothing passes from these to those.
    Cut {
        /// The senders.
        from: Fronts,
        /// The receivers.
        to: Fronts,
        /// Whether nothing passes the other way either.
        both: bool,
    },
    /// All cuts are undone.
    Heal,
    /// Their datagrams arrive so many times.
    Flood(Fronts, u32),
    /// A front writes its entry of the gossip state.
    Write(usize),
    /// An action on what only real processes have: power, disks, servers with session inventories.
    Power(Power),
    /// From their next start on they run the other build (`true`), or the first.
    Runs(Fronts, bool),
}

/// An action on hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum Power {
    /// Hosts lose power in one instant.
    Off {
        /// Fronts that stop.
        fronts: Fronts,
        /// Servers that stop.
        servers: Fronts,
        /// Whether the list service stops.
        list_service: bool,
    },
    /// Hosts have power again.
    On {
        /// Fronts that start.
        fronts: Fronts,
        /// Servers that start.
        servers: Fronts,
        /// Whether the list service starts.
        list_service: bool,
    },
    /// Disks are copied as they are.
    Copy(Fronts),
    /// Disks are found in this state.
    Disk(Fronts, Spoil),
    /// Servers lose their session inventories.
    LoseSessionInventories(Fronts),
}

/// The state that a disk is found in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// As it was.
    Intact,
    /// Empty.
    Empty,
    /// As it was when it was copied.
    Old,
    /// With a torn write.
    Torn,
}

/// The range of a datagram's transit time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayRange {
    /// The least.
    pub min: Duration,
    /// The most.
    pub max: Duration,
}

impl DelayRange {
    /// No delay.
    pub const NONE: DelayRange = DelayRange {
        min: Duration::ZERO,
        max: Duration::ZERO,
    };

    /// Draws a transit time, uniformly.
    pub(crate) fn draw(self, rng: &mut oorandom::Rand64) -> Duration {
        let part = rng.rand_float() * nanoseconds(self.max - self.min) as f64;
        self.min + Duration::from_nanos(part as u64)
    }
}
