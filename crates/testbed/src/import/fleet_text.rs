//! Converts the fleet of a day file to the text of a configuration.
use super::day_file::{Class, ClassTerms, DayFile, Machine, Tier};
use crate::script::FLEET;
use std::fmt::Write;

/// The parts of a day file from which the fleet's configuration is written.
pub(super) struct FleetPlan<'a> {
    pub(super) day: &'a DayFile,
    pub(super) tier: &'a Tier,
    pub(super) machine: &'a Machine,
    /// Number of cells of the scaled fleet.
    pub(super) cells: u32,
    /// Number of servers of the scaled fleet.
    pub(super) servers: u32,
    /// Factor of all media rates and bandwidths.
    pub(super) rate_factor: f64,
}

impl FleetPlan<'_> {
    /// Text of the configuration without the front block.
    pub(super) fn text(&self) -> String {
        let mut text = self.fleet_block();
        self.write_ladder(&mut text);
        let family = &self.day.family;
        for (class, terms) in self.day.classes.iter().zip(&family.class_terms) {
            self.write_class(&mut text, class, terms);
        }
        self.write_rules(&mut text);
        write_limits(&mut text);
        self.write_titles(&mut text);
        text
    }

    fn fleet_block(&self) -> String {
        let family = &self.day.family;
        let cores = f64::from(self.machine.cores);
        let zones: Vec<String> = self
            .day
            .zones
            .iter()
            .map(|zone| format!("{zone:?}"))
            .collect();
        let cells = self.cells;
        let racks = family.racks.min(cells);
        let link = family.core_kb * cores * self.rate_factor;
        let uplink_count = family.uplink_kb.len().max(1) as f64;
        let uplink = family.uplink_kb.iter().sum::<f64>() / uplink_count;
        let uplink =
            uplink * self.rate_factor * f64::from(self.servers) / self.day.servers.len() as f64;
        let places = (family.core_slots * cores).round().max(1.0);
        format!(
            "fleet {{\n  zone: [{}]\n  cells: {cells}\n  racks: {racks}\n  kind {{ name: {:?} places: {places} }}\n  \
             links: \"{:.3}kB/s\"\n  link: \"{link:.3}kB/s\"\n  uplink: \"{uplink:.3}kB/s\"\n  server_guard: {}\n  \
             join: {}\n  note_delay: \"{}us\"\n  note_every: \"{}us\"\n}}\n",
            zones.join(", "),
            self.machine.name,
            link * f64::from(self.servers),
            family.guard,
            family.join,
            family.report_delay,
            family.report_interval.max(1)
        )
    }

    fn write_ladder(&self, text: &mut String) {
        let family = &self.day.family;
        text.push_str("ladder {\n");
        for (kb, utility) in family.rung_kb.iter().zip(&family.rung_utility) {
            let kb = kb * self.rate_factor;
            let _ = writeln!(text, "  rung {{ rate: \"{kb:.3}kB/s\" worth: {utility} }}");
        }
        let _ = writeln!(
            text,
            "  shortfall_cost: {}\n  switch_seconds: {}\n}}",
            family.shortfall_cost, family.switch_seconds
        );
    }

    fn write_class(&self, text: &mut String, class: &Class, terms: &ClassTerms) {
        let highest_rung = self.day.family.rung_kb.len() as u32 - 1;
        let _ = writeln!(
            text,
            "class {{\n  name: {:?}\n  effect: {}\n  aim: \"{}us\"\n  give_up: \"{}us\"\n  worth: {}\n  \
             floor: {}\n  top: {}\n  rate_factor: {}\n  seats: {:.0}\n  live: {}\n}}",
            class.name,
            effect(class),
            class.latency_objective,
            class.deadline,
            class.priority_weight,
            terms.lowest_rung.min(highest_rung),
            terms.highest_rung.min(highest_rung),
            terms.rate_factor,
            terms.seats,
            terms.live
        );
    }

    fn write_rules(&self, text: &mut String) {
        let day = self.day;
        let _ = writeln!(
            text,
            "rules {{\n  attempts: {}\n  stay_away: \"{}us\"\n  cold: \"{}us\"\n  cold_share: {}\n  fall_multiple: {}\n  \
             fall: \"{}us\"\n  over_share_worth: 0.1\n  cross_zone_price: 0.01\n}}",
            day.allow.max_attempts,
            day.clients.max_retry_after.max(1),
            self.tier.slow_start_duration.max(1),
            self.tier.slow_start_min_factor,
            day.overload_multiple,
            day.overload_window
        );
    }

    fn write_titles(&self, text: &mut String) {
        let (family, cells) = (&self.day.family, self.cells);
        let copies = (family.copies.round() as u32 + 2)
            .clamp(3, cells.max(3))
            .min(cells);
        for number in 0..family.titles.max(1) {
            let first_cell = (number * 5) % cells;
            let _ = writeln!(
                text,
                "title {{ name: \"t{number:04}\" first_cell: {first_cell} copies: {copies} }}"
            );
        }
    }
}

/// The idempotency of a class in the form of a configuration.
fn effect(class: &Class) -> String {
    match class.effect.as_str() {
        "unsafe" => "PAID".to_owned(),
        "keyed" => {
            let group = class.group.to_uppercase();
            let window = class.idempotency_window;
            format!("GUARDED group: {group} repeat_within: \"{window}us\"")
        }
        _ => "FREE".to_owned(),
    }
}

/// Writes the limits of the built-in fleet, because a day file has no limits of connections.
fn write_limits(text: &mut String) {
    let limits = FLEET
        .split("limits {")
        .nth(1)
        .and_then(|rest| rest.split('}').next())
        .unwrap_or("");
    let _ = writeln!(text, "limits {{{limits}}}");
}
