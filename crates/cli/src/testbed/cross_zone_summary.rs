//! Cross-zone traffic of a played scenario against its budgets.
use crankpaddle_testbed::scenario_runner::Outcome;
use crankpaddle_testbed::script::{Day, Kind};
use std::time::Duration;

/// Seconds over which a rate of cross-zone traffic is a mean.
const RATE_WINDOW_SECONDS: u64 = 3;

/// Prints the utility by class, the peak rates, the use of each budget, and when the rate was back within the budgets after
/// a zone's recovery; by the servers' records and the fronts' reports.
pub(super) fn print_cross_zone_summary(day: &Day, outcome: &Outcome) {
    for (class, utility) in &outcome.crossed.utility {
        eprintln!("worth {class}: {utility:.0}");
    }
    print_peak(day, outcome);
    print_budgets(outcome);
    print_recovery(day, outcome);
}

fn print_peak(day: &Day, outcome: &Outcome) {
    let end = outcome.start + day.length;
    let peak = outcome
        .crossed
        .peak(outcome.start, end, RATE_WINDOW_SECONDS);
    eprintln!(
        "crossing: at most {:.0} kB/s over {RATE_WINDOW_SECONDS} s, {:.0} of it not paid for",
        peak.all, peak.unpaid
    );
}

fn print_budgets(outcome: &Outcome) {
    for budget in &outcome.reported.budgets {
        let overdraft_bytes = budget.overdraft_zone_down_bytes + budget.overdraft_zone_full_bytes;
        eprintln!(
            "budget {} > {}: {:.0} kB/s, overdrafts {overdraft_bytes}, written off {} bytes",
            budget.from, budget.to, budget.rate_kb, budget.written_off_bytes
        );
    }
}

fn print_recovery(day: &Day, outcome: &Outcome) {
    let Some(recovered_at) = last_crash_end(day) else {
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
    let seconds = outcome.crossed.below(
        budget_kb,
        outcome.start + recovered_at,
        outcome.start + day.length,
        RATE_WINDOW_SECONDS,
    );
    let when = match seconds {
        Some(seconds) => format!("{seconds} s after"),
        None => "not before the day's end".to_owned(),
    };
    eprintln!("crossing is back under {budget_kb:.0} kB/s {when} the hall came back");
}

/// When the last crash ends, from the scenario's start.
fn last_crash_end(day: &Day) -> Option<Duration> {
    day.faults
        .iter()
        .filter(|fault| fault.kind == Kind::Crash)
        .map(|fault| fault.at + fault.length)
        .max()
}
