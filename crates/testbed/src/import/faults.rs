//! Converts the faults of a day file to lines of a script.
use super::day_file::{BenchFault, DayFile};

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// The lines for a fault. They are empty where the scaled fleet has none of the fault's targets. `None` where scripts have no
/// such kind.
pub(super) fn fault_lines(
    fault: &BenchFault,
    day: &DayFile,
    servers: u32,
    fronts: u32,
) -> Option<Vec<String>> {
    let fraction = fault.size.clamp(0.0, 1.0);
    let at_servers = format!("server: [{}]", id_list(&fault.targets, servers));
    let effect = match fault.kind.as_str() {
        "hang" => format!("{at_servers} hang {{}}"),
        "vanish" => format!("{at_servers} vanish {{}}"),
        "crash" => format!("{at_servers} crash {{}}"),
        "fast_errors" => format!("{at_servers} fast_errors {{ part: {fraction:.3} }}"),
        "shared_slow" => format!("slow {{ by: {:.3} }}", fault.size),
        "burst" => format!("burst {{ times: {:.3} }}", fault.size),
        "hot_key" => format!("crowd {{ title: 0 part: {fraction:.3} }}"),
        "discovery_stale" => format!("list_late {{ by: \"{:.3}s\" }}", fault.size),
        "zone_loss" => zone_loss(fault, day)?,
        "balancer_stall" => return Some(stalls(fault, fronts)),
        "deploy" => return Some(rolling_restart(fault, servers)),
        _ => return None,
    };
    Some(vec![line(fault.at, fault.length, &effect)])
}

/// The line for a fault with this effect; times in microseconds.
fn line(at: u64, length: u64, effect: &str) -> String {
    let length = length.max(1);
    format!("fault {{ at: \"{at}us\" length: \"{length}us\" {effect} }}")
}

/// The numbers as a list, each modulo `count`, because the scaled fleet has fewer servers or fronts.
fn id_list(ids: &[u32], count: u32) -> String {
    let mut ids: Vec<u32> = ids.iter().map(|id| id % count).collect();
    ids.sort_unstable();
    ids.dedup();
    let texts: Vec<String> = ids.iter().map(u32::to_string).collect();
    texts.join(", ")
}

fn zone_loss(fault: &BenchFault, day: &DayFile) -> Option<String> {
    let zone = day.zones.get(fault.zone_index)?;
    let kind = if fault.extra > 0.5 { "vanish" } else { "crash" };
    Some(format!("zone: {zone:?} {kind} {{}}"))
}

/// The lines for stalls of `size` milliseconds that are repeated every `extra` seconds.
fn stalls(fault: &BenchFault, fronts: u32) -> Vec<String> {
    let length = (fault.size * 1000.0) as u64;
    let interval = (fault.extra * MICROSECONDS_PER_SECOND).max(1.0) as u64;
    let starts = (fault.at..fault.at + fault.length).step_by(interval as usize);
    let stall = format!("stall {{ front: [{}] }}", id_list(&fault.targets, fronts));
    starts
        .map(|at| line(at, length.min(interval * 9 / 10), &stall))
        .collect()
}

/// The lines for the steps of a rolling restart: each drains its servers for `extra` seconds.
fn rolling_restart(fault: &BenchFault, servers: u32) -> Vec<String> {
    let length = (fault.extra * MICROSECONDS_PER_SECOND) as u64;
    let mut lines = Vec::new();
    for step in &fault.steps {
        let stopped = step.stop.iter().copied();
        let remaining: Vec<u32> = stopped.filter(|id| *id < servers).collect();
        if remaining.is_empty() {
            continue;
        }
        let effect = format!("server: [{}] drain {{}}", id_list(&remaining, servers));
        lines.push(line(step.at, length, &effect));
    }
    lines
}
