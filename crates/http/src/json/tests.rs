use super::*;

#[test]
fn the_depth_of_objects_and_arrays_is_counted_outside_of_strings() {
    for (text, depth) in [
        ("", 0),
        ("1", 0),
        ("{}", 1),
        (r#"[{"a":[1]},{"b":{}}]"#, 3),
        (r#"{"a":"[[[\\\"[[["}"#, 1),
        (r#"{"a\\":[{}]}"#, 3),
        ("]]][[", 2),
    ] {
        assert_eq!(check_depth(text, depth), Ok(()), "{text}");
        if depth > 0 {
            let max_depth = depth - 1;
            assert_eq!(
                check_depth(text, max_depth),
                Err(TooDeep { max_depth }),
                "{text}"
            );
        }
    }
    assert!(check_depth(&"[".repeat(1_000_000), 4).is_err());
}
