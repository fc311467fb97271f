//! The check of each kind of claim.
use super::ClaimResult;
use crate::cluster::{all_see, Cluster, MemberTransition};
use crate::scenario::{Bound, Claim, Fronts};
use crate::seconds;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two looks at whether a claim holds.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A claim is awaited for this multiple of its bound, so that the time is known by which it is missed.
const PATIENCE: u32 = 2;
/// Reported where no front knows the entry.
const UNKNOWN_AGE_ERROR: Duration = Duration::from_nanos(u64::MAX);

/// Checks a claim; time passes until it holds. `mark`: the time from which accusations and restarts count.
pub(super) fn check<C: Cluster + ?Sized>(
    name: &str,
    claim: &Claim,
    mark: Time,
    cluster: &mut C,
) -> ClaimResult {
    let mut check = Check {
        name,
        mark,
        fleet: cluster.fronts(),
        cluster,
    };
    match claim {
        Claim::See {
            viewers,
            viewed,
            state,
            bound,
        } => check.see(viewers, viewed, *state, *bound),
        Claim::Accused {
            accusers,
            except,
            allowed,
            allowed_per_front,
        } => check.accused(accusers, except, *allowed, *allowed_per_front),
        Claim::LocalHealth {
            fronts,
            health,
            bound,
        } => check.local_health(fronts, *health, *bound),
        Claim::Restarted {
            viewers,
            restarted,
            bound,
        } => check.restarted(viewers, restarted, *bound),
        Claim::Recovered { paid, part, bound } => check.recovered(*paid, *part, *bound),
        Claim::EntryKnown {
            part,
            bound,
            max_age_error,
        } => check.entry_known(*part, *bound, *max_age_error),
    }
}

struct Check<'a, C: ?Sized> {
    name: &'a str,
    mark: Time,
    fleet: usize,
    cluster: &'a mut C,
}

impl<C: Cluster + ?Sized> Check<'_, C> {
    fn see(
        &mut self,
        viewers: &Fronts,
        viewed: &Fronts,
        state: MemberState,
        bound: Bound,
    ) -> ClaimResult {
        let viewers = viewers.of(self.fleet);
        let viewed = viewed.of(self.fleet);
        let from = self.cluster.now();
        let took = self.wait_until(bound, |cluster| all_see(cluster, &viewers, &viewed, state));
        let counts = |transition: &MemberTransition| {
            transition.state == state
                && viewers.contains(&transition.viewer)
                && viewed.contains(&transition.viewed)
        };
        let median = if state == MemberState::Alive {
            String::new()
        } else {
            median_time(&self.cluster.transitions(from), from, counts)
        };
        self.timed_result(bound, took, &median)
    }

    fn accused(
        &self,
        accusers: &Fronts,
        except: &Fronts,
        allowed: u32,
        allowed_per_front: f64,
    ) -> ClaimResult {
        let is_false_accusation = |transition: &&MemberTransition| {
            transition.state == MemberState::Dead
                && accusers.has(transition.viewer, self.fleet)
                && !except.has(transition.viewed, self.fleet)
        };
        let transitions = self.cluster.transitions(self.mark);
        let count = transitions.iter().filter(is_false_accusation).count();
        let allowed = f64::from(allowed) + allowed_per_front * self.fleet as f64;
        ClaimResult {
            claim: self.name.to_owned(),
            measured: format!("{count} accusations"),
            holds: count as f64 <= allowed,
        }
    }

    fn local_health(&mut self, fronts: &Fronts, health: LocalHealth, bound: Bound) -> ClaimResult {
        let fronts = fronts.of(self.fleet);
        let took = self.wait_until(bound, |cluster| {
            fronts
                .iter()
                .all(|front| cluster.local_health(*front) == Some(health))
        });
        self.timed_result(bound, took, "")
    }

    fn restarted(&mut self, viewers: &Fronts, restarted: &Fronts, bound: Bound) -> ClaimResult {
        let viewers = viewers.of(self.fleet);
        let restarted = restarted.of(self.fleet);
        let mark = self.mark;
        let took = self.wait_until(bound, |cluster| {
            let seen: BTreeSet<(usize, usize)> = cluster
                .transitions(mark)
                .iter()
                .filter(|transition| transition.restarted)
                .map(|transition| (transition.viewer, transition.viewed))
                .collect();
            viewers.iter().all(|viewer| {
                restarted
                    .iter()
                    .all(|restarted| seen.contains(&(*viewer, *restarted)))
            })
        });
        self.timed_result(bound, took, "")
    }

    fn recovered(&mut self, paid: bool, part: f64, bound: Bound) -> ClaimResult {
        let reached = self.wait_until(bound, |cluster| {
            let progress = cluster.recovery_progress(paid).unwrap_or_default();
            let settled = progress.restored + progress.left;
            progress.lost > 0 && settled as f64 >= progress.lost as f64 * part
        });
        // The time counts from the mark, not from the claim.
        let took = reached.map(|_| self.cluster.now().duration_since(self.mark));
        let progress = self.cluster.recovery_progress(paid).unwrap_or_default();
        let warm_up = self
            .cluster
            .warm_up_time(progress.restored as f64)
            .map(display_seconds)
            .unwrap_or_default();
        let detail = format!(
            " ({} lost theirs, {} watch again, {} left without; servers' warming alone allows it at {warm_up})",
            progress.lost, progress.restored, progress.left
        );
        self.timed_result(bound, took, &detail)
    }

    fn entry_known(&mut self, part: f64, bound: Bound, max_age_error: Duration) -> ClaimResult {
        let fleet = self.fleet;
        // The first front is the one that writes.
        let took = self.wait_until(bound, |cluster| {
            let knowing = (1..fleet)
                .filter(|front| cluster.entry_age(*front).is_some())
                .count();
            knowing as f64 >= part * (fleet - 1) as f64
        });
        let age_error = (1..fleet)
            .filter_map(|front| self.cluster.entry_age(front))
            .map(|age| age.reported.abs_diff(age.actual))
            .max()
            .unwrap_or(UNKNOWN_AGE_ERROR);
        let detail = format!(", ages off by {} ms at most", age_error.as_millis());
        let mut result = self.timed_result(bound, took, &detail);
        result.holds &= age_error <= max_age_error;
        result
    }

    /// Lets time pass until something holds; how long it took.
    fn wait_until(&mut self, bound: Bound, holds: impl Fn(&C) -> bool) -> Option<Duration> {
        let longest = PATIENCE * bound.of(self.fleet);
        let started = self.cluster.now();
        while self.cluster.now().duration_since(started) <= longest {
            if holds(self.cluster) {
                return Some(self.cluster.now().duration_since(started));
            }
            self.cluster.run(POLL_INTERVAL);
        }
        None
    }

    fn timed_result(&self, bound: Bound, took: Option<Duration>, detail: &str) -> ClaimResult {
        let bound = bound.of(self.fleet);
        let time = took.map_or("not at all".to_owned(), display_seconds);
        ClaimResult {
            claim: format!("{} within {}", self.name, display_seconds(bound)),
            measured: time + detail,
            holds: took.is_some_and(|took| took <= bound),
        }
    }
}

fn display_seconds(time: Duration) -> String {
    format!("{:.1} s", seconds(time))
}

/// When half of the transitions that count had happened, from a time on.
fn median_time(
    transitions: &[MemberTransition],
    from: Time,
    counts: impl Fn(&MemberTransition) -> bool,
) -> String {
    let mut times: Vec<Duration> = transitions
        .iter()
        .filter(|transition| counts(transition))
        .map(|transition| transition.at.duration_since(from))
        .collect();
    times.sort_unstable();
    times.get(times.len() / 2).map_or(String::new(), |median| {
        format!(", half of it at {}", display_seconds(*median))
    })
}
