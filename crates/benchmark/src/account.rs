//! The cost of the accounting of traffic: sessions that play on a simulated clock in one process, in alternating rounds with
//! the accounting and without it.
use crate::process::{cpu_seconds, resident};
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptEnd, AttemptUsage, TrafficClass, TrafficConfig, TrafficController,
};
use crankpaddle_time::Time;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::io;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);
const START: Time = Time(1_000_000 * 1_000_000_000);
const SERVERS: u32 = 100;
/// Sessions settled in one step: as many as a front settles.
const STEP: usize = 512;
/// Bytes sent to a session in a second.
const BYTES_PER_SECOND: u64 = 200_000;
/// Mean length of a session, seconds: in each second one in so many ends, and as many begin.
const MEAN_SESSION_SECONDS: u64 = 60;

/// How much is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of active sessions.
    pub sessions: u64,
    /// Seconds of the simulated clock in each round.
    pub seconds: u64,
    /// Rounds with the accounting, and as many without it, alternating.
    pub rounds: usize,
}

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
            from: 1,
            class: None,
            shared,
        }],
        report_delay: SECOND / 2,
    });
    for server in 0..SERVERS {
        controller.endpoint_listed(server, (server % 2) as u8, true);
    }
    controller
}

fn attempt(id: u64) -> AttemptUsage {
    let class = u8::from(!id.is_multiple_of(3));
    AttemptUsage {
        id,
        number: 0,
        server: (id % u64::from(SERVERS)) as u32,
        class,
        tenant: 0,
        group: 0,
        rung: 0,
    }
}

/// The result of a round, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    /// Processor time.
    cpu: f64,
    /// Longest step of settling.
    longest_step: f64,
    /// Longest update of the budgets.
    longest_tick: f64,
}

/// Sessions on a simulated clock, with the accounting or without it.
struct Load<'a> {
    plan: &'a Plan,
    controller: Option<&'a mut TrafficController>,
    /// Bytes sent, by attempt.
    sent: BTreeMap<u64, u64>,
    round: Round,
}

impl<'a> Load<'a> {
    fn new(plan: &'a Plan, mut controller: Option<&'a mut TrafficController>) -> Load<'a> {
        if let Some(controller) = controller.as_deref_mut() {
            for id in 0..plan.sessions {
                controller.attempt_started(attempt(id));
                controller.session_established(id, START);
            }
        }
        Load {
            plan,
            controller,
            sent: (0..plan.sessions).map(|id| (id, 0)).collect(),
            round: Round::default(),
        }
    }

    /// Runs for the plan's seconds.
    fn play(mut self) -> io::Result<Round> {
        let pid = std::process::id();
        let before = cpu_seconds(pid)?;
        for second in 1..=self.plan.seconds {
            let now = START + Duration::from_secs(second);
            self.send(now);
            self.replace_oldest(now);
            self.settle(now);
            black_box(&self.sent);
        }
        self.round.cpu = cpu_seconds(pid)? - before;
        Ok(self.round)
    }

    /// Adds the bytes of a second to each session.
    fn send(&mut self, now: Time) {
        for (id, bytes) in &mut self.sent {
            *bytes += BYTES_PER_SECOND;
            if let Some(controller) = self.controller.as_deref_mut() {
                controller.bytes_counted(*id, *bytes, now);
            }
        }
    }

    /// Ends the oldest sessions and begins as many.
    fn replace_oldest(&mut self, now: Time) {
        let count = (self.plan.sessions / MEAN_SESSION_SECONDS) as usize;
        let oldest: Vec<u64> = self.sent.keys().take(count).copied().collect();
        for id in oldest {
            let bytes = self.sent.remove(&id).unwrap_or(0);
            let next = id + self.plan.sessions;
            self.sent.insert(next, 0);
            if let Some(controller) = self.controller.as_deref_mut() {
                controller.attempt_ended(id, AttemptEnd::Completed, now);
                controller.final_bytes_counted(id, bytes, now);
                controller.attempt_started(attempt(next));
                controller.session_established(next, now);
            }
        }
    }

    /// The work of each second: budgets, then settling in steps.
    fn settle(&mut self, now: Time) {
        let Some(controller) = self.controller.as_deref_mut() else {
            return;
        };
        let started = Instant::now();
        black_box(controller.tick(now));
        let round = &mut self.round;
        round.longest_tick = round.longest_tick.max(started.elapsed().as_secs_f64());
        let mut is_complete = false;
        while !is_complete {
            let started = Instant::now();
            is_complete = controller.settle_usage(now, STEP);
            round.longest_step = round.longest_step.max(started.elapsed().as_secs_f64());
        }
    }
}

/// The results of two rounds, without the accounting and with it.
struct Pair {
    cpu_without: f64,
    with: Round,
}

/// A row of the table: its name and the figure of a pair.
type Row<'a> = (&'a str, &'a dyn Fn(&Pair) -> f64);

/// Median, least and most.
struct Spread {
    median: f64,
    least: f64,
    most: f64,
}

impl Spread {
    fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        Spread {
            median: values[values.len() / 2],
            least: values.first().copied().unwrap_or(0.0),
            most: values.last().copied().unwrap_or(0.0),
        }
    }
}

/// Measures; returns the table and its heading as text.
///
/// # Errors
/// The figures of this process can't be read.
///
/// # Panics
/// The plan has no rounds.
pub fn run(plan: &Plan) -> io::Result<String> {
    let pid = std::process::id();
    let mut pairs = Vec::new();
    let mut memory = 0.0;
    for number in 0..plan.rounds {
        let without = Load::new(plan, None).play()?;
        let resident_before = resident(pid)?;
        let mut controller = controller();
        let with = Load::new(plan, Some(&mut controller)).play()?;
        if number == 0 {
            // Why the first round: later ones reuse pages that the allocator kept.
            let added = resident(pid)?.saturating_sub(resident_before);
            memory = added as f64 / plan.sessions as f64;
        }
        pairs.push(Pair {
            cpu_without: without.cpu,
            with,
        });
    }
    Ok(text(plan, &pairs, memory))
}

fn text(plan: &Plan, pairs: &[Pair], memory: f64) -> String {
    let session_seconds = (plan.sessions * plan.seconds) as f64;
    let nanoseconds_each = |cpu: f64| cpu * 1e9 / session_seconds;
    let rows: [Row<'_>; 5] = [
        ("CPU a session second without, ns", &|pair| {
            nanoseconds_each(pair.cpu_without)
        }),
        ("CPU a session second with, ns", &|pair| {
            nanoseconds_each(pair.with.cpu)
        }),
        ("added, ns", &|pair| {
            nanoseconds_each(pair.with.cpu - pair.cpu_without)
        }),
        ("longest step of settling, us", &|pair| {
            pair.with.longest_step * 1e6
        }),
        ("longest look at the budgets, us", &|pair| {
            pair.with.longest_tick * 1e6
        }),
    ];
    let mut text = format!(
        "{} sessions, {} s of a given clock, {} rounds in turns\n| | median | least to most |\n| --- | --- | --- |\n",
        plan.sessions, plan.seconds, plan.rounds
    );
    for (name, figure) in rows {
        let spread = Spread::of(pairs.iter().map(figure).collect());
        text += &format!(
            "| {name} | {:.1} | {:.1} to {:.1} |\n",
            spread.median, spread.least, spread.most
        );
    }
    text += &format!("memory a session: {memory:.0} bytes\n");
    text
}
