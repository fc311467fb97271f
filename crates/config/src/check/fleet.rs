//! Checks the section `fleet`: the kinds, cells, racks and links of the servers.
use super::ConfigChecker;
use crate::schema;

const MAX_STREAMS_PER_SERVER: u32 = 1_000_000;
/// Cells and racks have 16-bit numbers.
const MAX_CELLS_OR_RACKS: u32 = 65_535;

/// The checked section. Rates are in kB per second, times in nanoseconds.
pub(super) struct FleetSettings {
    pub(super) kinds: Vec<String>,
    pub(super) stream_capacity: Vec<u32>,
    pub(super) cells: u32,
    pub(super) racks: u32,
    pub(super) fleet_link_kb: f64,
    pub(super) link_kb: f64,
    pub(super) uplink_kb: f64,
    pub(super) server_rejection_threshold: f64,
    pub(super) shared_stream_factor: f64,
    pub(super) update_delay: u64,
    pub(super) update_interval: u64,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn fleet(&mut self, fleet: &schema::Fleet) -> FleetSettings {
        FleetSettings {
            kinds: self.kinds(&fleet.kind),
            stream_capacity: self.stream_capacity(&fleet.kind),
            cells: self.count("fleet.cells", fleet.cells(), 1, MAX_CELLS_OR_RACKS),
            racks: self.count("fleet.racks", fleet.racks(), 1, MAX_CELLS_OR_RACKS),
            fleet_link_kb: self.rate("fleet.links", &fleet.links),
            link_kb: self.rate("fleet.link", &fleet.link),
            uplink_kb: self.rate("fleet.uplink", &fleet.uplink),
            server_rejection_threshold: self.number_in_range(
                "fleet.server_guard",
                fleet.server_guard,
                0.0,
                10.0,
            ),
            shared_stream_factor: self.number_in_range("fleet.join", fleet.join(), 0.0, 1.0),
            update_delay: self.time("fleet.note_delay", fleet.note_delay()),
            update_interval: self.time("fleet.note_every", fleet.note_every()),
        }
    }

    fn kinds(&mut self, kinds: &[schema::Kind]) -> Vec<String> {
        let names: Vec<&str> = kinds.iter().map(|kind| kind.name.as_str()).collect();
        let names = self.unique_names("fleet.kind", ".name", &names);
        self.require(
            !names.is_empty(),
            "fleet.kind",
            "is missing; allowed: one or more kinds",
        );
        names
    }

    /// Returns the maximum number of streams on a server of each kind.
    fn stream_capacity(&mut self, kinds: &[schema::Kind]) -> Vec<u32> {
        let mut capacities = Vec::with_capacity(kinds.len());
        for (index, kind) in kinds.iter().enumerate() {
            let path = format!("fleet.kind[{index}].places");
            capacities.push(self.count(&path, kind.places, 1, MAX_STREAMS_PER_SERVER));
        }
        capacities
    }
}
