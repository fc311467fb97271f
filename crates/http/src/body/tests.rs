use super::*;
use proptest::prelude::*;

/// Feeds `input` in pieces of `piece_bytes` bytes; returns the decoded bytes, how many bytes of `input` were left over, and
/// whether the body is complete.
fn decode(
    framing: Framing,
    input: &[u8],
    piece_bytes: usize,
) -> Result<(Vec<u8>, usize, bool), HttpError> {
    let mut body = BodyDecoder::new(framing, 1000)?;
    let (mut data, mut position) = (Vec::new(), 0);
    while position < input.len() && !body.is_complete() {
        let end = (position + piece_bytes).min(input.len());
        position += body.feed(&input[position..end], &mut data)?;
    }
    Ok((data, input.len() - position, body.is_complete()))
}

#[test]
fn bodies_end_where_their_framing_states() {
    for piece_bytes in 1..20 {
        assert_eq!(
            decode(Framing::Length(3), b"abcdef", piece_bytes),
            Ok((b"abc".to_vec(), 3, true))
        );
        let chunks = b"3\r\nabc\r\n0A;x=y\r\n0123456789\r\n0\r\nt: v\r\n\r\nrest";
        assert_eq!(
            decode(Framing::Chunked, chunks, piece_bytes),
            Ok((b"abc0123456789".to_vec(), 4, true))
        );
    }
    assert!(!decode(Framing::UntilClose, b"abc", 2).unwrap().2);
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
            decode(Framing::Chunked, text.as_bytes(), 1)
                .unwrap_err()
                .status(),
            400,
            "{text:?}"
        );
    }
    assert_eq!(
        decode(Framing::Chunked, b"3e9\r\n", 1)
            .unwrap_err()
            .status(),
        413
    );
    assert_eq!(
        decode(Framing::Length(1001), b"", 1).unwrap_err().status(),
        413
    );
    assert_eq!(
        decode(Framing::UntilClose, &[0; 1001], 100)
            .unwrap_err()
            .status(),
        413
    );
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn splitting_the_input_makes_no_difference(
        input in prop::collection::vec(prop::sample::select(b"0123aF;\r\n x".to_vec()), 0..80),
        piece_bytes in 1..9usize,
    ) {
        let unsplit = decode(Framing::Chunked, &input, 1000);
        let split = decode(Framing::Chunked, &input, piece_bytes);
        prop_assert_eq!(unsplit.is_err(), split.is_err());
        if let (Ok(unsplit), Ok(split)) = (unsplit, split) {
            prop_assert_eq!(unsplit, split);
        }
    }
}
