//! Quantities with a unit: "800ms", "620kB/s", "64KiB".
use winnow::ascii::{digit1, space0};
use winnow::combinator::{alt, opt, preceded};
use winnow::error::ContextError;
use winnow::{Parser, Result};

/// What a quantity measures; says what is allowed where a text is not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Nanoseconds.
    Time,
    /// kB (1,000 bytes) a second.
    Rate,
    /// Bytes.
    Size,
}

impl Unit {
    /// The forms that are allowed.
    pub fn allowed(self) -> &'static str {
        match self {
            Unit::Time => "a time such as \"800ms\", \"4s\", \"250us\", \"2m\" or \"1h\"",
            Unit::Rate => "a rate such as \"620kB/s\", \"1.8MB/s\" or \"9000B/s\"",
            Unit::Size => "a size such as \"512B\", \"64KiB\", \"1MiB\" or \"2GiB\"",
        }
    }
}

fn number(input: &mut &str) -> Result<f64> {
    (digit1, opt(preceded('.', digit1)))
        .take()
        .try_map(|text: &str| text.parse())
        .parse_next(input)
}

fn scale(unit: Unit, input: &mut &str) -> Result<f64, ContextError> {
    let mut units = match unit {
        Unit::Time => [
            ("ns", 1.0),
            ("us", 1e3),
            ("ms", 1e6),
            ("s", 1e9),
            ("m", 6e10),
            ("h", 3.6e12),
        ]
        .as_slice(),
        Unit::Rate => [("B/s", 1e-3), ("kB/s", 1.0), ("MB/s", 1e3), ("GB/s", 1e6)].as_slice(),
        Unit::Size => [
            ("B", 1.0),
            ("KiB", 1024.0),
            ("MiB", 1048576.0),
            ("GiB", 1073741824.0),
        ]
        .as_slice(),
    }
    .iter();
    let word = alt((
        winnow::token::take_while(1.., |c: char| c.is_ascii_alphabetic() || c == '/'),
        "",
    ))
    .parse_next(input)?;
    units
        .find(|(name, _)| *name == word)
        .map(|(_, factor)| *factor)
        .ok_or_else(ContextError::new)
}

/// The quantity in nanoseconds, kB a second or bytes.
///
/// # Errors
/// Says what is allowed, where the text is no number with one of the unit's names.
pub fn quantity(text: &str, unit: Unit) -> std::result::Result<f64, String> {
    let whole = |input: &mut &str| -> Result<f64> {
        let (number, _) = (number, space0).parse_next(input)?;
        Ok(number * scale(unit, input)?)
    };
    let value = { whole }
        .parse(text)
        .map_err(|_| format!("{text:?} is not {}", unit.allowed()))?;
    if value.is_finite() && value < 1e18 {
        Ok(value)
    } else {
        Err(format!("{text:?} is too large"))
    }
}

#[cfg(test)]
mod tests;
