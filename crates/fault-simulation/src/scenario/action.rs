//! The actions of a case on fronts, on their hosts and on the network.
use super::FrontSet;
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// An action of a case. Names in parentheses are those of the steps in `proto/case.proto`, if they differ from the variant's.
#[derive(Clone, Debug, PartialEq)]
pub enum CaseAction {
    /// Starts those of the fronts that do not run, as new incarnations.
    Start(FrontSet),
    /// Kills the processes of fronts without notice.
    Kill(FrontSet),
    /// Shuts fronts down gracefully, so that they announce that they leave (`end`).
    ShutDown(FrontSet),
    /// Pauses the processes of fronts; their sockets still buffer datagrams (`stop`).
    Pause(FrontSet),
    /// Resumes paused processes (`go_on`).
    Resume(FrontSet),
    /// Kills fronts and starts them again as new incarnations.
    Restart {
        /// The fronts to restart.
        fronts: FrontSet,
        /// Time between the kill and the start.
        after: Duration,
    },
    /// Sets the conditions of the network from now on (`net`).
    SetNetwork {
        /// Probability from 0 to 1 that a datagram is lost.
        loss: f64,
        /// Probability from 0 to 1 that a datagram arrives twice.
        duplicated: f64,
        /// Range of the transit time; `None` for the cluster's default.
        delay: Option<DelayRange>,
        /// Bandwidth from one front to another, in bytes per second; infinite if there is no limit.
        bandwidth: f64,
    },
    /// Drops everything that is sent from some fronts to others (`cut`).
    Partition {
        /// Fronts whose datagrams are dropped.
        from: FrontSet,
        /// Fronts that no longer receive those datagrams.
        to: FrontSet,
        /// Whether datagrams in the opposite direction are dropped as well.
        both_ways: bool,
    },
    /// Ends all partitions; loss, delays and floods stay as they are.
    Heal,
    /// Sends several copies of each datagram of some fronts.
    Flood {
        /// Fronts whose datagrams are multiplied.
        fronts: FrontSet,
        /// Number of copies that are sent of each datagram; 1 ends the flood.
        copies: u32,
    },
    /// Makes a front write its entry of the gossip state (`write`).
    WriteEntry {
        /// Number of the front that writes.
        front: usize,
    },
    /// An action on something that only fleets of real processes have: power, disks, servers with session inventories.
    Host(HostAction),
    /// Selects the build that fronts run from their next start on; no effect if there is only one build (`runs`).
    SelectBuild {
        /// Fronts that change their build.
        fronts: FrontSet,
        /// The build to run.
        build: Build,
    },
}

/// One of the two builds of the program that can run together in a fleet of real processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Build {
    /// The build that all fronts run at the start of a case.
    First,
    /// The second build, which fronts run only after it was selected for them.
    Other,
}

/// An action on hosts, which only fleets of real processes support.
#[derive(Clone, Debug, PartialEq)]
pub enum HostAction {
    /// Cuts the power of hosts, all at the same moment.
    PowerOff {
        /// Fronts that lose power.
        fronts: FrontSet,
        /// Servers that lose power.
        servers: FrontSet,
        /// Whether the service that provides the endpoint list loses power.
        list_service: bool,
    },
    /// Restores the power of hosts.
    PowerOn {
        /// Fronts that start, with the contents of their disks.
        fronts: FrontSet,
        /// Servers that start, without sessions and in slow start.
        servers: FrontSet,
        /// Whether the service that provides the endpoint list starts.
        list_service: bool,
    },
    /// Copies the disks of fronts in their current state, for a later [`DiskState::Outdated`].
    CopyDisks(FrontSet),
    /// Replaces the disks of fronts that do not run by disks in the given state.
    SetDisks {
        /// Fronts whose disks are replaced.
        fronts: FrontSet,
        /// The state of the disks at the next start of these fronts.
        state: DiskState,
    },
    /// Makes servers lose the session inventories of their previous incarnations (`lose_books`).
    LoseSessionInventories(FrontSet),
}

/// The state in which a front finds its disk when it starts after a power failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    /// Unchanged since the power failure.
    Intact,
    /// Without any data.
    Empty,
    /// In the state of the last copy ([`HostAction::CopyDisks`]).
    Outdated,
    /// With a file that is truncated, as after an incomplete write.
    Torn,
}

/// The range of a datagram's transit time. Since each time is drawn separately, datagrams can overtake each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DelayRange {
    /// Shortest transit time.
    pub min: Duration,
    /// Longest transit time.
    pub max: Duration,
}

impl DelayRange {
    /// Transit time zero.
    pub const NONE: DelayRange = DelayRange {
        min: Duration::ZERO,
        max: Duration::ZERO,
    };

    /// Draws a transit time from a uniform distribution.
    pub(crate) fn draw(self, rng: &mut oorandom::Rand64) -> Duration {
        let offset_ns = rng.rand_float() * nanoseconds(self.max - self.min) as f64;
        self.min + Duration::from_nanos(offset_ns as u64)
    }
}
