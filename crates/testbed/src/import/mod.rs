//! Scripts from the bench's day files, so that its kinds of trouble can be played through the front itself.
//!
//! The bench plays with models of servers and its own clients; here the same troubles meet sockets. Rates are scaled
//! so that a day fits one machine. What has no like here is left out and said.
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Write;

#[derive(Deserialize)]
struct Bench {
    site: String,
    kind: String,
    length: u64, // Microseconds, as all times of a day file.
    zones: Vec<String>,
    traffic: Traffic,
    clients: Clients,
    discovery: Discovery,
    classes: Vec<Class>,
    tiers: Vec<Tier>,
    servers: Vec<Value>,
    balancers: Vec<Value>,
    #[serde(rename = "troubles")]
    faults: Vec<BenchFault>,
    fam: Family,
    fall_multiple: f64,
    fall_for: u64,
    allow: Allow,
}

#[derive(Deserialize)]
struct Traffic {
    load: f64,
}

#[derive(Deserialize)]
struct Clients {
    honour: f64,
    max_retry_after: u64,
}

#[derive(Deserialize)]
struct Discovery {
    notice: u64,
}

#[derive(Deserialize)]
struct Allow {
    max_attempts: u32,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    share: f64,
    work: f64,
    #[serde(rename = "aim")]
    latency_objective: u64,
    deadline: u64,
    worth: f64,
    effect: String,
    group: String,
    window: u64,
}

#[derive(Deserialize)]
struct Tier {
    kinds: Vec<Machine>,
    #[serde(rename = "stated_cold")]
    slow_start_duration: u64,
    #[serde(rename = "stated_cold_from")]
    slow_start_min_factor: f64,
}

#[derive(Deserialize)]
struct Machine {
    name: String,
    cores: u32,
}

#[derive(Deserialize)]
struct Family {
    capacity: f64,
    cells: u32,
    core_kb: f64,
    core_slots: f64,
    #[serde(rename = "life_s")]
    session_length_s: f64,
    racks: u32,
    rates: Vec<f64>,
    worth: Vec<f64>,
    uplink_kb: Vec<f64>,
    uses: Vec<Use>,
    stall: f64,
    switch_s: f64,
    see: u64,
    #[serde(rename = "tell")]
    update_delay: u64,
    title_zipf: f64,
    titles: u32,
    copies: f64,
    returns: f64,
    rejoin_us: f64,
    guard: f64,
    join: f64,
}

#[derive(Deserialize)]
struct Use {
    floor: u32,
    top: u32,
    scale: f64,
    seats: f64,
    live: bool,
}

#[derive(Deserialize)]
struct BenchFault {
    kind: String,
    at: u64,
    len: u64,
    size: f64,
    extra: f64,
    on: Vec<u32>,
    which: usize,
    #[serde(default)]
    steps: Vec<Step>,
}

#[derive(Deserialize)]
struct Step {
    at: u64,
    stop: Vec<u32>,
}

/// A script and its fleet, as texts, and what was left out.
#[derive(Clone, Debug)]
pub struct Imported {
    /// The day.
    pub day: String,
    /// The fleet's configuration.
    pub fleet: String,
    /// Troubles that have no like here.
    pub left_out: Vec<String>,
}

/// How a day is made to fit.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// All rates are multiplied by this.
    pub rates: f64,
    /// At most so many servers; the rate of sessions is scaled with them.
    pub servers: u32,
    /// At most so many fronts.
    pub fronts: u32,
}

/// Turns a day file into a script whose fleet is named `fleet_name`.
///
/// # Errors
/// It is no day file, or of a form that is not known.
pub fn import(json: &str, name: &str, fleet_name: &str, fit: Fit) -> Result<Imported, String> {
    let day: Bench =
        serde_json::from_str(json).map_err(|e| format!("no day file of the bench: {e}"))?;
    let tier = day.tiers.first().ok_or("the day has no tier of servers")?;
    let machine = tier.kinds.first().ok_or("the day has no kind of servers")?;
    let have = day.servers.len() as u32;
    if have == 0 || day.balancers.is_empty() || day.classes.len() != day.fam.uses.len() {
        return Err("the day has no servers, no fronts, or classes without terms".into());
    }
    let servers = have.min(fit.servers.max(1));
    let part = f64::from(servers) / f64::from(have);
    let cells = day.fam.cells.min(servers);
    let fronts = (day.balancers.len() as u32).min(fit.fronts.max(1));
    let fleet = fleet(&day, tier, machine, cells, servers, fit);
    let mut text = format!(
        "# From the bench's day: {}, {}. Rates are {} of its own.\n",
        day.site, day.kind, fit.rates
    );
    let _ = writeln!(text, "name: {name:?}\nlength: \"{}ms\"", day.length / 1000);
    let _ = writeln!(text, "fronts: {fronts}\nfleet: {fleet_name:?}");
    let work = day.classes.iter().map(|c| c.work * c.share).sum::<f64>();
    let _ = writeln!(text, "servers {{ count: {servers} cores: {} set_up_work: \"{work:.0}us\" uneven: 0.2 segment: \"500ms\" }}", machine.cores);
    let rate = day.traffic.load * day.fam.capacity * part;
    let shares: Vec<String> = day.classes.iter().map(|c| format!("{}", c.share)).collect();
    let _ = writeln!(
        text,
        "traffic {{\n  rate: {rate:.3}\n  share: [{}]\n  watch: \"{:.1}s\"\n  zipf: {:.3}\n  returns: {:.3}\n  \
         back_after: \"{:.0}us\"\n  honour: {:.3}\n  reconnect: 0.02\n}}",
        shares.join(", "),
        day.fam.session_length_s,
        day.fam.title_zipf,
        day.fam.returns,
        day.fam.rejoin_us,
        day.clients.honour
    );
    let _ = writeln!(text, "list_delay: \"{}us\"", day.discovery.notice);
    let mut left_out = Vec::new();
    for trouble in &day.faults {
        match faults(trouble, &day, servers, fronts) {
            Some(lines) => text.extend(lines.iter().flat_map(|line| [line.as_str(), "\n"])),
            None => {
                let _ = writeln!(text, "# Left out: {}", trouble.kind);
                left_out.push(trouble.kind.clone());
            }
        }
    }
    Ok(Imported {
        day: text,
        fleet,
        left_out,
    })
}

/// The faults of a trouble; none where it falls on nothing that is left of the fleet, `None` where it has no like.
fn faults(t: &BenchFault, day: &Bench, servers: u32, fronts: u32) -> Option<Vec<String>> {
    let on = |ids: &[u32], most: u32| {
        let mut ids: Vec<u32> = ids.iter().map(|id| id % most).collect();
        ids.sort_unstable();
        ids.dedup();
        ids.iter()
            .map(u32::to_string)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let fault = |at: u64, len: u64, what: &str| {
        format!(
            "fault {{ at: \"{at}us\" length: \"{}us\" {what} }}",
            len.max(1)
        )
    };
    let one = |what: String| Some(vec![fault(t.at, t.len, &what)]);
    let here = format!("server: [{}]", on(&t.on, servers));
    match t.kind.as_str() {
        "hang" => one(format!("{here} hang {{}}")),
        "vanish" => one(format!("{here} vanish {{}}")),
        "crash" => one(format!("{here} crash {{}}")),
        "fast_errors" => one(format!(
            "{here} fast_errors {{ part: {:.3} }}",
            t.size.clamp(0.0, 1.0)
        )),
        "shared_slow" => one(format!("slow {{ by: {:.3} }}", t.size)),
        "burst" => one(format!("burst {{ times: {:.3} }}", t.size)),
        "hot_key" => one(format!(
            "crowd {{ title: 0 part: {:.3} }}",
            t.size.clamp(0.0, 1.0)
        )),
        "discovery_stale" => one(format!("list_late {{ by: \"{:.3}s\" }}", t.size)),
        "zone_loss" => {
            let zone = day.zones.get(t.which)?;
            one(format!(
                "zone: {zone:?} {} {{}}",
                if t.extra > 0.5 { "vanish" } else { "crash" }
            ))
        }
        "balancer_stall" => {
            let (length, pause) = ((t.size * 1000.0) as u64, (t.extra * 1e6).max(1.0) as u64);
            let starts = (t.at..t.at + t.len).step_by(pause as usize);
            let stall = format!("stall {{ front: [{}] }}", on(&t.on, fronts));
            Some(
                starts
                    .map(|at| fault(at, length.min(pause * 9 / 10), &stall))
                    .collect(),
            )
        }
        "deploy" => {
            let length = (t.extra * 1e6) as u64;
            let stops = t
                .steps
                .iter()
                .filter(|s| s.stop.iter().any(|id| *id < servers));
            let step = |s: &Step| {
                let ids: Vec<u32> = s.stop.iter().copied().filter(|id| *id < servers).collect();
                fault(
                    s.at,
                    length,
                    &format!("server: [{}] drain {{}}", on(&ids, servers)),
                )
            };
            Some(stops.map(step).collect())
        }
        _ => None,
    }
}

fn fleet(
    day: &Bench,
    tier: &Tier,
    machine: &Machine,
    cells: u32,
    servers: u32,
    fit: Fit,
) -> String {
    let fam = &day.fam;
    let zones: Vec<String> = day.zones.iter().map(|z| format!("{z:?}")).collect();
    let racks = fam.racks.min(cells);
    let link = fam.core_kb * f64::from(machine.cores) * fit.rates;
    let uplink = fam.uplink_kb.iter().sum::<f64>() / fam.uplink_kb.len().max(1) as f64;
    let uplink = uplink * fit.rates * f64::from(servers) / day.servers.len() as f64;
    let places = (fam.core_slots * f64::from(machine.cores)).round().max(1.0);
    let mut t = format!(
        "fleet {{\n  zone: [{}]\n  cells: {cells}\n  racks: {racks}\n  kind {{ name: {:?} places: {places} }}\n  \
         links: \"{:.3}kB/s\"\n  link: \"{link:.3}kB/s\"\n  uplink: \"{uplink:.3}kB/s\"\n  server_guard: {}\n  \
         join: {}\n  note_delay: \"{}us\"\n  note_every: \"{}us\"\n}}\n",
        zones.join(", "),
        machine.name,
        link * f64::from(servers),
        fam.guard,
        fam.join,
        fam.see,
        fam.update_delay.max(1)
    );
    t.push_str("ladder {\n");
    for (rate, worth) in fam.rates.iter().zip(&fam.worth) {
        let _ = writeln!(
            t,
            "  rung {{ rate: \"{:.3}kB/s\" worth: {worth} }}",
            rate * fit.rates
        );
    }
    let _ = writeln!(
        t,
        "  shortfall_cost: {}\n  switch_seconds: {}\n}}",
        fam.stall, fam.switch_s
    );
    let rungs = fam.rates.len() as u32;
    for (class, terms) in day.classes.iter().zip(&fam.uses) {
        let effect = match class.effect.as_str() {
            "unsafe" => "PAID".to_owned(),
            "keyed" => {
                format!(
                    "GUARDED group: {} repeat_within: \"{}us\"",
                    class.group.to_uppercase(),
                    class.window
                )
            }
            _ => "FREE".to_owned(),
        };
        let _ = writeln!(
            t,
            "class {{\n  name: {:?}\n  effect: {effect}\n  aim: \"{}us\"\n  give_up: \"{}us\"\n  worth: {}\n  \
             floor: {}\n  top: {}\n  rate_factor: {}\n  seats: {:.0}\n  live: {}\n}}",
            class.name,
            class.latency_objective,
            class.deadline,
            class.worth,
            terms.floor.min(rungs - 1),
            terms.top.min(rungs - 1),
            terms.scale,
            terms.seats,
            terms.live
        );
    }
    let _ = writeln!(
        t,
        "rules {{\n  attempts: {}\n  stay_away: \"{}us\"\n  cold: \"{}us\"\n  cold_share: {}\n  fall_multiple: {}\n  \
         fall: \"{}us\"\n  over_share_worth: 0.1\n  cross_zone_price: 0.01\n}}",
        day.allow.max_attempts,
        day.clients.max_retry_after.max(1),
        tier.slow_start_duration.max(1),
        tier.slow_start_min_factor,
        day.fall_multiple,
        day.fall_for
    );
    // Bounds of sockets are no part of a day file.
    let limits = crate::script::FLEET
        .split("limits {")
        .nth(1)
        .and_then(|l| l.split('}').next())
        .unwrap_or("");
    let _ = writeln!(t, "limits {{{limits}}}");
    let copies = (fam.copies.round() as u32 + 2)
        .clamp(3, cells.max(3))
        .min(cells);
    for n in 0..fam.titles.max(1) {
        let _ = writeln!(
            t,
            "title {{ name: \"t{n:04}\" first_cell: {} copies: {copies} }}",
            (n * 5) % cells
        );
    }
    t
}

#[cfg(test)]
mod tests;
