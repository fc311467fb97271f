//! The state of a [`PlacementPolicy`] and its accessors. The events that change it are handled in `policy.rs`.
use crate::interface::{
    CrossZonePolicy, RequestId, ServerEstimate, ServerId, SessionClass, SessionRequest, Settings, Time,
};
use crate::policy::{
    ARRIVAL_WINDOW_SECONDS, INITIAL_COMPLETED, INITIAL_SESSION_SECONDS, INITIAL_SETUP_TIME_NS,
};
use crate::state::{
    ArrivalCount, FleetAggregates, LoadEstimate, RegionKey, RequestKind, ServerRecord, SessionChange,
    SessionRecord, TenantUsage, UplinkGroup,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Highest number of rungs that is used, as rungs are numbered by a `u8`.
const MAX_RUNGS: usize = 256;

/// Makes the decisions of one session controller, which is one replica of the front.
pub struct PlacementPolicy {
    pub(crate) settings: Settings,
    pub(crate) random: oorandom::Rand32,
    pub(crate) servers: BTreeMap<ServerId, ServerRecord>,
    pub(crate) sessions: BTreeMap<RequestId, SessionRecord>,
    pub(crate) uplink_groups: Vec<UplinkGroup>,
    pub(crate) servers_by_cell: BTreeMap<u16, BTreeSet<ServerId>>,
    /// By zone and class; a pair without an entry is allowed.
    pub(crate) cross_zone_policies: BTreeMap<(u8, u8), CrossZonePolicy>,
    pub(crate) tenants: Vec<TenantUsage>,
    /// Times of requests and, below, of retries within the window of the retry budget.
    pub(crate) request_times: VecDeque<Time>,
    pub(crate) retry_times: VecDeque<Time>,
    /// Number of completed sessions and, below, seconds that all sessions together were watched. Both begin with
    /// assumed values.
    pub(crate) completed_sessions: f64,
    pub(crate) session_seconds: f64,
    /// Moving average of the set-up times of attempts, nanoseconds.
    pub(crate) mean_setup_time: f64,
    pub(crate) last_tick: Option<Time>,
    pub(crate) now: Time,
    /// When the endpoint list was last received or requested.
    pub(crate) endpoints_refreshed_at: Time,
    pub(crate) started_at: Time,
    /// When this replica last detected a stall.
    pub(crate) stall_detected_at: Time,
    pub(crate) fleet: FleetAggregates,
    /// Recent starts and ends of our own sessions.
    pub(crate) session_changes: VecDeque<SessionChange>,
    /// Moving average of the mean rate of our own sessions, kB per second. It changes more slowly the fewer there are.
    pub(crate) mean_session_kb: f64,
    pub(crate) arrivals: ArrivalCount,
    pub(crate) sized_regions: BTreeMap<RegionKey, Vec<u32>>,
    pub(crate) recent_requests: VecDeque<RequestKind>,
    /// Utility per second that each kB per second must yield; 0 before the first pricing.
    pub(crate) price_per_kb: f64,
}

impl PlacementPolicy {
    /// Creates the policy of a replica that has received no event yet. `seed` seeds its random choices.
    pub fn new(mut settings: Settings, seed: u64, now: Time) -> PlacementPolicy {
        let rungs = settings.rung_kb.len().min(settings.rung_utility.len()).min(MAX_RUNGS);
        settings.rung_kb.truncate(rungs);
        settings.rung_utility.truncate(rungs);
        let uplink = LoadEstimate { capacity_kb: settings.uplink_kb.max(1.0), ..LoadEstimate::default() };
        let group = UplinkGroup { uplink, ..UplinkGroup::default() };
        let unused = |_: &f64| TenantUsage { used: 0.0, updated_at: now };
        PlacementPolicy {
            random: oorandom::Rand32::new(seed),
            servers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            uplink_groups: vec![group; settings.racks.max(1) as usize],
            servers_by_cell: BTreeMap::new(),
            cross_zone_policies: BTreeMap::new(),
            tenants: settings.tenant_quota.iter().map(unused).collect(),
            request_times: VecDeque::new(),
            retry_times: VecDeque::new(),
            completed_sessions: INITIAL_COMPLETED,
            session_seconds: INITIAL_SESSION_SECONDS * INITIAL_COMPLETED,
            mean_setup_time: INITIAL_SETUP_TIME_NS,
            last_tick: None,
            now: Time::default(),
            endpoints_refreshed_at: now,
            started_at: now,
            stall_detected_at: Time::default(),
            fleet: FleetAggregates::default(),
            session_changes: VecDeque::new(),
            mean_session_kb: settings.rung_kb.get(rungs / 2).copied().unwrap_or(1.0),
            arrivals: ArrivalCount { requests: 0.0, seconds: ARRIVAL_WINDOW_SECONDS },
            sized_regions: BTreeMap::new(),
            recent_requests: VecDeque::new(),
            price_per_kb: 0.0,
            settings,
        }
    }

    /// The current load estimate of each known server, for comparison with its actual load.
    pub fn server_estimates(&self, now: Time) -> Vec<ServerEstimate> {
        let estimate = |(id, server): (&ServerId, &ServerRecord)| ServerEstimate {
            server: *id,
            link_fill: self.link_fill(server),
            uplink_fill: self.uplink_fill(server.uplink_group),
            usable: self.is_usable(now, *id, true),
        };
        self.servers.iter().map(estimate).collect()
    }

    /// Our own sessions at a server.
    pub(crate) fn sessions_at<'a>(
        &'a self,
        server: &'a ServerRecord,
    ) -> impl Iterator<Item = (RequestId, &'a SessionRecord)> + 'a {
        server.sessions.iter().filter_map(|request| Some((*request, self.sessions.get(request)?)))
    }

    /// The class with this number, if there is one.
    pub(crate) fn class(&self, class: u8) -> Option<&SessionClass> {
        self.settings.classes.get(usize::from(class))
    }

    /// The highest rung of the ladder; 0 if the ladder is empty.
    pub(crate) fn last_rung(&self) -> u8 {
        self.settings.rung_kb.len().saturating_sub(1) as u8
    }

    /// Rate of a class at a rung, kB per second; 0 for a rung beyond the ladder.
    pub(crate) fn rate_kb(&self, class: u8, rung: u8) -> f64 {
        let factor = self.class(class).map_or(1.0, |class| class.rate_factor);
        self.settings.rung_kb.get(usize::from(rung)).copied().unwrap_or(0.0) * factor
    }

    /// Servers of the cells that hold the title of a request.
    pub(crate) fn holders(&self, request: &SessionRequest) -> Vec<ServerId> {
        let cells = self.settings.cells.max(1);
        let holding =
            (0..request.cell_count.min(cells)).map(|offset| (request.first_cell % cells + offset) % cells);
        holding.filter_map(|cell| self.servers_by_cell.get(&(cell as u16))).flatten().copied().collect()
    }

    /// How sessions of a class may be served by a server, by the zone of the server.
    pub(crate) fn cross_zone_policy(&self, class: u8, server: &ServerRecord) -> CrossZonePolicy {
        self.cross_zone_policies.get(&(server.endpoint.zone, class)).copied().unwrap_or_default()
    }

    /// Mean length of a session, seconds; an assumed value as long as few sessions were completed.
    pub(crate) fn mean_session_seconds(&self) -> f64 {
        self.session_seconds / self.completed_sessions.max(1.0)
    }
}
