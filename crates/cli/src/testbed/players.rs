//! `crankpaddle lab players`: runs the players of a scenario against one running front.
use super::files::{fleet_config, read_scenario};
use super::judge::{breach_line, check_records};
use crate::failure::{exit_code_of, CommandFailure};
use crankpaddle_config::Config;
use crankpaddle_net::{clock, spawn, Stack};
use crankpaddle_testbed::invariant_checker::Verdict;
use crankpaddle_testbed::player::{FrontAddress, PlayerPool};
use crankpaddle_testbed::record::Recorder;
use crankpaddle_testbed::scenario_runner::{self, Arrival};
use crankpaddle_testbed::script::Scenario;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// The only rule that can be checked for a front alone: each call gets exactly one answer.
const ANSWERED_ONCE_RULE: u8 = 1;

/// Interval at which the number of remaining players is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Plays the arrivals of a scenario against a front. Succeeds if there were calls and each was answered exactly once.
///
/// # Errors
///
/// The scenario can't be read.
pub(super) fn run(
    front: SocketAddr,
    scenario: &str,
    seed: u64,
) -> Result<ExitCode, CommandFailure> {
    let scenario = read_scenario(scenario)?;
    crankpaddle_net::start(None);
    let config = fleet_config(&scenario)?;
    let recorder = Recorder::default();
    let player_behavior = scenario_runner::player_behavior(&scenario);
    let players = Arc::new(PlayerPool::new(recorder.clone(), player_behavior));
    play_arrivals(front, &scenario, &config, seed, &players);
    while players.present_count() > 0 {
        std::thread::sleep(POLL_INTERVAL);
    }
    let verdict = check_records(&config, &recorder.all());
    print_summary(&verdict, &players);
    let all_answered_once = verdict.sessions == verdict.answered_once;
    Ok(exit_code_of(all_answered_once && verdict.sessions > 0))
}

/// Starts the visit of each arrival at its time.
fn play_arrivals(
    front: SocketAddr,
    scenario: &Scenario,
    config: &Config,
    seed: u64,
    players: &Arc<PlayerPool>,
) {
    let start = clock::now();
    let end = start + scenario.length;
    for Arrival { at, mut visit } in scenario_runner::arrivals(scenario, config, seed) {
        std::thread::sleep((start + at).duration_since(clock::now()));
        visit.fronts = vec![FrontAddress {
            number: 0,
            address: front,
        }];
        visit.watch = visit.watch.min(scenario.length - at);
        let players = players.clone();
        spawn(Stack::Default, move || players.visit(&visit, end));
    }
}

fn print_summary(verdict: &Verdict, players: &PlayerPool) {
    for breach in &verdict.breaches {
        if breach.rule == ANSWERED_ONCE_RULE {
            println!("{}", breach_line(breach));
        }
    }
    println!(
        "calls {}, answered once {}: played {}, refused {}, failed {}",
        verdict.sessions, verdict.answered_once, verdict.played, verdict.refused, verdict.failed
    );
    println!(
        "failed connections to the front: {}",
        players.failed_connects()
    );
}
