//! Wire bytes: the exact datagrams of each kind that members with fixed seeds and a fixed clock write, and that they are read.
//! Names in the code may change; the literals here may not.
use crankpaddle_membership::{Membership, MembershipConfig, Output};
use crankpaddle_time::{nanoseconds, Time};
use siphasher::sip::SipHasher24;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

const MILLISECOND: u64 = 1_000_000;
const KEY: [u8; 16] = *b"a key of a fleet";
const KINDS: [&str; 7] = [
    "ping", "ping for", "ack", "nack", "gossip", "digest", "want",
];
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
const WANT: &str = "6370019e8698157db09c3b01200001620a31302e302e302e323a3782d095ffbc318280f0d589cf959a1200000161020d00060201630164020163c801620703200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a1200000161";
const WANT_DECODED: &str = "b 10.0.0.2:7 0 by b; dropped 0; answers [\"gossip with news\"]";
const LEAVE: &str = "63700172d03bec45742e6b01200001610a31302e302e302e313a3781d095ffbc318180f0d589cf959a120003016202010004";
/// Datagrams of the run, and the keyed hash of all their bytes.
const RUN: (usize, u64) = (340, 0x692884fc5b00e710);

/// Two letters, the version, the checksum.
const HEADER: usize = 11;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digit_pairs = (0..hex.len()).step_by(2);
    digit_pairs
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex"))
        .collect()
}

fn member(name: &str, seed: u64) -> Membership {
    let settings = MembershipConfig {
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
    Membership::new(settings, seed, Time(0))
}

/// The kinds of a datagram's sections, and the first byte of its body's.
fn sections(datagram: &[u8]) -> (Vec<u8>, usize) {
    let (mut kinds, mut body, mut at) = (Vec::new(), 0, HEADER);
    while at < datagram.len() {
        kinds.push(datagram[at]);
        if datagram[at] == 2 {
            body = usize::from(datagram[at + 3]);
        }
        at += 3 + usize::from(u16::from_le_bytes([datagram[at + 1], datagram[at + 2]]));
    }
    (kinds, body)
}

/// Four members for 20 s; the last is cut off from the 8th second on, and the first leaves at the end. All datagrams, in order.
fn transcript() -> Vec<Vec<u8>> {
    let mut members: Vec<Membership> = ["a", "b", "c", "d"]
        .into_iter()
        .zip(1..)
        .map(|(name, seed)| member(name, seed))
        .collect();
    members[1].write(Time(0), 7, vec![1, 2, 3]).expect("short");
    members[2]
        .write(Time(0), 200, b"value".to_vec())
        .expect("short");
    let mut sent = Vec::new();
    for millisecond in 0..20_000 {
        let now = Time(millisecond * MILLISECOND);
        let mut queue: VecDeque<(usize, Output)> = VecDeque::new();
        for (at, member) in members.iter_mut().enumerate() {
            let mut out = Vec::new();
            if member.next_expiry() <= now {
                member.expire(now, &mut out);
            }
            queue.extend(out.into_iter().map(|output| (at, output)));
        }
        while let Some((from, output)) = queue.pop_front() {
            let Output::Send { address, bytes, .. } = output else {
                continue;
            };
            sent.push(bytes.clone());
            let to = members
                .iter()
                .position(|m| m.address() == address)
                .expect("a member");
            let deaf = millisecond >= 8000 && (to == 3 || from == 3);
            if !deaf {
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

fn datagram(output: Output) -> Option<Vec<u8>> {
    match output {
        Output::Send { bytes, .. } => Some(bytes),
        _ => None,
    }
}

/// What a datagram is named by: its kind and what comes with it.
fn name_of(datagram: &[u8]) -> String {
    let (kinds, body) = sections(datagram);
    let news = if kinds.contains(&3) { " with news" } else { "" };
    let entry = if kinds.contains(&4) {
        " with an entry"
    } else {
        ""
    };
    format!("{}{news}{entry}", KINDS[body])
}

/// A member that knows nobody and reads this datagram, and what it writes for it.
fn reader(bytes: &[u8]) -> (Membership, Vec<Vec<u8>>) {
    let head_ends = HEADER + 3 + usize::from(bytes[HEADER + 1]);
    let (name, seed) = match bytes[head_ends - 1] {
        b'a' => ("a", 1),
        b'c' => ("c", 3),
        b'd' => ("d", 4),
        b'b' => ("b", 2),
        _ => ("e", 5),
    };
    let (mut reader, mut out) = (member(name, seed), Vec::new());
    reader.receive(Time(0), "10.0.0.9:7", bytes, &mut out);
    (reader, out.into_iter().filter_map(datagram).collect())
}

/// What a reader took from a datagram: members, entries, and the kinds of its answers.
fn decoded(bytes: &[u8]) -> String {
    let (reader, answers) = reader(bytes);
    let mut text = String::new();
    for m in reader.members() {
        text += &format!(
            "{} {} {} by {}; ",
            m.name, m.address, m.state as u8, m.reported_by
        );
    }
    for (owner, key) in [("b", 7), ("c", 200)] {
        if let Some(entry) = reader.entry(Time(0), owner, key) {
            let version = entry.version;
            let version = (version.epoch, version.incarnation, version.write_count);
            text += &format!(
                "{owner}/{key} {:?} {} {version:?}; ",
                entry.value,
                nanoseconds(entry.age)
            );
        }
    }
    let answers: Vec<String> = answers.iter().map(|answer| name_of(answer)).collect();
    format!(
        "{text}dropped {}; answers {answers:?}",
        reader.counters().dropped()
    )
}

#[test]
fn each_kind_of_datagram_has_these_bytes() {
    let sent = transcript();
    let mut first: BTreeMap<String, String> = BTreeMap::new();
    for datagram in &sent {
        first
            .entry(name_of(datagram))
            .or_insert_with(|| hex(datagram));
    }
    let expected: BTreeMap<String, String> = DATAGRAMS
        .iter()
        .map(|(name, hex, _)| ((*name).to_owned(), (*hex).to_owned()))
        .collect();
    assert_eq!(first, expected);
}

#[test]
fn each_kind_of_datagram_decodes_to_this() {
    for (name, hex, expected) in DATAGRAMS {
        assert_eq!(decoded(&bytes(hex)), *expected, "{name}");
    }
}

#[test]
fn a_digest_of_what_is_not_known_is_answered_by_this_want() {
    let (_, digest, _) = DATAGRAMS
        .iter()
        .find(|(name, ..)| *name == "digest")
        .expect("it is there");
    let (_, answers) = reader(&bytes(digest));
    let want = answers.first().expect("a want");
    assert_eq!(hex(want), WANT);
    assert_eq!(decoded(want), WANT_DECODED);
}

#[test]
fn a_leave_has_these_bytes() {
    let leave = transcript().pop().expect("a datagram");
    assert_eq!(hex(&leave), LEAVE);
    let (_, gossip, _) = DATAGRAMS
        .iter()
        .find(|(name, ..)| *name == "gossip")
        .expect("it is there");
    let (mut reader, _) = reader(&bytes(gossip));
    reader.receive(Time(0), "10.0.0.1:7", &leave, &mut Vec::new());
    let states: Vec<(String, u8)> = reader
        .members()
        .into_iter()
        .map(|m| (m.name, m.state as u8))
        .collect();
    assert_eq!(states, [("a".to_owned(), 3)]);
}

#[test]
fn all_datagrams_of_a_run_are_the_same_to_the_byte() {
    let sent = transcript();
    let mut hasher = SipHasher24::new_with_key(&KEY);
    sent.iter().for_each(|datagram| hasher.write(datagram));
    assert_eq!((sent.len(), hasher.finish()), RUN);
}
