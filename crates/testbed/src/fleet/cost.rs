//! Measures processor time and answer latency of the fronts of a case.
use super::NANOSECONDS_PER_SECOND;
use crate::record::{PlayerReply, Record, Seen};
use crankpaddle_time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Processor time and answer latency of the fronts of a case, as the operating system and the players measured them.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Median of the time from an open request to the answer that the session plays; 0 where no session played.
    pub answer_median: Duration,
    /// 99th percentile of the same time.
    pub answer_percentile_99: Duration,
    /// Processor time of all front processes that have ended.
    pub cpu: Duration,
}

impl Cost {
    /// Must be called after all fronts have ended, because the processor time is that of the child processes that this process
    /// has waited for.
    pub(super) fn of(records: &[Record]) -> Cost {
        let mut times = answer_times(records);
        times.sort_unstable();
        let percentile = |fraction: f64| {
            let index = (times.len() as f64 * fraction) as usize;
            times.get(index).copied().unwrap_or_default()
        };
        Cost {
            answer_median: percentile(0.5),
            answer_percentile_99: percentile(0.99),
            cpu: children_cpu_time(),
        }
    }
}

/// Times from open request to answer, of the calls whose session plays.
fn answer_times(records: &[Record]) -> Vec<Duration> {
    let mut opened_at: HashMap<u64, Time> = HashMap::new();
    let mut times = Vec::new();
    for Record { at, seen } in records {
        match seen {
            Seen::OpenSent { call, .. } => {
                opened_at.insert(*call, *at);
            }
            Seen::CallAnswered {
                call,
                reply: PlayerReply::Plays,
            } => times.extend(opened_at.get(call).map(|opened| at.duration_since(*opened))),
            _ => {}
        }
    }
    times
}

/// Processor time of all child processes that have been waited for; 0 where the operating system does not report it.
fn children_cpu_time() -> Duration {
    let ticks = procfs::process::Process::myself()
        .and_then(|process| process.stat())
        .map_or(0, |stat| stat.cutime + stat.cstime);
    Duration::from_nanos(ticks.max(0) as u64 * NANOSECONDS_PER_SECOND / procfs::ticks_per_second())
}
