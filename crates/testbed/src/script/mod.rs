//! Days as files: protobuf text format, checked with line, column and what is allowed.
use crate::fault_mode::ResponseFault;
use crankpaddle_config::{Config, Problem};
use crankpaddle_textproto::Checks;

#[allow(missing_docs, unreachable_pub)] // Generated; the schema has comments of its own.
mod schema {
    include!(concat!(env!("OUT_DIR"), "/crankpaddle.lab.v1.rs"));
}

const DESCRIPTORS: &[u8] = include_bytes!(concat!(env!("OUT_DIR"), "/day.binpb"));
const SECOND: f64 = 1e9;

/// The built-in fleet: a configuration without its front block.
pub const FLEET: &str = include_str!("../../days/fleet.textproto");

/// A built-in fleet by its name: the usual one, or one whose servers take long to warm.
pub fn built_in_fleet(name: &str) -> Option<String> {
    match name {
        "fleet" => Some(FLEET.to_owned()),
        "slow-to-warm" => Some(
            FLEET
                .replace("cold: \"8s\"", "cold: \"20s\"")
                .replace("cold_share: 0.4", "cold_share: 0.2")
                .replace("fall_multiple: 2.5", "fall_multiple: 1.6"),
        ),
        _ => None,
    }
}

/// The built-in days by name.
pub const DAYS: [(&str, &str); 7] = [
    ("calm", include_str!("../../days/calm.textproto")),
    ("trouble", include_str!("../../days/trouble.textproto")),
    ("smoke", include_str!("../../days/smoke.textproto")),
    ("quiet", include_str!("../../days/quiet.textproto")),
    ("hall", include_str!("../../days/hall.textproto")),
    ("astray", include_str!("../../days/astray.textproto")),
    ("night", include_str!("../../days/night.textproto")),
];

/// What goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// Takes set-ups, answers nothing.
    Hang,
    /// Fails this part of the set-ups at once.
    FastErrors(f64),
    /// The process dies and comes back cold.
    Crash,
    /// Silent both ways, then back cold.
    Vanish,
    /// Links give so many times less.
    Slow(f64),
    /// So many times more players come.
    Burst(f64),
    /// A crowd for this title by number, an added part of the players.
    LoadSurge(usize, f64),
    /// The list is told later by so many nanoseconds.
    ListLate(u64),
    /// The list service is gone.
    ListGone,
    /// These fronts stand still.
    Stall(Vec<u32>),
    /// Listed as draining; sessions end with the fault.
    Drain,
    /// Bills this part of the set-ups and resets before the answer.
    BillAndReset(f64),
    /// Answers come byte by byte.
    Trickle,
    /// What servers tell unasked goes astray.
    ResponseFault(ResponseFault),
}

/// Something that goes wrong for a time; nanoseconds from the start of the day.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// From when.
    pub at: u64,
    /// For how long.
    pub length: u64,
    /// At which servers.
    pub servers: Vec<u32>,
    /// What.
    pub kind: Kind,
}

/// A checked day. Times in nanoseconds.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Players arrive for so long.
    pub length: u64,
    /// Number of fronts.
    pub fronts: u32,
    /// Text of the fronts' configuration, without the front block.
    pub fleet: String,
    /// The same without budgets for what crosses.
    pub fleet_without_budgets: String,
    /// Number of servers.
    pub servers: u32,
    /// Cores of each.
    pub cores: u32,
    /// Work of a set-up.
    pub work: u64,
    /// How much links differ.
    pub uneven: f64,
    /// A segment lasts so long.
    pub segment: u64,
    /// New sessions a second.
    pub rate: f64,
    /// Part of each class.
    pub share: Vec<f64>,
    /// Mean time watched.
    pub watch: u64,
    /// Exponent of the titles' popularity.
    pub zipf: f64,
    /// Part of the viewers that come again.
    pub returns: f64,
    /// After so long without advice.
    pub return_after: u64,
    /// Part that keeps the advice.
    pub honour: f64,
    /// Part that reconnects mid-attempt.
    pub reconnect: f64,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// How late the list tells.
    pub list_delay: u64,
}

/// A front's block for the configuration of a fleet.
pub fn front_block(
    index: u32,
    siblings: u32,
    zone: &str,
    list_service: &str,
    cache: &str,
) -> String {
    format!(
        "front {{\n  index: {index}\n  siblings: {siblings}\n  zone: {zone:?}\n  listen: \"127.0.0.1:0\"\n  \
         list_service: {list_service:?}\n  list_cache: {cache:?}\n}}\n"
    )
}

/// The fleet's part of a configuration, checked as that of some front.
///
/// # Errors
/// What is wrong in it.
pub fn fleet_config(fleet: &str) -> Result<Config, Vec<Problem>> {
    // The zone is only known from the text; the first one named serves.
    let named = fleet
        .split("zone:")
        .nth(1)
        .and_then(|rest| rest.split('"').nth(1))
        .unwrap_or("");
    crankpaddle_config::parse(&format!(
        "{fleet}\n{}",
        front_block(0, 1, named, "127.0.0.1:1", "")
    ))
}

/// Checks a script. `fleet` gives the text of a fleet by its name.
///
/// # Errors
/// All that is wrong in it, in the order of the file.
pub fn parse(
    text: &str,
    fleet: impl Fn(&str) -> Result<String, String>,
) -> Result<Day, Vec<Problem>> {
    let mut checks = Checks::new(text);
    let raw = checks.structure::<schema::Day>(DESCRIPTORS, "crankpaddle.lab.v1.Day", "");
    let day = raw.map(|raw| values(&mut checks, &raw, fleet));
    checks.verdict(day)
}

fn values(
    c: &mut Checks<'_>,
    raw: &schema::Day,
    fleet: impl Fn(&str) -> Result<String, String>,
) -> Day {
    for (there, name) in [
        (raw.servers.is_some(), "servers"),
        (raw.traffic.is_some(), "traffic"),
        (!raw.name.is_empty(), "name"),
    ] {
        c.must(there, name, "is missing");
    }
    let servers = raw.servers.clone().unwrap_or_default();
    let traffic = raw.traffic.clone().unwrap_or_default();
    let fleet = fleet(&raw.fleet).unwrap_or_else(|what| {
        c.wrong("fleet", what);
        String::new()
    });
    let fleet_without_budgets = fleet;
    let fleet = format!("{fleet_without_budgets}{}", raw.budgets);
    let config = fleet_config(&fleet);
    if let Err(problems) = &config {
        let first = problems
            .first()
            .map(ToString::to_string)
            .unwrap_or_default();
        c.wrong("fleet", format!("is no configuration: {first}"));
    }
    let config = config.ok();
    let (zones, classes) = config
        .as_ref()
        .map_or((vec![], 0), |f| (f.zones.clone(), f.classes.len()));
    let cells = config.as_ref().map_or(1, |f| f.settings.cells);
    let count = c.count("servers.count", servers.count, 1, 500);
    if count < cells {
        c.wrong(
            "servers.count",
            format!("is {count}; the fleet's {cells} cells need as many at least"),
        );
    }
    let fits =
        classes == traffic.share.len() && (traffic.share.iter().sum::<f64>() - 1.0).abs() < 1e-6;
    c.must(
        fits,
        "traffic.share",
        "is one part for each class, 1 in all",
    );
    let fronts = c.count("fronts", raw.fronts, 1, 200);
    let length = c.time("length", &raw.length);
    let faults = raw.fault.iter().enumerate();
    let faults = faults
        .map(|(i, f)| fault(c, i, f, &zones, count, fronts, length))
        .collect();
    Day {
        name: raw.name.clone(),
        length,
        fronts,
        fleet,
        fleet_without_budgets,
        servers: count,
        cores: c.count("servers.cores", servers.cores, 1, 256),
        work: c.time("servers.set_up_work", &servers.set_up_work),
        uneven: c.within("servers.uneven", servers.uneven, 0.0, 0.9),
        segment: c.time("servers.segment", &servers.segment),
        rate: c.within("traffic.rate", traffic.rate, 0.001, 1e6),
        share: traffic.share.clone(),
        watch: c.time("traffic.watch", &traffic.watch),
        zipf: c.within("traffic.zipf", traffic.zipf, 0.0, 5.0),
        returns: c.within("traffic.returns", traffic.returns, 0.0, 1.0),
        return_after: c.time("traffic.back_after", &traffic.back_after),
        honour: c.within("traffic.honour", traffic.honour, 0.0, 1.0),
        reconnect: c.within("traffic.reconnect", traffic.reconnect, 0.0, 1.0),
        faults,
        list_delay: c.time("list_delay", &raw.list_delay),
    }
}

fn fault(
    c: &mut Checks<'_>,
    i: usize,
    raw: &schema::Fault,
    zones: &[String],
    count: u32,
    fronts: u32,
    day: u64,
) -> Fault {
    use schema::fault::Kind as Raw;
    let path = |field: &str| format!("fault[{i}].{field}");
    let at = c.time(&path("at"), &raw.at);
    let length = c.time(&path("length"), &raw.length);
    c.must(at < day, &path("at"), "is after the day's end");
    let mut servers = raw.server.clone();
    if servers.iter().any(|s| *s >= count) {
        c.wrong(&path("server"), format!("allowed: 0 to {}", count - 1));
    }
    if !raw.zone.is_empty() {
        match zones.iter().position(|z| *z == raw.zone) {
            Some(zone) => servers.extend((0..count).filter(|s| *s as usize % zones.len() == zone)),
            None => c.wrong(
                &path("zone"),
                format!("{:?} is not a zone: {}", raw.zone, zones.join(", ")),
            ),
        }
    }
    let part =
        |c: &mut Checks<'_>, field: &str, value: f64| c.within(&path(field), value, 0.0, 1.0);
    let needs_servers = !matches!(
        raw.kind,
        Some(
            Raw::Slow(_)
                | Raw::Burst(_)
                | Raw::Crowd(_)
                | Raw::ListLate(_)
                | Raw::ListGone(_)
                | Raw::Stall(_)
        )
    );
    let which = format!("fault[{i}]");
    c.must(
        !needs_servers || !servers.is_empty(),
        &which,
        "names no server and no zone",
    );
    let kind = match &raw.kind {
        None => {
            c.wrong(&which, "has no kind: hang, fast_errors, crash, vanish, slow, burst, crowd, list_late, list_gone, stall, drain, bill_and_reset, trickle or astray");
            Kind::Hang
        }
        Some(Raw::Hang(_)) => Kind::Hang,
        Some(Raw::FastErrors(f)) => Kind::FastErrors(part(c, "fast_errors.part", f.part)),
        Some(Raw::Crash(_)) => Kind::Crash,
        Some(Raw::Vanish(_)) => Kind::Vanish,
        Some(Raw::Slow(f)) => Kind::Slow(c.within(&path("slow.by"), f.by, 1.0, 100.0)),
        Some(Raw::Burst(f)) => Kind::Burst(c.within(&path("burst.times"), f.times, 0.0, 100.0)),
        Some(Raw::Crowd(f)) => Kind::LoadSurge(f.title as usize, part(c, "crowd.part", f.part)),
        Some(Raw::ListLate(f)) => Kind::ListLate(c.time(&path("list_late.by"), &f.by)),
        Some(Raw::ListGone(_)) => Kind::ListGone,
        Some(Raw::Stall(f)) => {
            c.must(
                f.front.iter().all(|n| *n < fronts),
                &path("stall.front"),
                "is no front of this day",
            );
            Kind::Stall(f.front.clone())
        }
        Some(Raw::Drain(_)) => Kind::Drain,
        Some(Raw::BillAndReset(f)) => Kind::BillAndReset(part(c, "bill_and_reset.part", f.part)),
        Some(Raw::Trickle(_)) => Kind::Trickle,
        Some(Raw::Astray(f)) => Kind::ResponseFault(ResponseFault {
            late: if f.late.is_empty() {
                0
            } else {
                c.time(&path("astray.late"), &f.late)
            },
            lost: part(c, "astray.lost", f.lost),
            duplicated: part(c, "astray.doubled", f.doubled),
        }),
    };
    Fault {
        at,
        length,
        servers,
        kind,
    }
}

impl Day {
    /// New sessions a second at a time of the day, without its crowds.
    pub fn rate_at(&self, at: u64) -> f64 {
        let on = |f: &&Fault| (f.at..f.at + f.length).contains(&at);
        let times = |f: &Fault| {
            if let Kind::Burst(times) = f.kind {
                times
            } else {
                1.0
            }
        };
        self.rate * self.faults.iter().filter(on).map(times).product::<f64>()
    }

    /// The crowd at a time of the day: its title and its added part.
    pub fn load_surge_at(&self, at: u64) -> Option<(usize, f64)> {
        self.faults
            .iter()
            .filter(|f| (f.at..f.at + f.length).contains(&at))
            .find_map(|f| match f.kind {
                Kind::LoadSurge(title, part) => Some((title, part)),
                _ => None,
            })
    }

    /// Seconds that players arrive.
    pub fn seconds(&self) -> f64 {
        self.length as f64 / SECOND
    }
}

#[cfg(test)]
mod tests;
