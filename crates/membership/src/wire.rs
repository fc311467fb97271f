//! The datagram format: two magic bytes, the protocol version, a keyed checksum of the sections, then the sections.
//!
//! A section of an unknown kind is skipped, so that a later release may add kinds. The contents of sections are encoded in
//! postcard, which identifies fields and variants by their order.
#[cfg(test)]
mod tests;

use crate::error::DecodeError;
use crate::gossip_state::{EntryDigest, EntryKey, EntryUpdate};
use crate::member_state::MemberVersion;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;
use std::hash::Hasher;

/// The longest datagram, in bytes, so that it passes common links without fragmentation.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 1200;
/// The first bytes of every datagram.
const MAGIC: [u8; 2] = *b"cp";
/// The version of the datagram format. Datagrams of any other version are rejected.
const VERSION: u8 = 1;
/// The offset of the checksum, which follows the magic bytes and the version.
const CHECKSUM_OFFSET: usize = MAGIC.len() + 1;
const CHECKSUM_BYTES: usize = 8;
/// The offset of the first section.
const SECTIONS_OFFSET: usize = CHECKSUM_OFFSET + CHECKSUM_BYTES;
/// The size of a section's header: its kind (one byte) and the length of its content (two bytes, little-endian).
const SECTION_HEADER_BYTES: usize = 3;
/// The initial capacity of a builder. Most datagrams are shorter.
const INITIAL_CAPACITY_BYTES: usize = 256;

/// The kinds of sections, as they are encoded.
mod section_kind {
    pub(super) const HEADER: u8 = 1;
    pub(super) const BODY: u8 = 2;
    pub(super) const MEMBER_UPDATE: u8 = 3;
    pub(super) const ENTRY_UPDATE: u8 = 4;
}

/// The sender and the receiver of a datagram. The order of the fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// The sender's name.
    pub from: String,
    /// The address that the sender announces.
    pub address: String,
    /// The sender's own version.
    pub version: MemberVersion,
    /// The receiver's name; empty if the sender does not know it yet.
    pub to: String,
}

/// What is known of a member. The order of the fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberUpdate {
    pub name: String,
    pub address: String,
    pub version: MemberVersion,
    /// The name of the member that detected this state. This is not the sender of the datagram, because a member that only
    /// forwards a suspicion would count as another accuser then.
    pub reported_by: String,
}

/// A member's version in a digest. The order of the fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberDigest {
    pub name: String,
    pub version: MemberVersion,
}

/// The purpose of a datagram. The order of the variants and of their fields is part of the datagram format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Probes the receiver, which answers with an ack of the same sequence number.
    Ping { sequence: u32 },
    /// Asks the receiver, a helper, to probe `target` on behalf of the sender (SWIM's indirect probe).
    PingRequest { sequence: u32, target: String },
    /// Acknowledges a probe, direct or indirect.
    Ack { sequence: u32 },
    /// Reports that the target of an indirect probe did not answer the helper, which itself is alive (Lifeguard).
    Nack { sequence: u32 },
    /// Carries nothing but updates.
    Gossip,
    /// Lists versions of some members and entries that the sender knows (anti-entropy).
    Digest {
        members: Vec<MemberDigest>,
        entries: Vec<EntryDigest>,
    },
    /// Requests the updates of a received digest that the sender lacks.
    Pull {
        members: Vec<String>,
        entries: Vec<EntryKey>,
    },
}

/// The content of a datagram that passed the checks of its length, version and checksum.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Datagram {
    pub header: Header,
    pub body: Body,
    pub member_updates: Vec<MemberUpdate>,
    pub entry_updates: Vec<EntryUpdate>,
}

/// Builds a datagram. Sections are added as long as they fit.
pub(crate) struct DatagramBuilder(Vec<u8>);

impl DatagramBuilder {
    pub(crate) fn new(header: &Header, body: &Body) -> DatagramBuilder {
        let mut bytes = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
        bytes.extend(MAGIC);
        bytes.push(VERSION);
        bytes.extend([0; CHECKSUM_BYTES]);
        let mut builder = DatagramBuilder(bytes);
        builder.add_section(section_kind::HEADER, header);
        builder.add_section(section_kind::BODY, body);
        builder
    }

    /// Adds an update of a member. Returns false if it does not fit.
    pub(crate) fn add_member_update(&mut self, update: &MemberUpdate) -> bool {
        self.add_section(section_kind::MEMBER_UPDATE, update)
    }

    /// Adds an update of an entry. Returns false if it does not fit.
    pub(crate) fn add_entry_update(&mut self, update: &EntryUpdate) -> bool {
        self.add_section(section_kind::ENTRY_UPDATE, update)
    }

    /// The finished datagram, with the checksum of its sections under the fleet's key.
    pub(crate) fn finish(mut self, key: &[u8; 16]) -> Vec<u8> {
        let checksum = checksum(key, &self.0[SECTIONS_OFFSET..]);
        self.0[CHECKSUM_OFFSET..SECTIONS_OFFSET].copy_from_slice(&checksum.to_le_bytes());
        self.0
    }

    /// Adds a section. Returns false, and adds nothing, if it does not fit.
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

/// The checksum of the sections, and of the protocol version, under the fleet's key.
fn checksum(key: &[u8; 16], sections: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(&[VERSION]);
    hasher.write(sections);
    hasher.finish()
}

/// Decodes a datagram of the fleet with this key.
///
/// # Errors
/// The datagram is malformed, its protocol version is not supported, or its checksum does not match.
pub(crate) fn decode(key: &[u8; 16], bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let sections = verified_sections(key, bytes)?;
    let mut header = None;
    let mut body = None;
    let mut member_updates = Vec::new();
    let mut entry_updates = Vec::new();
    let mut rest = sections;
    while !rest.is_empty() {
        let (section, remaining) = split_section(rest)?;
        match section.kind {
            section_kind::HEADER => header = Some(decode_section(section.content)?),
            section_kind::BODY => body = Some(decode_section(section.content)?),
            section_kind::MEMBER_UPDATE => member_updates.push(decode_section(section.content)?),
            section_kind::ENTRY_UPDATE => entry_updates.push(decode_section(section.content)?),
            _ => {}
        }
        rest = remaining;
    }
    Ok(Datagram {
        header: header.ok_or(DecodeError::Malformed)?,
        body: body.ok_or(DecodeError::Malformed)?,
        member_updates,
        entry_updates,
    })
}

/// Checks the length, the magic bytes, the version and the checksum, and returns the encoded sections.
fn verified_sections<'a>(key: &[u8; 16], bytes: &'a [u8]) -> Result<&'a [u8], DecodeError> {
    let has_valid_length = (SECTIONS_OFFSET..=MAX_DATAGRAM_BYTES).contains(&bytes.len());
    if !has_valid_length || !bytes.starts_with(&MAGIC) {
        return Err(DecodeError::Malformed);
    }
    if bytes[MAGIC.len()] != VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    let sections = &bytes[SECTIONS_OFFSET..];
    if bytes[CHECKSUM_OFFSET..SECTIONS_OFFSET] != checksum(key, sections).to_le_bytes() {
        return Err(DecodeError::ChecksumMismatch);
    }
    Ok(sections)
}

struct Section<'a> {
    kind: u8,
    content: &'a [u8],
}

/// Splits off the first section. Returns it and the remaining bytes.
fn split_section(bytes: &[u8]) -> Result<(Section<'_>, &[u8]), DecodeError> {
    let [kind, low, high, rest @ ..] = bytes else {
        return Err(DecodeError::Malformed);
    };
    let length = usize::from(u16::from_le_bytes([*low, *high]));
    let (content, remaining) = rest
        .split_at_checked(length)
        .ok_or(DecodeError::Malformed)?;
    let section = Section {
        kind: *kind,
        content,
    };
    Ok((section, remaining))
}

/// Decodes the content of a section. Bytes after the known fields are ignored, so that a later release may add fields at the
/// end.
fn decode_section<T: DeserializeOwned>(content: &[u8]) -> Result<T, DecodeError> {
    postcard::take_from_bytes(content)
        .map(|(decoded, _)| decoded)
        .map_err(|_| DecodeError::Malformed)
}
