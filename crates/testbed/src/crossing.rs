//! Traffic between zones and the utility of a day, by the servers' own records.
use crate::record::{Record, Reply, Seen};
use crankpaddle_config::Config;
use crankpaddle_time::{nanoseconds, Time};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// A session that got at least this part of its rate earns its full utility.
const FULL_DELIVERY: f64 = 0.98;

/// A direction of traffic and the class of its sessions, by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FlowKey {
    /// Zone of the server.
    pub from: String,
    /// Zone of the viewer.
    pub to: String,
    /// Class of the session.
    pub class: String,
}

/// Traffic between zones by the kind of service, kB a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrossZoneKb {
    /// Of paid service.
    pub paid: f64,
    /// Of the rest.
    pub unpaid: f64,
}

/// The highest mean rates of traffic between zones, kB a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeakKb {
    /// Of all traffic.
    pub all: f64,
    /// Of what is not paid for.
    pub unpaid: f64,
}

/// A day's traffic between zones and its utility.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Crossed {
    /// The traffic between zones in each second of the clock, at the rungs in force.
    pub seconds: BTreeMap<u64, CrossZoneKb>,
    /// Utility by class: seconds watched, times the rung's utility, times the class's priority weight; less where fewer
    /// bytes were sent than the rung needs.
    pub utility: BTreeMap<String, f64>,
    /// Media bytes of each flow, also within a zone.
    pub bytes: BTreeMap<FlowKey, u64>,
}

/// A time at one rung.
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

struct Session<'a> {
    server: u32,
    zone: &'a str,
    class: usize,
    rung: u8,
    /// Since when it plays at this rung; `None` before it plays.
    playing_since: Option<Time>,
    periods: Vec<RungPeriod>,
}

impl Session<'_> {
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

/// A duration in seconds, from its whole nanoseconds.
fn seconds(duration: Duration) -> f64 {
    nanoseconds(duration) as f64 / NANOSECONDS_PER_SECOND as f64
}

/// The second of the clock that a time is in.
fn second_of(time: Time) -> u64 {
    time.as_nanos() / NANOSECONDS_PER_SECOND
}

/// The time at which a second of the clock begins.
fn start_of(second: u64) -> Time {
    Time::ZERO + Duration::from_secs(second)
}

/// Computes the traffic from records in the order of their times.
#[must_use]
pub fn crossed(records: &[Record], config: &Config) -> Crossed {
    let mut all = Crossed::default();
    let mut sessions: HashMap<&str, Session<'_>> = HashMap::new();
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
                    all.add(&session, *bytes, config);
                }
            }
            _ => {}
        }
    }
    all
}

/// The session of a set-up, where its class is known.
fn new_session<'a>(seen: &'a Seen, config: &Config) -> Option<Session<'a>> {
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
    Some(Session {
        server: *server,
        zone,
        class,
        rung: *rung,
        playing_since: None,
        periods: Vec::new(),
    })
}

impl Crossed {
    fn add(&mut self, session: &Session<'_>, bytes: u64, config: &Config) {
        let settings = &config.settings;
        let class = &settings.classes[session.class];
        let class_name = &config.classes[session.class];
        let of_rung = |values: &[f64], rung: u8| {
            let value = values.get(usize::from(rung));
            value.copied().unwrap_or(0.0)
        };
        let kb = |rung: u8| of_rung(&settings.rung_kb, rung) * class.rate_factor;
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
            .map(|period| period.seconds() * kb(period.rung) * 1000.0)
            .sum();
        let earned: f64 = periods
            .map(|period| period.seconds() * of_rung(&settings.rung_utility, period.rung))
            .sum();
        let delivered = (bytes as f64 / (needed_bytes * FULL_DELIVERY).max(1.0)).min(1.0);
        *self.utility.entry(class_name.clone()).or_default() +=
            earned * class.priority_weight * delivered;
        if from == session.zone || session.zone.is_empty() {
            return;
        }
        let paid = class.idempotency == crankpaddle::Idempotency::AtMostOnce;
        for period in &session.periods {
            self.add_period(period, kb(period.rung), paid);
        }
    }

    /// Adds the traffic of a period between zones to each of its seconds.
    fn add_period(&mut self, period: &RungPeriod, kb: f64, paid: bool) {
        for second in second_of(period.from)..=second_of(period.to) {
            let start = start_of(second);
            let end = start + SECOND;
            let part = end.min(period.to).duration_since(start.max(period.from));
            let traffic = self.seconds.entry(second).or_default();
            let sum = if paid {
                &mut traffic.paid
            } else {
                &mut traffic.unpaid
            };
            *sum += kb * nanoseconds(part) as f64 / NANOSECONDS_PER_SECOND as f64;
        }
    }

    /// The highest mean rates over `over` seconds within two times.
    #[must_use]
    pub fn peak(&self, from: Time, to: Time, over: u64) -> PeakKb {
        let at = |second: u64| self.seconds.get(&second).copied().unwrap_or_default();
        let mean = |second: u64, of: &dyn Fn(CrossZoneKb) -> f64| {
            (second..second + over).map(|s| of(at(s))).sum::<f64>() / over.max(1) as f64
        };
        let seconds = second_of(from)..second_of(to).saturating_sub(over.saturating_sub(1));
        let none = PeakKb {
            all: 0.0,
            unpaid: 0.0,
        };
        seconds.fold(none, |peak, second| PeakKb {
            all: mean(second, &|kb| kb.paid + kb.unpaid).max(peak.all),
            unpaid: mean(second, &|kb| kb.unpaid).max(peak.unpaid),
        })
    }

    /// Seconds after `after` until the mean rate over each `over` seconds that follow, up to `to`, is at most `kb`; `None`
    /// if it never is.
    #[must_use]
    pub fn below(&self, kb: f64, after: Time, to: Time, over: u64) -> Option<u64> {
        let last = second_of(to).saturating_sub(over);
        let first = second_of(after);
        (first..last)
            .find(|s| self.peak(start_of(*s), to, over).all <= kb)
            .map(|s| s - first)
    }
}

#[cfg(test)]
mod tests;
