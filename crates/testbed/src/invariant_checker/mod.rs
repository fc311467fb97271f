//! The six rules, judged from what was on the sockets, never from a front's own word.
//!
//! Each rule has a bound on what clocks and scheduling may blur: times are taken where a stand-in reads, so what is
//! seen here can be later than what was done, by [`Rules::blur`] at the most. A front that stood still is excused
//! for being late, not for being wrong.
use crate::record::{PlayerReply, Record, Reply, Seen};
use crankpaddle::Idempotency;
use crankpaddle_config::Config;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;

/// What the rules say of one class.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// By name, as servers see it.
    pub name: String,
    /// Paid for at set-up.
    pub paid: bool,
    /// Lowest rung.
    pub floor: u8,
    /// Sessions of one title that a front may hold; 0: no cap.
    pub seats: u32,
}

/// The figures of the rules. Times in nanoseconds.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Classes in the order of their numbers.
    pub classes: Vec<ClassRule>,
    /// Nothing new to a server so long after a front was told that it drains or is gone.
    pub drain_grace: u64,
    /// A started server is warm after this time ...
    pub slow_start_duration: u64,
    /// ... begins with this part of its pace ...
    pub slow_start_min_factor: f64,
    /// ... and falls when sent more than this multiple of its present pace ...
    pub fall_multiple: f64,
    /// ... within this time.
    pub fall: u64,
    /// Further attempts: so many, plus a share of the requests taken, in a window.
    pub retry: Option<(f64, f64, u64)>,
    /// What scheduling may blur.
    pub blur: u64,
}

impl Rules {
    /// The rules that a configuration states; the grace for drains is the stand-in operators' own.
    pub fn of(config: &Config, drain_grace: u64, blur: u64) -> Rules {
        let s = &config.settings;
        let class = |(name, c): (&String, &crankpaddle::Class)| ClassRule {
            name: name.clone(),
            paid: c.idempotency == Idempotency::AtMostOnce,
            floor: c.min_rung,
            seats: c.max_sessions_per_title,
        };
        Rules {
            classes: config.classes.iter().zip(&s.classes).map(class).collect(),
            drain_grace,
            slow_start_duration: s.slow_start_duration,
            slow_start_min_factor: s.slow_start_min_factor,
            fall_multiple: s.overload_multiple,
            fall: s.overload_window,
            retry: s
                .retry_budget_min
                .map(|floor| (floor, s.retry_budget_ratio, s.retry_budget_window)),
            blur,
        }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// Which of the six, from 1.
    pub rule: u8,
    /// When.
    pub at: u64,
    /// How.
    pub what: String,
}

/// What the records show.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Calls for a session.
    pub sessions: usize,
    /// Those with exactly one answer, in time (or broken off by the player).
    pub answered_once: usize,
    /// Bill references that were billed more than once.
    pub billed_twice: usize,
    /// Calls that came to play.
    pub played: usize,
    /// Calls that were refused.
    pub refused: usize,
    /// Calls that failed.
    pub failed: usize,
    /// Breaches in the order of time.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// How many of the six rules were kept.
    pub fn passed_rule_count(&self) -> usize {
        6 - self
            .breaches
            .iter()
            .map(|b| b.rule)
            .collect::<BTreeSet<_>>()
            .len()
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Verdict {
            sessions,
            answered_once,
            billed_twice,
            ..
        } = self;
        let passed = self.passed_rule_count();
        write!(
            f,
            "sessions {sessions}, answered once {answered_once}, billed twice {billed_twice}, "
        )?;
        write!(f, "rules kept {passed}/6")
    }
}

/// What a set-up said of itself.
struct Session<'a> {
    server: u32,
    front: &'a str,
    bill: &'a str,
    class: &'a str,
    title: &'a str,
}

struct Judge<'a> {
    rules: &'a Rules,
    records: &'a [Record],
    sessions: HashMap<&'a str, Session<'a>>,
    stalls: BTreeMap<&'a str, Vec<(u64, u64)>>, // By the front's own name.
    stalls_by_number: BTreeMap<u32, Vec<(u64, u64)>>,
    deaths: BTreeMap<u32, Vec<u64>>, // By number.
    verdict: Verdict,
}

/// Judges records that are in the order of their times.
pub fn judge(rules: &Rules, records: &[Record]) -> Verdict {
    let mut judge = Judge {
        rules,
        records,
        sessions: HashMap::new(),
        stalls: BTreeMap::new(),
        stalls_by_number: BTreeMap::new(),
        deaths: BTreeMap::new(),
        verdict: Verdict::default(),
    };
    judge.gather();
    judge.answers();
    judge.effects();
    judge.drains();
    judge.check_slow_start();
    judge.terms();
    judge.attempts();
    judge.verdict.breaches.sort_by_key(|b| b.at);
    judge.verdict
}

fn overlaps(spans: Option<&Vec<(u64, u64)>>, from: u64, to: u64) -> bool {
    spans.is_some_and(|all| all.iter().any(|(a, b)| *a <= to && *b >= from))
}

impl<'a> Judge<'a> {
    fn breach(&mut self, rule: u8, at: u64, what: String) {
        self.verdict.breaches.push(Breach { rule, at, what });
    }

    fn gather(&mut self) {
        let mut numbers: HashMap<&str, u32> = HashMap::new(); // Of fronts, by a bill that they took.
        let mut names: BTreeMap<u32, BTreeSet<&str>> = BTreeMap::new();
        for Record { at, seen } in self.records {
            match seen {
                Seen::OpenSent { front, bill, .. } => drop(numbers.insert(bill, *front)),
                Seen::SetUp {
                    name,
                    server,
                    front,
                    bill,
                    class,
                    title,
                    ..
                } => {
                    let session = Session {
                        server: *server,
                        front,
                        bill,
                        class,
                        title,
                    };
                    if self.sessions.insert(name, session).is_some() {
                        self.breach(2, *at, format!("session {name} was sent twice"));
                    }
                    if let Some(number) = numbers.get(bill.as_str()) {
                        names.entry(*number).or_default().insert(front);
                    }
                }
                Seen::Died { front } => self.deaths.entry(*front).or_default().push(*at),
                Seen::Stalled {
                    front,
                    stopped: stands,
                } => {
                    let spans = self.stalls_by_number.entry(*front).or_default();
                    if *stands {
                        spans.push((*at, u64::MAX));
                    } else if let Some(last) = spans.last_mut() {
                        last.1 = at + self.rules.blur; // It reads what lies there first.
                    }
                }
                _ => {}
            }
        }
        for (number, spans) in &self.stalls_by_number {
            for name in names.get(number).into_iter().flatten() {
                self.stalls.entry(name).or_default().extend(spans);
            }
        }
    }

    /// Rule 1: every request gets one answer, in time.
    fn answers(&mut self) {
        struct OpenCall {
            at: u64,
            front: u32,
            deadline: u64,
            reply: Vec<(u64, PlayerReply)>,
            disconnected: bool,
        }
        let mut calls: BTreeMap<u64, OpenCall> = BTreeMap::new();
        let mut unexpected = Vec::new();
        for Record { at, seen } in self.records {
            match seen {
                Seen::OpenSent {
                    call,
                    front,
                    deadline: gives_up,
                    ..
                } => {
                    let (at, front, gives_up) = (*at, *front, *gives_up);
                    calls.insert(
                        *call,
                        OpenCall {
                            at,
                            front,
                            deadline: gives_up,
                            reply: vec![],
                            disconnected: false,
                        },
                    );
                }
                Seen::CallAnswered { call, reply: told } => match calls.get_mut(call) {
                    Some(asked) => asked.reply.push((*at, *told)),
                    None => unexpected.push((*at, *call)),
                },
                Seen::Disconnected { call } => {
                    calls.entry(*call).and_modify(|c| c.disconnected = true);
                }
                _ => {}
            }
        }
        for (at, call) in unexpected {
            self.breach(
                1,
                at,
                format!("an answer to call {call}, which was never made"),
            );
        }
        self.verdict.sessions = calls.len();
        for (call, asked) in &calls {
            let excused = overlaps(
                self.stalls_by_number.get(&asked.front),
                asked.at,
                asked.deadline,
            );
            // Who was killed owes nothing more; who asked may have been heard of just after.
            let during = asked.at.saturating_sub(self.rules.blur)..=asked.deadline;
            let died = self
                .deaths
                .get(&asked.front)
                .is_some_and(|all| all.iter().any(|at| during.contains(at)));
            match asked.reply[..] {
                [] if asked.disconnected || died => {}
                [] => {
                    self.breach(1, asked.deadline, format!("call {call} was never answered"));
                    continue;
                }
                [(at, _)] if at > asked.deadline + self.rules.blur && !excused => {
                    let late = (at - asked.deadline) / 1_000_000;
                    self.breach(
                        1,
                        at,
                        format!("call {call} was answered {late} ms after its viewer gave up"),
                    );
                    continue;
                }
                [_] => {}
                [_, (at, _), ..] => {
                    let count = asked.reply.len();
                    self.breach(1, at, format!("call {call} was answered {count} times"));
                    continue;
                }
            }
            self.verdict.answered_once += 1;
            match asked.reply.first().map(|t| t.1) {
                Some(PlayerReply::Plays) => self.verdict.played += 1,
                Some(PlayerReply::Refused) => self.verdict.refused += 1,
                Some(PlayerReply::Failed) => self.verdict.failed += 1,
                _ => {}
            }
        }
    }

    /// Rule 2: nothing paid is set up twice, and never are two attempts out.
    fn effects(&mut self) {
        #[derive(Default)]
        struct Bill<'a> {
            billed: usize,
            ran: bool,
            out: Option<(&'a str, u64)>, // An attempt without a reply.
            overlap: Option<(&'a str, &'a str, u64)>,
        }
        let paid: BTreeSet<&str> = self
            .rules
            .classes
            .iter()
            .filter(|c| c.paid)
            .map(|c| c.name.as_str())
            .collect();
        let paid_number: Vec<bool> = self.rules.classes.iter().map(|c| c.paid).collect();
        let mut bills: HashMap<&str, Bill> = HashMap::new();
        let mut calls: HashMap<u64, (&str, u8)> = HashMap::new();
        let mut breaches = Vec::new();
        for Record { at, seen } in self.records {
            match seen {
                Seen::OpenSent {
                    call, bill, class, ..
                } => drop(calls.insert(*call, (bill, *class))),
                Seen::SetUp {
                    name, bill, class, ..
                } => {
                    let state = bills.entry(bill).or_default();
                    if paid.contains(class.as_str()) && state.ran {
                        breaches.push((
                            *at,
                            format!("bill {bill} was sent again though it may have run"),
                        ));
                    }
                    if let Some((other, _)) = state.out.replace((name, *at)) {
                        state.overlap = Some((other, name, *at));
                    }
                }
                Seen::Billed { bill, .. } => {
                    let state = bills.entry(bill).or_default();
                    state.billed += 1;
                    if state.billed == 2 {
                        self.verdict.billed_twice += 1;
                        breaches.push((*at, format!("bill {bill} was billed twice")));
                    }
                }
                Seen::Replied { name, reply } => {
                    let Some(bill) = self.sessions.get(name.as_str()).map(|s| s.bill) else {
                        continue;
                    };
                    let state = bills.entry(bill).or_default();
                    state.ran |= *reply != Reply::Full;
                    state.out = state.out.filter(|(n, _)| n != name);
                    if let Some((first, second, since)) =
                        state.overlap.take_if(|(first, ..)| first == name)
                    {
                        // An end of the connection may be seen by the front before the stand-in has noted it, or
                        // have been made by the front and read here later: so much may be blurred.
                        let ended = matches!(reply, Reply::Left | Reply::Reset);
                        if !ended || at - since > self.rules.blur {
                            breaches.push((
                                since,
                                format!("attempts {first} and {second} were out together"),
                            ));
                        }
                    }
                }
                // Told by the server's own book, after an end that is final.
                Seen::Disowned { name } => {
                    let Some(bill) = self.sessions.get(name.as_str()).map(|s| s.bill) else {
                        continue;
                    };
                    let state = bills.entry(bill).or_default();
                    state.ran &= state.billed > 0;
                }
                Seen::CallAnswered {
                    call,
                    reply: PlayerReply::Refused,
                } => {
                    let Some((bill, class)) = calls.get(call) else {
                        continue;
                    };
                    let is_paid = paid_number
                        .get(usize::from(*class))
                        .copied()
                        .unwrap_or(false);
                    if is_paid && bills.get(bill).is_some_and(|b| b.ran || b.out.is_some()) {
                        breaches.push((
                            *at,
                            format!("call {call} was refused though bill {bill} may have run"),
                        ));
                    }
                }
                _ => {}
            }
        }
        for (bill, state) in bills {
            if let Some((first, second, since)) = state.overlap {
                breaches.push((
                    since,
                    format!("bill {bill}: attempts {first} and {second} were out together"),
                ));
            }
        }
        breaches
            .into_iter()
            .for_each(|(at, what)| self.breach(2, at, what));
    }

    /// Rule 3: nothing new goes to a server after the grace.
    fn drains(&mut self) {
        let mut reply: HashMap<(&str, u32), u64> = HashMap::new();
        let mut breaches = Vec::new();
        for Record { at, seen } in self.records {
            match seen {
                Seen::Listed {
                    front,
                    server,
                    ready: true,
                } => drop(reply.remove(&(front.as_str(), *server))),
                Seen::Listed {
                    front,
                    server,
                    ready: false,
                } => {
                    reply.entry((front, *server)).or_insert(*at);
                }
                Seen::SetUp {
                    front,
                    server,
                    name,
                    ..
                } => {
                    let Some(since) = reply.get(&(front.as_str(), *server)) else {
                        continue;
                    };
                    let bound = since + self.rules.drain_grace;
                    let stood = self.stalls.get(front.as_str());
                    // What lay unread while the front stood was not heard yet.
                    let last_received = stood
                        .into_iter()
                        .flatten()
                        .filter(|(a, b)| *a <= bound && *b >= *since);
                    let last_received = last_received
                        .map(|(_, b)| b.saturating_add(self.rules.drain_grace))
                        .max();
                    if *at > bound.max(last_received.unwrap_or(0)) + self.rules.blur {
                        let late = (at - since) / 1_000_000;
                        let what = format!(
                            "session {name} was sent to server {server} {late} ms after its drain"
                        );
                        breaches.push((*at, what));
                    }
                }
                _ => {}
            }
        }
        breaches
            .into_iter()
            .for_each(|(at, what)| self.breach(3, at, what));
    }

    /// Rule 4: a cold server is not pushed over by all fronts together, as far as they knew.
    fn check_slow_start(&mut self) {
        let mut starts: HashMap<u32, (u64, f64)> = HashMap::new();
        let mut sent: HashMap<u32, Vec<(u64, &str)>> = HashMap::new();
        let mut knew: BTreeSet<(u32, &str)> = BTreeSet::new(); // Of the present life, or of the end of the last.
        let mut breaches = Vec::new();
        for Record { at, seen } in self.records {
            match seen {
                Seen::Started { server, places } => {
                    starts.insert(*server, (*at, *places));
                    sent.remove(server);
                }
                Seen::Listed { front, server, .. } => drop(knew.insert((*server, front))),
                Seen::Replied {
                    name,
                    reply: Reply::Reset,
                } => {
                    let of = self.sessions.get(name.as_str());
                    knew.extend(of.map(|s| (s.server, s.front)));
                }
                Seen::SetUp { server, front, .. } => {
                    let Some((start, places)) = starts.get(server) else {
                        continue;
                    };
                    let age = at - start;
                    if age >= self.rules.slow_start_duration {
                        continue;
                    }
                    let sends = sent.entry(*server).or_default();
                    sends.push((*at, front));
                    sends.retain(|(t, _)| at - t < self.rules.fall);
                    let part = age as f64 / self.rules.slow_start_duration as f64;
                    let warm_up_progress = self.rules.slow_start_min_factor
                        + (1.0 - self.rules.slow_start_min_factor) * part;
                    let rate = places / self.rules.slow_start_duration as f64 * warm_up_progress;
                    let bound = self.rules.fall_multiple * rate * self.rules.fall as f64 + 1.0;
                    let knowing = sends
                        .iter()
                        .filter(|(_, f)| knew.contains(&(*server, f)))
                        .count();
                    if sends.len() as f64 > bound && 2 * knowing > sends.len() {
                        let count = sends.len();
                        let what = format!(
                            "cold server {server} was sent {count} set-ups, {bound:.1} allowed"
                        );
                        breaches.push((*at, what));
                        sends.clear();
                    }
                }
                Seen::Fell { server } => {
                    breaches.push((*at, format!("cold server {server} fell over")));
                }
                _ => {}
            }
        }
        breaches
            .into_iter()
            .for_each(|(at, what)| self.breach(4, at, what));
    }

    /// Rule 5: floors and seats.
    fn terms(&mut self) {
        let class = |name: &str| self.rules.classes.iter().find(|c| c.name == name);
        let mut active: HashMap<(&str, &str, &str), BTreeSet<&str>> = HashMap::new();
        let mut breaches = Vec::new();
        for Record { at, seen } in self.records {
            match seen {
                Seen::SetUp { name, rung, .. } | Seen::Rung { name, rung } => {
                    let Some(s) = self.sessions.get(name.as_str()) else {
                        continue;
                    };
                    let Some(rule) = class(s.class) else {
                        breaches.push((
                            *at,
                            format!("session {name} is of unknown class {:?}", s.class),
                        ));
                        continue;
                    };
                    if *rung < rule.floor {
                        breaches.push((
                            *at,
                            format!(
                                "session {name} at rung {rung}, under the floor {}",
                                rule.floor
                            ),
                        ));
                    }
                    if rule.seats > 0 && matches!(seen, Seen::SetUp { .. }) {
                        let seats = active.entry((s.front, s.class, s.title)).or_default();
                        seats.insert(name);
                        if seats.len() > rule.seats as usize {
                            let count = seats.len();
                            let what =
                                format!("{count} sessions of {:?}, {} seats", s.title, rule.seats);
                            breaches.push((*at, what));
                        }
                    }
                }
                Seen::Ended { name, .. } => leave(&mut active, &self.sessions, name),
                Seen::Replied { name, reply } if *reply != Reply::Plays => {
                    leave(&mut active, &self.sessions, name);
                }
                _ => {}
            }
        }
        breaches
            .into_iter()
            .for_each(|(at, what)| self.breach(5, at, what));
    }

    /// Rule 6: further attempts stay within their budget, where one is set.
    fn attempts(&mut self) {
        let Some((floor, share, window)) = self.rules.retry else {
            return;
        };
        let mut unsent_requests: HashMap<&str, usize> = HashMap::new(); // By bill: requests not yet sent for.
        let mut taken: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        let mut number: HashMap<&str, u32> = HashMap::new();
        let mut further: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        let mut breaches = Vec::new();
        for Record { at, seen } in self.records {
            match seen {
                Seen::OpenSent { front, bill, .. } => {
                    *unsent_requests.entry(bill).or_default() += 1;
                    taken.entry(*front).or_default().push(*at);
                    number.insert(bill, *front);
                }
                Seen::SetUp { bill, .. } => {
                    let first = unsent_requests.get_mut(bill.as_str()).filter(|n| **n > 0);
                    let Some(front) = number.get(bill.as_str()) else {
                        continue;
                    };
                    if let Some(left) = first {
                        *left -= 1;
                        continue;
                    }
                    let late = |times: Option<&Vec<u64>>| {
                        times.map_or(0, |t| t.iter().filter(|t| at - **t <= window).count())
                    };
                    further.entry(*front).or_default().push(*at);
                    let (made, of) = (late(further.get(front)), late(taken.get(front)));
                    let allowed = floor + share * of as f64;
                    if made as f64 > allowed {
                        breaches.push((
                            *at,
                            format!("front {front}: {made} further attempts, {allowed:.1} allowed"),
                        ));
                    }
                }
                _ => {}
            }
        }
        breaches
            .into_iter()
            .for_each(|(at, what)| self.breach(6, at, what));
    }
}

type ActiveSessions<'a> = HashMap<(&'a str, &'a str, &'a str), BTreeSet<&'a str>>;

fn leave(held: &mut ActiveSessions<'_>, sessions: &HashMap<&str, Session<'_>>, name: &str) {
    if let Some(s) = sessions.get(name) {
        if let Some(seats) = held
            .iter_mut()
            .find(|(k, _)| **k == (s.front, s.class, s.title))
        {
            seats.1.remove(name);
        }
    }
}
