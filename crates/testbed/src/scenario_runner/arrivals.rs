//! Arrivals of players. All are drawn before the run, so the load is open: it does not depend on how fast fronts answer.
use crate::player::{Visit, VisitClass};
use crate::script::{FaultKind, Scenario};
use crankpaddle_config::Config;
use crankpaddle_time::nanoseconds;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Fraction of the players whose screen is small, so that they use only the lower half of the rungs.
const SMALL_SCREEN_FRACTION: f64 = 0.25;

const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// The arrival of a player.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time since the start of the scenario.
    pub at: Duration,
    /// What the player watches, and how long.
    pub visit: Visit,
}

/// Draws the arrivals of a scenario, sorted by time. The same seed gives the same arrivals.
///
/// # Panics
/// The configuration has no titles, or fewer classes than the scenario.
#[must_use]
pub fn arrivals(scenario: &Scenario, config: &Config, seed: u64) -> Vec<Arrival> {
    let mut generator = ArrivalGenerator::new(scenario, config, seed);
    let mut all = Vec::new();
    let mut seconds = 0.0;
    loop {
        seconds += generator.exponential(1.0 / generator.peak_rate);
        if seconds >= scenario.seconds() {
            return all;
        }
        let at = Duration::from_nanos((seconds * NANOSECONDS_PER_SECOND) as u64);
        let keep_probability = (scenario.rate_at(at) / generator.peak_rate).min(1.0);
        // A Poisson process with a varying rate is drawn at the peak rate, then thinned.
        if generator.rng.random_bool(keep_probability) {
            let visit = generator.visit(at);
            all.push(Arrival { at, visit });
        }
    }
}

/// Draws arrivals and what the players do.
struct ArrivalGenerator<'a> {
    scenario: &'a Scenario,
    config: &'a Config,
    rng: StdRng,
    /// Titles by popularity, the most popular first.
    titles: Vec<&'a String>,
    title_weights: Vec<f64>,
    /// Arrivals a second as if all bursts were active at the same time; an upper bound of the rate.
    peak_rate: f64,
}

impl<'a> ArrivalGenerator<'a> {
    fn new(scenario: &'a Scenario, config: &'a Config, seed: u64) -> ArrivalGenerator<'a> {
        let mut titles: Vec<&String> = config.titles.keys().collect();
        titles.sort();
        let title_weights = (1..=titles.len())
            .map(|rank| (rank as f64).powf(-scenario.zipf_exponent))
            .collect();
        let burst_factors = scenario.faults.iter().map(|fault| match fault.kind {
            FaultKind::Burst(times) => times.max(1.0),
            _ => 1.0,
        });
        ArrivalGenerator {
            scenario,
            config,
            rng: StdRng::seed_from_u64(seed),
            titles,
            title_weights,
            peak_rate: scenario.rate * burst_factors.product::<f64>(),
        }
    }

    /// Draws from an exponential distribution.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Draws a visit. A different order of the draws would change the visits of every seed.
    fn visit(&mut self, at: Duration) -> Visit {
        let title = self.title(at);
        let class = pick(&mut self.rng, &self.scenario.class_shares).unwrap_or(0);
        let rungs = self.config.settings.rung_kb.len() as u8;
        let small_screen = self.rng.random_bool(SMALL_SCREEN_FRACTION);
        let seed = self.rng.random();
        let mean_watch = self.scenario.mean_watch_time;
        let watch = self.exponential(nanoseconds(mean_watch) as f64) as u64;
        Visit {
            seed,
            title: self.titles[title].clone(),
            class: VisitClass {
                number: class as u8,
                name: self.config.classes[class].clone(),
            },
            watch: Duration::from_nanos(watch).clamp(mean_watch / 10, mean_watch * 4),
            patience: self.config.terms.max_wait[class],
            highest_rung: if small_screen { rungs / 2 } else { rungs - 1 },
            fronts: Vec::new(),
        }
    }

    /// Draws the number of a title. During a load surge its fraction of the players gets its title; the other players choose
    /// by popularity.
    fn title(&mut self, at: Duration) -> usize {
        if let Some((title, fraction)) = self.scenario.load_surge_at(at) {
            if self.rng.random_bool(fraction) {
                return title % self.titles.len();
            }
        }
        pick(&mut self.rng, &self.title_weights).unwrap_or(0)
    }
}

/// Draws an index with these weights. `None` where rounding errors leave a remainder after the last weight.
fn pick(rng: &mut StdRng, weights: &[f64]) -> Option<usize> {
    let mut remaining = rng.random_range(0.0..weights.iter().sum());
    weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    })
}
