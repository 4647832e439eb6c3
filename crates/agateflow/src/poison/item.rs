//! Small items about crashes that processes exchange by gossip, each with its own time to live.

use super::{Crash, Fingerprint};
use crate::unit;

/// How the request of an item was involved in its crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// The request was in flight, possibly among others.
    InFlight,
    /// The request ran alone on the isolation upstream.
    Isolated,
    /// The request later ran in isolation without a crash: this crash no longer counts against it.
    Cleared,
}

/// Involvement of one request in one crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The crash.
    pub crash: Crash,
    /// How the request was involved.
    pub kind: Kind,
    /// Time until the item expires.
    pub ttl: unit::Millis,
}

impl Item {
    /// Encoded size.
    pub const BYTES: usize = 29;

    /// Encodes the item in little-endian order.
    pub fn encode(&self) -> [u8; Self::BYTES] {
        let mut bytes = [0; Self::BYTES];
        bytes[..16].copy_from_slice(self.fingerprint.as_bytes());
        bytes[16..24].copy_from_slice(&self.crash.get().to_le_bytes());
        bytes[24] = match self.kind {
            Kind::InFlight => 0,
            Kind::Isolated => 1,
            Kind::Cleared => 2,
        };
        let ttl = u32::try_from(self.ttl.get()).unwrap_or(u32::MAX);
        bytes[25..].copy_from_slice(&ttl.to_le_bytes());
        bytes
    }

    /// Decodes an item; none if the bytes are invalid.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (fingerprint, rest) = bytes.split_first_chunk::<16>()?;
        let (crash, rest) = rest.split_first_chunk::<8>()?;
        let (&kind, rest) = rest.split_first()?;
        let ttl: [u8; 4] = rest.try_into().ok()?;
        let kind = match kind {
            0 => Kind::InFlight,
            1 => Kind::Isolated,
            2 => Kind::Cleared,
            _ => return None,
        };
        Some(Self {
            fingerprint: Fingerprint::from_bytes(*fingerprint),
            crash: Crash::from_number(u64::from_le_bytes(*crash)),
            kind,
            ttl: unit::Millis::new(u32::from_le_bytes(ttl).into()),
        })
    }
}
