//! Tickets: authenticated tokens that name the only process incarnation that may run a call.

use super::call_store;
use super::reason;
use crate::id;
use crate::unit;

/// Version of this layout: version, incarnation, expiry, number, home, team, MAC.
const VERSION: u8 = 1;
const MAC_BYTES: usize = 32;
const KEY_CONTEXT: &str = "agateflow 2026 ticket";

/// Maximum number of tickets issued by one call.
pub const MAX_COUNT: u16 = 1024;

/// Key of the message authentication code (MAC) in tickets.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Derives the key from the key in the settings.
    pub fn new(settings_key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, settings_key))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret")
    }
}

/// A ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The VM that issued it, to which entries send the call.
    pub home: id::Vm,
    /// The only incarnation that may run the call.
    pub incarnation: id::Incarnation,
    /// Last instant at which it is valid, on the clock of its home.
    pub expires: unit::Millis,
    /// Sequence number, unique within the incarnation.
    pub number: u64,
    /// The team that may use it.
    pub team: id::Team,
}

impl Ticket {
    /// Encodes the ticket and appends its MAC.
    pub fn encode(&self, secret: &Secret) -> Box<[u8]> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.incarnation.get().to_le_bytes());
        bytes.extend(self.expires.get().to_le_bytes());
        bytes.extend(self.number.to_le_bytes());
        for name in [self.home.as_str(), self.team.as_str()] {
            bytes.push(name.len() as u8);
            bytes.extend(name.as_bytes());
        }
        let mac = blake3::keyed_hash(&secret.0, &bytes);
        bytes.extend(mac.as_bytes());
        bytes.into()
    }

    /// Decodes a ticket and verifies its MAC.
    ///
    /// # Errors
    ///
    /// [`reason::Reason::Forged`] if it is damaged or its MAC was made with another key.
    pub fn decode(bytes: &[u8], secret: &Secret) -> Result<Self, reason::Reason> {
        let forged = reason::Reason::Forged;
        let split = bytes.len().checked_sub(MAC_BYTES).ok_or(forged)?;
        let (content, mac) = bytes.split_at(split);
        let mac: [u8; MAC_BYTES] = mac.try_into().map_err(|_| forged)?;
        if blake3::keyed_hash(&secret.0, content) != blake3::Hash::from_bytes(mac) {
            return Err(forged);
        }
        Self::parse(content).ok_or(forged)
    }

    fn parse(content: &[u8]) -> Option<Self> {
        let rest = content.strip_prefix(&[VERSION])?;
        let (incarnation, rest) = rest.split_first_chunk::<16>()?;
        let (expires, rest) = rest.split_first_chunk::<8>()?;
        let (number, rest) = rest.split_first_chunk::<8>()?;
        let (home, rest) = parse_name(rest)?;
        let (team, rest) = parse_name(rest)?;
        if !rest.is_empty() {
            return None;
        }
        Some(Self {
            home: id::Vm::new(home).ok()?,
            incarnation: id::Incarnation::new(u128::from_le_bytes(*incarnation)),
            expires: unit::Millis::new(u64::from_le_bytes(*expires)),
            number: u64::from_le_bytes(*number),
            team: id::Team::new(team).ok()?,
        })
    }

    /// Encodes the ticket as hexadecimal digits for use in a header.
    pub fn to_hex(&self, secret: &Secret) -> Box<str> {
        hex::encode(self.encode(secret)).into()
    }

    /// Decodes a ticket from the hexadecimal digits of a header.
    ///
    /// # Errors
    ///
    /// As [`Ticket::decode`].
    pub fn from_hex(digits: &str, secret: &Secret) -> Result<Self, reason::Reason> {
        let bytes = hex::decode(digits).map_err(|_| reason::Reason::Forged)?;
        Self::decode(&bytes, secret)
    }

    /// Returns the ID of the call that the ticket identifies.
    pub fn call_id(&self) -> call_store::Id {
        let incarnation = self.incarnation.get().to_le_bytes();
        call_store::Id::new("ticket", &[&incarnation, &self.number.to_le_bytes()])
    }

    /// Checks that `incarnation` may run the call of this ticket for `team` at `now`.
    ///
    /// # Errors
    ///
    /// `Forged` for another team, `TicketHome` for another incarnation, `TicketExpired` if expired.
    pub fn check(
        &self,
        incarnation: id::Incarnation,
        team: &id::Team,
        now: unit::Millis,
    ) -> Result<(), reason::Reason> {
        if self.team != *team {
            return Err(reason::Reason::Forged);
        }
        if self.incarnation != incarnation {
            return Err(reason::Reason::TicketHome);
        }
        if now > self.expires {
            return Err(reason::Reason::TicketExpired);
        }
        Ok(())
    }
}

fn parse_name(bytes: &[u8]) -> Option<(&str, &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    let (name, rest) = rest.split_at_checked(length.into())?;
    Some((std::str::from_utf8(name).ok()?, rest))
}

/// Issues the tickets of a process without keeping a record of them.
#[derive(Clone, Debug)]
pub struct Issuer {
    home: id::Vm,
    incarnation: id::Incarnation,
    lifetime: unit::Millis,
    next: u64,
}

impl Issuer {
    /// Creates the issuer of a process whose tickets are valid for `lifetime`.
    pub const fn new(home: id::Vm, incarnation: id::Incarnation, lifetime: unit::Millis) -> Self {
        Self { home, incarnation, lifetime, next: 0 }
    }

    /// Issues `count` tickets, at most [`MAX_COUNT`], to an authenticated team.
    pub fn issue(&mut self, team: &id::Team, count: u16, now: unit::Millis) -> Vec<Ticket> {
        (0..count.min(MAX_COUNT)).map(|_| self.next(team, now)).collect()
    }

    fn next(&mut self, team: &id::Team, now: unit::Millis) -> Ticket {
        let number = self.next;
        self.next += 1;
        Ticket {
            home: self.home.clone(),
            incarnation: self.incarnation,
            expires: now + self.lifetime,
            number,
            team: team.clone(),
        }
    }
}
