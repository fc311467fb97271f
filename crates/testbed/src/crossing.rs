//! What crossed between halls and what it was worth, by the servers' own records.
use crate::record::{Record, Reply, Seen};
use crankpaddle_config::Config;
use std::collections::{BTreeMap, HashMap};

const SECOND: u64 = 1_000_000_000;
/// Below this part of the rate a session earns less.
const WHOLE: f64 = 0.98;

/// A day's crossing and worth. Zones and classes by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Crossed {
    /// For each second of the day, what crossed at the rungs in force, kB a second: paid service, the rest.
    pub seconds: BTreeMap<u64, (f64, f64)>,
    /// What was watched by class, in seconds at a rung of worth 1 times the class's worth; less where less was sent than
    /// the rung promises.
    pub utility: BTreeMap<String, f64>,
    /// Media bytes by zone of the server, zone of the viewer and class.
    pub bytes: BTreeMap<(String, String, String), u64>,
}

struct Session<'a> {
    server: u32,
    zone: &'a str,
    class: usize,
    rung: u8,
    plays: Option<u64>, // Since when at this rung.
    rungs: Vec<(u64, u64, u8)>,
}

/// Reads it from records in the order of their times.
pub fn crossed(records: &[Record], config: &Config) -> Crossed {
    let mut all = Crossed::default();
    let mut sessions: HashMap<&str, Session<'_>> = HashMap::new();
    for Record { at, seen } in records {
        match seen {
            Seen::SetUp {
                name,
                server,
                class,
                zone,
                rung,
                ..
            } => {
                let Some(class) = config.classes.iter().position(|c| c == class) else {
                    continue;
                };
                let (server, rung) = (*server, *rung);
                sessions.insert(
                    name,
                    Session {
                        server,
                        zone,
                        class,
                        rung,
                        plays: None,
                        rungs: Vec::new(),
                    },
                );
            }
            Seen::Replied {
                name,
                reply: Reply::Plays,
            } => {
                sessions.entry(name).and_modify(|s| s.plays = Some(*at));
            }
            Seen::Rung { name, rung } => {
                if let Some(s) = sessions.get_mut(name.as_str()) {
                    let since = s.plays.replace(*at).filter(|since| since < at);
                    s.rungs.extend(since.map(|since| (since, *at, s.rung)));
                    s.rung = *rung;
                }
            }
            Seen::Ended { name, bytes } => {
                if let Some(mut s) = sessions.remove(name.as_str()) {
                    s.rungs.extend(s.plays.map(|since| (since, *at, s.rung)));
                    all.add(&s, *bytes, config);
                }
            }
            _ => {}
        }
    }
    all
}

impl Crossed {
    fn add(&mut self, s: &Session<'_>, bytes: u64, config: &Config) {
        let (settings, class) = (&config.settings, &config.settings.classes[s.class]);
        let kb = |rung: u8| {
            settings
                .rung_kb
                .get(usize::from(rung))
                .copied()
                .unwrap_or(0.0)
                * class.rate_factor
        };
        let from = &config.zones[s.server as usize % config.zones.len()];
        let key = (
            from.clone(),
            s.zone.to_owned(),
            config.classes[s.class].clone(),
        );
        *self.bytes.entry(key).or_default() += bytes;
        let length = |(from, to, _): &(u64, u64, u8)| (to - from) as f64 / SECOND as f64;
        let wanted: f64 = s.rungs.iter().map(|r| length(r) * kb(r.2) * 1000.0).sum();
        let earned: f64 = s
            .rungs
            .iter()
            .map(|r| {
                length(r)
                    * settings
                        .rung_utility
                        .get(usize::from(r.2))
                        .copied()
                        .unwrap_or(0.0)
            })
            .sum();
        let delivered = (bytes as f64 / (wanted * WHOLE).max(1.0)).min(1.0);
        *self
            .utility
            .entry(config.classes[s.class].clone())
            .or_default() += earned * class.priority_weight * delivered;
        if from != s.zone && !s.zone.is_empty() {
            let paid = class.idempotency == crankpaddle::Idempotency::AtMostOnce;
            for (from, to, rung) in &s.rungs {
                for second in from / SECOND..=to / SECOND {
                    let part = (second * SECOND + SECOND).min(*to) - (second * SECOND).max(*from);
                    let sum = self.seconds.entry(second).or_default();
                    let sum = if paid { &mut sum.0 } else { &mut sum.1 };
                    *sum += kb(*rung) * part as f64 / SECOND as f64;
                }
            }
        }
    }

    /// The largest rate that crossed over a few seconds between two times: all, and what was not paid for.
    pub fn peak(&self, from: u64, to: u64, over: u64) -> (f64, f64) {
        let at = |second: u64| self.seconds.get(&second).copied().unwrap_or_default();
        let mean = |second: u64, of: &dyn Fn((f64, f64)) -> f64| {
            (second..second + over).map(|s| of(at(s))).sum::<f64>() / over.max(1) as f64
        };
        let seconds = from / SECOND..(to / SECOND).saturating_sub(over.saturating_sub(1));
        seconds.fold((0.0, 0.0), |(all, rest), second| {
            (
                mean(second, &|(p, r)| p + r).max(all),
                mean(second, &|(_, r)| r).max(rest),
            )
        })
    }

    /// Seconds after a time until no more than `kb` crosses over each few seconds that follow, up to `to`.
    pub fn below(&self, kb: f64, after: u64, to: u64, over: u64) -> Option<u64> {
        let last = (to / SECOND).saturating_sub(over);
        let first = after / SECOND;
        (first..last)
            .find(|s| self.peak(s * SECOND, to, over).0 <= kb)
            .map(|s| s - first)
    }
}

#[cfg(test)]
mod tests;
