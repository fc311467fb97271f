//! Which part of a shared budget a front may use, found from what servers report and never by talking.
//!
//! An equal part, the rate over the number of fronts, is always safe and always had; but with the load on few fronts it
//! leaves nearly all of the budget unused. Fronts hear the same servers, and a server knows the zone of the front of each
//! session: its reports say what crosses a pair of zones in all. From that each front moves its part:
//!
//! - **up, slowly**, while it wants more and the reports show room: by `GROWTH` of the room, times its own weight
//!   among all (its use, or its equal part where that is more, over all use and the budget). The weights of all fronts
//!   are 1 in all at the most, so together they take no more than that share of the room in a step, and reports
//!   that lag some steps do not let the sum pass the budget;
//! - **down**: at once to its share of the budget when the reports show more than the budget, and to the equal part when
//!   reports are missing or late; within some half a minute to what it uses when it wants no more.
//!
//! Bound: beyond the budget goes only what fronts at rest start within their equal parts before the others have heard of
//! it and given back: less than the budget once more, (N - 1) / N of it, for the reports' delay and the length of a
//! session (previews that cross are lowered sooner). Without reports the sum is the budget.
use std::collections::{BTreeMap, VecDeque};

/// Of the room that reports show, so much is taken in a step (a second) by all fronts together. What crosses follows the
/// parts by about the length of a session, so room seems to be there for that long after it was given away. Danger: at a
/// quarter of the room a step the fronts swing around the budget and use 7 in 100 more than it on the mean.
const GROWTH: f64 = 0.04;
/// Room ends this much below the budget: chance lifts what crosses over it at times, and then all give back.
const FULL: f64 = 0.99;
/// A part is this much above its use at the most, or an equal one: what is not used must be there for others.
const AHEAD: f64 = 1.5;
/// A report older than this is no report, nanoseconds.
pub const FRESH: u64 = 3_500_000_000;
/// Time between looks, nanoseconds.
const LOOK: u64 = 1_000_000_000;
/// A front that was held back wants more for so long, nanoseconds.
const WANTS: u64 = 10_000_000_000;
/// Weight of a look in the mean use. Sessions start in heaps, whenever the debt is down again; a part that followed each
/// heap and gap would fall back to an equal one again and again.
const MEAN: f64 = 1.0 / 15.0;

/// What servers of a zone report as crossing to one other, by class, all fronts together.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    heard: BTreeMap<u32, (u64, BTreeMap<u8, f64>)>, // When, and kB a second by class.
}

impl UsageReports {
    /// A server reports what it sends across, kB a second by class. A report older than one that was heard is nothing.
    pub fn record(&mut self, server: u32, at: u64, kb: BTreeMap<u8, f64>) {
        let known = self.heard.entry(server).or_insert((at, BTreeMap::new()));
        if at >= known.0 {
            *known = (at, kb);
        }
    }

    /// A server is gone, and nothing crosses from it.
    pub fn server_removed(&mut self, server: u32) {
        self.heard.remove(&server);
    }

    /// kB a second of the classes that `of` takes, from all `servers`, and the time of the oldest report; `None` where
    /// one has not reported of late.
    pub fn total(
        &self,
        now: u64,
        servers: impl Iterator<Item = u32>,
        of: impl Fn(u8) -> bool,
    ) -> Option<(u64, f64)> {
        let (mut oldest, mut sum) = (now, 0.0);
        for server in servers {
            let (at, kb) = self.heard.get(&server)?;
            if now.saturating_sub(*at) > FRESH {
                return None;
            }
            oldest = oldest.min(*at);
            sum += kb
                .iter()
                .filter(|(class, _)| of(**class))
                .map(|(_, kb)| kb)
                .sum::<f64>();
        }
        Some((oldest, sum))
    }
}

/// A front's part of one budget.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    equal: f64,
    part: f64,
    mean: f64,                 // Of the use.
    own: VecDeque<(u64, f64)>, // Use at late looks.
    wanted: Option<u64>,
}

impl QuotaShare {
    /// An equal part.
    pub fn new(equal: f64) -> QuotaShare {
        QuotaShare {
            equal,
            part: equal,
            mean: 0.0,
            own: VecDeque::new(),
            wanted: None,
        }
    }

    /// The equal part.
    pub fn equal(&self) -> f64 {
        self.equal
    }

    /// A session was held back, or would have been.
    pub fn request_more(&mut self, now: u64) {
        self.wanted = Some(now);
    }

    /// Whether more was wanted of late; then reports of all servers are worth hearing.
    pub fn has_demand(&self, now: u64) -> bool {
        self.wanted
            .is_some_and(|at| now.saturating_sub(at) <= WANTS)
    }

    /// Whether more than an equal part is held, which only reports allow.
    pub fn exceeds_equal_share(&self) -> bool {
        self.part > self.equal * 1.01
    }

    /// Looks anew, about once a second: `own` use now, and all use at an earlier time where every server reported; both
    /// over the budget's rate.
    pub fn update(&mut self, now: u64, own: f64, all: Option<(u64, f64)>) -> f64 {
        self.mean += MEAN * (own - self.mean);
        self.own.push_back((now, own));
        self.own
            .retain(|(at, _)| now.saturating_sub(*at) <= 2 * FRESH);
        let Some((at, all)) = all else {
            self.part = self.equal;
            return self.part;
        };
        // Danger: our use of now held against all of some seconds ago is a share of nothing: a front whose sessions were
        // just lowered took itself for a small one and gave back what it alone had used.
        // Looks and reports are out of step by up to a second, and the larger use in that time is taken for it.
        let near = self
            .own
            .iter()
            .filter(|(t, _)| t.abs_diff(at) <= LOOK)
            .map(|(_, own)| *own);
        let then = near.reduce(f64::max).unwrap_or(own).max(self.mean);
        if all > 1.0 {
            self.part = self.part.min(then.min(all) / all);
        } else if self.has_demand(now) {
            let weight = own.max(self.equal) / (1.0 + all);
            let most = (own.max(self.mean) * AHEAD).max(self.equal);
            self.part = (self.part + GROWTH * (FULL - all).max(0.0) * weight).min(most);
        } else {
            self.part = self.part.min(own.max(self.mean));
        }
        self.part = self.part.clamp(self.equal, 1.0);
        self.part
    }
}

#[cfg(test)]
mod tests;
