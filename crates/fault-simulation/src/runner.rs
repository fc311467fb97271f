//! Plays a case on a fleet and judges what is claimed of it.
use crate::cluster::{all, Rate, Turn, World};
use crate::scenario::{Case, Claim, Step};
use crate::simulated_network::{MS, SECOND};
use crankpaddle_membership::MemberState;
use std::collections::BTreeSet;

/// So often is looked whether something holds.
const LOOK: u64 = 50 * MS;

/// One claim, judged.
#[derive(Clone, Debug)]
pub struct Judged {
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
    pub claims: Vec<Judged>,
    /// The most that one front sent, in datagrams and bytes a second, over the whole case.
    pub sent: Rate,
}

impl Played {
    /// Claims that hold, of all.
    pub fn kept(&self) -> (usize, usize) {
        (
            self.claims.iter().filter(|c| c.kept).count(),
            self.claims.len(),
        )
    }
}

fn seconds(time: u64) -> String {
    format!("{:.1} s", time as f64 / SECOND as f64)
}

/// Plays a case to its end, also where a claim is broken.
///
/// # Errors
/// A step can't be carried out on this fleet.
pub fn play<W: World + ?Sized>(case: &Case, world: &mut W) -> Result<Played, String> {
    let mut claims = Vec::new();
    let mut mark = world.now();
    for step in &case.steps {
        match step {
            Step::Act(act) => world.act(act)?,
            Step::Run(time) => world.run(*time),
            Step::Mark => mark = world.now(),
            Step::Claim(what, claim) => claims.push(judge(what, claim, mark, world)),
        }
    }
    Ok(Played {
        claims,
        sent: world.sent(),
    })
}

/// Lets time pass until something holds; how long it took.
fn until<W: World + ?Sized>(world: &mut W, most: u64, holds: impl Fn(&W) -> bool) -> Option<u64> {
    let begun = world.now();
    while world.now() - begun <= most {
        if holds(world) {
            return Some(world.now() - begun);
        }
        world.run(LOOK);
    }
    None
}

fn within(what: &str, bound: u64, took: Option<u64>, more: &str) -> Judged {
    let measured = took.map_or("not at all".to_owned(), seconds) + more;
    let kept = took.is_some_and(|took| took <= bound);
    Judged {
        what: format!("{what} within {}", seconds(bound)),
        measured,
        kept,
    }
}

/// When half of the turns that count had come, after the first moment.
fn half(turns: &[Turn], from: u64, counts: impl Fn(&Turn) -> bool) -> String {
    let mut times: Vec<u64> = turns
        .iter()
        .filter(|t| counts(t))
        .map(|t| t.at.saturating_sub(from))
        .collect();
    times.sort_unstable();
    times.get(times.len() / 2).map_or(String::new(), |half| {
        format!(", half of it at {}", seconds(*half))
    })
}

fn judge<W: World + ?Sized>(what: &str, claim: &Claim, mark: u64, world: &mut W) -> Judged {
    let fleet = world.fronts();
    let from = world.now();
    match claim {
        Claim::See(at, of, state, bound) => {
            let (at, of, bound) = (at.of(fleet), of.of(fleet), bound.of(fleet));
            let took = until(world, 2 * bound, |w| all(w, &at, &of, *state));
            let counts = |t: &Turn| t.state == *state && at.contains(&t.by) && of.contains(&t.of);
            let half = if *state == MemberState::Alive {
                String::new()
            } else {
                half(&world.turns(from), from, counts)
            };
            within(what, bound, took, &half)
        }
        Claim::Accused(by, but, most, each) => {
            let wrong = |t: &&Turn| {
                t.state == MemberState::Dead && by.has(t.by, fleet) && !but.has(t.of, fleet)
            };
            let count = world.turns(mark).iter().filter(wrong).count();
            let most = f64::from(*most) + each * fleet as f64;
            Judged {
                what: what.to_owned(),
                measured: format!("{count} accusations"),
                kept: count as f64 <= most,
            }
        }
        Claim::Stands(who, standing, bound) => {
            let (who, bound) = (who.of(fleet), bound.of(fleet));
            let took = until(world, 2 * bound, |w| {
                who.iter().all(|i| w.standing(*i) == Some(*standing))
            });
            within(what, bound, took, "")
        }
        Claim::News(at, of, bound) => {
            let (at, of, bound) = (at.of(fleet), of.of(fleet), bound.of(fleet));
            let took = until(world, 2 * bound, |w| {
                let turns = w.turns(mark);
                let heard: BTreeSet<(usize, usize)> = turns
                    .iter()
                    .filter(|t| t.restarted)
                    .map(|t| (t.by, t.of))
                    .collect();
                at.iter()
                    .all(|a| of.iter().all(|o| heard.contains(&(*a, *o))))
            });
            within(what, bound, took, "")
        }
        Claim::Back(paid, part, bound) => {
            let bound = bound.of(fleet);
            let enough = |w: &W| {
                let (again, left, all) = w.lost(*paid).unwrap_or_default();
                all > 0 && (again + left) as f64 >= all as f64 * part
            };
            let reached = until(world, 2 * bound, enough);
            let took = reached.map(|_| world.now().saturating_sub(mark));
            let (again, left, all) = world.lost(*paid).unwrap_or_default();
            let warming = world.warming(again as f64).map(seconds).unwrap_or_default();
            let more = format!(" ({all} lost theirs, {again} watch again, {left} left without; servers' warming alone allows it at {warming})");
            within(what, bound, took, &more)
        }
        Claim::Holds(part, bound, age) => {
            let bound = bound.of(fleet);
            let enough = |w: &W| {
                let holding = (1..fleet).filter(|i| w.entry(*i).is_some()).count();
                holding as f64 >= part * (fleet - 1) as f64
            };
            let took = until(world, 2 * bound, enough);
            let off = (1..fleet)
                .filter_map(|i| world.entry(i))
                .map(|(says, is)| says.abs_diff(is))
                .max();
            let off = off.unwrap_or(u64::MAX);
            let judged = within(
                what,
                bound,
                took,
                &format!(", ages off by {} ms at most", off / MS),
            );
            Judged {
                kept: judged.kept && off <= *age,
                ..judged
            }
        }
    }
}
