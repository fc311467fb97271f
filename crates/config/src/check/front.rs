//! Checks the section `front`: the front's replica index, zone, addresses and files.
use super::ConfigChecker;
use crate::schema;
use std::net::SocketAddr;
use std::path::PathBuf;

const MAX_REPLICAS: u32 = 1_000_000;
/// Zones have 8-bit numbers.
const MAX_ZONES: usize = 255;

/// The front's index among the fleet's replicas, and their number.
pub(super) struct Replica {
    pub(super) index: u32,
    pub(super) count: u32,
}

/// The names of all zones, and the index of the front's own zone.
pub(super) struct Zones {
    pub(super) names: Vec<String>,
    pub(super) own: usize,
}

/// The front's addresses and files, its seed and its number of worker threads.
pub(super) struct FrontOptions {
    pub(super) listen: SocketAddr,
    pub(super) list_service: SocketAddr,
    pub(super) list_cache: Option<PathBuf>,
    pub(super) traffic_file: Option<PathBuf>,
    pub(super) seed: Option<u64>,
    pub(super) workers: Option<usize>,
}

impl ConfigChecker<'_, '_> {
    pub(super) fn replica(&mut self, front: &schema::Front) -> Replica {
        let count = self.count("front.siblings", front.siblings, 1, MAX_REPLICAS);
        let index = front.index;
        if index >= count {
            let last = count - 1;
            let message = format!("is {index}; allowed: 0 to {last}, under front.siblings");
            self.report_problem("front.index", message);
        }
        Replica { index, count }
    }

    pub(super) fn zones(&mut self, fleet: &schema::Fleet, front: &schema::Front) -> Zones {
        let names: Vec<&str> = fleet.zone.iter().map(String::as_str).collect();
        let names = self.unique_names("fleet.zone", "", &names);
        self.require(
            (1..=MAX_ZONES).contains(&names.len()),
            "fleet.zone",
            "1 to 255 zones are allowed",
        );
        let own = self.zone_index(&names, "front.zone", &front.zone);
        Zones {
            names,
            own: own.unwrap_or(0),
        }
    }

    /// Returns the index of a zone. An unknown name is reported and gives `None`.
    pub(super) fn zone_index(&mut self, zones: &[String], path: &str, name: &str) -> Option<usize> {
        let index = zones.iter().position(|zone| zone == name);
        if index.is_none() {
            let known = zones.join(", ");
            self.report_problem(path, format!("{name:?} is not in fleet.zone: {known}"));
        }
        index
    }

    pub(super) fn front_options(&mut self, front: &schema::Front) -> FrontOptions {
        FrontOptions {
            listen: self.address("front.listen", &front.listen),
            list_service: self.address("front.list_service", &front.list_service),
            list_cache: optional_path(&front.list_cache),
            traffic_file: optional_path(&front.traffic_file),
            seed: (front.seed != 0).then_some(front.seed),
            workers: (front.workers != 0).then_some(front.workers as usize),
        }
    }
}

fn optional_path(path: &str) -> Option<PathBuf> {
    (!path.is_empty()).then(|| path.into())
}
