//! Datagrams: two letters, a version, a keyed checksum, then sections. A section of an unknown kind is passed over, so that
//! a later version may add some.
use crate::gossip_state::Written;
use crate::member_state::MemberVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// Bytes of a datagram at most: it goes through common links in one piece.
pub const MOST: usize = 1200;
const MARK: [u8; 2] = *b"cp";
const VERSION: u8 = 1;
const HEADER: usize = 3 + 8;

const HEAD: u8 = 1;
const BODY: u8 = 2;
const NEWS: u8 = 3;
const ENTRY: u8 = 4;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It is none of these, or broken.
    Garbage,
    /// It is of a version that can't be read.
    Version,
    /// Its checksum fails: another fleet's key, or damaged on the way.
    Checksum,
}

/// Who sends, and to whom.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub from: String,
    pub address: String,
    pub at: MemberVersion,
    pub to: String, // Empty: whoever is there.
}

/// News of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct News {
    pub name: String,
    pub address: String,
    pub at: MemberVersion,
    pub by: String, // Who found it so. Danger: who only passes it on would count as another witness.
}

pub(crate) type Version = (u64, u64, u32);

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    Ping {
        seq: u32,
    },
    /// Ping that one for me.
    PingFor {
        seq: u32,
        target: String,
    },
    Ack {
        seq: u32,
    },
    /// The helper is there, but the target did not answer it.
    Nack {
        seq: u32,
    },
    Gossip,
    /// What the sender knows, a part of it.
    Digest {
        members: Vec<(String, MemberVersion)>,
        entries: Vec<(String, u8, Version)>,
    },
    /// What the sender wants of what it was told to be there.
    Want {
        members: Vec<String>,
        entries: Vec<(String, u8)>,
    },
}

/// A datagram as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Datagram {
    pub head: Head,
    pub body: Body,
    pub news: Vec<News>,
    pub entries: Vec<Written>,
}

/// Builds a datagram as long as things fit.
pub(crate) struct Builder(Vec<u8>);

impl Builder {
    pub(crate) fn new(head: &Head, body: &Body) -> Builder {
        let mut bytes = Vec::with_capacity(256);
        bytes.extend(MARK);
        bytes.push(VERSION);
        bytes.extend([0; 8]);
        let mut builder = Builder(bytes);
        builder.section(HEAD, head);
        builder.section(BODY, body);
        builder
    }

    /// False if it does not fit; nothing is added then.
    fn section<T: Serialize>(&mut self, kind: u8, of: &T) -> bool {
        let Ok(bytes) = postcard::to_allocvec(of) else {
            return false;
        };
        let Ok(length) = u16::try_from(bytes.len()) else {
            return false;
        };
        if self.0.len() + 3 + bytes.len() > MOST {
            return false;
        }
        self.0.push(kind);
        self.0.extend(length.to_le_bytes());
        self.0.extend(bytes);
        true
    }

    pub(crate) fn news(&mut self, news: &News) -> bool {
        self.section(NEWS, news)
    }

    pub(crate) fn entry(&mut self, entry: &Written) -> bool {
        self.section(ENTRY, entry)
    }

    pub(crate) fn finish(mut self, key: &[u8; 16]) -> Vec<u8> {
        let sum = checksum(key, &self.0[HEADER..]);
        self.0[3..HEADER].copy_from_slice(&sum.to_le_bytes());
        self.0
    }
}

fn checksum(key: &[u8; 16], bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(&[VERSION]);
    hasher.write(bytes);
    hasher.finish()
}

/// Reads a datagram of a fleet with this key.
pub(crate) fn read(key: &[u8; 16], bytes: &[u8]) -> Result<Datagram, Fault> {
    if bytes.len() < HEADER || bytes.len() > MOST || bytes[..2] != MARK {
        return Err(Fault::Garbage);
    }
    if bytes[2] != VERSION {
        return Err(Fault::Version);
    }
    if bytes[3..HEADER] != checksum(key, &bytes[HEADER..]).to_le_bytes() {
        return Err(Fault::Checksum);
    }
    let (mut head, mut body, mut news, mut entries) = (None, None, Vec::new(), Vec::new());
    let mut rest = &bytes[HEADER..];
    while !rest.is_empty() {
        let [kind, low, high, more @ ..] = rest else {
            return Err(Fault::Garbage);
        };
        let length = usize::from(u16::from_le_bytes([*low, *high]));
        if length > more.len() {
            return Err(Fault::Garbage);
        }
        let (section, behind) = more.split_at(length);
        match *kind {
            HEAD => head = Some(part(section)?),
            BODY => body = Some(part(section)?),
            NEWS => news.push(part(section)?),
            ENTRY => entries.push(part(section)?),
            _ => {}
        }
        rest = behind;
    }
    match (head, body) {
        (Some(head), Some(body)) => Ok(Datagram {
            head,
            body,
            news,
            entries,
        }),
        _ => Err(Fault::Garbage),
    }
}

/// A section may be longer than what is known of it: a later version may add fields at its end.
fn part<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    postcard::take_from_bytes(bytes)
        .map(|(part, _)| part)
        .map_err(|_| Fault::Garbage)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member_state::MemberState;

    fn head() -> Head {
        let at = MemberVersion {
            epoch: 7,
            incarnation: 8,
            refutations: 9,
            state: MemberState::Alive,
        };
        Head {
            from: "a".into(),
            address: "x:1".into(),
            at,
            to: "b".into(),
        }
    }

    #[test]
    fn what_was_written_is_read_and_all_else_is_told_apart() {
        let (key, other) = ([1; 16], [2; 16]);
        let mut builder = Builder::new(&head(), &Body::Ping { seq: 5 });
        let news = News {
            name: "c".into(),
            address: "y:2".into(),
            at: head().at,
            by: "a".into(),
        };
        assert!(builder.news(&news));
        let bytes = builder.finish(&key);
        let datagram = read(&key, &bytes).expect("whole");
        assert_eq!(
            (&datagram.body, &datagram.news[..]),
            (&Body::Ping { seq: 5 }, &[news][..])
        );
        assert_eq!(read(&other, &bytes), Err(Fault::Checksum), "another fleet");
        let mut later = bytes.clone();
        later[2] = 2;
        assert_eq!(read(&key, &later), Err(Fault::Version));
        for cut in 0..bytes.len() {
            assert!(read(&key, &bytes[..cut]).is_err(), "cut at {cut}");
        }
        for at in 3..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[at] ^= 0x10;
            assert_eq!(
                read(&key, &damaged),
                Err(Fault::Checksum),
                "damaged at {at}"
            );
        }
    }

    #[test]
    fn sections_of_a_later_version_are_passed_over() {
        let mut builder = Builder::new(&head(), &Body::Gossip);
        assert!(builder.section(200, &"what is not known yet"));
        assert!(builder.section(
            NEWS,
            &(
                News {
                    name: "c".into(),
                    address: "y".into(),
                    at: head().at,
                    by: "a".into()
                },
                77u32
            )
        ));
        let datagram = read(&[3; 16], &builder.finish(&[3; 16])).expect("readable");
        assert_eq!(datagram.news[0].name, "c");
    }

    #[test]
    fn a_datagram_stays_within_its_bound() {
        let mut builder = Builder::new(&head(), &Body::Gossip);
        let news = News {
            name: "n".repeat(60),
            address: "a".repeat(40),
            at: head().at,
            by: "a".into(),
        };
        let count = (0..100).filter(|_| builder.news(&news)).count();
        let bytes = builder.finish(&[0; 16]);
        assert!(
            count > 5 && bytes.len() <= MOST,
            "{count} in {} bytes",
            bytes.len()
        );
    }
}
