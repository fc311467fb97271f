//! Pins the datagram format: members with fixed seeds and a fixed clock must send exactly these datagrams, and must decode them
//! to these contents. Names in the code may change, but the literals of this file must not.
//!
//! The literals label the kinds of datagrams: "ping for" is a request for an indirect probe, "want" is a pull, and "news" are
//! updates of members.
use crankpaddle_membership::{Membership, MembershipConfig, MembershipOutput};
use crankpaddle_time::{nanoseconds, Time};
use siphasher::sip::SipHasher24;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

const MILLISECOND: u64 = 1_000_000;
const KEY: [u8; 16] = *b"a key of a fleet";
/// The labels of the kinds of bodies, in the order in which they are encoded.
const BODY_LABELS: [&str; 7] = [
    "ping", "ping for", "ack", "nack", "gossip", "digest", "want",
];
/// For each kind of datagram its label, the first one of that kind that is sent, and what a member that does not know any other
/// one decodes it to.
const DATAGRAMS: &[(&str, &str, &str)] = &[
    ("ack", "637001b6f8f08f844994d001200001620a31302e302e302e323a3782d095ffbc318280f0d589cf959a12000001610202000202", "b 10.0.0.2:7 0 by b; dropped 0; answers []"),
    ("ack with news", "6370013733dc6dc0e0d01e01200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a1200000162020200020f03200001640a31302e302e302e343a3784d095ffbc318480f0d589cf959a1200010162", "a 10.0.0.1:7 0 by a; d 10.0.0.4:7 1 by b; dropped 0; answers []"),
    ("ack with news with an entry", "6370016d178c39ab8a318c01200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a1200000162020200020103200001620a31302e302e302e323a3782d095ffbc318280f0d589cf959a120000016204180001620782d095ffbc318280f0d589cf959a12010003010203", "a 10.0.0.1:7 0 by a; dropped 0; answers []"),
    ("digest", "6370015c09d7022ca3187501200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a12000001620275000504016282d095ffbc318280f0d589cf959a120000016383d095ffbc318380f0d589cf959a120000016484d095ffbc318480f0d589cf959a120000016181d095ffbc318180f0d589cf959a120000020163c883d095ffbc318380f0d589cf959a120101620782d095ffbc318280f0d589cf959a1201", "a 10.0.0.1:7 0 by a; dropped 0; answers [\"want with news\"]"),
    ("gossip", "6370019eaf92d11f74b0e801200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a120000016202010004", "a 10.0.0.1:7 0 by a; dropped 0; answers []"),
    ("gossip with news", "637001d9913d9ad9eb949201200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a12000001640201000403200001640a31302e302e302e343a3784d095ffbc318480f0d589cf959a1200000164", "a 10.0.0.1:7 0 by a; dropped 0; answers []"),
    ("gossip with news with an entry", "6370019b4c6f02073d5c5c01200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a12000001630201000403200001640a31302e302e302e343a3784d095ffbc318480f0d589cf959a120000016403200001630a31302e302e302e333a3783d095ffbc318380f0d589cf959a1200000163041d000163c883d095ffbc318380f0d589cf959a120180e1eb170576616c7565", "a 10.0.0.1:7 0 by a; d 10.0.0.4:7 0 by d; dropped 0; answers []"),
    ("nack", "637001f38731be390c1e4601200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a1200000162020200030e", "a 10.0.0.1:7 0 by a; dropped 0; answers []"),
    ("nack with news", "637001671c4a1dcfd2d77b01200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a1200000163020200031703200001640a31302e302e302e343a3784d095ffbc318480f0d589cf959a1200020161", "a 10.0.0.1:7 0 by a; dropped 0; answers []"),
    ("ping", "637001a7e3852d7d99eb8c011f0001640a31302e302e302e343a3784d095ffbc318480f0d589cf959a120000000202000001", "d 10.0.0.4:7 0 by d; dropped 0; answers [\"ack with news\"]"),
    ("ping for", "63700180a490058f003be601200001620a31302e302e302e323a3782d095ffbc318280f0d589cf959a1200000163020400010e0164", "b 10.0.0.2:7 0 by b; dropped 0; answers []"),
    ("ping with an entry", "63700177b465221b3672f4011f0001620a31302e302e302e323a3782d095ffbc318280f0d589cf959a12000000020200000104180001620782d095ffbc318280f0d589cf959a12010003010203", "b 10.0.0.2:7 0 by b; b/7 [1, 2, 3] 0 (1700000000002, 1311768467463733250, 1); dropped 0; answers [\"ack with news with an entry\"]"),
    ("ping with news", "637001cd683637af3d184601200001620a31302e302e302e323a3782d095ffbc318280f0d589cf959a1200000164020200000e03200001640a31302e302e302e343a3784d095ffbc318480f0d589cf959a1200000164", "b 10.0.0.2:7 0 by b; dropped 0; answers [\"ack with news\"]"),
];
/// The answer to the digest by a member that does not know any other one.
const PULL: &str = "6370019e8698157db09c3b01200001620a31302e302e302e323a3782d095ffbc318280f0d589cf959a1200000161020d00060201630164020163c801620703200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a1200000161";
const PULL_DECODED: &str = "b 10.0.0.2:7 0 by b; dropped 0; answers [\"gossip with news\"]";
/// The datagram that announces a leave.
const LEAVE: &str = "63700172d03bec45742e6b01200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a120003016202010004";
/// The number of datagrams of the run, and the keyed hash of all their bytes.
const RUN_SUMMARY: (usize, u64) = (340, 0x692884fc5b00e710);

/// The offset of the first section, after two magic bytes, the version and the checksum.
const SECTIONS_OFFSET: usize = 11;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn parse_hex(hex: &str) -> Vec<u8> {
    let digit_pairs = (0..hex.len()).step_by(2);
    digit_pairs
        .map(|offset| u8::from_str_radix(&hex[offset..offset + 2], 16).expect("two digits"))
        .collect()
}

fn member(name: &str, seed: u64) -> Membership {
    let config = MembershipConfig {
        name: name.to_owned(),
        address: format!("10.0.0.{seed}:7"),
        epoch: 1_700_000_000_000 + seed,
        incarnation: 0x1234_5678_9abc_0000 + seed,
        key: KEY,
        seeds: if name == "a" {
            vec![]
        } else {
            vec!["10.0.0.1:7".to_owned()]
        },
        ..MembershipConfig::default()
    };
    Membership::new(config, seed, Time(0))
}

/// The kinds of a datagram's sections, and the index of the variant of its body.
fn sections(datagram: &[u8]) -> (Vec<u8>, usize) {
    let (mut kinds, mut body_variant, mut offset) = (Vec::new(), 0, SECTIONS_OFFSET);
    while offset < datagram.len() {
        kinds.push(datagram[offset]);
        if datagram[offset] == 2 {
            body_variant = usize::from(datagram[offset + 3]);
        }
        let length = u16::from_le_bytes([datagram[offset + 1], datagram[offset + 2]]);
        offset += 3 + usize::from(length);
    }
    (kinds, body_variant)
}

/// Runs four members for 20 s. The last one is disconnected after 8 s, and the first one leaves at the end. Returns all
/// datagrams that were sent, in order.
fn sent_datagrams() -> Vec<Vec<u8>> {
    let mut members: Vec<Membership> = ["a", "b", "c", "d"]
        .into_iter()
        .zip(1..)
        .map(|(name, seed)| member(name, seed))
        .collect();
    members[1]
        .write(Time(0), 7, vec![1, 2, 3])
        .expect("a short value");
    members[2]
        .write(Time(0), 200, b"value".to_vec())
        .expect("a short value");
    let mut sent = Vec::new();
    for millisecond in 0..20_000 {
        let now = Time(millisecond * MILLISECOND);
        let mut queue: VecDeque<(usize, MembershipOutput)> = VecDeque::new();
        for (index, member) in members.iter_mut().enumerate() {
            let mut out = Vec::new();
            if member.next_expiry() <= now {
                member.expire(now, &mut out);
            }
            queue.extend(out.into_iter().map(|output| (index, output)));
        }
        while let Some((from, output)) = queue.pop_front() {
            let MembershipOutput::Send { address, bytes, .. } = output else {
                continue;
            };
            sent.push(bytes.clone());
            let to = members
                .iter()
                .position(|member| member.address() == address)
                .expect("a member");
            let is_disconnected = millisecond >= 8000 && (to == 3 || from == 3);
            if !is_disconnected {
                let from = members[from].address().to_owned();
                let mut out = Vec::new();
                members[to].receive(now, &from, &bytes, &mut out);
                queue.extend(out.into_iter().map(|output| (to, output)));
            }
        }
    }
    let mut out = Vec::new();
    members[0].leave(Time(20_000 * MILLISECOND), &mut out);
    sent.extend(out.into_iter().filter_map(datagram));
    sent
}

fn datagram(output: MembershipOutput) -> Option<Vec<u8>> {
    match output {
        MembershipOutput::Send { bytes, .. } => Some(bytes),
        _ => None,
    }
}

/// The label of a datagram: its kind and the kinds of updates that come with it.
fn label(datagram: &[u8]) -> String {
    let (kinds, body_variant) = sections(datagram);
    let member_updates = if kinds.contains(&3) { " with news" } else { "" };
    let entry_updates = if kinds.contains(&4) {
        " with an entry"
    } else {
        ""
    };
    format!(
        "{}{member_updates}{entry_updates}",
        BODY_LABELS[body_variant]
    )
}

/// A member that does not know any other one and has received this datagram, and the datagrams that it sent as answers. It has
/// the name that the datagram is addressed to, the last byte of the header section.
fn receiver_of(bytes: &[u8]) -> (Membership, Vec<Vec<u8>>) {
    let header_end = SECTIONS_OFFSET + 3 + usize::from(bytes[SECTIONS_OFFSET + 1]);
    let (name, seed) = match bytes[header_end - 1] {
        b'a' => ("a", 1),
        b'c' => ("c", 3),
        b'd' => ("d", 4),
        b'b' => ("b", 2),
        _ => ("e", 5),
    };
    let (mut receiver, mut out) = (member(name, seed), Vec::new());
    receiver.receive(Time(0), "10.0.0.9:7", bytes, &mut out);
    (receiver, out.into_iter().filter_map(datagram).collect())
}

/// What a receiver learned from a datagram: members, entries, the number of dropped datagrams, and the labels of its answers.
fn decoded(bytes: &[u8]) -> String {
    let (receiver, answers) = receiver_of(bytes);
    let mut text = String::new();
    for member in receiver.members() {
        text += &format!(
            "{} {} {} by {}; ",
            member.name, member.address, member.state as u8, member.reported_by
        );
    }
    for (owner, key) in [("b", 7), ("c", 200)] {
        if let Some(entry) = receiver.entry(Time(0), owner, key) {
            let version = entry.version;
            let version = (version.epoch, version.incarnation, version.write_count);
            text += &format!(
                "{owner}/{key} {:?} {} {version:?}; ",
                entry.value,
                nanoseconds(entry.age)
            );
        }
    }
    let answers: Vec<String> = answers.iter().map(|answer| label(answer)).collect();
    format!(
        "{text}dropped {}; answers {answers:?}",
        receiver.counters().dropped()
    )
}

#[test]
fn each_kind_of_datagram_is_encoded_to_the_pinned_bytes() {
    let sent = sent_datagrams();
    let mut first_of_each_kind: BTreeMap<String, String> = BTreeMap::new();
    for datagram in &sent {
        first_of_each_kind
            .entry(label(datagram))
            .or_insert_with(|| hex(datagram));
    }
    let expected: BTreeMap<String, String> = DATAGRAMS
        .iter()
        .map(|(label, hex, _)| ((*label).to_owned(), (*hex).to_owned()))
        .collect();
    assert_eq!(first_of_each_kind, expected);
}

#[test]
fn each_kind_of_datagram_decodes_to_the_pinned_content() {
    for (label, hex, expected) in DATAGRAMS {
        assert_eq!(decoded(&parse_hex(hex)), *expected, "{label}");
    }
}

#[test]
fn a_digest_of_unknown_members_and_entries_is_answered_by_the_pinned_pull() {
    let (_, digest, _) = DATAGRAMS
        .iter()
        .find(|(label, ..)| *label == "digest")
        .expect("a pinned digest");
    let (_, answers) = receiver_of(&parse_hex(digest));
    let pull = answers.first().expect("an answer");
    assert_eq!(hex(pull), PULL);
    assert_eq!(decoded(pull), PULL_DECODED);
}

#[test]
fn a_leave_is_encoded_to_the_pinned_bytes_and_understood() {
    let leave = sent_datagrams().pop().expect("a datagram");
    assert_eq!(hex(&leave), LEAVE);
    let (_, gossip, _) = DATAGRAMS
        .iter()
        .find(|(label, ..)| *label == "gossip")
        .expect("a pinned gossip");
    let (mut receiver, _) = receiver_of(&parse_hex(gossip));
    receiver.receive(Time(0), "10.0.0.1:7", &leave, &mut Vec::new());
    let states: Vec<(String, u8)> = receiver
        .members()
        .into_iter()
        .map(|member| (member.name, member.state as u8))
        .collect();
    assert_eq!(states, [("a".to_owned(), 3)]);
}

#[test]
fn all_datagrams_of_a_run_have_the_pinned_hash() {
    let sent = sent_datagrams();
    let mut hasher = SipHasher24::new_with_key(&KEY);
    sent.iter().for_each(|datagram| hasher.write(datagram));
    assert_eq!((sent.len(), hasher.finish()), RUN_SUMMARY);
}
