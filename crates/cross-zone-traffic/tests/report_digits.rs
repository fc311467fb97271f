//! Checks that the decisions and reports of simulated fronts stay the same to the last digit, by digests. They change if
//! floating-point values are added in another order.
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::{CrossZoneLimit, PolicyChange};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptEnd, StartedAttempt, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_time::Time;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const START: Time = Time(1_000_000 * 1_000_000_000);
const SERVERS: u32 = 9;
const CLASSES: u8 = 3;
const SIMULATED_SECONDS: u32 = 400;

/// FNV-1a, 64 bits.
fn digest(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn names() -> TrafficNames {
    let to_strings = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    TrafficNames {
        zones: to_strings(&["north", "south", "west"]),
        classes: to_strings(&["paid", "preview", "trailer"]),
        tenants: to_strings(&["main", "partner"]),
        groups: to_strings(&["", "sport"]),
    }
}

fn limit(from_zone: u8, class: Option<u8>, rate_kb: f64, volume_bytes: f64) -> CrossZoneLimit {
    let shared = SharedBudget {
        rate_kb,
        burst_bytes: rate_kb * 7000.0,
        volume_bytes,
        period: Some(50 * SECOND),
        max_repayment_time: 20 * SECOND,
    };
    CrossZoneLimit {
        from_zone,
        class,
        shared,
    }
}

fn controller(index: u32) -> TrafficController {
    let class = |is_paid, rates: [f64; 3]| TrafficClass {
        is_paid,
        rung_rates_kb: rates.to_vec(),
    };
    let mut controller = TrafficController::new(TrafficConfig {
        position: FrontPosition {
            index,
            replica_count: 3,
        },
        zone: 0,
        classes: vec![
            class(true, [51.3, 133.7, 301.9]),
            class(false, [41.1, 87.3, 211.7]),
            class(false, [33.3, 66.7, 99.9]),
        ],
        limits: vec![
            limit(1, None, 1900.7, f64::INFINITY),
            limit(1, Some(0), 700.3, f64::INFINITY),
            limit(2, None, 2500.1, 9e7),
        ],
        report_delay: SECOND / 2,
    });
    for server in 0..SERVERS {
        controller.endpoint_listed(server, (server % 3) as u8, true);
    }
    controller
}

/// A front whose sessions start, change their rung and end at random, with random counts and reports of servers that are lost
/// and come back.
struct Simulation {
    random: Rand64,
    controller: TrafficController,
    front: u32,
    /// Bytes sent so far, by the id of the attempt.
    sent_bytes: BTreeMap<u64, u64>,
    last_id: u64,
    cap_count: usize,
    uncap_count: usize,
    /// The decisions and budgets of each second.
    decision_log: String,
}

impl Simulation {
    fn new(front: u32) -> Simulation {
        Simulation {
            random: Rand64::new(u128::from(front) + 11),
            controller: controller(front),
            front,
            sent_bytes: BTreeMap::new(),
            last_id: 0,
            cap_count: 0,
            uncap_count: 0,
            decision_log: String::new(),
        }
    }

    /// A random number from 0 to `end` - 1.
    fn random_below(&mut self, end: u64) -> u64 {
        self.random.rand_range(0..end)
    }

    /// Starts an attempt, which becomes a session in 9 of 10 cases.
    fn start_attempt(&mut self, now: Time) {
        self.last_id += 1;
        let id = self.last_id;
        let class = self.random_below(u64::from(CLASSES)) as u8;
        self.controller.session_requested(class, now);
        let attempt = StartedAttempt {
            id,
            number: self.random_below(2) as u8,
            server: self.random_below(u64::from(SERVERS)) as u32,
            class,
            tenant: self.random_below(2) as u16,
            group: self.random_below(2) as u16,
            rung: self.random_below(3) as u8,
        };
        self.controller.attempt_started(attempt);
        if self.random_below(10) > 0 {
            self.controller.session_established(id, now);
        }
        self.sent_bytes.insert(id, 0);
    }

    /// Ends an attempt, changes its rung, counts its bytes, or does nothing, at random.
    fn advance_attempt(&mut self, id: u64, now: Time) {
        match self.random_below(40) {
            0 => {
                let end = if self.random_below(3) == 0 {
                    AttemptEnd::ServerLost
                } else {
                    AttemptEnd::Completed
                };
                self.controller.attempt_ended(id, end, now);
                let bytes = self.sent_bytes.remove(&id).unwrap_or(0);
                if self.random_below(3) > 0 {
                    self.controller
                        .final_bytes_counted(id, bytes + 777, now + SECOND);
                }
            }
            1 => {
                let rung = self.random_below(3) as u8;
                self.controller.rung_changed(id, rung, now);
            }
            2..14 => {
                let added_bytes = self.random_below(90_000);
                let bytes = self.sent_bytes.entry(id).or_default();
                *bytes += added_bytes;
                self.controller.bytes_counted(id, *bytes, now);
            }
            _ => {}
        }
    }

    /// At random, one server is lost or listed as down. Then all servers report.
    fn report_from_servers(&mut self, now: Time) {
        let server = self.random_below(u64::from(SERVERS)) as u32;
        match self.random_below(30) {
            0 => self.controller.server_lost(server),
            1 => self
                .controller
                .endpoint_listed(server, (server % 3) as u8, false),
            _ => {}
        }
        for server in 0..SERVERS {
            let rate_kb = self.random.rand_float() * 500.0;
            let rates = BTreeMap::from([(0, rate_kb), (1, rate_kb * 0.7), (2, rate_kb / 3.0)]);
            self.controller.usage_reported(server, rates, now);
            if self.random_below(3) == 0 {
                let share = self.random.rand_float();
                self.controller.delivery_reported(server, share, now);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let caps = self.controller.tick(now);
        self.cap_count += caps.cap.len();
        self.uncap_count += caps.uncap.len();
        self.decision_log += &format!("{:?} {:?} ", caps.cap, caps.uncap);
        for change in self.controller.policy_changes(now) {
            let PolicyChange {
                zone,
                class,
                policy,
            } = change;
            self.decision_log += &format!("{zone} {class} {policy:?} ");
        }
        self.decision_log += &format!("{:?}\n", self.controller.zones_to_observe(now));
        while !self.controller.settle_usage(now, 7) {}
        let budgets = self.report(now).budgets;
        self.decision_log += &serde_json::to_string(&budgets).unwrap();
    }

    fn report(&mut self, now: Time) -> TrafficReport {
        TrafficReport::from_controller(&mut self.controller, self.front, 0, &names(), now)
    }
}

/// Runs a simulation. Returns the report at its end, and the decisions and budgets of each second.
fn simulated_report(front: u32) -> (TrafficReport, String) {
    let mut simulation = Simulation::new(front);
    for step in 0..SIMULATED_SECONDS * 4 {
        let now = START + step * SECOND / 4 + Duration::from_nanos(simulation.random_below(1000));
        for _ in 0..simulation.random_below(3) {
            simulation.start_attempt(now);
        }
        let ids: Vec<u64> = simulation.sent_bytes.keys().copied().collect();
        for id in ids {
            simulation.advance_attempt(id, now);
        }
        if step % 4 == 3 {
            simulation.report_from_servers(now);
            simulation.tick(now);
        }
    }
    assert!(simulation.cap_count > 0 && simulation.uncap_count > 0);
    let report = simulation.report(START + SIMULATED_SECONDS * SECOND);
    (report, simulation.decision_log)
}

#[test]
fn reports_of_simulated_fronts_stay_the_same_to_the_last_digit() {
    let (reports, logs): (Vec<TrafficReport>, Vec<String>) = (0..3).map(simulated_report).unzip();
    let log_digests: Vec<u64> = logs.iter().map(|log| digest(log)).collect();
    let report_digests: Vec<u64> = reports
        .iter()
        .map(|report| digest(&serde_json::to_string(report).unwrap()))
        .collect();
    let merged = serde_json::to_string(&merge(reports)).unwrap();
    assert_eq!(
        (log_digests, report_digests, digest(&merged)),
        (
            vec![
                1_621_074_640_404_408_739,
                7_166_035_392_542_049_294,
                14_497_016_970_679_998_416,
            ],
            vec![
                16_157_981_076_643_866_192,
                15_771_065_494_223_948_107,
                1_325_735_570_238_748_426,
            ],
            17_428_430_988_768_577_784
        )
    );
}

#[test]
fn reports_from_restored_totals_stay_the_same_to_the_last_digit() {
    let (report, _) = simulated_report(0);
    let renamed = TrafficNames {
        classes: vec!["paid".into(), "teaser".into()],
        ..names()
    };
    let digests = [names(), renamed].map(|names| {
        let mut controller = controller(0);
        assert!(controller.restore(&report.saved_flows(&names)));
        let now = START + (SIMULATED_SECONDS + 60) * SECOND;
        let restored = TrafficReport::from_controller(&mut controller, 0, 0, &names, now);
        digest(&serde_json::to_string(&restored).unwrap())
    });
    assert_eq!(
        digests,
        [12_420_699_621_862_273_951, 13_836_589_057_678_710_679]
    );
}
