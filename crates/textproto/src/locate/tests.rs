use super::*;

#[test]
fn fields_are_found_at_their_positions() {
    let text = "# head\nfront { index: 3 # which\n  zone: \"a\" 'b' }\nclass { name: \"x\" }\nclass: < aim: \"1s\"; worth: -2 >\nzone: [\"a\", \"b\"]";
    let nodes = locate(text);
    let text_at = |path: &str| &text[find(&nodes, path)..];
    assert!(text_at("front.index").starts_with("3 #"));
    assert!(text_at("front.zone").starts_with("\"a\" 'b'"));
    assert!(text_at("class[1].aim").starts_with("\"1s\""));
    assert!(text_at("class[1].worth").starts_with("-2"));
    assert!(text_at("zone[1]").starts_with("\"b\""));
    assert!(
        text_at("class[0].aim").starts_with("class { name"),
        "a missing field should be located at the message that lacks it"
    );
}

#[test]
fn malformed_text_is_located_as_far_as_it_can_be_parsed() {
    assert_eq!(locate("a: 1 b: } c: 2").len(), 1);
    assert!(locate("").is_empty());
}
