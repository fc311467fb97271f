//! Named cases: what happens to a fleet, and what is claimed of it. A claim states its bound; the bound is met or it is not.
use crate::net::{name, settings, Net, MS, SECOND};
use crankpaddle_membership::{Settings, Standing, State};
use hdrhistogram::Histogram;

/// A case.
pub struct Case {
    /// Its name.
    pub name: &'static str,
    /// What happens.
    pub what: &'static str,
    run: fn(usize, u64) -> (Vec<Claim>, Net),
}

/// One claim, judged.
#[derive(Clone, Debug)]
pub struct Claim {
    /// What is claimed, with its bound.
    pub what: String,
    /// What was measured.
    pub measured: String,
    /// Whether it holds.
    pub kept: bool,
}

/// A case that was played.
#[derive(Clone, Debug)]
pub struct Played {
    /// Its claims.
    pub claims: Vec<Claim>,
    /// The most that one member sent, in datagrams and bytes a second, over the whole case.
    pub sent: (f64, f64),
}

/// All cases.
pub const CASES: &[Case] = &[
    Case { name: "deaths", what: "three in ten are killed in one instant", run: deaths },
    Case { name: "loss", what: "20% loss and 150 ms of jitter for two minutes", run: loss },
    Case { name: "rough", what: "30% loss and 300 ms of jitter for a minute, then a good net", run: rough },
    Case { name: "stopped", what: "one in eight stands still for 5 s", run: stopped },
    Case {
        name: "partition",
        what: "cut in halves for 10 s, in other halves for 10 s, healed",
        run: partition,
    },
    Case { name: "apart", what: "cut in halves until each has given the other up, healed", run: apart },
    Case { name: "deaf", what: "one is heard by none, then all is well", run: deaf },
    Case { name: "restart", what: "one in ten restarts within 50 ms, clocks set back", run: restart },
    Case { name: "board", what: "one writes, all read", run: board },
];

/// Plays a case with so many fronts.
pub fn play(case: &Case, fronts: usize, seed: u64) -> Played {
    let (claims, net) = (case.run)(fronts, seed);
    let rate = |node: &crate::Node| {
        let (sent, time) =
            (node.peers.counters().sent, (net.now - 100 * SECOND).max(1) as f64 / SECOND as f64);
        (sent.0 as f64 / time, sent.1 as f64 / time)
    };
    let most = |most: (f64, f64), rate: (f64, f64)| (most.0.max(rate.0), most.1.max(rate.1));
    Played { claims, sent: net.nodes.iter().map(rate).fold((0.0, 0.0), most) }
}

fn claim(what: impl Into<String>, measured: impl Into<String>, kept: bool) -> Claim {
    Claim { what: what.into(), measured: measured.into(), kept }
}

fn seconds(time: u64) -> String {
    format!("{:.1} s", time as f64 / SECOND as f64)
}

/// A claim that something holds within a time.
fn within(what: &str, bound: u64, took: Option<u64>) -> Claim {
    let measured = took.map_or("not at all".to_owned(), seconds);
    claim(format!("{what} within {}", seconds(bound)), measured, took.is_some_and(|t| t <= bound))
}

fn none_accused(net: &Net, from: u64, but: impl Fn(usize) -> bool) -> Claim {
    let wrong = net.accused(from).into_iter();
    let wrong = wrong.filter(|(_, of)| !(0..net.nodes.len()).any(|i| name(i) == *of && but(i))).count();
    claim("nobody who lives is taken for gone", format!("{wrong} accusations"), wrong == 0)
}

/// Longest time until a death is known: probes find it within some rounds, and without a second witness the suspicion lasts
/// 24 rounds times the logarithm of the members.
fn t1(fronts: usize) -> u64 {
    ((8.0 + 24.0 * (fronts as f64).log10().max(1.0)) * SECOND as f64) as u64
}

fn joined(fronts: usize, seed: u64) -> (Net, Claim) {
    let mut net = Net::fleet(fronts, seed);
    let everyone: Vec<usize> = (0..fronts).collect();
    let took = net.until(120 * SECOND, |net| net.all(&everyone, &everyone, State::Alive));
    net.run(5 * SECOND);
    (net, within("all meet through one seed", 60 * SECOND, took))
}

fn split(fronts: usize, dead: impl Fn(usize) -> bool) -> (Vec<usize>, Vec<usize>) {
    (0..fronts).partition(|i| dead(*i))
}

fn alive_again(net: &mut Net, what: &str, bound: u64) -> Claim {
    let everyone: Vec<usize> = (0..net.nodes.len()).collect();
    let took = net.until(2 * bound, |net| net.all(&everyone, &everyone, State::Alive));
    within(what, bound, took)
}

fn deaths(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let (dead, living) = split(fronts, |i| i % 10 < 3);
    let from = net.now;
    dead.iter().for_each(|i| net.kill(*i));
    let took = net.until(2 * t1(fronts), |net| net.all(&living, &dead, State::Gone));
    let mut times = Histogram::<u64>::new(3).expect("three digits");
    for (at, by, change) in &net.changes {
        if *at >= from && change.state == State::Gone && living.contains(by) {
            times += (*at - from) / MS;
        }
    }
    let (half, most) = (times.value_at_quantile(0.5) * MS, times.max() * MS);
    let spread = claim(
        "half of it is known at",
        format!("{}, the last at {}", seconds(half), seconds(most)),
        most > 0,
    );
    let died = |i: usize| i % 10 < 3;
    let claims = vec![
        met,
        within("each death is known to all", t1(fronts), took),
        spread,
        none_accused(&net, from, died),
    ];
    (claims, net)
}

fn loss(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    (net.loss, net.delay) = (0.2, (5 * MS, 150 * MS));
    let from = net.now;
    net.run(120 * SECOND);
    (vec![met, none_accused(&net, from, |_| false)], net)
}

fn rough(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let usual = net.delay;
    (net.loss, net.delay) = (0.3, (5 * MS, 300 * MS));
    let from = net.now;
    net.run(60 * SECOND);
    let wrong = net.accused(from).len();
    (net.loss, net.delay) = (0.0, usual);
    let healed = alive_again(&mut net, "all views agree again", 30 * SECOND);
    let few = claim("at most one accusation a front", format!("{wrong} by {fronts}"), wrong <= fronts);
    (vec![met, few, healed], net)
}

fn stopped(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let (still, _) = split(fronts, |i| i % 8 == 0);
    still.iter().for_each(|i| net.stop(*i));
    net.run(5 * SECOND);
    let from = net.now;
    still.iter().for_each(|i| net.go_on(*i));
    let back = alive_again(&mut net, "they are back everywhere", 10 * SECOND);
    let wrong = net.accused(from).into_iter().filter(|(by, _)| by % 8 == 0).count();
    let none = claim("who stood still accuses nobody", format!("{wrong} accusations"), wrong == 0);
    (vec![met, back, none], net)
}

fn partition(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let half = fronts / 2;
    net.lets = Box::new(move |a, b| (a < half) == (b < half));
    net.run(10 * SECOND);
    net.lets = Box::new(|a, b| a % 2 == b % 2);
    net.run(10 * SECOND);
    net.lets = Box::new(|_, _| true);
    let healed = alive_again(&mut net, "all views agree after healing", 60 * SECOND);
    (vec![met, healed], net)
}

fn apart(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let half = fronts / 2;
    let (one, other) = split(fronts, |i| i < half);
    net.lets = Box::new(move |a, b| (a < half) == (b < half));
    let gone = |net: &Net| net.all(&one, &other, State::Gone) && net.all(&other, &one, State::Gone);
    let took = net.until(2 * t1(fronts), gone);
    net.lets = Box::new(|_, _| true);
    let healed = alive_again(&mut net, "all views agree after healing", 60 * SECOND);
    (vec![met, within("each half gives the other up", t1(fronts), took), healed], net)
}

fn deaf(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let from = net.now;
    net.lets = Box::new(|a, _| a != 3);
    let (_, others) = split(fronts, |i| i == 3);
    let took = net.until(2 * t1(fronts), |net| net.all(&others, &[3], State::Gone));
    net.run(20 * SECOND);
    let own = net.nodes[3].peers.standing();
    let knows = claim("it finds itself cut off", format!("{own:?}"), own == Standing::CutOff);
    let by_it = net.accused(from).into_iter().filter(|(by, _)| *by == 3).count();
    let none = claim("it accuses nobody", format!("{by_it} accusations"), by_it == 0);
    net.lets = Box::new(|_, _| true);
    let healed = alive_again(&mut net, "all views agree after healing", 60 * SECOND);
    (vec![met, within("the others see it gone", t1(fronts), took), knows, none, healed], net)
}

fn restart(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let (again, others) = split(fronts, |i| i % 10 == 5);
    let from = net.now;
    again.iter().for_each(|i| net.kill(*i));
    net.run(50 * MS);
    for i in &again {
        let life = 1_000_000 + *i as u64;
        net.start(Settings { epoch: 500_000, life, ..settings(*i, &[0]) });
    }
    let known = |net: &Net, of: usize| {
        let news = |(at, by, c): &(u64, usize, crankpaddle_membership::Change)| {
            (*at >= from && c.restarted && c.name == name(of)).then_some(*by)
        };
        let by: std::collections::BTreeSet<usize> = net.changes.iter().filter_map(news).collect();
        others.iter().all(|i| by.contains(i))
    };
    let took = net.until(60 * SECOND, |net| again.iter().all(|i| known(net, *i)));
    (
        vec![
            met,
            within("each new life is known to all", 30 * SECOND, took),
            none_accused(&net, from, |_| false),
        ],
        net,
    )
}

fn board(fronts: usize, seed: u64) -> (Vec<Claim>, Net) {
    let (mut net, met) = joined(fronts, seed);
    let wrote = net.now;
    let written = net.tell(0, |p, now, _| p.write(now, 1, vec![7; 100])).is_ok();
    let holds = |net: &Net, i: usize| net.nodes[i].peers.entry(net.now, &name(0), 1).is_some();
    let most = |net: &Net| (1..fronts).filter(|i| holds(net, *i)).count() * 100 >= 99 * (fronts - 1);
    let took = net.until(60 * SECOND, most).filter(|_| written);
    let bound = (SECOND as f64 * (1.0 + (fronts as f64).log10())) as u64;
    let all = net.until(120 * SECOND, |net| (1..fronts).all(|i| holds(net, i)));
    let real = net.now - wrote;
    let off = |i: usize| net.nodes[i].peers.entry(net.now, &name(0), 1).map(|e| real.abs_diff(e.age));
    let worst = (1..fronts).filter_map(off).max().unwrap_or(u64::MAX);
    let ages =
        claim("ages are right within 0.2 s", format!("{:.0} ms", worst as f64 / MS as f64), worst < 200 * MS);
    (
        vec![
            met,
            within("99 of 100 hold a change", bound, took),
            within("all hold it", 60 * SECOND, all),
            ages,
        ],
        net,
    )
}
