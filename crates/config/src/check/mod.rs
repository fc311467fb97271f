//! Converts a text into a checked configuration. The structure is checked first, then each value, section by section.
mod budgets;
mod classes;
mod fleet;
mod front;
mod ladder;
mod limits;
mod log;
mod peers;
mod rules;
mod settings;
mod store;
mod tenants;
mod titles;

use crate::schema;
use crate::{Config, Limits, Peers, Store, DEFAULTS, DESCRIPTORS};
use classes::Classes;
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_front::CoreConfig;
use crankpaddle_textproto::{Checks, Problem};
use fleet::FleetSettings;
use front::{FrontOptions, Replica, Zones};
use ladder::LadderSettings;
use log::LogSettings;
use rules::RuleSettings;
use settings::SettingsParts;
use std::path::PathBuf;
use std::time::Duration;
use tenants::Tenants;
use titles::Titles;

/// The sections that a file must have.
const REQUIRED_SECTIONS: [&str; 5] = ["front", "fleet", "ladder", "class", "title"];

/// Checks a text. Returns the configuration, and the text with all defaults filled in.
pub(crate) fn parse(text: &str) -> Result<(Config, String), Vec<Problem>> {
    let mut checks = Checks::new(text);
    let raw =
        checks.parse_message::<schema::Config>(DESCRIPTORS, "crankpaddle.v1.Config", DEFAULTS);
    let config: Option<Config> = raw.map(|raw| ConfigChecker(&mut checks).sections(&raw).into());
    let text_with_defaults = checks.text_with_defaults().to_owned();
    checks.into_result(config.map(|config| (config, text_with_defaults)))
}

/// The checked sections.
struct Sections {
    replica: Replica,
    zones: Zones,
    front: FrontOptions,
    fleet: FleetSettings,
    ladder: LadderSettings,
    classes: Classes,
    tenants: Tenants,
    rules: RuleSettings,
    core: CoreConfig,
    titles: Titles,
    budgets: Vec<CrossZoneLimit>,
    peers: Option<Peers>,
    store: Option<Store>,
    log: LogSettings,
    limits: Limits,
}

impl From<Sections> for Config {
    fn from(sections: Sections) -> Config {
        Config {
            kinds: sections.fleet.kinds.clone(),
            settings: settings::settings(SettingsParts {
                replica: sections.replica,
                zone: sections.zones.own,
                classes: sections.classes.classes,
                fleet: sections.fleet,
                ladder: sections.ladder,
                tenant_quota: sections.tenants.quotas,
                rules: sections.rules,
            }),
            terms: sections.core,
            limits: sections.limits,
            listen: sections.front.listen,
            list_service: sections.front.list_service,
            list_cache: sections.front.list_cache,
            seed: sections.front.seed,
            workers: sections.front.workers,
            classes: sections.classes.names,
            tenants: sections.tenants.names,
            zones: sections.zones.names,
            groups: sections.titles.groups,
            budgets: sections.budgets,
            traffic_file: sections.front.traffic_file,
            titles: sections.titles.titles,
            peers: sections.peers,
            store: sections.store,
            log_level: sections.log.level,
            log_json: sections.log.json,
        }
    }
}

/// Checks the values of a configuration. The method of a section reports its problems and always returns usable values, so
/// that the remaining sections are checked too.
struct ConfigChecker<'a, 'b>(&'a mut Checks<'b>);

impl<'b> std::ops::Deref for ConfigChecker<'_, 'b> {
    type Target = Checks<'b>;
    fn deref(&self) -> &Checks<'b> {
        self.0
    }
}

impl<'b> std::ops::DerefMut for ConfigChecker<'_, 'b> {
    fn deref_mut(&mut self) -> &mut Checks<'b> {
        self.0
    }
}

impl ConfigChecker<'_, '_> {
    fn sections(&mut self, raw: &schema::Config) -> Sections {
        self.required_sections();
        let front = raw.front.clone().unwrap_or_default();
        let fleet = raw.fleet.clone().unwrap_or_default();
        let limits = raw.limits.clone().unwrap_or_default();

        let replica = self.replica(&front);
        let zones = self.zones(&fleet, &front);
        let front = self.front_options(&front);
        let fleet = self.fleet(&fleet);
        let ladder = self.ladder(&raw.ladder.clone().unwrap_or_default());
        let classes = self.classes(&raw.class, &ladder);
        let tenants = self.tenants(&raw.tenant);
        let rules = self.rules(&raw.rules.clone().unwrap_or_default());
        Sections {
            core: self.core(&limits, raw.store.first(), classes.max_wait.clone()),
            titles: self.titles(&raw.title, fleet.cells),
            budgets: self.budgets(&raw.budget, &zones, &classes.names),
            peers: self.peers(&raw.peers),
            store: self.store(&raw.store, rules.slow_start_duration),
            log: self.log(&raw.log.clone().unwrap_or_default()),
            limits: self.limits(&limits),
            replica,
            zones,
            front,
            fleet,
            ladder,
            classes,
            tenants,
            rules,
        }
    }

    fn required_sections(&mut self) {
        for name in REQUIRED_SECTIONS {
            let is_present = self.has(name);
            self.require(is_present, name, "is missing");
        }
    }

    /// Reads a time, which must be longer than zero.
    fn duration(&mut self, path: &str, text: &str) -> Duration {
        Duration::from_nanos(self.time(path, text))
    }

    /// Checks the name that identifies a front among its peers or at servers.
    fn replica_name(&mut self, path: &str, name: &str) {
        const MAX_BYTES: usize = 64;
        let is_allowed =
            !name.is_empty() && name.len() <= MAX_BYTES && !name.contains(char::is_whitespace);
        self.require(
            is_allowed,
            path,
            "must be a name of 1 to 64 bytes without spaces",
        );
    }

    /// Checks the path of a file that holds a secret key.
    fn key_file(&mut self, path: &str, file: &str) -> PathBuf {
        self.require(
            !file.is_empty(),
            path,
            "is missing; allowed: the path of a file of 32 hex digits",
        );
        file.into()
    }
}
