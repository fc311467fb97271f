//! Sums over the late seconds, minutes and hours.

/// How many of each are kept.
pub const KEPT: (usize, usize, usize) = (120, 120, 168);

/// A ring of sums, one for each of the late spans of time.
#[derive(Clone, Debug)]
struct Ring {
    span: u64,
    sums: Vec<u64>,
    newest: u64, // Number of the newest span; those before it stand behind it in the ring.
}

impl Ring {
    fn new(span: u64, kept: usize) -> Ring {
        Ring {
            span,
            sums: vec![0; kept],
            newest: 0,
        }
    }

    fn add(&mut self, at: u64, bytes: u64) {
        let (number, kept) = (at / self.span, self.sums.len() as u64);
        if number > self.newest {
            // What lies between is empty; a long silence empties the whole ring once.
            for n in self.newest + 1..=number.min(self.newest + kept) {
                self.sums[(n % kept) as usize] = 0;
            }
            if number > self.newest + kept {
                self.sums.fill(0);
            }
            self.newest = number;
        }
        if self.newest - number < kept {
            let sum = &mut self.sums[(number % kept) as usize];
            *sum = sum.saturating_add(bytes);
        }
    }

    fn late(&self) -> Vec<(u64, u64)> {
        let kept = self.sums.len() as u64;
        let first = (self.newest + 1).saturating_sub(kept);
        (first..=self.newest)
            .map(|n| (n * self.span, self.sums[(n % kept) as usize]))
            .collect()
    }
}

/// Which span a sum is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Span {
    /// A second.
    Second,
    /// A minute.
    Minute,
    /// An hour.
    Hour,
}

/// Bytes of one flow over late spans, and in all.
#[derive(Clone, Debug)]
pub struct Windows {
    rings: [Ring; 3],
    total: u64,
}

impl Default for Windows {
    fn default() -> Windows {
        const SECOND: u64 = crate::SECOND;
        let rings = [
            Ring::new(SECOND, KEPT.0),
            Ring::new(60 * SECOND, KEPT.1),
            Ring::new(3600 * SECOND, KEPT.2),
        ];
        Windows { rings, total: 0 }
    }
}

impl Windows {
    /// Adds bytes that went at a time; a time before what is kept counts in the total only.
    pub fn add(&mut self, at: u64, bytes: u64) {
        self.rings.iter_mut().for_each(|ring| ring.add(at, bytes));
        self.total = self.total.saturating_add(bytes);
    }

    /// All bytes ever added.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Takes a total over that was kept elsewhere.
    pub fn set_total(&mut self, total: u64) {
        self.total = total;
    }

    /// The late spans, oldest first: when each began and its bytes.
    pub fn recent(&self, span: Span) -> Vec<(u64, u64)> {
        self.rings[span as usize].late()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    const SECOND: u64 = crate::SECOND;

    #[test]
    fn sums_fall_into_their_spans_and_old_ones_are_forgotten() {
        let mut w = Windows::default();
        let start = 7200 * SECOND;
        w.add(start, 5);
        w.add(start + 61 * SECOND, 7);
        w.add(start + 30 * SECOND, 1); // Late, and counted where it belongs.
        let at = |w: &Windows, span, at: u64| {
            w.recent(span)
                .into_iter()
                .find(|(t, _)| *t == at)
                .map(|(_, b)| b)
        };
        assert_eq!(at(&w, Span::Second, start + 30 * SECOND), Some(1));
        assert_eq!(at(&w, Span::Minute, start), Some(6));
        assert_eq!((at(&w, Span::Hour, start), w.total()), (Some(13), 13));
        w.add(start + 400 * SECOND, 2);
        assert_eq!(at(&w, Span::Second, start + 61 * SECOND), None);
        assert_eq!(
            w.recent(Span::Second).iter().map(|(_, b)| b).sum::<u64>(),
            2
        );
        w.add(start, 100); // Too old for a second's sum.
        assert_eq!(
            (
                w.recent(Span::Second).iter().map(|(_, b)| b).sum::<u64>(),
                w.total()
            ),
            (2, 115)
        );
    }

    #[test]
    fn totals_are_exact_beyond_what_a_float_holds() {
        let mut w = Windows::default();
        w.set_total((1 << 53) + 1);
        w.add(SECOND, 1);
        assert_eq!(w.total(), (1 << 53) + 2);
        w.set_total(u64::MAX);
        w.add(SECOND, 1);
        assert_eq!(w.total(), u64::MAX, "full is not around again");
    }
}
