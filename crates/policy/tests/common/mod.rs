//! Settings of a small fleet, and a driver that sends events to a policy under a simulated clock.
#![allow(dead_code)]
use crankpaddle::*;

pub(crate) const MS: u64 = 1_000_000;
pub(crate) const SECOND: u64 = 1000 * MS;
pub(crate) const IDEMPOTENT: u8 = 0;
pub(crate) const AT_MOST_ONCE: u8 = 1;
pub(crate) const ZONE_IDEMPOTENT: u8 = 2;

pub(crate) fn settings() -> Settings {
    let class = |idempotency, min_rung, max_rung, rate_factor, max_sessions_per_title| SessionClass {
        latency_objective: 800 * MS,
        idempotency,
        retry_window: 2 * SECOND,
        priority_weight: 1.0,
        min_rung,
        max_rung,
        rate_factor,
        max_sessions_per_title,
        live: false,
    };
    Settings {
        replica_index: 0,
        replica_count: 2,
        zone: 0,
        classes: vec![
            class(Idempotency::Idempotent, 0, 4, 1.0, 0),
            class(Idempotency::AtMostOnce, 1, 4, 1.4, 3),
            class(Idempotency::IdempotentWithin(RetryScope::Zone), 0, 3, 1.0, 0),
        ],
        rung_kb: vec![200.0, 350.0, 600.0, 1000.0, 1800.0],
        rung_utility: vec![0.2, 0.45, 0.65, 0.8, 1.0],
        cells: 6,
        racks: 2,
        stream_capacity: vec![25],
        fleet_link_kb: 36_000.0,
        link_kb: 6000.0,
        uplink_kb: 20_000.0,
        server_rejection_threshold: 0.0,
        shared_stream_factor: 1.0,
        update_delay: SECOND,
        update_interval: 3 * SECOND,
        shortfall_cost: 8.0,
        rung_change_cost_seconds: 0.5,
        tenant_quota: vec![],
        over_quota_weight: 0.1,
        discovery_on_request: false,
        max_discovery_age: 10 * SECOND,
        max_attempts: 4,
        max_retry_after: SECOND,
        health_checks_allowed: false,
        gossip_allowed: false,
        cancel_allowed: true,
        slow_start_duration: 10 * SECOND,
        slow_start_min_factor: 0.4,
        overload_multiple: 2.5,
        overload_window: SECOND,
        retry_budget_min: None,
        retry_budget_ratio: 0.0,
        retry_budget_window: 5 * SECOND,
        cross_zone_price: 0.01,
        migration_price: 0.1,
    }
}

pub(crate) fn endpoint(id: u32, lifecycle: Lifecycle, started_at: Time) -> Endpoint {
    let cell = id as u16 - 1;
    Endpoint {
        server: ServerId(id),
        zone: (cell % 2) as u8,
        kind: 0,
        cell,
        lifecycle,
        weight: 1.0,
        started_at,
    }
}

/// Six ready servers with ids 1 to 6, in cells 0 to 5 and alternately in zones 0 and 1.
pub(crate) fn fleet() -> Vec<Endpoint> {
    (1..=6).map(|id| endpoint(id, Lifecycle::Ready, Time(0))).collect()
}

pub(crate) fn session_request(request: u64, class: u8, now: Time) -> SessionRequest {
    SessionRequest {
        request: RequestId(request),
        viewer: request,
        class,
        title: request % 5,
        first_cell: (request % 6) as u32,
        cell_count: 3,
        max_rung: 4,
        deadline: Time(now.0 + 4 * SECOND),
        ..SessionRequest::default()
    }
}

/// A policy under test and its simulated clock.
pub(crate) struct Driver {
    pub policy: PlacementPolicy,
    pub now: Time,
}

impl Driver {
    pub(crate) fn new(settings: Settings) -> Driver {
        let now = Time(1000 * SECOND);
        let mut driver = Driver { policy: PlacementPolicy::new(settings, 7, now), now };
        driver.send(Event::EndpointList(EndpointListKind::Full, fleet()));
        driver
    }

    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        actions
    }

    pub(crate) fn advance(&mut self, duration: u64) {
        self.now = Time(self.now.0 + duration);
    }

    pub(crate) fn request(&mut self, request: u64, class: u8) -> Vec<Action> {
        self.send(Event::SessionRequested(session_request(request, class, self.now)))
    }

    pub(crate) fn end_attempt(
        &mut self,
        request: u64,
        server: ServerId,
        outcome: AttemptOutcome,
        is_final: bool,
    ) -> Vec<Action> {
        let request = RequestId(request);
        self.send(Event::AttemptEnded {
            request,
            attempt: 0,
            server,
            outcome,
            is_final,
            report: LoadReport::new(),
        })
    }

    pub(crate) fn establish(&mut self, request: u64, server: ServerId) -> Vec<Action> {
        self.send(Event::SessionEstablished {
            request: RequestId(request),
            attempt: 0,
            server,
            setup_time: 100 * MS,
        })
    }

    pub(crate) fn update(&mut self, request: u64, server: ServerId, update: SessionUpdate) -> Vec<Action> {
        self.send(Event::SessionUpdated { request: RequestId(request), server, update })
    }
}

pub(crate) fn attempted_server(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::StartAttempt { server, .. } => Some(*server),
        _ => None,
    })
}

pub(crate) fn set_rung(actions: &[Action]) -> Option<u8> {
    actions.iter().find_map(|action| match action {
        Action::SetRung { rung, .. } => Some(*rung),
        _ => None,
    })
}

pub(crate) fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

pub(crate) fn is_failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail(_)))
}
