//! Measures the cost of usage accounting for traffic: simulated sessions play on a simulated clock in this process, in
//! alternating rounds without the accounting and with it.
use crate::process::{cpu_seconds, resident_bytes};
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptEnd, StartedAttempt, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_time::Time;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::io;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
/// Time of the simulated clock at the start of each round.
const CLOCK_START: Time = Time(1_000_000 * 1_000_000_000);
const SERVER_COUNT: u32 = 100;
/// Number of sessions that are settled in one step; the same as in a front.
const SESSIONS_PER_STEP: usize = 512;
/// Bytes that each session receives in a second.
const BYTES_PER_SECOND: u64 = 200_000;
/// Mean length of a session in seconds. In each second, the number of sessions divided by this length ends, and as many begin.
const MEAN_SESSION_SECONDS: u64 = 60;

/// The extent of the measurement.
#[derive(Clone, Copy, Debug)]
pub struct AccountingPlan {
    /// Number of sessions that are active at the same time.
    pub sessions: u64,
    /// Length of each round in seconds of the simulated clock.
    pub seconds: u64,
    /// Number of rounds with the accounting, and of rounds without it; the two kinds alternate. At least 1.
    pub rounds: usize,
}

/// A traffic controller for servers in two zones, with a paid and an unpaid class and a very large budget between the zones.
fn controller() -> TrafficController {
    let shared = SharedBudget {
        rate_kb: 1e9,
        burst_bytes: 1e12,
        volume_bytes: f64::INFINITY,
        period: None,
        max_repayment_time: 60 * SECOND,
    };
    let mut controller = TrafficController::new(TrafficConfig {
        position: FrontPosition {
            index: 0,
            replica_count: 1,
        },
        zone: 0,
        classes: vec![
            TrafficClass {
                is_paid: true,
                rung_rates_kb: vec![300.0],
            },
            TrafficClass {
                is_paid: false,
                rung_rates_kb: vec![200.0],
            },
        ],
        limits: vec![CrossZoneLimit {
            from_zone: 1,
            class: None,
            shared,
        }],
        report_delay: SECOND / 2,
    });
    for server in 0..SERVER_COUNT {
        controller.endpoint_listed(server, (server % 2) as u8, true);
    }
    controller
}

/// The attempt with this id: two of three are of the class that is not paid, and servers are used in turn.
fn attempt(id: u64) -> StartedAttempt {
    let class = u8::from(!id.is_multiple_of(3));
    StartedAttempt {
        id,
        number: 0,
        server: (id % u64::from(SERVER_COUNT)) as u32,
        class,
        tenant: 0,
        group: 0,
        rung: 0,
    }
}

/// The cost of one round.
#[derive(Clone, Copy, Debug, Default)]
struct RoundCost {
    /// Processor time of this process during the round.
    cpu_seconds: f64,
    /// Duration of the longest single step of settling usage.
    longest_step_seconds: f64,
    /// Duration of the longest single update of the budgets.
    longest_tick_seconds: f64,
}

/// The simulated sessions of one round, with the accounting or without it.
struct SessionLoad<'a> {
    plan: &'a AccountingPlan,
    /// The accounting; `None` in a round without it.
    controller: Option<&'a mut TrafficController>,
    /// Bytes sent so far, by attempt id.
    sent_bytes: BTreeMap<u64, u64>,
    cost: RoundCost,
}

impl<'a> SessionLoad<'a> {
    fn new(
        plan: &'a AccountingPlan,
        mut controller: Option<&'a mut TrafficController>,
    ) -> SessionLoad<'a> {
        if let Some(controller) = controller.as_deref_mut() {
            for id in 0..plan.sessions {
                controller.attempt_started(attempt(id));
                controller.session_established(id, CLOCK_START);
            }
        }
        SessionLoad {
            plan,
            controller,
            sent_bytes: (0..plan.sessions).map(|id| (id, 0)).collect(),
            cost: RoundCost::default(),
        }
    }

    /// Runs the round and returns its cost.
    fn play(mut self) -> io::Result<RoundCost> {
        let pid = std::process::id();
        let cpu_before = cpu_seconds(pid)?;
        for second in 1..=self.plan.seconds {
            let now = CLOCK_START + Duration::from_secs(second);
            self.send(now);
            self.replace_oldest(now);
            self.settle(now);
            black_box(&self.sent_bytes);
        }
        self.cost.cpu_seconds = cpu_seconds(pid)? - cpu_before;
        Ok(self.cost)
    }

    /// Adds the bytes of one second to each session.
    fn send(&mut self, now: Time) {
        for (id, bytes) in &mut self.sent_bytes {
            *bytes += BYTES_PER_SECOND;
            if let Some(controller) = self.controller.as_deref_mut() {
                controller.bytes_counted(*id, *bytes, now);
            }
        }
    }

    /// Ends the oldest sessions and starts as many new ones.
    fn replace_oldest(&mut self, now: Time) {
        let count = (self.plan.sessions / MEAN_SESSION_SECONDS) as usize;
        let oldest: Vec<u64> = self.sent_bytes.keys().take(count).copied().collect();
        for id in oldest {
            let bytes = self.sent_bytes.remove(&id).unwrap_or(0);
            let next_id = id + self.plan.sessions;
            self.sent_bytes.insert(next_id, 0);
            if let Some(controller) = self.controller.as_deref_mut() {
                controller.attempt_ended(id, AttemptEnd::Completed, now);
                controller.final_bytes_counted(id, bytes, now);
                controller.attempt_started(attempt(next_id));
                controller.session_established(next_id, now);
            }
        }
    }

    /// Does the periodic work of the accounting: updates the budgets, then settles the usage of all sessions in steps.
    fn settle(&mut self, now: Time) {
        let Some(controller) = self.controller.as_deref_mut() else {
            return;
        };
        let started = Instant::now();
        black_box(controller.tick(now));
        let cost = &mut self.cost;
        cost.longest_tick_seconds = cost
            .longest_tick_seconds
            .max(started.elapsed().as_secs_f64());
        let mut is_complete = false;
        while !is_complete {
            let started = Instant::now();
            is_complete = controller.settle_usage(now, SESSIONS_PER_STEP);
            cost.longest_step_seconds = cost
                .longest_step_seconds
                .max(started.elapsed().as_secs_f64());
        }
    }
}

/// The costs of a round without the accounting and of the following round with it.
struct RoundPair {
    cpu_seconds_without: f64,
    cost_with: RoundCost,
}

/// A row of the table: its name, and the value that it shows for a pair of rounds.
type Row<'a> = (&'a str, &'a dyn Fn(&RoundPair) -> f64);

/// Median, minimum and maximum of a list of values.
struct Spread {
    median: f64,
    min: f64,
    max: f64,
}

impl Spread {
    fn from_values(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        Spread {
            median: values[values.len() / 2],
            min: values.first().copied().unwrap_or(0.0),
            max: values.last().copied().unwrap_or(0.0),
        }
    }
}

/// Runs the measurement and returns the table of its results, with a heading, as text.
///
/// # Errors
/// The processor time or the memory of this process can't be read.
///
/// # Panics
/// The plan has no rounds.
pub fn run(plan: &AccountingPlan) -> io::Result<String> {
    let pid = std::process::id();
    let mut pairs = Vec::new();
    let mut bytes_per_session = 0.0;
    for number in 0..plan.rounds {
        let cost_without = SessionLoad::new(plan, None).play()?;
        let resident_before = resident_bytes(pid)?;
        let mut controller = controller();
        let cost_with = SessionLoad::new(plan, Some(&mut controller)).play()?;
        if number == 0 {
            // Memory is measured in the first round, because later rounds reuse pages that the allocator kept.
            let added = resident_bytes(pid)?.saturating_sub(resident_before);
            bytes_per_session = added as f64 / plan.sessions as f64;
        }
        pairs.push(RoundPair {
            cpu_seconds_without: cost_without.cpu_seconds,
            cost_with,
        });
    }
    Ok(format_table(plan, &pairs, bytes_per_session))
}

fn format_table(plan: &AccountingPlan, pairs: &[RoundPair], bytes_per_session: f64) -> String {
    let session_seconds = (plan.sessions * plan.seconds) as f64;
    let ns_per_session_second = |cpu: f64| cpu * 1e9 / session_seconds;
    let rows: [Row<'_>; 5] = [
        ("CPU a session second without, ns", &|pair| {
            ns_per_session_second(pair.cpu_seconds_without)
        }),
        ("CPU a session second with, ns", &|pair| {
            ns_per_session_second(pair.cost_with.cpu_seconds)
        }),
        ("added, ns", &|pair| {
            ns_per_session_second(pair.cost_with.cpu_seconds - pair.cpu_seconds_without)
        }),
        ("longest step of settling, us", &|pair| {
            pair.cost_with.longest_step_seconds * 1e6
        }),
        ("longest look at the budgets, us", &|pair| {
            pair.cost_with.longest_tick_seconds * 1e6
        }),
    ];
    let mut text = format!(
        "{} sessions, {} s of a given clock, {} rounds in turns\n| | median | least to most |\n| --- | --- | --- |\n",
        plan.sessions, plan.seconds, plan.rounds
    );
    for (name, value) in rows {
        let spread = Spread::from_values(pairs.iter().map(value).collect());
        text += &format!(
            "| {name} | {:.1} | {:.1} to {:.1} |\n",
            spread.median, spread.min, spread.max
        );
    }
    text += &format!("memory a session: {bytes_per_session:.0} bytes\n");
    text
}
