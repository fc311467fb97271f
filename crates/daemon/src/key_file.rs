//! Keys in files.
use crate::errors::StartError;
use std::path::Path;

/// A key: 32 hex digits.
pub(crate) fn key(path: &Path) -> Result<[u8; 16], StartError> {
    let wrong = |what: String| StartError::Key {
        path: path.to_owned(),
        what,
    };
    let text = std::fs::read_to_string(path).map_err(|e| wrong(e.to_string()))?;
    let digits = text.trim();
    if digits.len() != 32 || !digits.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(wrong("is no key: 32 hex digits are wanted".to_owned()));
    }
    let number = u128::from_str_radix(digits, 16).map_err(|e| wrong(e.to_string()))?;
    Ok(number.to_be_bytes())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_32_hex_digits_and_nothing_else() {
        let dir = std::env::temp_dir().join(format!("crankpaddle-key-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let path = dir.join("key");
        let read = |text: &str| {
            std::fs::write(&path, text).unwrap();
            key(&path)
        };
        assert_eq!(
            read("000102030405060708090a0b0c0d0e0f\n").unwrap(),
            std::array::from_fn(|i| i as u8)
        );
        for bad in [
            "",
            "0001",
            "+0102030405060708090a0b0c0d0e0f0",
            "zz0102030405060708090a0b0c0d0e0f",
        ] {
            assert!(
                read(bad).unwrap_err().to_string().contains("32 hex digits"),
                "{bad}"
            );
        }
        assert!(key(&dir.join("absent")).is_err());
    }
}
