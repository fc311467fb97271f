//! What the fronts of a case cost.
use super::NANOSECONDS_PER_SECOND;
use crate::record::{PlayerReply, Record, Seen};
use crankpaddle_time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// What the fronts of a case cost, as players and the operating system measured it.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Median of the time from a call to its answer 'plays'.
    pub answer_median: Duration,
    /// 99th percentile of that time.
    pub answer_percentile_99: Duration,
    /// Processor time of all fronts that ended.
    pub cpu: Duration,
}

impl Cost {
    /// Call once all fronts have ended: the processor time is that of all children of this process that were waited for.
    pub(super) fn of(records: &[Record]) -> Cost {
        let mut times = answer_times(records);
        times.sort_unstable();
        let percentile = |part: f64| {
            let index = (times.len() as f64 * part) as usize;
            times.get(index).copied().unwrap_or_default()
        };
        Cost {
            answer_median: percentile(0.5),
            answer_percentile_99: percentile(0.99),
            cpu: children_cpu_time(),
        }
    }
}

/// Times from call to answer of the calls whose session plays.
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

fn children_cpu_time() -> Duration {
    let ticks = procfs::process::Process::myself()
        .and_then(|me| me.stat())
        .map_or(0, |stat| stat.cutime + stat.cstime);
    Duration::from_nanos(ticks.max(0) as u64 * NANOSECONDS_PER_SECOND / procfs::ticks_per_second())
}
