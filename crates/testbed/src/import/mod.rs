//! Converts day files of the bench, a separate simulator, to scripts, so that its faults can be played against real fronts.
//!
//! The bench runs models of servers and clients of its own. An imported script plays the same faults with real sockets. Rates
//! are scaled so that one machine can carry the load. Faults for which scripts have no kind are left out and listed.
mod day_file;
mod faults;
mod fleet_text;

use day_file::DayFile;
use fleet_text::FleetPlan;
use std::fmt::Write;
use thiserror::Error;

/// An imported script and its fleet as texts, with the faults that were left out.
#[derive(Clone, Debug)]
pub struct Imported {
    /// Text of the script.
    pub day: String,
    /// Text of the fleet's configuration, without the front block.
    pub fleet: String,
    /// Kinds of the faults that were left out because scripts have no such kind; one entry for each fault.
    pub left_out: Vec<String>,
}

/// How a day is scaled to one machine.
#[derive(Clone, Copy, Debug)]
pub struct ImportScale {
    /// Factor of all media rates and bandwidths.
    pub rates: f64,
    /// Maximum number of servers. The rate of new sessions is reduced in proportion where the day has more.
    pub servers: u32,
    /// Maximum number of fronts.
    pub fronts: u32,
}

/// The reason why a file could not be imported.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The text is not JSON in the form of a day file.
    #[error("not a day file of the bench: {0}")]
    NotADayFile(#[from] serde_json::Error),
    /// The list of tiers is empty.
    #[error("the day has no tier of servers")]
    NoTier,
    /// The first tier has no machines.
    #[error("the day's first tier has no kind of servers")]
    NoMachine,
    /// There are no servers or no fronts, or the number of classes differs from that of their terms.
    #[error("the day has no servers, no fronts, or classes without terms")]
    Incomplete,
}

/// Converts a day file to a script with the name `name`, which refers to its fleet as `fleet_name`.
///
/// # Errors
/// The text is not a day file, or lacks a part that a script needs.
pub fn import(
    json: &str,
    name: &str,
    fleet_name: &str,
    scale: ImportScale,
) -> Result<Imported, ImportError> {
    let day: DayFile = serde_json::from_str(json)?;
    let tier = day.tiers.first().ok_or(ImportError::NoTier)?;
    let machine = tier.kinds.first().ok_or(ImportError::NoMachine)?;
    let server_count = day.servers.len() as u32;
    let each_class_has_terms = day.classes.len() == day.family.class_terms.len();
    if server_count == 0 || day.balancers.is_empty() || !each_class_has_terms {
        return Err(ImportError::Incomplete);
    }
    let servers = server_count.min(scale.servers.max(1));
    let fronts = (day.balancers.len() as u32).min(scale.fronts.max(1));
    let fleet = FleetPlan {
        day: &day,
        tier,
        machine,
        cells: day.family.cells.min(servers),
        servers,
        rate_factor: scale.rates,
    };
    let mut text = format!(
        "# From the bench's day: {}, {}. Rates are {} of its own.\n",
        day.site, day.kind, scale.rates
    );
    let _ = writeln!(text, "name: {name:?}\nlength: \"{}ms\"", day.length / 1000);
    let _ = writeln!(text, "fronts: {fronts}\nfleet: {fleet_name:?}");
    write_servers(&mut text, &day, servers, machine.cores);
    write_traffic(
        &mut text,
        &day,
        f64::from(servers) / f64::from(server_count),
    );
    let _ = writeln!(text, "list_delay: \"{}us\"", day.discovery.list_delay);
    let left_out = write_faults(&mut text, &day, servers, fronts);
    Ok(Imported {
        day: text,
        fleet: fleet.text(),
        left_out,
    })
}

fn write_servers(text: &mut String, day: &DayFile, servers: u32, cores: u32) {
    let mean_work = day
        .classes
        .iter()
        .map(|class| class.work * class.share)
        .sum::<f64>();
    let _ = writeln!(
        text,
        "servers {{ count: {servers} cores: {cores} set_up_work: \"{mean_work:.0}us\" uneven: 0.2 segment: \"500ms\" }}"
    );
}

/// Writes the traffic. `server_fraction` is the fraction of the day's servers that the script has.
fn write_traffic(text: &mut String, day: &DayFile, server_fraction: f64) {
    let rate = day.traffic.load * day.family.capacity * server_fraction;
    let shares: Vec<String> = day
        .classes
        .iter()
        .map(|class| class.share.to_string())
        .collect();
    let _ = writeln!(
        text,
        "traffic {{\n  rate: {rate:.3}\n  share: [{}]\n  watch: \"{:.1}s\"\n  zipf: {:.3}\n  returns: {:.3}\n  \
         back_after: \"{:.0}us\"\n  honour: {:.3}\n  reconnect: 0.02\n}}",
        shares.join(", "),
        day.family.session_length_s,
        day.family.title_zipf,
        day.family.returns,
        day.family.return_after,
        day.clients.honour
    );
}

/// Writes all faults for which scripts have a kind. Returns the kinds of the others.
fn write_faults(text: &mut String, day: &DayFile, servers: u32, fronts: u32) -> Vec<String> {
    let mut left_out = Vec::new();
    for fault in &day.faults {
        if let Some(lines) = faults::fault_lines(fault, day, servers, fronts) {
            for line in lines {
                text.push_str(&line);
                text.push('\n');
            }
        } else {
            let _ = writeln!(text, "# Left out: {}", fault.kind);
            left_out.push(fault.kind.clone());
        }
    }
    left_out
}

#[cfg(test)]
mod tests;
