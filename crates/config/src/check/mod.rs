//! From text to a checked configuration: structure first, then every value.
use crate::schema;
use crate::{Config, Limits, Peers, Store, Title, DEFAULTS, DESCRIPTORS};
use crankpaddle::{Class, Idempotency, RetryScope, Settings};
use crankpaddle_cross_zone_traffic::budget::SharedBudget;
use crankpaddle_cross_zone_traffic::cross_zone_admission::CrossZoneLimit;
use crankpaddle_front::CoreConfig;
use crankpaddle_textproto::{Checks, Problem, Unit};
use std::collections::HashMap;

/// A checked configuration, and its text with all defaults filled in.
pub(crate) fn parse(text: &str) -> Result<(Config, String), Vec<Problem>> {
    let mut checks = Checks::new(text);
    let raw = checks.structure::<schema::Config>(DESCRIPTORS, "crankpaddle.v1.Config", DEFAULTS);
    let config = raw.map(|raw| Check(&mut checks).values(&raw));
    let filled = checks.filled().to_owned();
    checks.verdict(config.map(|config| (config, filled)))
}

/// Checks the values of a configuration.
struct Check<'a, 'b>(&'a mut Checks<'b>);

impl<'b> std::ops::Deref for Check<'_, 'b> {
    type Target = Checks<'b>;
    fn deref(&self) -> &Checks<'b> {
        self.0
    }
}

impl<'b> std::ops::DerefMut for Check<'_, 'b> {
    fn deref_mut(&mut self) -> &mut Checks<'b> {
        self.0
    }
}

impl Check<'_, '_> {
    fn values(&mut self, raw: &schema::Config) -> Config {
        for name in ["front", "fleet", "ladder", "class", "title"] {
            let there = self.has(name);
            self.must(there, name, "is missing");
        }
        let front = raw.front.clone().unwrap_or_default();
        let fleet = raw.fleet.clone().unwrap_or_default();
        let ladder = raw.ladder.clone().unwrap_or_default();
        let rules = raw.rules.clone().unwrap_or_default();
        let limits = raw.limits.clone().unwrap_or_default();
        let log = raw.log.clone().unwrap_or_default();

        let siblings = self.count("front.siblings", front.siblings, 1, 1_000_000);
        if front.index >= siblings {
            let last = siblings - 1;
            self.wrong(
                "front.index",
                format!(
                    "is {}; allowed: 0 to {last}, under front.siblings",
                    front.index
                ),
            );
        }
        let zones = self.names(
            "fleet.zone",
            "",
            &fleet.zone.iter().map(String::as_str).collect::<Vec<_>>(),
        );
        self.must(
            (1..=255).contains(&zones.len()),
            "fleet.zone",
            "1 to 255 zones are allowed",
        );
        let zone = zones
            .iter()
            .position(|z| *z == front.zone)
            .unwrap_or_else(|| {
                self.wrong(
                    "front.zone",
                    format!(
                        "{:?} is not in fleet.zone: {}",
                        front.zone,
                        zones.join(", ")
                    ),
                );
                0
            });
        let listen = self.address("front.listen", &front.listen);
        let list_service = self.address("front.list_service", &front.list_service);
        let kinds = self.names(
            "fleet.kind",
            ".name",
            &fleet
                .kind
                .iter()
                .map(|k| k.name.as_str())
                .collect::<Vec<_>>(),
        );
        self.must(
            !kinds.is_empty(),
            "fleet.kind",
            "is missing: one kind at least",
        );
        let places = fleet.kind.iter().enumerate();
        let places = places
            .map(|(i, k)| self.count(&format!("fleet.kind[{i}].places"), k.places, 1, 1_000_000))
            .collect();
        let cells = self.count("fleet.cells", fleet.cells(), 1, 65_535);
        let racks = self.count("fleet.racks", fleet.racks(), 1, 65_535);
        let fleet_kb = self.rate("fleet.links", &fleet.links);
        let link_kb = self.rate("fleet.link", &fleet.link);
        let uplink_kb = self.rate("fleet.uplink", &fleet.uplink);
        let server_guard = self.within("fleet.server_guard", fleet.server_guard, 0.0, 10.0);
        let join = self.within("fleet.join", fleet.join(), 0.0, 1.0);
        let note_delay = self.time("fleet.note_delay", fleet.note_delay());
        let note_every = self.time("fleet.note_every", fleet.note_every());

        let (rung_kb, rung_worth) = self.ladder(&ladder);
        let shortfall_cost =
            self.within("ladder.shortfall_cost", ladder.shortfall_cost(), 0.0, 100.0);
        let switch_seconds =
            self.within("ladder.switch_seconds", ladder.switch_seconds(), 0.0, 60.0);
        let classes = self.names(
            "class",
            ".name",
            &raw.class
                .iter()
                .map(|c| c.name.as_str())
                .collect::<Vec<_>>(),
        );
        let rungs = rung_kb.len().max(1) as u32;
        let (of_class, give_up) = raw
            .class
            .iter()
            .enumerate()
            .map(|(i, c)| self.class(i, c, rungs))
            .unzip();
        let tenants = self.names(
            "tenant",
            ".name",
            &raw.tenant
                .iter()
                .map(|t| t.name.as_str())
                .collect::<Vec<_>>(),
        );
        let quotas = raw.tenant.iter().enumerate();
        let tenant_quota = quotas
            .map(|(i, t)| self.within(&format!("tenant[{i}].quota"), t.quota, 0.001, 1e9))
            .collect();

        let (extra_floor, extra_share, extra_window) = match &rules.retry {
            None => (None, 0.0, 0),
            Some(retry) => (
                Some(self.within("rules.retry.floor", retry.floor, 0.0, 1e9)),
                self.within("rules.retry.share", retry.share, 0.0, 10.0),
                self.time("rules.retry.window", &retry.window),
            ),
        };
        let settings = Settings {
            front_index: front.index,
            replica_count: siblings,
            zone: zone as u8,
            classes: of_class,
            rung_kb,
            rung_utility: rung_worth,
            cells,
            racks,
            stream_capacity: places,
            fleet_link_kb: fleet_kb,
            link_kb,
            uplink_kb,
            server_rejection_threshold: server_guard,
            shared_stream_factor: join,
            update_delay: note_delay,
            update_interval: note_every,
            shortfall_cost,
            rung_change_cost_seconds: switch_seconds,
            tenant_quota,
            over_quota_weight: self.within(
                "rules.over_share_worth",
                rules.over_share_worth(),
                0.0,
                1.0,
            ),
            discovery_on_request: false,
            max_discovery_age: 0,
            max_attempts: self.count("rules.attempts", rules.attempts(), 1, 200),
            max_retry_after: self.time("rules.stay_away", rules.stay_away()),
            health_checks_allowed: false,
            gossip_allowed: false,
            cancel_allowed: true,
            slow_start_duration: self.time("rules.cold", rules.cold()),
            slow_start_min_factor: self.within("rules.cold_share", rules.cold_share(), 0.001, 1.0),
            overload_multiple: self.within(
                "rules.fall_multiple",
                rules.fall_multiple(),
                0.1,
                1000.0,
            ),
            overload_window: self.time("rules.fall", rules.fall()),
            retry_budget_min: extra_floor,
            retry_budget_ratio: extra_share,
            retry_budget_window: extra_window,
            cross_zone_price: self.within(
                "rules.cross_zone_price",
                rules.cross_zone_price(),
                0.0,
                1.0,
            ),
            migration_price: 0.0,
        };
        let terms = CoreConfig {
            max_wait: give_up,
            answer_margin: self.time("limits.answer_margin", limits.answer_margin()),
            resume_window: self.time("limits.resume", limits.resume()),
            recovered_resume_window: raw
                .store
                .first()
                .map_or(0, |store| self.time("store[0].back", store.back())),
            max_pending: self.count(
                "limits.open_requests",
                limits.open_requests(),
                1,
                10_000_000,
            ) as usize,
            max_pending_per_player: self.count(
                "limits.open_requests_per_connection",
                limits.open_requests_per_connection(),
                1,
                1_000_000,
            ) as usize,
            key_retention: self.time("limits.keep_keys", limits.keep_keys()),
            max_retained_keys: self.count("limits.keys_kept", limits.keys_kept(), 1, 10_000_000)
                as usize,
        };
        for (i, wait) in terms.max_wait.iter().enumerate() {
            let fits = terms.answer_margin <= wait / 2;
            let what = "is under twice limits.answer_margin(): no time is left to set a session up";
            self.must(fits, &format!("class[{i}].give_up"), what);
        }
        let (titles, groups) = self.titles(&raw.title, cells);
        let budgets = self.budgets(&raw.budget, &zones, &classes, zone);
        let peers = self.peers(&raw.peers);
        let store = self.store(&raw.store, settings.slow_start_duration);
        let log_level = log.level().to_owned();
        let levels = ["error", "warn", "info", "debug", "trace"];
        self.must(
            levels.contains(&log_level.as_str()),
            "log.level",
            "allowed: error, warn, info, debug, trace",
        );
        self.must(
            ["json", "human"].contains(&log.form()),
            "log.form",
            "allowed: json, human",
        );
        Config {
            settings,
            terms,
            limits: Limits {
                connections: self.count("limits.connections", limits.connections(), 1, 10_000_000)
                    as usize,
                message: self.size("limits.message", limits.message()),
                unread: self.size("limits.unread", limits.unread()),
                idle: self.time("limits.idle", limits.idle()),
                handshake: self.time("limits.handshake", limits.handshake()),
                connect: self.time("limits.connect", limits.connect()),
                pool_idle: self.time("limits.pool_idle", limits.pool_idle()),
                silence: self.time("limits.silence", limits.silence()),
                drain: self.time("limits.drain", limits.drain()),
            },
            listen,
            list_service,
            list_cache: (!front.list_cache.is_empty()).then(|| front.list_cache.into()),
            seed: (front.seed != 0).then_some(front.seed),
            workers: (front.workers != 0).then_some(front.workers as usize),
            classes,
            tenants,
            zones,
            kinds,
            groups,
            budgets,
            traffic_file: (!front.traffic_file.is_empty()).then(|| front.traffic_file.into()),
            titles,
            peers,
            store,
            log_level,
            log_json: log.form() != "human",
        }
    }

    fn ladder(&mut self, ladder: &schema::Ladder) -> (Vec<f64>, Vec<f64>) {
        let count = ladder.rung.len();
        self.must(
            (1..=64).contains(&count),
            "ladder.rung",
            "1 to 64 rungs are allowed",
        );
        let (mut rates, mut worths): (Vec<f64>, Vec<f64>) = (Vec::new(), Vec::new());
        for (i, rung) in ladder.rung.iter().enumerate() {
            let path = format!("ladder.rung[{i}]");
            let rate = self.rate(&format!("{path}.rate"), &rung.rate);
            let worth = self.within(&format!("{path}.worth"), rung.worth, 1e-9, 1.0);
            let rises = rates.last().is_none_or(|last| rate > *last);
            self.must(
                rises,
                &format!("{path}.rate"),
                "does not rise: each rung's rate is over the one before",
            );
            let earns = worths.last().is_none_or(|last| worth > *last);
            self.must(
                earns,
                &format!("{path}.worth"),
                "does not rise: each rung earns more than the one before",
            );
            rates.push(rate);
            worths.push(worth);
        }
        (rates, worths)
    }

    fn class(&mut self, i: usize, class: &schema::Class, rungs: u32) -> (Class, u64) {
        let path = |field: &str| format!("class[{i}].{field}");
        let group = match class.group() {
            schema::Group::All => RetryScope::All,
            schema::Group::Zone => RetryScope::Zone,
            schema::Group::Cell => RetryScope::Cell,
        };
        let (effect, repeat_within) = match class.effect() {
            schema::Effect::Free => (Idempotency::Idempotent, 0),
            schema::Effect::Paid => (Idempotency::AtMostOnce, 0),
            schema::Effect::Guarded => (
                Idempotency::IdempotentWithin(group),
                self.time(&path("repeat_within"), &class.repeat_within),
            ),
            schema::Effect::Unspecified => {
                self.wrong(&path("effect"), "is missing: FREE, GUARDED or PAID");
                (Idempotency::AtMostOnce, 0)
            }
        };
        let aim = self.time(&path("aim"), class.aim());
        let give_up = self.time(&path("give_up"), class.give_up());
        let later = "is under aim: viewers would give up before the wanted bound";
        self.must(
            give_up >= aim || class.give_up().is_empty(),
            &path("give_up"),
            later,
        );
        let top = self.count(&path("top"), class.top.unwrap_or(rungs - 1), 0, rungs - 1);
        let floor = self.count(&path("floor"), class.floor, 0, top);
        let checked = Class {
            latency_objective: aim,
            idempotency: effect,
            retry_window: repeat_within,
            priority_weight: self.within(&path("worth"), class.worth(), 1e-9, 1e9),
            min_rung: floor as u8,
            max_rung: top as u8,
            rate_factor: self.within(&path("rate_factor"), class.rate_factor(), 1e-3, 1e3),
            max_sessions_per_title: class.seats,
            live: class.live,
        };
        (checked, give_up)
    }

    /// Budgets of the viewers of a zone; those of the others are checked all the same.
    fn budgets(
        &mut self,
        budgets: &[schema::Budget],
        zones: &[String],
        classes: &[String],
        own: usize,
    ) -> Vec<CrossZoneLimit> {
        let mut seen = HashMap::new();
        let mut all = Vec::new();
        for (i, budget) in budgets.iter().enumerate() {
            let path = |field: &str| format!("budget[{i}].{field}");
            let zone = |check: &mut Self, field: &str, name: &str| {
                let number = zones.iter().position(|z| z == name);
                if number.is_none() {
                    check.wrong(
                        &path(field),
                        format!("{name:?} is not in fleet.zone: {}", zones.join(", ")),
                    );
                }
                number
            };
            let (from, to) = (
                zone(self, "from", &budget.from),
                zone(self, "to", &budget.to),
            );
            let apart = from.is_none() || from != to;
            self.must(
                apart,
                &path("to"),
                "is the zone that it comes from: only what crosses has a budget",
            );
            let class = classes.iter().position(|c| *c == budget.class);
            if class.is_none() && !budget.class.is_empty() {
                let known = classes.join(", ");
                self.wrong(
                    &path("class"),
                    format!("{:?} is not a class: {known}", budget.class),
                );
            }
            if let Some(first) = seen.insert((from, to, class), i) {
                let what =
                    format!("the same zones and class as budget[{first}]; a budget stands once");
                self.wrong(&path("from"), what);
            }
            let rate_kb = self.measure(&path("rate"), &budget.rate, Unit::Rate, 0.0);
            let burst = self.measure(&path("burst"), &budget.burst, Unit::Size, 1.0);
            let bounded = !budget.volume.is_empty() || !budget.period.is_empty();
            let volume = if bounded {
                self.size(&path("volume"), &budget.volume) as f64
            } else {
                f64::INFINITY
            };
            let period = if bounded {
                self.time(&path("period"), &budget.period)
            } else {
                0
            };
            let repay = self.time(&path("repay"), budget.repay());
            if let (Some(from), true) = (from, to == Some(own)) {
                let shared = SharedBudget {
                    rate_kb,
                    burst,
                    volume,
                    period,
                    repay,
                };
                all.push(CrossZoneLimit {
                    from: from as u8,
                    class: class.map(|c| c as u8),
                    shared,
                });
            }
        }
        all
    }

    fn peers(&mut self, peers: &[schema::Peers]) -> Option<Peers> {
        self.must(peers.len() <= 1, "peers[1]", "peers stand once");
        let peers = peers.first()?;
        let path = |field: &str| format!("peers[0].{field}");
        self.own_name(&path("name"), &peers.name);
        self.must(
            !peers.key_file.is_empty(),
            &path("key_file"),
            "is missing: a file of 32 hex digits",
        );
        let seeds = peers.seed.iter().enumerate();
        let seeds = seeds
            .map(|(i, seed)| self.address(&format!("peers[0].seed[{i}]"), seed))
            .collect();
        let names = peers
            .way
            .iter()
            .map(|w| w.name.as_str())
            .collect::<Vec<_>>();
        let names = self.names("peers[0].way", ".name", &names);
        let ways = peers.way.iter().enumerate();
        let ways =
            ways.map(|(i, way)| self.address(&format!("peers[0].way[{i}].address"), &way.address));
        let ways: Vec<_> = ways.collect();
        let probe_every = self.time(&path("probe_every"), peers.probe_every());
        self.must(
            probe_every >= 20_000_000,
            &path("probe_every"),
            "is under 20 ms: nobody could answer in time",
        );
        Some(Peers {
            name: peers.name.clone(),
            listen: self.address(&path("listen"), &peers.listen),
            address: (!peers.address.is_empty())
                .then(|| self.address(&path("address"), &peers.address)),
            seeds,
            key_file: peers.key_file.clone().into(),
            datagrams: self.count(&path("datagrams"), peers.datagrams(), 10, 100_000),
            bytes: (self.rate(&path("bytes"), peers.bytes()) * 1000.0) as usize,
            probe_every,
            ways: names.into_iter().zip(ways).collect(),
        })
    }

    fn store(&mut self, stores: &[schema::Store], warm: u64) -> Option<Store> {
        self.must(stores.len() <= 1, "store[1]", "a store stands once");
        let store = stores.first()?;
        let path = |field: &str| format!("store[0].{field}");
        self.must(
            !store.dir.is_empty(),
            &path("dir"),
            "is missing: a folder of this front's own",
        );
        self.own_name(&path("name"), &store.name);
        self.must(
            !store.key_file.is_empty(),
            &path("key_file"),
            "is missing: a file of 32 hex digits",
        );
        self.must(
            !store.boot_file().is_empty(),
            &path("boot_file"),
            "is empty: a file that differs with each boot",
        );
        let steps = crankpaddle_recovery::StageTimeouts {
            reconciliation_timeout: self.time(&path("settle"), store.settle()),
            paid_quiet_period: self.time(&path("calm"), store.calm()),
            paid_only_timeout: match &store.paid_first {
                Some(time) => self.time(&path("paid_first"), time),
                None => warm,
            },
            warm_up_duration: warm,
        };
        Some(Store {
            dir: store.dir.clone().into(),
            name: store.name.clone(),
            key_file: store.key_file.clone().into(),
            steps,
            boot_file: store.boot_file().into(),
        })
    }

    /// A front's name for itself.
    fn own_name(&mut self, path: &str, name: &str) {
        let named = !name.is_empty() && name.len() <= 64 && !name.contains(char::is_whitespace);
        self.must(
            named,
            path,
            "a name of 1 to 64 bytes without spaces is wanted",
        );
    }

    fn titles(
        &mut self,
        titles: &[schema::Title],
        cells: u32,
    ) -> (HashMap<String, Title>, Vec<String>) {
        self.names(
            "title",
            ".name",
            &titles.iter().map(|t| t.name.as_str()).collect::<Vec<_>>(),
        );
        let mut all = HashMap::new();
        let mut groups = vec![String::new()];
        for (i, title) in titles.iter().enumerate() {
            let first_cell = self.count(
                &format!("title[{i}].first_cell"),
                title.first_cell,
                0,
                cells - 1,
            );
            let copies = self.count(&format!("title[{i}].copies"), title.copies, 1, cells);
            let group = groups
                .iter()
                .position(|g| *g == title.group)
                .unwrap_or_else(|| {
                    groups.push(title.group.clone());
                    groups.len() - 1
                });
            self.must(
                group <= 1000,
                &format!("title[{i}].group"),
                "1000 groups are allowed at most",
            );
            let group = group as u16;
            all.insert(
                title.name.clone(),
                Title {
                    number: i as u64 + 1,
                    first_cell,
                    copies,
                    group,
                },
            );
        }
        (all, groups)
    }
}
