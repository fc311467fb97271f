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
mod tests;
