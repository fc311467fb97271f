use super::*;

#[test]
fn each_unit_accepts_only_its_own_names() {
    assert_eq!(quantity("800ms", Unit::Time), Ok(8e8));
    assert_eq!(quantity("1.5 s", Unit::Time), Ok(1.5e9));
    assert_eq!(quantity("1.8MB/s", Unit::Rate), Ok(1800.0));
    assert_eq!(quantity("64KiB", Unit::Size), Ok(65536.0));
    for (text, unit) in [
        ("800", Unit::Time),
        ("800MS", Unit::Time),
        ("620kB", Unit::Rate),
        ("4s", Unit::Rate),
        ("-4s", Unit::Time),
        ("1e3s", Unit::Time),
        ("4s4", Unit::Time),
        ("", Unit::Size),
        ("99999999999999999999h", Unit::Time),
    ] {
        assert!(quantity(text, unit).is_err(), "{text}");
    }
}
