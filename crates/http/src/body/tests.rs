use super::*;
use proptest::prelude::*;

/// Feeds in pieces of `step` bytes; the data and what was left over.
fn read(framing: Framing, input: &[u8], step: usize) -> Result<(Vec<u8>, usize, bool), HttpError> {
    let mut body = Body::new(framing, 1000)?;
    let (mut data, mut at) = (Vec::new(), 0);
    while at < input.len() && !body.is_complete() {
        at += body.feed(&input[at..(at + step).min(input.len())], &mut data)?;
    }
    Ok((data, input.len() - at, body.is_complete()))
}

#[test]
fn bodies_end_where_their_framing_states() {
    for step in 1..20 {
        assert_eq!(
            read(Framing::Length(3), b"abcdef", step),
            Ok((b"abc".to_vec(), 3, true))
        );
        let chunks = b"3\r\nabc\r\n0A;x=y\r\n0123456789\r\n0\r\nt: v\r\n\r\nrest";
        assert_eq!(
            read(Framing::Chunked, chunks, step),
            Ok((b"abc0123456789".to_vec(), 4, true))
        );
    }
    assert!(!read(Framing::UntilClose, b"abc", 2).unwrap().2);
}

#[test]
fn malformed_and_oversized_bodies_are_rejected() {
    for text in [
        "x\r\n",
        "-3\r\nabc",
        "3\r\nabcd\r\n",
        "fffffffffffffffff\r\n",
        "\r\n",
    ] {
        assert_eq!(
            read(Framing::Chunked, text.as_bytes(), 1)
                .unwrap_err()
                .status(),
            400,
            "{text:?}"
        );
    }
    assert_eq!(
        read(Framing::Chunked, b"3e9\r\n", 1).unwrap_err().status(),
        413
    );
    assert_eq!(
        read(Framing::Length(1001), b"", 1).unwrap_err().status(),
        413
    );
    assert_eq!(
        read(Framing::UntilClose, &[0; 1001], 100)
            .unwrap_err()
            .status(),
        413
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn splitting_the_input_makes_no_difference(input in prop::collection::vec(prop::sample::select(b"0123aF;\r\n x".to_vec()), 0..80), step in 1..9usize) {
        let unsplit = read(Framing::Chunked, &input, 1000);
        let pieces = read(Framing::Chunked, &input, step);
        prop_assert_eq!(unsplit.is_err(), pieces.is_err());
        if let (Ok(a), Ok(b)) = (unsplit, pieces) {
            prop_assert_eq!(a, b);
        }
    }
}
