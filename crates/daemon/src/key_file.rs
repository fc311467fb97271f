//! Reads secret keys from files.
use crate::errors::{KeyFileError, StartError};
use std::path::Path;

#[cfg(test)]
mod tests;

/// Bytes of a key.
const KEY_BYTES: usize = 16;
/// Hexadecimal digits of a key.
const KEY_DIGITS: usize = 2 * KEY_BYTES;

/// Reads a key from a file that holds 32 hexadecimal digits, with or without white space around them.
///
/// # Errors
/// The file can't be read, or holds anything else.
pub(crate) fn read_key(path: &Path) -> Result<[u8; KEY_BYTES], StartError> {
    let error = |source| StartError::Key {
        path: path.to_owned(),
        source,
    };
    let text = std::fs::read_to_string(path).map_err(|source| error(source.into()))?;
    parse_key(text.trim()).ok_or_else(|| error(KeyFileError::Malformed))
}

fn parse_key(digits: &str) -> Option<[u8; KEY_BYTES]> {
    // The digits are checked because `from_str_radix` would accept a sign.
    if digits.len() != KEY_DIGITS || !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let number = u128::from_str_radix(digits, 16).ok()?;
    Some(number.to_be_bytes())
}
