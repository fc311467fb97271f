use super::{
    decode, section_kind, Body, DatagramBuilder, Header, MemberUpdate, MAX_DATAGRAM_BYTES,
};
use crate::error::DecodeError;
use crate::member_state::{MemberState, MemberVersion};

fn header() -> Header {
    let version = MemberVersion {
        epoch: 7,
        incarnation: 8,
        refutations: 9,
        state: MemberState::Alive,
    };
    Header {
        from: "a".into(),
        address: "x:1".into(),
        version,
        to: "b".into(),
    }
}

#[test]
fn a_datagram_is_decoded_and_corrupted_or_foreign_ones_are_rejected() {
    let (key, other_key) = ([1; 16], [2; 16]);
    let mut builder = DatagramBuilder::new(&header(), &Body::Ping { sequence: 5 });
    let update = MemberUpdate {
        name: "c".into(),
        address: "y:2".into(),
        version: header().version,
        reported_by: "a".into(),
    };
    assert!(builder.add_member_update(&update));
    let bytes = builder.finish(&key);
    let datagram = decode(&key, &bytes).expect("a valid datagram");
    assert_eq!(
        (&datagram.body, &datagram.member_updates[..]),
        (&Body::Ping { sequence: 5 }, &[update][..])
    );
    assert_eq!(
        decode(&other_key, &bytes),
        Err(DecodeError::ChecksumMismatch),
        "the key of another fleet"
    );
    let mut later_version = bytes.clone();
    later_version[2] = 2;
    assert_eq!(
        decode(&key, &later_version),
        Err(DecodeError::UnsupportedVersion)
    );
    for length in 0..bytes.len() {
        assert!(
            decode(&key, &bytes[..length]).is_err(),
            "truncated to {length}"
        );
    }
    for index in 3..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[index] ^= 0x10;
        assert_eq!(
            decode(&key, &corrupted),
            Err(DecodeError::ChecksumMismatch),
            "byte {index} is corrupted"
        );
    }
}

#[test]
fn sections_and_fields_of_a_later_version_are_skipped() {
    let mut builder = DatagramBuilder::new(&header(), &Body::Gossip);
    assert!(builder.add_section(200, &"what is not known yet"));
    assert!(builder.add_section(
        section_kind::MEMBER_UPDATE,
        &(
            MemberUpdate {
                name: "c".into(),
                address: "y".into(),
                version: header().version,
                reported_by: "a".into()
            },
            77u32
        )
    ));
    let datagram = decode(&[3; 16], &builder.finish(&[3; 16])).expect("readable");
    assert_eq!(datagram.member_updates[0].name, "c");
}

#[test]
fn a_datagram_never_exceeds_the_size_limit() {
    let mut builder = DatagramBuilder::new(&header(), &Body::Gossip);
    let update = MemberUpdate {
        name: "n".repeat(60),
        address: "a".repeat(40),
        version: header().version,
        reported_by: "a".into(),
    };
    let count = (0..100)
        .filter(|_| builder.add_member_update(&update))
        .count();
    let bytes = builder.finish(&[0; 16]);
    assert!(
        count > 5 && bytes.len() <= MAX_DATAGRAM_BYTES,
        "{count} updates in {} bytes",
        bytes.len()
    );
}
