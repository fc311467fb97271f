//! A fixed budget of bytes and datagrams a second, whatever the number of members is.

/// Tokens of one kind, filled at a rate up to a second's worth.
#[derive(Clone, Debug)]
pub(crate) struct Budget {
    rate: f64, // A second.
    held: f64,
    at: u64,
}

const SECOND: f64 = 1e9;

impl Budget {
    pub(crate) fn new(rate: f64, now: u64) -> Budget {
        Budget {
            rate,
            held: rate,
            at: now,
        }
    }

    /// Takes `n` if `spare` a second's worth stays; false if there is too little.
    pub(crate) fn take(&mut self, now: u64, n: f64, spare: f64) -> bool {
        let past = now.saturating_sub(self.at) as f64 / SECOND;
        (self.held, self.at) = (
            (self.held + past * self.rate).min(self.rate),
            now.max(self.at),
        );
        let there = self.held - n >= spare * self.rate;
        if there {
            self.held -= n;
        }
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_second_takes_more_than_the_rate_and_what_was_saved() {
        let mut budget = Budget::new(10.0, 0);
        let taken = (0..300)
            .filter(|i| budget.take(i * 10_000_000, 1.0, 0.0))
            .count();
        assert!(
            (38..=40).contains(&taken),
            "10 at first and 10 a second for 3 s: {taken}"
        );
        assert!(
            !budget.take(3_000_000_000, 1.0, 0.5),
            "a part is spared for what matters more"
        );
    }
}
