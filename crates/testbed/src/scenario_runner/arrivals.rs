//! Arrivals of players, drawn ahead of the run: an open load that never waits for answers.
use super::SECOND;
use crate::player::Visit;
use crate::script::{Day, Kind};
use crankpaddle_config::Config;
use crankpaddle_time::nanoseconds;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Part of the players that ask for half of the rungs only.
const SMALL_SCREEN_PART: f64 = 0.25;

/// Draws the arrivals of a day: the time of each from the day's start, nanoseconds, and the visit.
///
/// # Panics
/// The configuration has no titles or fewer classes than the day.
#[must_use]
pub fn arrivals(day: &Day, config: &Config, seed: u64) -> Vec<(u64, Visit)> {
    let mut generator = Generator::new(day, config, seed);
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        at += generator.exponential(1.0 / generator.peak_rate);
        if at >= day.seconds() {
            return all;
        }
        let time = (at * SECOND as f64) as u64;
        let rate_part = (day.rate_at(time) / generator.peak_rate).min(1.0);
        // A Poisson process with a varying rate: drawn at the peak rate, then thinned.
        if generator.rng.random_bool(rate_part) {
            all.push((time, generator.visit(time)));
        }
    }
}

struct Generator<'a> {
    day: &'a Day,
    config: &'a Config,
    rng: StdRng,
    /// Titles in the order of their popularity.
    titles: Vec<&'a String>,
    title_weights: Vec<f64>,
    /// Arrivals a second with all bursts together.
    peak_rate: f64,
}

impl<'a> Generator<'a> {
    fn new(day: &'a Day, config: &'a Config, seed: u64) -> Generator<'a> {
        let mut titles: Vec<&String> = config.titles.keys().collect();
        titles.sort();
        let title_weights = (1..=titles.len())
            .map(|rank| (rank as f64).powf(-day.zipf))
            .collect();
        let burst_factors = day.faults.iter().map(|fault| match fault.kind {
            Kind::Burst(times) => times.max(1.0),
            _ => 1.0,
        });
        Generator {
            day,
            config,
            rng: StdRng::seed_from_u64(seed),
            titles,
            title_weights,
            peak_rate: day.rate * burst_factors.product::<f64>(),
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Draws a visit. The order of the draws decides what a seed gives.
    fn visit(&mut self, time: u64) -> Visit {
        let title = self.title(time);
        let class = pick(&mut self.rng, &self.day.share).unwrap_or(0);
        let rungs = self.config.settings.rung_kb.len() as u8;
        let small_screen = self.rng.random_bool(SMALL_SCREEN_PART);
        let seed = self.rng.random();
        let mean_watch = self.day.watch;
        let watch = self.exponential(mean_watch as f64) as u64;
        Visit {
            seed,
            title: self.titles[title].clone(),
            class: (class as u8, self.config.classes[class].clone()),
            watch: watch.clamp(mean_watch / 10, mean_watch * 4),
            patience: nanoseconds(self.config.terms.max_wait[class]),
            top: if small_screen { rungs / 2 } else { rungs - 1 },
            fronts: Vec::new(),
        }
    }

    /// The title by number: that of a load surge for its part of the players, otherwise by popularity.
    fn title(&mut self, time: u64) -> usize {
        if let Some((title, part)) = self.day.load_surge_at(time) {
            if self.rng.random_bool(part) {
                return title % self.titles.len();
            }
        }
        pick(&mut self.rng, &self.title_weights).unwrap_or(0)
    }
}

/// Draws an index with these weights; `None` where rounding leaves a rest.
fn pick(rng: &mut StdRng, weights: &[f64]) -> Option<usize> {
    let mut left = rng.random_range(0.0..weights.iter().sum());
    weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    })
}
