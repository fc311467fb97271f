//! Computes cross-zone traffic and the utility of a scenario from the servers' records.
use crate::record::{Record, Reply, Seen};
use crankpaddle_config::Config;
use crankpaddle_time::{nanoseconds, Time};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// A session that received at least this fraction of the bytes that its rungs need earns its full utility.
const FULL_DELIVERY: f64 = 0.98;

/// A flow of media: from a zone to a zone, for the sessions of one class.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// Name of the server's zone.
    pub from: String,
    /// Name of the viewer's zone; empty where the front did not state it.
    pub to: String,
    /// Name of the sessions' class.
    pub class: String,
}

/// Cross-zone traffic of paid and unpaid sessions, kB a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrossZoneKb {
    /// Rate of the sessions of paid classes.
    pub paid: f64,
    /// Rate of all other sessions.
    pub unpaid: f64,
}

/// The highest mean rates of cross-zone traffic, kB a second. The two peaks may be at different times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeakKb {
    /// Peak of all cross-zone traffic.
    pub all: f64,
    /// Peak of the cross-zone traffic of unpaid sessions.
    pub unpaid: f64,
}

/// The cross-zone traffic and the utility of a scenario.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrossZoneTraffic {
    /// Cross-zone traffic by second of the records' clock, computed from the sessions' rungs at that time.
    pub seconds: BTreeMap<u64, CrossZoneKb>,
    /// Utility by name of the class: seconds watched, times the rung's utility, times the class's priority weight. It is
    /// reduced in proportion where fewer bytes were sent than the rungs need.
    pub utility: BTreeMap<String, f64>,
    /// Number of media bytes sent for each flow, including the flows within a zone.
    pub bytes: BTreeMap<FlowKey, u64>,
}

/// A period in which a session played at one rung.
struct RungPeriod {
    from: Time,
    to: Time,
    rung: u8,
}

impl RungPeriod {
    fn seconds(&self) -> f64 {
        seconds(self.to.duration_since(self.from))
    }
}

struct PlayedSession<'a> {
    server: u32,
    zone: &'a str,
    class: usize,
    rung: u8,
    /// Start of the current period at this rung; `None` before the session plays.
    playing_since: Option<Time>,
    periods: Vec<RungPeriod>,
}

impl PlayedSession<'_> {
    fn change_rung(&mut self, at: Time, rung: u8) {
        if let Some(from) = self.playing_since.replace(at).filter(|from| *from < at) {
            self.end_period(from, at);
        }
        self.rung = rung;
    }

    fn end_period(&mut self, from: Time, to: Time) {
        let rung = self.rung;
        self.periods.push(RungPeriod { from, to, rung });
    }
}

/// Converts a duration to seconds.
fn seconds(duration: Duration) -> f64 {
    nanoseconds(duration) as f64 / NANOSECONDS_PER_SECOND as f64
}

/// Number of the second that a time is in.
fn second_of(time: Time) -> u64 {
    time.as_nanos() / NANOSECONDS_PER_SECOND
}

/// The start of a second.
fn start_of(second: u64) -> Time {
    Time::ZERO + Duration::from_secs(second)
}

/// Computes traffic and utility from records that are sorted by time. Only sessions that have ended are counted.
#[must_use]
pub fn cross_zone_traffic(records: &[Record], config: &Config) -> CrossZoneTraffic {
    let mut traffic = CrossZoneTraffic::default();
    let mut sessions: HashMap<&str, PlayedSession<'_>> = HashMap::new();
    for Record { at, seen } in records {
        match seen {
            Seen::SetUp { name, .. } => {
                if let Some(session) = new_session(seen, config) {
                    sessions.insert(name, session);
                }
            }
            Seen::Replied {
                name,
                reply: Reply::Plays,
            } => {
                if let Some(session) = sessions.get_mut(name.as_str()) {
                    session.playing_since = Some(*at);
                }
            }
            Seen::Rung { name, rung } => {
                if let Some(session) = sessions.get_mut(name.as_str()) {
                    session.change_rung(*at, *rung);
                }
            }
            Seen::Ended { name, bytes } => {
                if let Some(mut session) = sessions.remove(name.as_str()) {
                    if let Some(from) = session.playing_since {
                        session.end_period(from, *at);
                    }
                    traffic.add_session(&session, *bytes, config);
                }
            }
            _ => {}
        }
    }
    traffic
}

/// The session of a set-up record; `None` where the class is unknown.
fn new_session<'a>(seen: &'a Seen, config: &Config) -> Option<PlayedSession<'a>> {
    let Seen::SetUp {
        server,
        class,
        zone,
        rung,
        ..
    } = seen
    else {
        return None;
    };
    let class = config.classes.iter().position(|name| name == class)?;
    Some(PlayedSession {
        server: *server,
        zone,
        class,
        rung: *rung,
        playing_since: None,
        periods: Vec::new(),
    })
}

impl CrossZoneTraffic {
    /// Adds a session that has ended, for which `bytes` media bytes were sent.
    fn add_session(&mut self, session: &PlayedSession<'_>, bytes: u64, config: &Config) {
        let settings = &config.settings;
        let class = &settings.classes[session.class];
        let class_name = &config.classes[session.class];
        let value_at = |values: &[f64], rung: u8| {
            let value = values.get(usize::from(rung));
            value.copied().unwrap_or(0.0)
        };
        let rate_kb = |rung: u8| value_at(&settings.rung_kb, rung) * class.rate_factor;
        let from = &config.zones[session.server as usize % config.zones.len()];
        let flow = FlowKey {
            from: from.clone(),
            to: session.zone.to_owned(),
            class: class_name.clone(),
        };
        *self.bytes.entry(flow).or_default() += bytes;
        let periods = session.periods.iter();
        let needed_bytes: f64 = periods
            .clone()
            .map(|period| period.seconds() * rate_kb(period.rung) * 1000.0)
            .sum();
        let earned: f64 = periods
            .map(|period| period.seconds() * value_at(&settings.rung_utility, period.rung))
            .sum();
        let delivered = (bytes as f64 / (needed_bytes * FULL_DELIVERY).max(1.0)).min(1.0);
        *self.utility.entry(class_name.clone()).or_default() +=
            earned * class.priority_weight * delivered;
        if from == session.zone || session.zone.is_empty() {
            return;
        }
        let paid = class.idempotency == crankpaddle::Idempotency::AtMostOnce;
        for period in &session.periods {
            self.add_period(period, rate_kb(period.rung), paid);
        }
    }

    /// Adds a period's cross-zone traffic at `rate_kb` to each second of the period.
    fn add_period(&mut self, period: &RungPeriod, rate_kb: f64, paid: bool) {
        for second in second_of(period.from)..=second_of(period.to) {
            let start = start_of(second);
            let end = start + SECOND;
            let duration_in_second = end.min(period.to).duration_since(start.max(period.from));
            let traffic = self.seconds.entry(second).or_default();
            let sum = if paid {
                &mut traffic.paid
            } else {
                &mut traffic.unpaid
            };
            *sum +=
                rate_kb * nanoseconds(duration_in_second) as f64 / NANOSECONDS_PER_SECOND as f64;
        }
    }

    /// The highest mean rates over any `window_seconds` seconds from `from` to `to`.
    #[must_use]
    pub fn peak(&self, from: Time, to: Time, window_seconds: u64) -> PeakKb {
        let at = |second: u64| self.seconds.get(&second).copied().unwrap_or_default();
        let mean = |second: u64, rate_of: &dyn Fn(CrossZoneKb) -> f64| {
            let window = second..second + window_seconds;
            window.map(|second| rate_of(at(second))).sum::<f64>() / window_seconds.max(1) as f64
        };
        let seconds =
            second_of(from)..second_of(to).saturating_sub(window_seconds.saturating_sub(1));
        let no_traffic = PeakKb {
            all: 0.0,
            unpaid: 0.0,
        };
        seconds.fold(no_traffic, |peak, second| PeakKb {
            all: mean(second, &|kb| kb.paid + kb.unpaid).max(peak.all),
            unpaid: mean(second, &|kb| kb.unpaid).max(peak.unpaid),
        })
    }

    /// Number of seconds after `after` from which on, until `to`, the mean rate over any `window_seconds` seconds is at most
    /// `rate_kb`, kB a second. `None` where there is no such time.
    #[must_use]
    pub fn below(&self, rate_kb: f64, after: Time, to: Time, window_seconds: u64) -> Option<u64> {
        let last = second_of(to).saturating_sub(window_seconds);
        let first = second_of(after);
        (first..last)
            .find(|second| self.peak(start_of(*second), to, window_seconds).all <= rate_kb)
            .map(|second| second - first)
    }
}

#[cfg(test)]
mod tests;
