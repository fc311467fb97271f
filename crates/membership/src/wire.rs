//! The datagram format: two magic bytes, a version, a keyed checksum, then sections. A section of an unknown kind is skipped,
//! so that a later version may add some. Bodies of sections are in postcard: fields and variants are encoded by their order.
#[cfg(test)]
mod tests;

use crate::error::DecodeError;
use crate::gossip_state::{EntryDigest, EntryKey, EntryUpdate};
use crate::member_state::MemberVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// The longest datagram, bytes. Why: it passes common links without fragmentation.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1200;
const MAGIC: [u8; 2] = *b"cp";
const VERSION: u8 = 1;
/// Where the checksum begins: behind the magic bytes and the version.
const CHECKSUM_AT: usize = MAGIC.len() + 1;
const CHECKSUM_BYTES: usize = 8;
/// Where the sections begin.
const SECTIONS_AT: usize = CHECKSUM_AT + CHECKSUM_BYTES;
/// A section's kind (one byte) and length (two bytes).
const SECTION_HEADER_BYTES: usize = 3;
/// What a builder reserves at first, bytes: most datagrams are shorter.
const USUAL_DATAGRAM_BYTES: usize = 256;

/// Kinds of sections.
mod section_kind {
    pub(super) const HEADER: u8 = 1;
    pub(super) const BODY: u8 = 2;
    pub(super) const MEMBER_UPDATE: u8 = 3;
    pub(super) const ENTRY_UPDATE: u8 = 4;
}

/// The sender and the addressee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    pub from: String,
    pub address: String,
    pub version: MemberVersion,
    pub to: String, // Empty where the receiver's name is not known yet.
}

/// What is known of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberUpdate {
    pub name: String,
    pub address: String,
    pub version: MemberVersion,
    /// The member that found it in this state. Why not the sender: a member that only forwards a suspicion would count as another
    /// accuser.
    pub reported_by: String,
}

/// A member's version as a digest lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberDigest {
    pub name: String,
    pub version: MemberVersion,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// A probe.
    Ping { sequence: u32 },
    /// Asks the receiver to probe `target` on behalf of the sender (SWIM's indirect probe).
    PingRequest { sequence: u32, target: String },
    /// Acknowledges a probe.
    Ack { sequence: u32 },
    /// The helper of an indirect probe is alive, but the target did not answer it (Lifeguard).
    Nack { sequence: u32 },
    /// Nothing but the updates that come with it.
    Gossip,
    /// Versions of a part of what the sender knows (anti-entropy).
    Digest {
        members: Vec<MemberDigest>,
        entries: Vec<EntryDigest>,
    },
    /// Requests the updates of a digest that the sender lacks.
    Pull {
        members: Vec<String>,
        entries: Vec<EntryKey>,
    },
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Datagram {
    pub header: Header,
    pub body: Body,
    pub member_updates: Vec<MemberUpdate>,
    pub entry_updates: Vec<EntryUpdate>,
}

/// Builds a datagram; sections are added as long as they fit.
pub(crate) struct DatagramBuilder(Vec<u8>);

impl DatagramBuilder {
    pub(crate) fn new(header: &Header, body: &Body) -> DatagramBuilder {
        let mut bytes = Vec::with_capacity(USUAL_DATAGRAM_BYTES);
        bytes.extend(MAGIC);
        bytes.push(VERSION);
        bytes.extend([0; CHECKSUM_BYTES]);
        let mut builder = DatagramBuilder(bytes);
        builder.add_section(section_kind::HEADER, header);
        builder.add_section(section_kind::BODY, body);
        builder
    }

    /// Adds an update of a member; false if it does not fit.
    pub(crate) fn add_member_update(&mut self, update: &MemberUpdate) -> bool {
        self.add_section(section_kind::MEMBER_UPDATE, update)
    }

    /// Adds an update of an entry; false if it does not fit.
    pub(crate) fn add_entry_update(&mut self, update: &EntryUpdate) -> bool {
        self.add_section(section_kind::ENTRY_UPDATE, update)
    }

    /// The finished datagram, with its checksum under the fleet's key.
    pub(crate) fn finish(mut self, key: &[u8; 16]) -> Vec<u8> {
        let checksum = checksum(key, &self.0[SECTIONS_AT..]);
        self.0[CHECKSUM_AT..SECTIONS_AT].copy_from_slice(&checksum.to_le_bytes());
        self.0
    }

    /// False if it does not fit; nothing is added then.
    fn add_section<T: Serialize>(&mut self, kind: u8, content: &T) -> bool {
        let Ok(bytes) = postcard::to_allocvec(content) else {
            return false;
        };
        let Ok(length) = u16::try_from(bytes.len()) else {
            return false;
        };
        if self.0.len() + SECTION_HEADER_BYTES + bytes.len() > MAX_DATAGRAM_BYTES {
            return false;
        }
        self.0.push(kind);
        self.0.extend(length.to_le_bytes());
        self.0.extend(bytes);
        true
    }
}

fn checksum(key: &[u8; 16], sections: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(&[VERSION]);
    hasher.write(sections);
    hasher.finish()
}

/// Decodes a datagram of the fleet with this key.
///
/// # Errors
/// It is malformed, of another version, or its checksum does not match.
pub(crate) fn decode(key: &[u8; 16], bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let sections = verified_sections(key, bytes)?;
    let mut header = None;
    let mut body = None;
    let mut member_updates = Vec::new();
    let mut entry_updates = Vec::new();
    let mut rest = sections;
    while !rest.is_empty() {
        let (section, behind) = split_section(rest)?;
        match section.kind {
            section_kind::HEADER => header = Some(decode_section(section.content)?),
            section_kind::BODY => body = Some(decode_section(section.content)?),
            section_kind::MEMBER_UPDATE => member_updates.push(decode_section(section.content)?),
            section_kind::ENTRY_UPDATE => entry_updates.push(decode_section(section.content)?),
            _ => {}
        }
        rest = behind;
    }
    Ok(Datagram {
        header: header.ok_or(DecodeError::Malformed)?,
        body: body.ok_or(DecodeError::Malformed)?,
        member_updates,
        entry_updates,
    })
}

/// Checks what comes before the sections and returns them.
fn verified_sections<'a>(key: &[u8; 16], bytes: &'a [u8]) -> Result<&'a [u8], DecodeError> {
    let has_valid_length = (SECTIONS_AT..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
    if !has_valid_length || !bytes.starts_with(&MAGIC) {
        return Err(DecodeError::Malformed);
    }
    if bytes[MAGIC.len()] != VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    let sections = &bytes[SECTIONS_AT..];
    if bytes[CHECKSUM_AT..SECTIONS_AT] != checksum(key, sections).to_le_bytes() {
        return Err(DecodeError::ChecksumMismatch);
    }
    Ok(sections)
}

struct Section<'a> {
    kind: u8,
    content: &'a [u8],
}

/// The first section and the bytes behind it.
fn split_section(bytes: &[u8]) -> Result<(Section<'_>, &[u8]), DecodeError> {
    let [kind, low, high, rest @ ..] = bytes else {
        return Err(DecodeError::Malformed);
    };
    let length = usize::from(u16::from_le_bytes([*low, *high]));
    let (content, behind) = rest
        .split_at_checked(length)
        .ok_or(DecodeError::Malformed)?;
    let section = Section {
        kind: *kind,
        content,
    };
    Ok((section, behind))
}

/// A section may be longer than its known fields: a later version may add some at its end.
fn decode_section<T: DeserializeOwned>(content: &[u8]) -> Result<T, DecodeError> {
    postcard::take_from_bytes(content)
        .map(|(decoded, _)| decoded)
        .map_err(|_| DecodeError::Malformed)
}
