//! A check on JSON from other machines before it is parsed to a value of any form.
//!
//! `serde_json` recurses once for each level when it parses to a `Value`, and the small stack of a coroutine does not bear the
//! 128 levels that it allows. Types with a fixed form need no check: what they have no field for is skipped without recursion.

/// A JSON text is nested deeper than the form of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("nested deeper than {max_depth} levels")]
pub struct TooDeep {
    /// The most levels that are allowed.
    pub max_depth: usize,
}

/// Checks that the objects and arrays of a JSON text are nested at most `max_depth` levels deep. The text may be malformed: its
/// brackets outside of strings are counted, and nothing else.
///
/// # Errors
/// The text is nested deeper.
pub fn check_depth(text: &str, max_depth: usize) -> Result<(), TooDeep> {
    let mut depth = 0_usize;
    let mut is_in_string = false;
    let mut is_escaped = false;
    for byte in text.bytes() {
        if is_in_string {
            is_in_string = is_escaped || byte != b'"';
            is_escaped = !is_escaped && byte == b'\\';
            continue;
        }
        match byte {
            b'"' => is_in_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > max_depth {
            return Err(TooDeep { max_depth });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
