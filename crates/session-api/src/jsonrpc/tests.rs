use super::*;

fn code(member: &Member) -> i64 {
    member.as_ref().unwrap_err().1.code
}

/// The examples in section 7 of the specification that concern the messages to a server.
#[test]
fn examples_of_the_specification_are_parsed_as_specified() {
    let Message::Single(Ok(call)) =
        read(r#"{"jsonrpc":"2.0","method":"subtract","params":[42,23],"id":1}"#)
    else {
        panic!()
    };
    assert_eq!(
        (call.method.as_str(), call.id),
        ("subtract", Some(Id(1.into())))
    );
    let Message::Single(Ok(call)) = read(r#"{"jsonrpc":"2.0","method":"foobar"}"#) else {
        panic!()
    };
    assert_eq!((call.id, call.params), (None, Value::Null));
    for (text, expected_code) in [
        (
            r#"{"jsonrpc":"2.0","method":"foobar,"params":"bar","baz]"#,
            PARSE_ERROR,
        ),
        (
            r#"{"jsonrpc":"2.0","method":1,"params":"bar"}"#,
            INVALID_REQUEST,
        ),
        (
            r#"[{"jsonrpc":"2.0","method":"sum","id":"1"},{"jsonrpc":"2.0","method"]"#,
            PARSE_ERROR,
        ),
        ("[]", INVALID_REQUEST),
        ("1", INVALID_REQUEST),
        (r#"{"jsonrpc":"1.0","method":"a","id":1}"#, INVALID_REQUEST),
        (r#"{"jsonrpc":"2.0","method":"a","id":{}}"#, INVALID_REQUEST),
    ] {
        let Message::Single(member) = read(text) else {
            panic!("{text}")
        };
        assert_eq!(code(&member), expected_code, "{text}");
    }
    let Message::Batch(members) = read("[1,2,3]") else {
        panic!()
    };
    assert!(members.len() == 3 && members.iter().all(|member| code(member) == INVALID_REQUEST));
    let with_null_id = read(r#"{"jsonrpc":"2.0","method":"a","id":null}"#);
    assert!(
        matches!(with_null_id, Message::Single(Ok(Call { id: Some(_), .. }))),
        "a null id is an id, so the call is not a notification"
    );
}

/// Guards against the overflow of a coroutine's stack by the message of a faulty player.
#[test]
fn a_text_that_is_nested_deeper_than_any_message_is_an_invalid_request() {
    let call =
        |params: &str| format!(r#"[{{"jsonrpc":"2.0","id":1,"method":"x","params":{params}}}]"#);
    let is_batch = |text: &str| matches!(read(text), Message::Batch(_));
    assert!(
        is_batch(&call(r#"{"a":[]}"#)),
        "the deepest that is allowed"
    );
    for depth in [3, 110, 127, 10_000] {
        let nested = r#"{"a":"#.repeat(depth) + "1" + &"}".repeat(depth);
        let Message::Single(member) = read(&call(&nested)) else {
            panic!("{depth} levels were parsed");
        };
        assert_eq!(code(&member), INVALID_REQUEST, "{depth}");
    }
}
