//! Group instances: members, id and version of the expert map.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use super::term;
use crate::id;

/// Digest of an expert map or a membership.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Digest(u128);

impl Digest {
    /// Hashes bytes with 128-bit XXH3.
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxh3::xxh3_128(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Inference phases that a rank serves.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Identity of one run of a rank. A restart under the same number is another peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Position of the rank in its group's configuration, from 0.
    pub number: u16,
    /// Incarnation of the process that runs the rank.
    pub incarnation: id::Incarnation,
}

/// A rank and its role in a membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The rank.
    pub peer: Peer,
    /// Its role.
    pub role: Role,
}

/// The ranks that take part in each step, in the order of their numbers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Membership {
    members: Arc<[Member]>,
    digest: Digest,
}

impl Membership {
    /// Creates a membership; of members with the same number, the first in sort order is kept.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_unstable();
        members.dedup_by_key(|member| member.peer.number);
        let mut bytes = Vec::new();
        for member in &members {
            bytes.extend(member.peer.number.to_le_bytes());
            bytes.extend(member.peer.incarnation.get().to_le_bytes());
            bytes.push(member.role as u8);
        }
        Self { members: members.into(), digest: Digest::of(&bytes) }
    }

    /// Digest of the members and their roles.
    pub const fn digest(&self) -> Digest {
        self.digest
    }

    /// The members.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The members' ranks.
    pub fn peers(&self) -> impl Iterator<Item = Peer> {
        self.members.iter().map(|member| member.peer)
    }

    /// Whether a rank is a member.
    pub fn includes(&self, peer: Peer) -> bool {
        self.peers().any(|p| p == peer)
    }

    /// The rank with the lowest number, which leads.
    pub fn leader(&self) -> Option<Peer> {
        self.peers().next()
    }

    /// Whether some rank is a member of both.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.peers().any(|peer| other.includes(peer))
    }
}

/// Id of a group instance: the term that created it.
///
/// A later term continues the instance if all previous members promised it and one of them stays.
/// Otherwise it creates a new instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Instance(pub term::Term);

/// Version of an expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The number, which only increases within a term.
    pub number: u64,
    /// Digest of the map.
    pub digest: Digest,
}
