//! Tests for the content of key files.
use super::*;

#[test]
fn a_key_is_32_hex_digits_and_nothing_else() {
    let dir = std::env::temp_dir().join(format!("crankpaddle-key-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("key");
    let read = |text: &str| {
        std::fs::write(&path, text).unwrap();
        read_key(&path)
    };
    assert_eq!(
        read("000102030405060708090a0b0c0d0e0f\n").unwrap(),
        std::array::from_fn(|index| index as u8)
    );
    for malformed in [
        "",
        "0001",
        "+0102030405060708090a0b0c0d0e0f0",
        "zz0102030405060708090a0b0c0d0e0f",
    ] {
        let error = read(malformed).unwrap_err().to_string();
        assert!(error.contains("32 hex digits"), "{malformed}");
    }
    assert!(read_key(&dir.join("absent")).is_err());
}
