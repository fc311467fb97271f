use super::*;

#[test]
fn fields_are_found_at_their_places() {
    let text = "# head\nfront { index: 3 # which\n  zone: \"a\" 'b' }\nclass { name: \"x\" }\nclass: < aim: \"1s\"; worth: -2 >\nzone: [\"a\", \"b\"]";
    let nodes = locate(text);
    let here = |path: &str| &text[find(&nodes, path)..];
    assert!(here("front.index").starts_with("3 #"));
    assert!(here("front.zone").starts_with("\"a\" 'b'"));
    assert!(here("class[1].aim").starts_with("\"1s\""));
    assert!(here("class[1].worth").starts_with("-2"));
    assert!(here("zone[1]").starts_with("\"b\""));
    assert!(
        here("class[0].aim").starts_with("class { name"),
        "what lacks a field is named"
    );
}

#[test]
fn malformed_text_is_located_as_far_as_it_can_be_parsed() {
    assert_eq!(locate("a: 1 b: } c: 2").len(), 1);
    assert!(locate("").is_empty());
}
