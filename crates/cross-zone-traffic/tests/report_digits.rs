//! Pins the reports of a simulated front to the last digit: the order in which floating-point values are added shows here.
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::{CrossZoneLimit, PolicyChange};
use crankpaddle_cross_zone_traffic::report::{merge, TrafficNames, TrafficReport};
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptEnd, AttemptUsage, TrafficClass, TrafficConfig, TrafficController,
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
    let of = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    TrafficNames {
        zones: of(&["north", "south", "west"]),
        classes: of(&["paid", "preview", "trailer"]),
        tenants: of(&["main", "partner"]),
        groups: of(&["", "sport"]),
    }
}

fn limit(from: u8, class: Option<u8>, rate_kb: f64, volume_bytes: f64) -> CrossZoneLimit {
    let shared = SharedBudget {
        rate_kb,
        burst_bytes: rate_kb * 7000.0,
        volume_bytes,
        period: Some(50 * SECOND),
        max_repayment_time: 20 * SECOND,
    };
    CrossZoneLimit {
        from,
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

/// A front whose sessions start, are counted, change their rung and end at random, and whose servers fail and come back.
struct Simulation {
    random: Rand64,
    controller: TrafficController,
    front: u32,
    sent: BTreeMap<u64, u64>, // By attempt.
    next_id: u64,
    capped: usize,
    uncapped: usize,
    log: String,
}

impl Simulation {
    fn new(front: u32) -> Simulation {
        Simulation {
            random: Rand64::new(u128::from(front) + 11),
            controller: controller(front),
            front,
            sent: BTreeMap::new(),
            next_id: 0,
            capped: 0,
            uncapped: 0,
            log: String::new(),
        }
    }

    fn below(&mut self, end: u64) -> u64 {
        self.random.rand_range(0..end)
    }

    fn start_attempt(&mut self, now: Time) {
        self.next_id += 1;
        let id = self.next_id;
        let class = self.below(u64::from(CLASSES)) as u8;
        self.controller.session_requested(class, now);
        let attempt = AttemptUsage {
            id,
            number: self.below(2) as u8,
            server: self.below(u64::from(SERVERS)) as u32,
            class,
            tenant: self.below(2) as u16,
            group: self.below(2) as u16,
            rung: self.below(3) as u8,
        };
        self.controller.attempt_started(attempt);
        if self.below(10) > 0 {
            self.controller.session_established(id, now);
        }
        self.sent.insert(id, 0);
    }

    fn advance_attempt(&mut self, id: u64, now: Time) {
        match self.below(40) {
            0 => {
                let end = if self.below(3) == 0 {
                    AttemptEnd::ServerLost
                } else {
                    AttemptEnd::Completed
                };
                self.controller.attempt_ended(id, end, now);
                let bytes = self.sent.remove(&id).unwrap_or(0);
                if self.below(3) > 0 {
                    self.controller
                        .final_bytes_counted(id, bytes + 777, now + SECOND);
                }
            }
            1 => {
                let rung = self.below(3) as u8;
                self.controller.rung_changed(id, rung, now);
            }
            2..14 => {
                let more = self.below(90_000);
                let bytes = self.sent.entry(id).or_default();
                *bytes += more;
                self.controller.bytes_counted(id, *bytes, now);
            }
            _ => {}
        }
    }

    fn report_of_servers(&mut self, now: Time) {
        let server = self.below(u64::from(SERVERS)) as u32;
        match self.below(30) {
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
            if self.below(3) == 0 {
                let share = self.random.rand_float();
                self.controller.delivery_reported(server, share, now);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        let caps = self.controller.tick(now);
        self.capped += caps.cap.len();
        self.uncapped += caps.uncap.len();
        self.log += &format!("{:?} {:?} ", caps.cap, caps.uncap);
        for change in self.controller.policy_changes(now) {
            let PolicyChange {
                zone,
                class,
                policy,
            } = change;
            self.log += &format!("{zone} {class} {policy:?} ");
        }
        self.log += &format!("{:?}\n", self.controller.zones_observed(now));
        while !self.controller.settle_usage(now, 7) {}
        let budgets = self.report(now).budgets;
        self.log += &serde_json::to_string(&budgets).unwrap();
    }

    fn report(&mut self, now: Time) -> TrafficReport {
        TrafficReport::of(&mut self.controller, self.front, 0, &names(), now)
    }
}

/// The report at the end of a simulation, and what was decided and reported in each second of it.
fn simulated_report(front: u32) -> (TrafficReport, String) {
    let mut simulation = Simulation::new(front);
    for step in 0..SIMULATED_SECONDS * 4 {
        let now = START + step * SECOND / 4 + Duration::from_nanos(simulation.below(1000));
        for _ in 0..simulation.below(3) {
            simulation.start_attempt(now);
        }
        let ids: Vec<u64> = simulation.sent.keys().copied().collect();
        for id in ids {
            simulation.advance_attempt(id, now);
        }
        if step % 4 == 3 {
            simulation.report_of_servers(now);
            simulation.tick(now);
        }
    }
    assert!(simulation.capped > 0 && simulation.uncapped > 0);
    let report = simulation.report(START + SIMULATED_SECONDS * SECOND);
    (report, simulation.log)
}

#[test]
fn reports_of_a_simulated_front_are_the_same_to_the_last_digit() {
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
fn a_saved_report_is_taken_over_the_same_to_the_last_digit() {
    let (report, _) = simulated_report(0);
    let renamed = TrafficNames {
        classes: vec!["paid".into(), "teaser".into()],
        ..names()
    };
    let digests = [names(), renamed].map(|names| {
        let mut controller = controller(0);
        assert!(controller.restore(&report.saved_flows(&names)));
        let now = START + (SIMULATED_SECONDS + 60) * SECOND;
        let restored = TrafficReport::of(&mut controller, 0, 0, &names, now);
        digest(&serde_json::to_string(&restored).unwrap())
    });
    assert_eq!(
        digests,
        [12_420_699_621_862_273_951, 13_836_589_057_678_710_679]
    );
}
