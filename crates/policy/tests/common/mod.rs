//! A small fleet to drive a front with.
#![allow(dead_code)]
use crankpaddle::*;

pub(crate) const MS: u64 = 1_000_000;
pub(crate) const SECOND: u64 = 1000 * MS;
pub(crate) const FREE: u8 = 0;
pub(crate) const PAID: u8 = 1;
pub(crate) const GUARDED: u8 = 2;

pub(crate) fn settings() -> Settings {
    let class = |effect, floor, top, rate_factor, seats| Class {
        aim: 800 * MS,
        effect,
        repeat_within: 2 * SECOND,
        worth: 1.0,
        floor,
        top,
        rate_factor,
        seats,
        live: false,
    };
    Settings {
        index: 0,
        siblings: 2,
        zone: 0,
        classes: vec![
            class(Effect::Free, 0, 4, 1.0, 0),
            class(Effect::SingleShot, 1, 4, 1.4, 3),
            class(Effect::Guarded(Group::Zone), 0, 3, 1.0, 0),
        ],
        rung_kb: vec![200.0, 350.0, 600.0, 1000.0, 1800.0],
        rung_worth: vec![0.2, 0.45, 0.65, 0.8, 1.0],
        cells: 6,
        racks: 2,
        places: vec![25],
        fleet_kb: 36_000.0,
        link_kb: 6000.0,
        uplink_kb: 20_000.0,
        server_guard: 0.0,
        join: 1.0,
        note_delay: SECOND,
        note_every: 3 * SECOND,
        shortfall_cost: 8.0,
        switch_seconds: 0.5,
        tenant_quota: vec![],
        over_share_worth: 0.1,
        must_ask: false,
        ask_within: 10 * SECOND,
        attempts_cap: 4,
        stay_away_cap: SECOND,
        may_probe: false,
        may_tell: false,
        may_cancel: true,
        cold: 10 * SECOND,
        cold_share: 0.4,
        fall_multiple: 2.5,
        fall: SECOND,
        extra_floor: None,
        extra_share: 0.0,
        extra_window: 5 * SECOND,
        cross_zone_price: 0.01,
        move_price: 0.1,
    }
}

pub(crate) fn listing(id: u32, phase: Phase, since: Time) -> Listing {
    let cell = id as u16 - 1;
    Listing { server: ServerId(id), zone: (cell % 2) as u8, kind: 0, cell, phase, weight: 1.0, since }
}

/// Six servers with ids 1 to 6 in cells 0 to 5.
pub(crate) fn fleet() -> Vec<Listing> {
    (1..=6).map(|id| listing(id, Phase::Ready, Time(0))).collect()
}

pub(crate) fn ask(request: u64, class: u8, now: Time) -> Ask {
    Ask {
        request: RequestId(request),
        viewer: request,
        class,
        title: request % 5,
        first_cell: (request % 6) as u32,
        copies: 3,
        top: 4,
        deadline: Time(now.0 + 4 * SECOND),
        ..Ask::default()
    }
}

pub(crate) struct Drive {
    pub front: Front,
    pub now: Time,
}

impl Drive {
    pub(crate) fn new(settings: Settings) -> Drive {
        let now = Time(1000 * SECOND);
        let mut drive = Drive { front: Front::new(settings, 7, now), now };
        drive.send(Event::Roster(RosterKind::Full, fleet()));
        drive
    }

    pub(crate) fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.front.handle(self.now, event, &mut out);
        out
    }

    pub(crate) fn wait(&mut self, time: u64) {
        self.now = Time(self.now.0 + time);
    }

    pub(crate) fn ask(&mut self, request: u64, class: u8) -> Vec<Action> {
        self.send(Event::Ask(ask(request, class, self.now)))
    }

    pub(crate) fn end(
        &mut self,
        request: u64,
        server: ServerId,
        outcome: Outcome,
        closed: bool,
    ) -> Vec<Action> {
        let request = RequestId(request);
        self.send(Event::Ended { request, attempt: 0, server, outcome, closed, report: Report::new() })
    }

    pub(crate) fn plays(&mut self, request: u64, server: ServerId) -> Vec<Action> {
        self.send(Event::Playing { request: RequestId(request), attempt: 0, server, took: 100 * MS })
    }

    pub(crate) fn note(&mut self, request: u64, server: ServerId, note: Note) -> Vec<Action> {
        self.send(Event::Note { request: RequestId(request), server, note })
    }
}

pub(crate) fn attempt(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Attempt { server, .. } => Some(*server),
        _ => None,
    })
}

pub(crate) fn rung(actions: &[Action]) -> Option<u8> {
    actions.iter().find_map(|a| match a {
        Action::Rung { rung, .. } => Some(*rung),
        _ => None,
    })
}

pub(crate) fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

pub(crate) fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
