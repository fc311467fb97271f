//! What the account of traffic costs: sessions that play on a given clock, with and without it, in one process in turns.
use crate::process::{cpu_seconds, resident};
use crankpaddle_cross_zone_traffic::budget::{FrontPosition, SharedBudget};
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_cross_zone_traffic::traffic_controller::{
    AttemptUsage, TrafficClass, TrafficConfig, TrafficController,
};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::io;
use std::time::Instant;

const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_000_000 * SECOND;
const SERVERS: u32 = 100;
/// Sessions settled in a step, as the front does.
const STEP: usize = 512;
/// Mean length of a session, seconds; so part of them ends and as many begin in each.
const LENGTH: u64 = 60;

/// How much is measured.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Sessions that play.
    pub sessions: u64,
    /// Seconds of the given clock, each round.
    pub seconds: u64,
    /// Rounds with and without, in turns.
    pub rounds: usize,
}

fn controller() -> TrafficController {
    let shared = SharedBudget {
        rate_kb: 1e9,
        burst: 1e12,
        volume: f64::INFINITY,
        period: 0,
        repay: 60 * SECOND,
    };
    let mut controller = TrafficController::new(TrafficConfig {
        position: FrontPosition {
            index: 0,
            replica_count: 1,
        },
        zone: 0,
        classes: vec![
            TrafficClass {
                paid: true,
                rung_rates_kb: vec![300.0],
            },
            TrafficClass {
                paid: false,
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
    (0..SERVERS).for_each(|server| controller.endpoint_listed(server, (server % 2) as u8, true));
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

/// What a round showed.
#[derive(Clone, Copy, Debug, Default)]
struct Round {
    cpu: f64,
    longest_step: f64, // Of settling, seconds.
    longest_tick: f64,
}

/// Plays sessions that begin, are counted each second and end; `desk`: the account that hears of them, if there is one.
fn play(plan: &Plan, mut desk: Option<&mut TrafficController>, first: u64) -> io::Result<Round> {
    let pid = std::process::id();
    let mut round = Round::default();
    let mut sent: BTreeMap<u64, u64> = (first..first + plan.sessions).map(|id| (id, 0)).collect();
    if let Some(desk) = desk.as_deref_mut() {
        sent.keys().for_each(|id| {
            desk.attempt_started(attempt(*id));
            desk.session_established(*id, START);
        });
    }
    let before = cpu_seconds(pid)?;
    for second in 1..=plan.seconds {
        let now = START + second * SECOND;
        for (id, bytes) in &mut sent {
            *bytes += 200_000;
            if let Some(desk) = desk.as_deref_mut() {
                desk.bytes_counted(*id, *bytes, now);
            }
        }
        let oldest: Vec<u64> = sent
            .keys()
            .take((plan.sessions / LENGTH) as usize)
            .copied()
            .collect();
        for id in oldest {
            let bytes = sent.remove(&id).unwrap_or(0);
            let next = id + plan.sessions;
            sent.insert(next, 0);
            if let Some(desk) = desk.as_deref_mut() {
                desk.attempt_ended(id, false, now);
                desk.final_bytes_counted(id, bytes, now);
                desk.attempt_started(attempt(next));
                desk.session_established(next, now);
            }
        }
        if let Some(desk) = desk.as_deref_mut() {
            let begun = Instant::now();
            black_box(desk.tick(now));
            round.longest_tick = round.longest_tick.max(begun.elapsed().as_secs_f64());
            loop {
                let begun = Instant::now();
                let complete = desk.settle_usage(now, STEP);
                round.longest_step = round.longest_step.max(begun.elapsed().as_secs_f64());
                if complete {
                    break;
                }
            }
        }
        black_box(&sent);
    }
    round.cpu = cpu_seconds(pid)? - before;
    Ok(round)
}

/// Measures and gives the page's text.
///
/// # Errors
/// The kernel does not tell of this process.
pub fn run(plan: &Plan) -> io::Result<String> {
    let mut figures: Vec<(f64, f64, Round)> = Vec::new();
    let session_seconds = (plan.sessions * plan.seconds) as f64;
    let mut memory = 0.0;
    for n in 0..plan.rounds as u64 {
        let none = play(plan, None, 0)?;
        let resident_bytes = resident(std::process::id())?;
        let mut controller = controller();
        let with = play(plan, Some(&mut controller), 0)?;
        if n == 0 {
            // The first time, before the allocator has pages of an earlier round to hand.
            memory = resident(std::process::id())?.saturating_sub(resident_bytes) as f64
                / plan.sessions as f64;
        }
        figures.push((none.cpu, with.cpu, with));
    }
    let per = |cpu: f64| cpu * 1e9 / session_seconds;
    let spread = |values: Vec<f64>| {
        let mut sorted = values;
        sorted.sort_by(f64::total_cmp);
        let (least, most) = (sorted.first().copied(), sorted.last().copied());
        (
            sorted[sorted.len() / 2],
            least.unwrap_or(0.0),
            most.unwrap_or(0.0),
        )
    };
    let row = |what: &str, (median, least, most): (f64, f64, f64)| {
        format!("| {what} | {median:.1} | {least:.1} to {most:.1} |\n")
    };
    let mut text = format!(
        "{} sessions, {} s of a given clock, {} rounds in turns\n| | median | least to most |\n| --- | --- | --- |\n",
        plan.sessions, plan.seconds, plan.rounds
    );
    text += &row(
        "CPU a session second without, ns",
        spread(figures.iter().map(|f| per(f.0)).collect()),
    );
    text += &row(
        "CPU a session second with, ns",
        spread(figures.iter().map(|f| per(f.1)).collect()),
    );
    text += &row(
        "added, ns",
        spread(figures.iter().map(|f| per(f.1 - f.0)).collect()),
    );
    text += &row(
        "longest step of settling, us",
        spread(figures.iter().map(|f| f.2.longest_step * 1e6).collect()),
    );
    text += &row(
        "longest look at the budgets, us",
        spread(figures.iter().map(|f| f.2.longest_tick * 1e6).collect()),
    );
    text += &format!("memory a session: {memory:.0} bytes\n");
    Ok(text)
}
