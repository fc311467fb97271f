//! Prints the cross-zone traffic of a played scenario and the use of its budgets.
use crankpaddle_testbed::scenario_runner::ScenarioOutcome;
use crankpaddle_testbed::script::{FaultKind, Scenario};
use std::time::Duration;

/// Length of the window over which rates of cross-zone traffic are averaged.
const RATE_WINDOW_SECONDS: u64 = 3;

/// Prints the utility by class, the peak rates, the use of each budget, and when the rate was back within the budgets after
/// a zone's recovery. Rates are those of the servers' records, budgets those of the fronts' reports.
pub(super) fn print_cross_zone_summary(scenario: &Scenario, outcome: &ScenarioOutcome) {
    for (class, utility) in &outcome.cross_zone_traffic.utility {
        eprintln!("utility {class}: {utility:.0}");
    }
    print_peak(scenario, outcome);
    print_budgets(outcome);
    print_recovery(scenario, outcome);
}

fn print_peak(scenario: &Scenario, outcome: &ScenarioOutcome) {
    let end = outcome.start + scenario.length;
    let peak = outcome
        .cross_zone_traffic
        .peak(outcome.start, end, RATE_WINDOW_SECONDS);
    eprintln!(
        "cross-zone traffic: at most {:.0} kB/s over {RATE_WINDOW_SECONDS} s, {:.0} of it unpaid",
        peak.all, peak.unpaid
    );
}

fn print_budgets(outcome: &ScenarioOutcome) {
    for budget in &outcome.reported.budgets {
        let overdraft_bytes = budget.overdraft_zone_down_bytes + budget.overdraft_zone_full_bytes;
        eprintln!(
            "budget {} > {}: {:.0} kB/s, overdrafts {overdraft_bytes}, written off {} bytes",
            budget.from, budget.to, budget.rate_kb, budget.written_off_bytes
        );
    }
}

fn print_recovery(scenario: &Scenario, outcome: &ScenarioOutcome) {
    let Some(recovered_at) = last_crash_end(scenario) else {
        return;
    };
    let budget_kb: f64 = outcome
        .reported
        .budgets
        .iter()
        .map(|budget| budget.rate_kb)
        .sum();
    if budget_kb <= 0.0 {
        return;
    }
    let seconds = outcome.cross_zone_traffic.below(
        budget_kb,
        outcome.start + recovered_at,
        outcome.start + scenario.length,
        RATE_WINDOW_SECONDS,
    );
    let when = match seconds {
        Some(seconds) => format!("{seconds} s after the zone recovered"),
        None => "not before the end of the scenario".to_owned(),
    };
    eprintln!("cross-zone traffic is back under {budget_kb:.0} kB/s: {when}");
}

/// The time from the start of the scenario to the end of its last crash. `None` if it has no crash.
fn last_crash_end(scenario: &Scenario) -> Option<Duration> {
    scenario
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Crash)
        .map(|fault| fault.at + fault.length)
        .max()
}
