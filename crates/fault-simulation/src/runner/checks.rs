//! Checks the claims of a case against the state of the cluster, one method for each kind of claim.
use super::ClaimResult;
use crate::cluster::{all_see, Cluster, MemberTransition};
use crate::scenario::{Claim, FrontSet, TimeBound};
use crate::seconds;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time between two evaluations of a claim that doesn't hold yet.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A claim is evaluated until this multiple of its time limit, so that the result shows by how much a claim missed its limit.
const WAIT_FACTOR: u32 = 2;
/// The age error that is reported if no front has the entry: larger than any limit, so that the claim fails.
const UNKNOWN_AGE_ERROR: Duration = Duration::from_nanos(u64::MAX);

/// Checks a claim; lets time pass until the claim holds or the wait for it ends. Accusations, restarts and recovered sessions
/// count from `measured_since` on.
pub(super) fn check<C: Cluster + ?Sized>(
    name: &str,
    claim: &Claim,
    measured_since: Time,
    cluster: &mut C,
) -> ClaimResult {
    let mut check = ClaimCheck::new(name, measured_since, cluster);
    match claim {
        Claim::MembersSeenAs {
            viewers,
            viewed,
            state,
            bound,
        } => check.members_seen_as(viewers, viewed, *state, *bound),
        Claim::FalseAccusations {
            accusers,
            except,
            max_accusations,
            max_accusations_per_front,
        } => check.false_accusations(
            accusers,
            except,
            *max_accusations,
            *max_accusations_per_front,
        ),
        Claim::LocalHealth {
            fronts,
            health,
            bound,
        } => check.local_health(fronts, *health, *bound),
        Claim::RestartsSeen {
            viewers,
            restarted,
            bound,
        } => check.restarts_seen(viewers, restarted, *bound),
        Claim::SessionsRecovered {
            paid,
            min_fraction,
            bound,
        } => check.sessions_recovered(*paid, *min_fraction, *bound),
        Claim::EntryKnown {
            min_fraction,
            bound,
            max_age_error,
        } => check.entry_known(*min_fraction, *bound, *max_age_error),
    }
}

struct ClaimCheck<'a, C: ?Sized> {
    name: &'a str,
    measured_since: Time,
    fleet_size: usize,
    cluster: &'a mut C,
}

impl<'a, C: Cluster + ?Sized> ClaimCheck<'a, C> {
    fn new(name: &'a str, measured_since: Time, cluster: &'a mut C) -> ClaimCheck<'a, C> {
        ClaimCheck {
            name,
            measured_since,
            fleet_size: cluster.fronts(),
            cluster,
        }
    }

    fn members_seen_as(
        &mut self,
        viewers: &FrontSet,
        viewed: &FrontSet,
        state: MemberState,
        bound: TimeBound,
    ) -> ClaimResult {
        let viewers = viewers.members(self.fleet_size);
        let viewed = viewed.members(self.fleet_size);
        let from = self.cluster.now();
        let elapsed = self.wait_until(bound, |cluster| all_see(cluster, &viewers, &viewed, state));
        let is_relevant = |transition: &MemberTransition| {
            transition.state == state
                && viewers.contains(&transition.viewer)
                && viewed.contains(&transition.viewed)
        };
        let median = if state == MemberState::Alive {
            String::new()
        } else {
            median_time(&self.cluster.transitions(from), from, is_relevant)
        };
        self.timed_result(bound, elapsed, &median)
    }

    fn false_accusations(
        &self,
        accusers: &FrontSet,
        except: &FrontSet,
        max_accusations: u32,
        max_accusations_per_front: f64,
    ) -> ClaimResult {
        let is_false_accusation = |transition: &&MemberTransition| {
            transition.state == MemberState::Dead
                && accusers.contains(transition.viewer, self.fleet_size)
                && !except.contains(transition.viewed, self.fleet_size)
        };
        let transitions = self.cluster.transitions(self.measured_since);
        let count = transitions.iter().filter(is_false_accusation).count();
        let max_accusations =
            f64::from(max_accusations) + max_accusations_per_front * self.fleet_size as f64;
        ClaimResult {
            description: self.name.to_owned(),
            measurement: format!("{count} accusations"),
            holds: count as f64 <= max_accusations,
        }
    }

    fn local_health(
        &mut self,
        fronts: &FrontSet,
        health: LocalHealth,
        bound: TimeBound,
    ) -> ClaimResult {
        let fronts = fronts.members(self.fleet_size);
        let elapsed = self.wait_until(bound, |cluster| {
            fronts
                .iter()
                .all(|front| cluster.local_health(*front) == Some(health))
        });
        self.timed_result(bound, elapsed, "")
    }

    fn restarts_seen(
        &mut self,
        viewers: &FrontSet,
        restarted: &FrontSet,
        bound: TimeBound,
    ) -> ClaimResult {
        let viewers = viewers.members(self.fleet_size);
        let restarted = restarted.members(self.fleet_size);
        let measured_since = self.measured_since;
        let elapsed = self.wait_until(bound, |cluster| {
            let seen: BTreeSet<(usize, usize)> = cluster
                .transitions(measured_since)
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
        self.timed_result(bound, elapsed, "")
    }

    fn sessions_recovered(
        &mut self,
        paid: bool,
        min_fraction: f64,
        bound: TimeBound,
    ) -> ClaimResult {
        let waited = self.wait_until(bound, |cluster| {
            let progress = cluster.recovery_progress(paid).unwrap_or_default();
            let settled = progress.restored + progress.left;
            progress.lost > 0 && settled as f64 >= progress.lost as f64 * min_fraction
        });
        // The result is the time since the start of the measurement, although the wait began only at this claim.
        let elapsed = waited.map(|_| self.cluster.now().duration_since(self.measured_since));
        let progress = self.cluster.recovery_progress(paid).unwrap_or_default();
        let warm_up = self
            .cluster
            .warm_up_time(progress.restored as f64)
            .map(display_seconds)
            .unwrap_or_default();
        let detail = format!(
            " (sessions lost: {}, restored: {}, viewers left: {}; the servers' slow start alone would take {warm_up})",
            progress.lost, progress.restored, progress.left
        );
        self.timed_result(bound, elapsed, &detail)
    }

    fn entry_known(
        &mut self,
        min_fraction: f64,
        bound: TimeBound,
        max_age_error: Duration,
    ) -> ClaimResult {
        let fleet_size = self.fleet_size;
        // Front 0 writes the entry, so only the others are counted.
        let elapsed = self.wait_until(bound, |cluster| {
            let fronts_with_entry = (1..fleet_size)
                .filter(|front| cluster.entry_age(*front).is_some())
                .count();
            fronts_with_entry as f64 >= min_fraction * (fleet_size - 1) as f64
        });
        let age_error = (1..fleet_size)
            .filter_map(|front| self.cluster.entry_age(front))
            .map(|age| age.reported.abs_diff(age.actual))
            .max()
            .unwrap_or(UNKNOWN_AGE_ERROR);
        let detail = format!(", largest age error {} ms", age_error.as_millis());
        let mut result = self.timed_result(bound, elapsed, &detail);
        result.holds &= age_error <= max_age_error;
        result
    }

    /// Lets time pass until a condition holds, and returns how long that took; `None` if it never held in the time allowed.
    fn wait_until(&mut self, bound: TimeBound, holds: impl Fn(&C) -> bool) -> Option<Duration> {
        let max_wait = WAIT_FACTOR * bound.for_fleet(self.fleet_size);
        let started = self.cluster.now();
        while self.cluster.now().duration_since(started) <= max_wait {
            if holds(self.cluster) {
                return Some(self.cluster.now().duration_since(started));
            }
            self.cluster.run(POLL_INTERVAL);
        }
        None
    }

    fn timed_result(
        &self,
        bound: TimeBound,
        elapsed: Option<Duration>,
        detail: &str,
    ) -> ClaimResult {
        let bound = bound.for_fleet(self.fleet_size);
        let time = elapsed.map_or("never".to_owned(), display_seconds);
        ClaimResult {
            description: format!("{} within {}", self.name, display_seconds(bound)),
            measurement: time + detail,
            holds: elapsed.is_some_and(|elapsed| elapsed <= bound),
        }
    }
}

fn display_seconds(time: Duration) -> String {
    format!("{:.1} s", seconds(time))
}

/// Describes the median time of the relevant transitions, counted from a start time; empty if there are none.
fn median_time(
    transitions: &[MemberTransition],
    from: Time,
    is_relevant: impl Fn(&MemberTransition) -> bool,
) -> String {
    let mut times: Vec<Duration> = transitions
        .iter()
        .filter(|transition| is_relevant(transition))
        .map(|transition| transition.at.duration_since(from))
        .collect();
    times.sort_unstable();
    times.get(times.len() / 2).map_or(String::new(), |median| {
        format!(", median {}", display_seconds(*median))
    })
}
