//! Actions: what is done to fronts, hosts and the network.
use super::Fronts;
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// An action of a scenario. The names of a case's steps in `proto/case.proto` are older; the parser maps them.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts those of them that do not run, as new incarnations.
    Start(Fronts),
    /// Kills them.
    Kill(Fronts),
    /// Shuts them down gracefully (`end`).
    ShutDown(Fronts),
    /// Pauses them (`stop`).
    Pause(Fronts),
    /// Resumes them (`go_on`).
    Resume(Fronts),
    /// Kills them and starts them again.
    Restart {
        /// The fronts.
        fronts: Fronts,
        /// Time until they start again.
        after: Duration,
    },
    /// Sets the conditions of the network from now on (`net`).
    SetNetwork {
        /// Part of the datagrams that is lost.
        loss: f64,
        /// Part that is duplicated.
        duplicated: f64,
        /// Transit time; `None`: the usual one.
        delay: Option<DelayRange>,
        /// Bytes a second from one front to another.
        bandwidth: f64,
    },
    /// Drops everything that is sent from some fronts to others (`cut`).
    Partition {
        /// The senders.
        from: Fronts,
        /// The receivers.
        to: Fronts,
        /// Whether the opposite direction is dropped as well.
        both_ways: bool,
    },
    /// Ends all partitions.
    Heal,
    /// Delivers several copies of each datagram of some fronts.
    Flood {
        /// The fronts.
        fronts: Fronts,
        /// Copies of each datagram.
        copies: u32,
    },
    /// Has a front write its entry of the gossip state (`write`).
    WriteEntry {
        /// The front.
        front: usize,
    },
    /// An action on what only real processes have: power, disks, servers with session inventories.
    Host(HostAction),
    /// Selects the build that fronts run from their next start on (`runs`).
    SelectBuild {
        /// The fronts.
        fronts: Fronts,
        /// The build.
        build: Build,
    },
}

/// One of the two builds of the program that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The one that all fronts run at first.
    First,
    /// The other one.
    Other,
}

/// An action on hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAction {
    /// Hosts lose power in one instant.
    PowerOff {
        /// Fronts that stop.
        fronts: Fronts,
        /// Servers that stop.
        servers: Fronts,
        /// Whether the list service stops.
        list_service: bool,
    },
    /// Hosts have power again.
    PowerOn {
        /// Fronts that start.
        fronts: Fronts,
        /// Servers that start.
        servers: Fronts,
        /// Whether the list service starts.
        list_service: bool,
    },
    /// Disks are copied as they are.
    CopyDisks(Fronts),
    /// Disks are replaced by one in another state.
    SetDisks {
        /// The fronts whose disks they are.
        fronts: Fronts,
        /// The state that the disks are found in.
        state: DiskState,
    },
    /// Servers lose their session inventories.
    LoseSessionInventories(Fronts),
}

/// The state that a disk is found in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// As it was.
    Intact,
    /// Empty.
    Empty,
    /// As it was when it was copied.
    Outdated,
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
