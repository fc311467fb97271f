//! What a session controller keeps of servers, uplinks and sessions: containers, without a choice or a tuned value.
use crate::interface::{Action, Endpoint, Lifecycle, RequestId, ServerId, SessionRequest, Time};
use std::collections::{BTreeSet, VecDeque};

/// What is to be done, in order.
pub(crate) type Actions = Vec<Action>;

/// A change of a load that we caused ourselves, as a part of the capacity.
#[derive(Clone)]
pub(crate) struct OwnChange {
    pub(crate) at: Time,
    pub(crate) fill: f64,
}

/// The load of a link or uplink.
#[derive(Clone, Default)]
pub(crate) struct LoadEstimate {
    /// What it can carry, kB a second.
    pub(crate) capacity_kb: f64,
    /// Estimate of what is asked of it over its capacity.
    pub(crate) fill: f64,
    /// When a measurement was last received.
    pub(crate) measured_at: Option<Time>,
    pub(crate) own_changes: VecDeque<OwnChange>,
}

/// A media server that an endpoint list named.
#[derive(Default)]
pub(crate) struct Server {
    /// Its last entry in a list.
    pub(crate) endpoint: Endpoint,
    /// Index of the uplink group that it is in.
    pub(crate) uplink_group: usize,
    /// Streams that it runs at most.
    pub(crate) stream_capacity: f64,
    /// What is asked of its link.
    pub(crate) link: LoadEstimate,
    /// Rates of our own sessions there, kB a second.
    pub(crate) own_rate_kb: f64,
    /// Our own sessions there.
    pub(crate) sessions: BTreeSet<RequestId>,
    /// Slots of each region, lowest rung first.
    pub(crate) region_slots: Vec<u32>,
    /// When the regions were sized.
    pub(crate) regions_sized_at: Option<Time>,
    /// Whether its link was measured since a promotion was last considered here.
    pub(crate) measured_since_promotion: bool,
    /// Its part of the recent requests.
    pub(crate) arrivals: f64,
    /// Short delivery that lasts.
    pub(crate) short_delivery: Option<ShortDelivery>,
    /// No set-up goes there before this time, after failures.
    pub(crate) ejected_until: Time,
    /// Length of the last ejection, nanoseconds.
    pub(crate) ejection_duration: u64,
    /// When it was last ejected.
    pub(crate) last_ejected_at: Time,
    /// Successes that are still wanted after an ejection; until then it gets trials only.
    pub(crate) trials_left: u32,
    /// Whether a connection failed or broke since the server last started or served.
    pub(crate) connection_failed: bool,
    /// End of its slow start.
    pub(crate) slow_start_until: Time,
    /// In slow start, no set-up goes there before this time ...
    pub(crate) next_slow_start_attempt: Time,
    /// ... nor in an admission slot that began before this one.
    pub(crate) next_slot_start: Time,
    /// Sessions there are not demoted before this time.
    pub(crate) next_relief: Time,
}

impl Server {
    /// Whether it is listed as ready and no connection to it failed.
    pub(crate) fn is_up(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::Ready && !self.connection_failed
    }

    /// Whether it is no longer listed.
    pub(crate) fn is_removed(&self) -> bool {
        self.endpoint.lifecycle == Lifecycle::Removed
    }

    /// Takes a measurement of the link that is `age` nanoseconds old.
    pub(crate) fn measure_link(&mut self, now: Time, fill: f64, age: u64) {
        self.link.measure(now, fill, age);
        self.measured_since_promotion = true;
    }
}

/// A time of short delivery at a server.
#[derive(Clone, Copy)]
pub(crate) struct ShortDelivery {
    /// When it began.
    pub(crate) since: Time,
    /// When it was last reported.
    pub(crate) reported_at: Time,
}

/// Servers that share an uplink.
#[derive(Clone, Default)]
pub(crate) struct UplinkGroup {
    /// What is asked of the uplink.
    pub(crate) uplink: LoadEstimate,
    /// Capacity of the links of its servers that are up, kB a second.
    pub(crate) link_capacity_kb: f64,
    /// What is asked of these links, kB a second.
    pub(crate) link_demand_kb: f64,
}

/// Sums and means over all servers, taken each second and kept up in between, so that no event scans the fleet.
#[derive(Default)]
pub(crate) struct FleetAggregates {
    /// Mean fill of the uplinks that were measured.
    pub(crate) mean_uplink_fill: Option<f64>,
    /// Mean fill of the links that were measured; before any was, what our own sessions make likely.
    pub(crate) mean_link_fill: f64,
    /// Servers that are up.
    pub(crate) servers_up: f64,
    /// What is asked of all links over what our own sessions ask.
    pub(crate) demand_over_own: f64,
    /// Mean rate factor of the classes of recent requests.
    pub(crate) rate_factor: f64,
    /// Number of our own sessions.
    pub(crate) own_sessions: f64,
    /// Their rates, kB a second.
    pub(crate) own_rate_kb: f64,
    /// Their rates in each region, kB a second.
    pub(crate) region_rate_kb: Vec<f64>,
    /// How much the fill of all links grows a second, beyond what chance makes likely.
    pub(crate) fill_growth: f64,
}

/// Where a session stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// No attempt is out.
    #[default]
    Pending,
    /// An attempt is out at this server.
    Attempting(ServerId),
    /// It is established at this server.
    Established(ServerId),
}

/// The first attempt of a request that the server may have executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Time,
}

/// A request without a final answer, or its session.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) request: SessionRequest,
    pub(crate) rung: u8,
    pub(crate) state: SessionState,
    /// Whether the viewer left.
    pub(crate) client_left: bool,
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// When it was established; until then, when it was requested.
    pub(crate) started_at: Time,
    /// When its rung was last set, at first by the attempt that is out.
    pub(crate) rung_set_at: Time,
    /// It is not promoted before this time.
    pub(crate) next_promotion: Time,
    /// Servers of its attempts so far.
    pub(crate) attempted: Vec<ServerId>,
}

impl Session {
    /// The server of its attempt or of the established session.
    pub(crate) fn server(&self) -> Option<ServerId> {
        match self.state {
            SessionState::Pending => None,
            SessionState::Attempting(server) | SessionState::Established(server) => Some(server),
        }
    }

    /// Whether it is established at a server.
    pub(crate) fn is_established(&self) -> bool {
        matches!(self.state, SessionState::Established(_))
    }

    /// Whether it is established and its viewer is still there.
    pub(crate) fn is_active(&self) -> bool {
        self.is_established() && !self.client_left
    }
}

/// Class and best rung of a request: what its rate depends on.
#[derive(Clone, Copy)]
pub(crate) struct RequestKind {
    pub(crate) class: u8,
    pub(crate) max_rung: u8,
}

/// Requests that arrived, and the seconds that they are counted over; both decay.
#[derive(Default)]
pub(crate) struct ArrivalCount {
    pub(crate) requests: f64,
    pub(crate) seconds: f64,
}

/// What a tenant has used of its quota: a leaky bucket, in requests.
pub(crate) struct TenantUsage {
    pub(crate) used: f64,
    pub(crate) updated_at: Time,
}

impl TenantUsage {
    /// Drains the bucket at `rate`, requests a second, up to now.
    pub(crate) fn drain(&mut self, now: Time, rate: f64) {
        self.used = (self.used - rate * now.seconds_since(self.updated_at)).max(0.0);
        self.updated_at = now;
    }
}

/// A change of the number of our own sessions: 1 at a beginning, -1 at an end.
pub(crate) struct SessionChange {
    pub(crate) at: Time,
    pub(crate) sessions: f64,
}

/// The end of an attempt, as reported by [`Event::AttemptEnded`](crate::Event::AttemptEnded).
pub(crate) struct EndedAttempt {
    pub(crate) request: RequestId,
    pub(crate) server: ServerId,
    pub(crate) outcome: crate::AttemptOutcome,
    /// Whether the request has its final answer.
    pub(crate) is_final: bool,
    pub(crate) report: crate::LoadReport,
}

/// What a server offers to a request.
pub(crate) struct Offer {
    pub(crate) server: ServerId,
    pub(crate) rung: u8,
    /// Fill of the server, with what it costs to cross zones.
    pub(crate) cost: f64,
}

/// A possible demotion of a session by one rung.
pub(crate) struct Demotion {
    pub(crate) request: RequestId,
    /// The rung after it.
    pub(crate) rung: u8,
    pub(crate) saved_kb: f64,
    /// Utility that is lost for each kB saved.
    pub(crate) cost: f64,
}
