//! Tests of cross-zone admission. Most simulate several fronts that share a budget without communicating, while servers
//! report the usage of all fronts after a delay.
use crankpaddle_cross_zone_traffic::budget::{FrontBudget, FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::{
    CrossZoneAdmission, CrossZoneLimit, CrossZonePolicy, CrossingSessionStart, OverdraftCause,
    PolicyChange,
};
use crankpaddle_time::Time;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const NANOSECONDS_PER_SECOND: f64 = 1e9;
const RATE_KB: f64 = 40_000.0;
/// The burst is 30 seconds of the rate, so that an equal quota of it among 240 fronts still holds some sessions.
const SHARED: SharedBudget = SharedBudget {
    rate_kb: RATE_KB,
    burst_bytes: 1.2e9,
    volume_bytes: f64::INFINITY,
    period: None,
    max_repayment_time: Duration::from_secs(60),
};
/// Rates of the rungs that sessions request, in kB per second.
const RUNG_RATES_KB: [f64; 3] = [100.0, 250.0, 600.0];
const PREVIEW: u8 = 0;
const PAID: u8 = 1;
const SERVERS: u32 = 10;

fn limit(from_zone: u8, shared: SharedBudget) -> CrossZoneLimit {
    CrossZoneLimit {
        from_zone,
        class: None,
        shared,
    }
}

fn session_start(session_id: u64, class: u8, rate_kb: f64) -> CrossingSessionStart {
    CrossingSessionStart {
        session_id,
        from: 1,
        class,
        rate_kb,
        lowest_rate_kb: RUNG_RATES_KB[0],
        overdraft_cause: OverdraftCause::LocalZoneDown,
    }
}

fn change(zone: u8, class: u8, policy: CrossZonePolicy) -> PolicyChange {
    PolicyChange {
        zone,
        class,
        policy,
    }
}

fn single_front(limits: &[CrossZoneLimit], replica_count: u32) -> CrossZoneAdmission {
    CrossZoneAdmission::new(
        vec![false, true],
        limits,
        FrontPosition {
            index: 0,
            replica_count,
        },
        10.0,
    )
}

/// A session that crosses zones.
struct SimulatedSession {
    ends_at: Time,
    front: usize,
    server: u32,
    session_id: u64,
    class: u8,
    rate_kb: f64,
}

/// Fronts whose viewers request sessions from servers of zone 1.
struct Simulation {
    fronts: Vec<CrossZoneAdmission>,
    sessions: Vec<SimulatedSession>,
    /// Reports on their way: when they were sent, and the rates by server and class.
    reports: VecDeque<(Time, Vec<BTreeMap<u8, f64>>)>,
    report_delay: Duration,
    random: Rand64,
    last_session_id: u64,
    now: Time,
    /// Bytes by which all fronts together are ahead of the rate of the whole budget, by the leaky-bucket algorithm.
    debt_bytes: f64,
    /// Maximum of `debt_bytes` since this field was last reset, as a fraction of the burst. At 1, the fronts together have used
    /// exactly the burst of the budget.
    peak_burst_usage: f64,
}

impl Simulation {
    fn new(fronts: u32, shared: SharedBudget, seed: u64) -> Simulation {
        let position = |index| FrontPosition {
            index,
            replica_count: fronts,
        };
        let front = |index| {
            let mut front = CrossZoneAdmission::new(
                vec![false, true],
                &[limit(1, shared)],
                position(index),
                10.0,
            );
            front.set_servers_up(1, (0..SERVERS).collect::<BTreeSet<u32>>());
            front
        };
        Simulation {
            fronts: (0..fronts).map(front).collect(),
            sessions: vec![],
            reports: VecDeque::new(),
            report_delay: 3 * SECOND / 2,
            random: Rand64::new(seed.into()),
            last_session_id: 0,
            now: Time::ZERO + 1000 * SECOND,
            debt_bytes: 0.0,
            peak_burst_usage: 0.0,
        }
    }

    /// Servers report the rates that they send. Fronts that observe the zone receive the reports after the delay.
    fn send_reports(&mut self) {
        let mut by_server = vec![BTreeMap::new(); SERVERS as usize];
        for session in &self.sessions {
            *by_server[session.server as usize]
                .entry(session.class)
                .or_insert(0.0) += session.rate_kb;
        }
        self.reports.push_back((self.now, by_server));
        while self
            .reports
            .front()
            .is_some_and(|(at, _)| *at + self.report_delay <= self.now)
        {
            let Some((at, by_server)) = self.reports.pop_front() else {
                break;
            };
            for front in &mut self.fronts {
                if front.zones_to_observe(self.now).contains(&1) {
                    for (server, rate_kb_by_class) in by_server.iter().enumerate() {
                        front.usage_reported(1, server as u32, at, rate_kb_by_class.clone());
                    }
                }
            }
        }
    }

    /// Advances the simulation in steps of 100 ms. `requests_per_second` sessions request to cross, of which `paid_fraction`
    /// are paid; `pick_front` chooses the front of each one. Returns the bytes that crossed, of paid and of other sessions.
    fn run(
        &mut self,
        seconds: u64,
        requests_per_second: f64,
        paid_fraction: f64,
        pick_front: impl Fn(f64, usize) -> usize,
    ) -> (f64, f64) {
        let mut bytes = (0.0, 0.0);
        for step in 0..seconds * 10 {
            self.now += SECOND / 10;
            let now = self.now;
            let fronts = &mut self.fronts;
            self.sessions.retain(|session| {
                let is_active = session.ends_at > now;
                if !is_active {
                    fronts[session.front].session_ended(now, session.session_id);
                }
                is_active
            });
            let mut requests_due = requests_per_second / 10.0;
            while requests_due > 0.0 {
                if requests_due >= 1.0 || self.random.rand_float() < requests_due {
                    self.request_session(paid_fraction, &pick_front);
                }
                requests_due -= 1.0;
            }
            if step % 10 == 0 {
                self.send_reports();
            }
            // The fronts tick once a second each, at different times.
            let mut capped = BTreeSet::new();
            for (index, front) in self.fronts.iter_mut().enumerate() {
                if index as u64 % 10 == step % 10 {
                    capped.extend(front.tick(now).cap);
                }
            }
            self.sessions
                .iter_mut()
                .filter(|session| capped.contains(&session.session_id))
                .for_each(|session| session.rate_kb = RUNG_RATES_KB[0]);
            let (mut paid_kb, mut other_kb) = (0.0, 0.0);
            for session in &self.sessions {
                *(if session.class == PAID {
                    &mut paid_kb
                } else {
                    &mut other_kb
                }) += session.rate_kb;
            }
            self.debt_bytes = (self.debt_bytes + (paid_kb + other_kb - RATE_KB) * 100.0).max(0.0);
            self.peak_burst_usage = self
                .peak_burst_usage
                .max(self.debt_bytes / SHARED.burst_bytes);
            bytes = (bytes.0 + paid_kb * 100.0, bytes.1 + other_kb * 100.0);
        }
        bytes
    }

    /// Requests one session; it starts unless the policy of its front forbids it.
    fn request_session(&mut self, paid_fraction: f64, pick_front: &impl Fn(f64, usize) -> usize) {
        let front = pick_front(self.random.rand_float(), self.fronts.len());
        let class = if self.random.rand_float() < paid_fraction {
            PAID
        } else {
            PREVIEW
        };
        let rate_kb = RUNG_RATES_KB[self.random.rand_range(0..3) as usize];
        self.fronts[front].session_requested(self.now, class);
        let policy = self.fronts[front].policy(self.now, 1, class);
        if policy == CrossZonePolicy::Forbidden {
            return;
        }
        assert!(
            policy == CrossZonePolicy::Allowed || class == PAID,
            "only paid sessions may exceed the budget"
        );
        self.last_session_id += 1;
        self.fronts[front].session_started(
            self.now,
            session_start(self.last_session_id, class, rate_kb),
        );
        let length_nanoseconds =
            -12.0 * (1.0 - self.random.rand_float()).ln() * NANOSECONDS_PER_SECOND;
        let server = (self.last_session_id % u64::from(SERVERS)) as u32;
        self.sessions.push(SimulatedSession {
            ends_at: self.now + Duration::from_nanos(length_nanoseconds as u64),
            front,
            server,
            session_id: self.last_session_id,
            class,
            rate_kb,
        });
    }

    /// Resets the peak and runs the simulation with previews only. Returns the fraction of the budget that they use.
    fn budget_usage(
        &mut self,
        seconds: u64,
        requests_per_second: f64,
        pick_front: impl Fn(f64, usize) -> usize,
    ) -> f64 {
        self.peak_burst_usage = 0.0;
        self.run(seconds, requests_per_second, 0.0, pick_front).1
            / (RATE_KB * 1000.0 * seconds as f64)
    }
}

/// Picks the last front.
fn last_front(_: f64, front_count: usize) -> usize {
    front_count - 1
}

/// Picks one of all fronts with equal probability, from a random number between 0 and 1.
fn any_front(random: f64, front_count: usize) -> usize {
    (random * front_count as f64) as usize
}

#[test]
fn all_fronts_together_use_the_budget_within_5_percent_when_more_is_requested() {
    for fronts in [3u32, 40, 240] {
        let mut simulation = Simulation::new(fronts, SHARED, u64::from(fronts));
        simulation.run(120, 60.0, 0.0, any_front); // Until the fronts use up their quotas.
        let used = simulation.budget_usage(600, 60.0, any_front);
        println!(
            "even load, {fronts} fronts: {used:.3} of the budget, peak {:.3} of the burst",
            simulation.peak_burst_usage
        );
        assert!((0.95..=1.05).contains(&used), "{fronts} fronts: {used:.3}");
    }
}

#[test]
fn a_load_that_is_skewed_or_on_one_front_uses_the_budget_too() {
    for fronts in [3u32, 40, 240] {
        let skewed =
            |random: f64, front_count: usize| any_front(random * random * random, front_count);
        for (load, pick_front) in [
            ("one front", (|_, _| 0) as fn(f64, usize) -> usize),
            ("skewed", skewed),
        ] {
            let mut simulation = Simulation::new(fronts, SHARED, 7);
            simulation.run(900, 60.0, 0.0, pick_front); // Small quotas grow slowly if many fronts share the load.
            let used = simulation.budget_usage(600, 60.0, pick_front);
            println!(
                "{load} load, {fronts} fronts: {used:.3} of the budget, peak {:.3} of the burst",
                simulation.peak_burst_usage
            );
            // With 240 fronts and a skewed load, many fronts have a quota of about one session, which is rarely requested, so
            // the usage is lower.
            let min_usage = if fronts == 240 && load == "skewed" {
                0.9
            } else {
                0.95
            };
            assert!(
                (min_usage..=1.05).contains(&used),
                "{load}, {fronts} fronts: {used:.3}"
            );
            assert!(
                simulation.peak_burst_usage <= 1.5,
                "{load}, {fronts} fronts: {:.3} of the burst",
                simulation.peak_burst_usage
            );
        }
    }
}

#[test]
fn quotas_follow_a_load_that_jumps_and_the_overshoot_is_bounded_in_height_and_time() {
    for fronts in [3u32, 40, 240] {
        let mut simulation = Simulation::new(fronts, SHARED, 8);
        simulation.run(400, 60.0, 0.0, |_, _| 0);
        // The whole load jumps to the last front, then to all fronts.
        simulation.budget_usage(60, 60.0, last_front);
        let peak_one_front = simulation.peak_burst_usage;
        simulation.run(380, 60.0, 0.0, last_front);
        let used_one_front = simulation.budget_usage(300, 60.0, last_front);
        simulation.budget_usage(60, 60.0, any_front);
        let peak_all_fronts = simulation.peak_burst_usage;
        simulation.run(45, 60.0, 0.0, any_front);
        let used_all_fronts = simulation.budget_usage(300, 60.0, any_front);
        println!(
            "jump, {fronts} fronts: to one front, peak {peak_one_front:.3} of the burst, \
             then {used_one_front:.3} of the budget; \
             to all fronts, peak {peak_all_fronts:.3}, then {used_all_fronts:.3}"
        );
        assert!(
            peak_one_front <= 1.5 && (0.95..=1.05).contains(&used_one_front),
            "{fronts} fronts, to one: {peak_one_front} {used_one_front}"
        );
        assert!(
            peak_all_fronts <= 1.5 && (0.95..=1.05).contains(&used_all_fronts),
            "{fronts} fronts, to all: {peak_all_fronts} {used_all_fronts}"
        );
    }
}

#[test]
fn a_front_without_reports_stays_within_an_equal_quota() {
    for fronts in [3u32, 40, 240] {
        let mut simulation = Simulation::new(fronts, SHARED, 7);
        simulation.run(400, 60.0, 0.0, |_, _| 0);
        simulation.report_delay = 1_000_000 * SECOND; // From now on, no report arrives.
        simulation.run(60, 60.0, 0.0, |_, _| 0);
        let used = simulation.budget_usage(300, 60.0, |_, _| 0);
        println!("no reports, one of {fronts} fronts loaded: {used:.3} of the budget");
        // With 240 fronts, an equal quota is less than a session, so one session at a time crosses.
        assert!(
            used <= 1.0 / f64::from(fronts) * 1.1 + RUNG_RATES_KB[2] / RATE_KB,
            "{fronts} fronts: {used}"
        );
    }
}

#[test]
fn fronts_that_all_start_at_once_stay_within_the_rate_and_the_burst() {
    for fronts in [3u32, 40, 240] {
        let mut simulation = Simulation::new(fronts, SHARED, 9);
        let (_, sent_bytes) = simulation.run(20, 200.0, 0.0, any_front);
        let allowed_bytes = RATE_KB * 1000.0 * 20.0
            + SHARED.burst_bytes
            + f64::from(fronts) * RUNG_RATES_KB[2] * 12_000.0;
        // The margin is for random session lengths: the bytes of sessions longer than the mean are charged only while they
        // are sent.
        assert!(
            sent_bytes <= allowed_bytes * 1.15,
            "{fronts} fronts: {sent_bytes} of {allowed_bytes}"
        );
    }
}

#[test]
fn paid_sessions_have_priority_and_previews_repay_the_overdraft_in_a_bounded_time() {
    let mut simulation = Simulation::new(20, SHARED, 10);
    simulation.run(120, 40.0, 0.2, any_front);
    // A zone is lost, so that all sessions request to cross. The paid ones alone use more than the budget.
    let (paid_bytes, _) = simulation.run(300, 28.0, 0.9, any_front);
    assert!(
        paid_bytes > RATE_KB * 1000.0 * 300.0 * 1.2,
        "paid sessions must not be held back: {paid_bytes}"
    );
    let status = simulation.fronts[3]
        .budget_statuses(simulation.now)
        .remove(0);
    assert!(
        status.overdraft_bytes[&OverdraftCause::LocalZoneDown] > 0.0
            && status.written_off_bytes > 0.0
    );
    // The zone has recovered. Only previews request to cross now, and they are held back until the overdraft is repaid.
    let used_during_repayment = simulation.budget_usage(30, 40.0, any_front);
    assert!(used_during_repayment < 0.5, "{used_during_repayment}");
    // The overdraft is repaid for at most 60 s and the burst takes 30 s. After that, previews use the whole budget again.
    simulation.run(120, 60.0, 0.0, any_front);
    let used_afterwards = simulation.budget_usage(300, 60.0, any_front);
    assert!(
        (0.95..=1.05).contains(&used_afterwards),
        "previews must use the whole budget again: {used_afterwards}"
    );
}

#[test]
fn the_most_expensive_previews_are_capped_first_paid_sessions_never_and_caps_are_lifted_one_by_one()
{
    let mut admission = single_front(&[limit(1, SHARED)], 1);
    let now = Time::ZERO + 1000 * SECOND;
    for (session_id, rate_kb) in [(1, 100.0), (2, 600.0), (3, 250.0)] {
        admission.session_started(now, session_start(session_id, PREVIEW, rate_kb));
    }
    assert!(admission.tick(now).cap.is_empty(), "nothing is overdrawn");
    let overdrawn: f64 = (10..510)
        .map(|id| admission.session_started(now, session_start(id, PAID, 600.0)))
        .sum();
    assert!(overdrawn > 0.0);
    assert_eq!(admission.tick(now).cap, [2, 3]);
    let status = admission.budget_statuses(now).remove(0);
    assert_eq!(
        (status.paid_kb, status.other_kb, status.capped_sessions),
        (300_000.0, 300.0, 2)
    );
    assert!(
        admission.tick(now + SECOND).cap.is_empty(),
        "no further caps before the first ones take effect"
    );
    assert_eq!(
        (
            admission.policy(now, 1, PREVIEW),
            admission.policy(now, 1, PAID)
        ),
        (CrossZonePolicy::Forbidden, CrossZonePolicy::LastResort)
    );
    assert_eq!(
        admission.policy(now, 2, PREVIEW),
        CrossZonePolicy::Allowed,
        "a zone without a budget"
    );
    // The paid sessions end sooner than expected, so most of their reservations are returned. The cheaper preview is uncapped
    // first.
    (10..510).for_each(|id| admission.session_ended(now + SECOND, id));
    let uncapped: Vec<Vec<u64>> = (2..90)
        .map(|seconds| admission.tick(now + seconds * SECOND).uncap)
        .collect();
    assert_eq!(uncapped.concat(), [3, 2]);
    assert_eq!(
        admission.policy(now + 90 * SECOND, 1, PREVIEW),
        CrossZonePolicy::Allowed
    );
}

#[test]
fn only_changed_policies_are_returned_and_a_removed_budget_allows_its_zone() {
    let mut admission = single_front(&[limit(1, SHARED)], 1);
    let now = Time::ZERO + 1000 * SECOND;
    assert_eq!(admission.policy_changes(now), []);
    (0..400).for_each(|id| {
        admission.session_started(now, session_start(id, PAID, 600.0));
    });
    assert_eq!(
        admission.policy_changes(now),
        [
            change(1, PREVIEW, CrossZonePolicy::Forbidden),
            change(1, PAID, CrossZonePolicy::LastResort)
        ]
    );
    assert_eq!(admission.policy_changes(now), []);
    let position = FrontPosition {
        index: 0,
        replica_count: 1,
    };
    admission.reconfigure(
        &[
            limit(
                1,
                SharedBudget {
                    rate_kb: 2.0 * RATE_KB,
                    burst_bytes: 2.4e9,
                    ..SHARED
                },
            ),
            limit(2, SHARED),
        ],
        position,
    );
    assert!(
        admission.budget_statuses(now)[0].level > 0.9
            && admission.budget_statuses(now)[1].level == 0.0,
        "the debt must be kept"
    );
    admission.reconfigure(
        &[limit(2, SHARED)],
        FrontPosition {
            index: 0,
            replica_count: 2,
        },
    );
    assert_eq!(
        admission.policy_changes(now),
        [
            change(1, PREVIEW, CrossZonePolicy::Allowed),
            change(1, PAID, CrossZonePolicy::Allowed)
        ]
    );
}

#[test]
fn previews_repay_the_overdraft_of_a_paid_class_that_has_its_own_budget() {
    let paid_class_budget = SharedBudget {
        rate_kb: 100.0,
        burst_bytes: 4e6,
        ..SHARED
    };
    let limits = [
        CrossZoneLimit {
            from_zone: 1,
            class: Some(PAID),
            shared: paid_class_budget,
        },
        limit(1, SHARED),
    ];
    let mut admission = single_front(&limits, 1);
    let now = Time::ZERO + 1000 * SECOND;
    assert_eq!(
        admission.session_started(now, session_start(1, PAID, 600.0)),
        0.0
    );
    assert_eq!(
        (
            admission.policy(now, 1, PAID),
            admission.policy(now, 1, PREVIEW)
        ),
        (CrossZonePolicy::LastResort, CrossZonePolicy::Allowed)
    );
    let level_before = admission.budget_statuses(now)[0].level;
    assert!(admission.session_started(now, session_start(2, PAID, 600.0)) > 0.0);
    let statuses = admission.budget_statuses(now);
    let general = statuses
        .iter()
        .find(|status| status.limit.class.is_none())
        .unwrap();
    assert!(
        general.level > level_before && general.level > 0.0,
        "{statuses:?}"
    );
}

#[test]
fn a_budget_of_zero_lets_only_paid_sessions_cross() {
    let mut admission = single_front(
        &[limit(
            1,
            SharedBudget {
                rate_kb: 0.0,
                ..SHARED
            },
        )],
        3,
    );
    let now = Time::ZERO + 1000 * SECOND;
    assert_eq!(
        (
            admission.policy(now, 1, PREVIEW),
            admission.policy(now, 1, PAID)
        ),
        (CrossZonePolicy::Forbidden, CrossZonePolicy::LastResort)
    );
    assert_eq!(
        admission.session_started(now, session_start(1, PAID, 100.0)),
        1_000_000.0
    );
    admission.session_ended(now + SECOND, 1);
    admission.tick(now + 2 * SECOND);
    assert_eq!(
        admission.policy(now + 900 * SECOND, 1, PREVIEW),
        CrossZonePolicy::Forbidden
    );
}

#[test]
fn a_volume_applies_to_each_period_and_clock_steps_do_not_reset_it() {
    let shared = SharedBudget {
        rate_kb: 1e6,
        burst_bytes: 1e12,
        volume_bytes: 3e6,
        period: Some(60 * SECOND),
        max_repayment_time: 60 * SECOND,
    };
    let mut budget = FrontBudget::new(
        shared,
        FrontPosition {
            index: 1,
            replica_count: 3,
        },
    );
    let now = Time::ZERO + 6000 * SECOND;
    assert!(
        budget.conforms(now, 1e6) && !budget.conforms(now, 1.1e6),
        "this front may send a third of the volume"
    );
    assert_eq!(budget.reserve(now, 1e6), 0.0);
    assert!(!budget.conforms(now, 1.0) && !budget.conforms(now - 100 * SECOND, 1.0));
    assert!(budget.conforms(now + 60 * SECOND, 1e6));
    assert!(
        budget.conforms(now, 1e6),
        "a step back must not return to the earlier period"
    );
}
