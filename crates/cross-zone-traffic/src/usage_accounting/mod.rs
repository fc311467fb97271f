//! Bytes by flow: what servers counted, and where no count came, what the rung in force and the share delivered make.
//!
//! Servers state cumulative counts of each session while it plays and when it ends. They come late, doubled, out of
//! order or not at all; a count is cumulative, so a missing one costs nothing and a doubled one changes nothing. Bytes
//! are settled when their time is old enough that a count of it would have come: between two counts they are spread
//! evenly (measured), beyond the last they follow the rung in force, times the share that the server said it delivers
//! (corrected), or the rung alone (estimated). What is settled stays in its second. A count that shows that too much was
//! settled takes it off the total of the flow (overstated), so totals agree with the servers in the end and can go back
//! by what one session was overstated.
use crate::windows::{Span, Windows};
use crate::SECOND;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound;

/// What a set-up's bytes came to serve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Purpose {
    /// A session that played at its first attempt.
    #[default]
    Playing,
    /// One that played at a further attempt.
    Again,
    /// An attempt that came to nothing for its viewer.
    Nothing,
}

/// Which way bytes went, and for whom.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Zone of the server.
    pub from: u8,
    /// Zone of the viewer, which is that of his front.
    pub to: u8,
    /// Class.
    pub class: u8,
    /// Tenant.
    pub tenant: u16,
    /// Group of titles.
    pub group: u16,
    /// What for.
    pub purpose: Purpose,
}

impl Flow {
    /// Whether it goes between halls.
    pub fn crosses(&self) -> bool {
        self.from != self.to
    }
}

/// How a flow's bytes are known.
#[derive(Clone, Debug, Default)]
pub struct FlowTotals {
    /// Counted by servers.
    pub measured: Windows,
    /// Estimated from rung and time, with a report of the share delivered.
    pub corrected: Windows,
    /// Estimated from rung and time alone.
    pub estimated: Windows,
    /// Settled, and found by a later count never to have been sent.
    pub overstated: u64,
}

impl FlowTotals {
    /// All bytes of the flow.
    pub fn total(&self) -> u64 {
        let all = [&self.measured, &self.corrected, &self.estimated];
        all.iter()
            .fold(0u64, |sum, w| sum.saturating_add(w.total()))
            .saturating_sub(self.overstated)
    }

    /// Bytes of the spans in which there were any, oldest first.
    pub fn recent(&self, span: Span) -> BTreeMap<u64, u64> {
        let mut all = BTreeMap::new();
        for windows in [&self.measured, &self.corrected, &self.estimated] {
            for (at, bytes) in windows
                .recent(span)
                .into_iter()
                .filter(|(_, bytes)| *bytes > 0)
            {
                let sum: &mut u64 = all.entry(at).or_default();
                *sum = sum.saturating_add(bytes);
            }
        }
        all
    }
}

/// How an account is kept. Times in nanoseconds.
#[derive(Clone, Copy, Debug)]
pub struct UsageConfig {
    /// Bytes are settled when they are so old: the latest that a count or report is waited for.
    pub settle: u64,
    /// A report of the share holds until the next, but no longer than this.
    pub hold: u64,
    /// Flows kept apart at most; beyond, they are added to one that stands for the rest.
    pub flows: usize,
}

/// Totals of a flow that an earlier life kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedFlow {
    /// The flow.
    pub flow: Flow,
    /// Counted, corrected and estimated bytes.
    pub bytes: [u64; 3],
    /// What was settled too much.
    pub overstated: u64,
    /// When late hours began, and their bytes of all three kinds.
    pub hours: Vec<(u64, u64)>,
}

/// A session that flows.
#[derive(Clone, Debug)]
struct Meter {
    flow: Flow,
    server: u32,
    rates: Vec<(u64, f64)>,  // From when on, kB a second.
    counts: Vec<(u64, u64)>, // By time: what a server had sent in all by then. Those not settled yet.
    settled: u64,            // Bytes up to this time are in the sums.
    told: u64,               // Bytes that are in the sums.
    carry: f64,              // A fraction of a byte.
    ended: Option<u64>,
    final_count: Option<u64>,
}

/// Most counts that wait for a session; beyond, the oldest goes: it is cumulative.
const COUNTS: usize = 16;

/// What servers said of the share that they deliver, by the time that it speaks of.
#[derive(Clone, Debug)]
struct Shares {
    hold: u64,
    of_server: HashMap<u32, BTreeMap<u64, f64>>,
}

/// Sums by flow, as many as are kept apart.
#[derive(Clone, Debug)]
struct Book {
    most: usize,
    sums: BTreeMap<Flow, FlowTotals>,
}

/// Counts bytes by flow.
#[derive(Clone, Debug)]
pub struct UsageAccount {
    terms: UsageConfig,
    book: Book,
    meters: BTreeMap<u64, Meter>,
    shares: Shares,
    now: u64,
    too_late: u64,
    cursor: Option<u64>, // The session that was settled last.
}

/// The flow that stands for the rest.
pub const REST: Flow = Flow {
    from: u8::MAX,
    to: u8::MAX,
    class: u8::MAX,
    tenant: u16::MAX,
    group: u16::MAX,
    purpose: Purpose::Playing,
};

impl UsageAccount {
    /// Nothing counted yet.
    pub fn new(terms: UsageConfig) -> UsageAccount {
        UsageAccount {
            terms,
            book: Book {
                most: terms.flows,
                sums: BTreeMap::new(),
            },
            meters: BTreeMap::new(),
            shares: Shares {
                hold: terms.hold,
                of_server: HashMap::new(),
            },
            now: 0,
            too_late: 0,
            cursor: None,
        }
    }

    /// A session begins to flow; one that flows already is left as it is.
    pub fn start(&mut self, session: u64, flow: Flow, server: u32, kb: f64, at: u64) {
        let at = self.forward(at);
        self.meters.entry(session).or_insert(Meter {
            flow,
            server,
            rates: vec![(at, kb.max(0.0))],
            counts: Vec::new(),
            settled: at,
            told: 0,
            carry: 0.0,
            ended: None,
            final_count: None,
        });
    }

    /// A session's rate changes.
    pub fn rate(&mut self, session: u64, kb: f64, at: u64) {
        let at = self.forward(at);
        if let Some(meter) = self.meters.get_mut(&session).filter(|m| m.ended.is_none()) {
            meter.rates.push((at, kb.max(0.0)));
        }
    }

    /// A server counted so many bytes in all for a session, by a time.
    pub fn count(&mut self, session: u64, bytes: u64, at: u64) {
        let at = self.forward(at);
        let known = self.meters.get(&session);
        let Some(meter) = known.filter(|m| m.final_count.is_none()) else {
            self.too_late += u64::from(known.is_none());
            return;
        };
        // A time that is settled already is brought forward by what the estimate says flowed since.
        let from = at.max(meter.settled + 1);
        let since = self.shares.flowed(meter, at, from);
        let Some(meter) = self.meters.get_mut(&session) else {
            return;
        };
        let bytes = bytes.saturating_add(since as u64);
        let place = meter.counts.partition_point(|(t, _)| *t < from);
        let before = place.checked_sub(1).and_then(|i| meter.counts.get(i));
        // One that falls behind an earlier one, or goes beyond a later, is of another order than its times say.
        if before.is_some_and(|(_, b)| *b > bytes)
            || meter.counts.get(place).is_some_and(|(_, b)| *b < bytes)
        {
            return;
        }
        match meter.counts.get_mut(place).filter(|(t, _)| *t == from) {
            Some(same) => same.1 = same.1.max(bytes),
            None => meter.counts.insert(place, (from, bytes)),
        }
        if meter.counts.len() > COUNTS {
            meter.counts.remove(0);
        }
    }

    /// A session ends. It is kept until a count of it would have come.
    pub fn end(&mut self, session: u64, at: u64) {
        let at = self.forward(at);
        if let Some(meter) = self.meters.get_mut(&session) {
            meter.ended = meter.ended.or(Some(at.max(meter.settled)));
        }
    }

    /// A server's last word on a session that has ended: all that it sent.
    pub fn final_count(&mut self, session: u64, bytes: u64) {
        match self.meters.get_mut(&session) {
            None => self.too_late += 1,
            Some(meter) => {
                meter.final_count = meter.final_count.or(Some(bytes));
                // No count that came before may say more than the last.
                meter.counts.retain(|(_, b)| *b <= bytes);
            }
        }
    }

    /// Bytes that never were a session's flow, sent by a time: an attempt that came to nothing.
    pub fn once(&mut self, flow: Flow, bytes: u64, at: u64) {
        let at = self.forward(at);
        if bytes > 0 {
            self.book.of(flow).measured.add(at, bytes);
        }
    }

    /// A report that speaks of `at`: this share of all rates was delivered at a server. The same report twice changes
    /// nothing, and order does not matter.
    pub fn share(&mut self, server: u32, share: f64, at: u64) {
        if !share.is_finite() || at > self.now.saturating_add(self.terms.settle) {
            return;
        }
        if at < self.horizon() {
            self.too_late += 1;
            return;
        }
        self.shares
            .of_server
            .entry(server)
            .or_default()
            .insert(at, share.clamp(0.0, 1.0));
    }

    /// Settles what is old enough, `most` sessions at a time, so that no call takes long whatever the number of
    /// sessions; whether the round is complete. Call it until it is, about once a second. A time that goes back changes
    /// nothing.
    pub fn settle_until(&mut self, now: u64, most: usize) -> bool {
        self.forward(now);
        let horizon = self.horizon();
        let from = self.cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let (mut looked, mut over) = (0, Vec::new());
        for (session, meter) in self.meters.range_mut((from, Bound::Unbounded)).take(most) {
            looked += 1;
            self.cursor = Some(*session);
            settle_one(meter, horizon, &self.shares, &mut self.book);
            if meter.ended.is_some_and(|end| end <= horizon) {
                over.push(*session);
            }
        }
        over.iter()
            .for_each(|session| drop(self.meters.remove(session)));
        let complete = looked < most;
        if complete {
            self.cursor = None;
            // One report before the horizon may still hold.
            let keep = horizon.saturating_sub(self.terms.hold);
            self.shares.of_server.retain(|_, log| {
                *log = log.split_off(&keep);
                !log.is_empty()
            });
        }
        complete
    }

    fn forward(&mut self, at: u64) -> u64 {
        self.now = self.now.max(at);
        at.max(self.horizon())
    }

    fn horizon(&self) -> u64 {
        self.now.saturating_sub(self.terms.settle)
    }

    /// Flows and their settled bytes.
    pub fn flows(&self) -> impl Iterator<Item = (&Flow, &FlowTotals)> {
        self.book.sums.iter()
    }

    /// Settled bytes of the flows that a filter takes.
    pub fn total(&self, take: impl Fn(&Flow) -> bool) -> u64 {
        self.book
            .sums
            .iter()
            .filter(|(f, _)| take(f))
            .fold(0, |sum, (_, s)| sum.saturating_add(s.total()))
    }

    /// Bytes of a span of the flows that a filter takes, oldest first.
    pub fn late(&self, span: Span, take: impl Fn(&Flow) -> bool) -> BTreeMap<u64, u64> {
        let mut all = BTreeMap::new();
        for (_, sums) in self.book.sums.iter().filter(|(f, _)| take(f)) {
            for (at, bytes) in sums.recent(span) {
                let sum: &mut u64 = all.entry(at).or_default();
                *sum = sum.saturating_add(bytes);
            }
        }
        all
    }

    /// Sessions that flow or wait for their last counts.
    pub fn sessions(&self) -> usize {
        self.meters.len()
    }

    /// Counts and reports that came after their time was settled and their session was gone.
    pub fn dropped_late_reports(&self) -> u64 {
        self.too_late
    }

    /// All that must survive a restart.
    pub fn snapshot(&self) -> Vec<SavedFlow> {
        let kept = |(flow, sums): (&Flow, &FlowTotals)| SavedFlow {
            flow: *flow,
            bytes: [
                sums.measured.total(),
                sums.corrected.total(),
                sums.estimated.total(),
            ],
            overstated: sums.overstated,
            hours: sums.recent(Span::Hour).into_iter().collect(),
        };
        self.book.sums.iter().map(kept).collect()
    }

    /// Takes over what an earlier life kept; only into an account that has none, so that nothing is counted twice.
    /// False where it has.
    pub fn restore(&mut self, kept: &[SavedFlow]) -> bool {
        if !self.book.sums.is_empty() {
            return false;
        }
        for k in kept {
            let sums = self.book.of(k.flow);
            // The hours of all kinds stand in one ring: they are sums for reports, the totals are kept apart.
            k.hours
                .iter()
                .for_each(|(at, bytes)| sums.measured.add(*at, *bytes));
            for (windows, bytes) in [&mut sums.measured, &mut sums.corrected, &mut sums.estimated]
                .into_iter()
                .zip(k.bytes)
            {
                windows.set_total(bytes);
            }
            sums.overstated = k.overstated;
        }
        true
    }
}

impl Shares {
    /// Share in force at a time, and until when that is sure; `None`: nothing was heard.
    fn share_at(&self, server: u32, at: u64) -> (Option<f64>, u64) {
        let Some(log) = self.of_server.get(&server) else {
            return (None, u64::MAX);
        };
        let next = log.range(at + 1..).next().map_or(u64::MAX, |(t, _)| *t);
        match log.range(..=at).next_back() {
            Some((told, share)) if at < told + self.hold => {
                (Some(*share), next.min(told + self.hold))
            }
            _ => (None, next),
        }
    }

    /// What rung and share make from a time on: the rate, whether a report corrected it, and until when that is so.
    fn estimate(&self, meter: &Meter, at: u64) -> (f64, bool, u64) {
        let current = meter
            .rates
            .iter()
            .rposition(|(from, _)| *from <= at)
            .unwrap_or(0);
        let next_rate = meter
            .rates
            .get(current + 1)
            .map_or(u64::MAX, |(from, _)| *from);
        let (share, sure) = self.share_at(meter.server, at);
        let kb = meter.rates.get(current).map_or(0.0, |(_, kb)| *kb);
        (
            kb * share.unwrap_or(1.0),
            share.is_some(),
            next_rate.min(sure),
        )
    }

    /// Bytes by the estimate between two times.
    fn flowed(&self, meter: &Meter, from: u64, to: u64) -> f64 {
        let (mut at, mut bytes) = (from, 0.0);
        let to = meter.ended.map_or(to, |end| end.min(to));
        while at < to {
            let (kb, _, sure) = self.estimate(meter, at);
            let step = to.min(sure).max(at + 1);
            bytes += kb * 1000.0 * (step - at) as f64 / SECOND as f64;
            at = step;
        }
        bytes
    }
}

impl Book {
    /// The sums of a flow, or of the rest where there are too many.
    fn of(&mut self, flow: Flow) -> &mut FlowTotals {
        let flow = if self.sums.contains_key(&flow) || self.sums.len() < self.most {
            flow
        } else {
            REST
        };
        self.sums.entry(flow).or_default()
    }

    fn tell(&mut self, meter: &mut Meter, kind: usize, at: u64, bytes: u64) {
        if bytes == 0 {
            return;
        }
        let sums = self.of(meter.flow);
        [&mut sums.measured, &mut sums.corrected, &mut sums.estimated][kind].add(at, bytes);
        meter.told = meter.told.saturating_add(bytes);
    }
}

/// Settles a session up to the horizon or its end.
fn settle_one(meter: &mut Meter, horizon: u64, shares: &Shares, book: &mut Book) {
    let until = meter.ended.map_or(horizon, |end| end.min(horizon));
    if let (Some(end), Some(bytes)) = (meter.ended, meter.final_count) {
        // The last word holds for the end, whenever it came.
        meter.counts.retain(|(t, _)| *t < end);
        meter.counts.push((end.max(meter.settled + 1), bytes));
    }
    while meter.settled < until {
        let at = meter.settled;
        let next_second = (at / SECOND + 1) * SECOND;
        let count = meter.counts.iter().find(|(t, _)| *t > at).copied();
        let (bytes, kind, step) = match count {
            Some((t, total)) => {
                let step = until.min(t).min(next_second);
                let left = total.saturating_sub(meter.told) as f64;
                (left * (step - at) as f64 / (t - at) as f64, 0, step)
            }
            None => {
                let (kb, corrected, sure) = shares.estimate(meter, at);
                let step = until.min(sure).min(next_second).max(at + 1);
                let bytes = kb * 1000.0 * (step - at) as f64 / SECOND as f64;
                (bytes, if corrected { 1 } else { 2 }, step)
            }
        };
        let exact = count.is_some_and(|(t, _)| t == step);
        meter.carry += bytes;
        // Where a count ends, the carry is whole by right, and only rounding makes it less.
        let whole = if exact {
            meter.carry.round()
        } else {
            meter.carry.floor()
        };
        meter.carry = if exact { 0.0 } else { meter.carry - whole };
        book.tell(meter, kind, at, whole as u64);
        meter.settled = step;
    }
    let current = meter
        .rates
        .iter()
        .rposition(|(from, _)| *from <= meter.settled)
        .unwrap_or(0);
    meter.rates.drain(..current);
    let settled = meter.settled;
    meter.counts.retain(|(t, _)| *t > settled);
    if let Some(bytes) = meter
        .final_count
        .filter(|_| meter.ended.is_some_and(|end| end <= horizon))
    {
        // Counted at the end and settled before by an estimate: what differs goes where the session ended.
        match bytes.checked_sub(meter.told) {
            Some(more) => book.tell(meter, 0, settled, more),
            None => {
                let over = meter.told - bytes;
                let sums = book.of(meter.flow);
                sums.overstated = sums.overstated.saturating_add(over);
                meter.told = bytes;
            }
        }
    }
}
