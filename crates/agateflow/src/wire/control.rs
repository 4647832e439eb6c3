//! Codec of control messages: authenticated, packed Cap'n Proto.
//!
//! An encoded message is a 16-byte authentication code, the truncated keyed BLAKE3 hash of the
//! rest, and the packed message. Unknown fields are ignored, so that versions can be mixed.

use std::net;

use capnp::message as segment;
use capnp::serialize_packed;

use super::control_capnp as schema;
use crate::fleet::{gossip, message, parts, summary};
use crate::{id, unit};

/// Protocol version of this build.
pub const VERSION: u16 = 1;
/// Largest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest message over TCP, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 << 10;
/// Length of the authentication code, in bytes.
pub const CODE_BYTES: usize = 16;
const MAX_WORDS: usize = MAX_FRAME_BYTES / 8;
const MAX_NESTING: i32 = 8;
const PART_ENTRY_BYTES: usize = parts::DIGEST_BYTES + 4;

/// Key of the authentication codes, derived from the shared secret.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the fleet's shared secret.
    pub fn new(secret: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key("agateflow control messages v1");
        hasher.update(secret);
        Self(*hasher.finalize().as_bytes())
    }

    fn code(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }

    fn verify(&self, code: &[u8], bytes: &[u8]) -> bool {
        let expected = self.code(bytes);
        let differing = expected.as_bytes().iter().zip(code).fold(0, |sum, (a, b)| sum | (a ^ b));
        code.len() == CODE_BYTES && differing == 0
    }
}

/// Why a message was not encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too short for an authentication code, or longer than allowed.
    #[error("message of {0} bytes is too short or too long")]
    Length(usize),
    /// The authentication code is wrong: the sender doesn't hold the secret.
    #[error("message authentication failed")]
    Code,
    /// The bytes are not a valid message.
    #[error("decode message: {0}")]
    Decode(Box<str>),
    /// A brief message from a process that has sent no full one yet.
    #[error("message is from an unknown sender")]
    UnknownSender,
    /// A version or kind of message that this build does not know.
    #[error("message is of an unknown kind")]
    Unknown,
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Error::Decode(error.to_string().into())
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(_: capnp::NotInSchema) -> Self {
        Error::Unknown
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(error: std::str::Utf8Error) -> Self {
        Error::Decode(error.to_string().into())
    }
}

impl From<id::Error> for Error {
    fn from(error: id::Error) -> Self {
        Error::Decode(error.to_string().into())
    }
}

/// Encodes `message` and authenticates it with `key`.
///
/// # Errors
///
/// [`Error::Length`] if the result is longer than `limit` bytes.
pub fn encode(message: &message::Message, key: &Key, limit: usize) -> Result<Vec<u8>, Error> {
    let mut builder = segment::Builder::new_default();
    write_message(builder.init_root(), message);
    let mut bytes = vec![0; CODE_BYTES];
    serialize_packed::write_message(&mut bytes, &builder)?;
    if bytes.len() > limit {
        return Err(Error::Length(bytes.len()));
    }
    let code = key.code(&bytes[CODE_BYTES..]);
    bytes[..CODE_BYTES].copy_from_slice(&code.as_bytes()[..CODE_BYTES]);
    Ok(bytes)
}

/// Finds the sender of a brief message by the lower half of its incarnation.
pub type Lookup<'a> = dyn Fn(u64) -> Option<message::Sender> + 'a;

/// Verifies, then decodes a message; `lookup` finds the sender of a brief one.
///
/// # Errors
///
/// Any [`Error`]; a message that is only partly valid is rejected whole.
pub fn decode(bytes: &[u8], key: &Key, lookup: &Lookup<'_>) -> Result<message::Message, Error> {
    if bytes.len() <= CODE_BYTES || bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::Length(bytes.len()));
    }
    let (code, mut packed) = bytes.split_at(CODE_BYTES);
    if !key.verify(code, packed) {
        return Err(Error::Code);
    }
    let mut options = segment::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS)).nesting_limit(MAX_NESTING);
    let reader = serialize_packed::read_message(&mut packed, options)?;
    read_message(reader.get_root()?, lookup)
}

fn write_message(mut to: schema::message::Builder<'_>, message: &message::Message) {
    let sender = &message.sender;
    to.set_version(VERSION);
    to.set_state(state_number(message.state));
    to.set_tag(message.tag);
    to.set_sequence(message.sequence);
    to.set_revision(message.revision.get());
    let (high, low) = split(sender.incarnation);
    to.set_incarnation_low(low);
    to.set_brief(message.brief);
    if !message.brief {
        to.set_role(role_number(sender.role));
        to.set_incarnation_high(high);
        to.set_started(sender.started.get());
        to.set_name(sender.name.as_str());
        to.set_data_centre(sender.data_centre.as_str());
    }
    write_body(to, &message.body);
}

fn write_body(mut to: schema::message::Builder<'_>, body: &message::Body) {
    match body {
        message::Body::Notice => to.set_notice(()),
        message::Body::Heartbeat(beat) => write_beat(to.init_beat(), beat),
        message::Body::GetDirectory { upstreams } => to.init_ask().set_upstreams(*upstreams),
        message::Body::Directory(contacts) => {
            write_contacts(to.init_directory(contacts.len() as u32), contacts);
        }
        message::Body::Summary(summary) => write_summary(to.init_summary(), summary),
        message::Body::Items(items) => write_items(to.init_items(items.len() as u32), items),
        message::Body::GetManifest => to.set_want(()),
        message::Body::Manifest(manifest) => write_manifest(to.init_manifest(), manifest),
        message::Body::GetParts(parts) => {
            let mut list = to.init_want_parts(parts.len() as u32);
            for (i, part) in parts.iter().enumerate() {
                list.set(i as u32, *part);
            }
        }
        message::Body::Part(bytes) => to.set_part(bytes),
    }
}

fn write_beat(mut to: schema::beat::Builder<'_>, beat: &message::Heartbeat) {
    to.set_watching(beat.watching);
    to.set_failing(beat.failing);
    to.set_waiting(beat.load.waiting);
    to.set_running(beat.load.running);
    to.set_cache_free(beat.load.cache_free);
    to.set_queued_ms(beat.load.queued_ms);
    to.set_step_us(beat.load.step_us);
    to.set_rate(beat.load.rate);
    to.set_grant_ms(beat.grant.get());
}

fn write_contacts(
    mut to: capnp::struct_list::Builder<'_, schema::contact::Owned>,
    contacts: &[message::Contact],
) {
    for (i, contact) in contacts.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_role(role_number(contact.role));
        to.set_port(contact.address.port());
        to.set_name(contact.name.as_str());
        match contact.address.ip() {
            net::IpAddr::V4(ip) => to.set_ip(&ip.octets()),
            net::IpAddr::V6(ip) => to.set_ip(&ip.octets()),
        }
    }
}

fn write_summary(mut to: schema::summary::Builder<'_>, summary: &summary::Summary) {
    let (high, low) = split(summary.origin);
    to.set_origin_high(high);
    to.set_origin_low(low);
    to.set_version(summary.version);
    to.set_data_centre(summary.data_centre.as_str());
    if let Some((first, last)) = &summary.range {
        to.set_first(&**first);
        to.set_last(&**last);
    }
    write_contacts(to.reborrow().init_contacts(summary.contacts.len() as u32), &summary.contacts);
    let mut groups = to.init_groups(summary.groups.len() as u32);
    for (i, group) in summary.groups.iter().enumerate() {
        let mut to = groups.reborrow().get(i as u32);
        to.set_name(&*group.name);
        to.set_serving(group.serving);
        to.set_leaving(group.leaving);
        to.set_running(group.running);
        to.set_waiting(group.waiting);
        to.set_queued_ms(group.queued_ms);
        to.set_rate(group.rate);
    }
}

fn write_items(
    mut to: capnp::struct_list::Builder<'_, schema::item::Owned>,
    items: &[gossip::Item],
) {
    for (i, item) in items.iter().enumerate() {
        let mut to = to.reborrow().get(i as u32);
        to.set_key(&item.key);
        to.set_version(item.version);
        to.set_left_ms(u32::try_from(item.ttl.get()).unwrap_or(u32::MAX));
        to.set_value(&item.value);
    }
}

fn write_manifest(mut to: schema::manifest::Builder<'_>, manifest: &parts::Manifest) {
    to.set_digest(&manifest.digest);
    let mut parts = Vec::with_capacity(manifest.parts.len() * PART_ENTRY_BYTES);
    for part in &manifest.parts {
        parts.extend_from_slice(&part.digest);
        parts.extend_from_slice(&part.length.to_be_bytes());
    }
    to.set_parts(&parts);
}

fn read_message(
    from: schema::message::Reader<'_>,
    lookup: &Lookup<'_>,
) -> Result<message::Message, Error> {
    if from.get_version() < VERSION {
        return Err(Error::Unknown);
    }
    let sender = match from.get_brief() {
        true => lookup(from.get_incarnation_low()).ok_or(Error::UnknownSender)?,
        false => read_sender(from)?,
    };
    Ok(message::Message {
        sender,
        sequence: from.get_sequence(),
        state: read_state(from.get_state())?,
        revision: unit::Revision::new(from.get_revision()),
        tag: from.get_tag(),
        brief: from.get_brief(),
        body: read_body(from)?,
    })
}

fn read_sender(from: schema::message::Reader<'_>) -> Result<message::Sender, Error> {
    Ok(message::Sender {
        name: id::Vm::new(from.get_name()?.to_str()?)?,
        data_centre: id::DataCentre::new(from.get_data_centre()?.to_str()?)?,
        role: read_role(from.get_role())?,
        incarnation: join(from.get_incarnation_high(), from.get_incarnation_low()),
        started: unit::Millis::new(from.get_started()),
    })
}

fn read_body(from: schema::message::Reader<'_>) -> Result<message::Body, Error> {
    use schema::message::Which;

    Ok(match from.which()? {
        Which::Notice(()) => message::Body::Notice,
        Which::Beat(beat) => message::Body::Heartbeat(read_beat(beat?)),
        Which::Ask(ask) => message::Body::GetDirectory { upstreams: ask?.get_upstreams() },
        Which::Directory(contacts) => message::Body::Directory(read_contacts(contacts?)?),
        Which::Summary(summary) => message::Body::Summary(Box::new(read_summary(summary?)?)),
        Which::Items(items) => message::Body::Items(read_items(items?)?),
        Which::Want(()) => message::Body::GetManifest,
        Which::Manifest(manifest) => message::Body::Manifest(read_manifest(manifest?)?),
        Which::WantParts(parts) => message::Body::GetParts(parts?.iter().collect()),
        Which::Part(bytes) => message::Body::Part(bytes?.into()),
    })
}

fn read_beat(from: schema::beat::Reader<'_>) -> message::Heartbeat {
    let load = message::Load {
        waiting: from.get_waiting(),
        running: from.get_running(),
        queued_ms: from.get_queued_ms(),
        step_us: from.get_step_us(),
        cache_free: from.get_cache_free(),
        rate: from.get_rate(),
    };
    let grant = unit::Millis::new(from.get_grant_ms());
    message::Heartbeat { watching: from.get_watching(), failing: from.get_failing(), grant, load }
}

fn read_contacts(
    from: capnp::struct_list::Reader<'_, schema::contact::Owned>,
) -> Result<Box<[message::Contact]>, Error> {
    from.iter().map(read_contact).collect()
}

fn read_contact(from: schema::contact::Reader<'_>) -> Result<message::Contact, Error> {
    let bytes = from.get_ip()?;
    let ip = match (<[u8; 4]>::try_from(bytes), <[u8; 16]>::try_from(bytes)) {
        (Ok(ip), _) => net::IpAddr::from(ip),
        (_, Ok(ip)) => net::IpAddr::from(ip),
        _ => return Err(Error::Decode("IP address is not 4 or 16 bytes long".into())),
    };
    Ok(message::Contact {
        name: id::Vm::new(from.get_name()?.to_str()?)?,
        role: read_role(from.get_role())?,
        address: net::SocketAddr::new(ip, from.get_port()),
    })
}

fn read_summary(from: schema::summary::Reader<'_>) -> Result<summary::Summary, Error> {
    let (first, last) = (from.get_first()?.to_str()?, from.get_last()?.to_str()?);
    let groups = from.get_groups()?.iter().map(read_group).collect::<Result<_, _>>()?;
    Ok(summary::Summary {
        origin: join(from.get_origin_high(), from.get_origin_low()),
        version: from.get_version(),
        data_centre: id::DataCentre::new(from.get_data_centre()?.to_str()?)?,
        range: (!last.is_empty()).then(|| (first.into(), last.into())),
        contacts: read_contacts(from.get_contacts()?)?,
        groups,
    })
}

fn read_group(from: schema::group::Reader<'_>) -> Result<summary::Group, Error> {
    Ok(summary::Group {
        name: id::Group::new(from.get_name()?.to_str()?)?.into(),
        serving: from.get_serving(),
        leaving: from.get_leaving(),
        running: from.get_running(),
        waiting: from.get_waiting(),
        queued_ms: from.get_queued_ms(),
        rate: from.get_rate(),
    })
}

fn read_items(
    from: capnp::struct_list::Reader<'_, schema::item::Owned>,
) -> Result<Box<[gossip::Item]>, Error> {
    let items = from.iter().map(|item| {
        let item = gossip::Item {
            key: item.get_key()?.into(),
            version: item.get_version(),
            ttl: unit::Millis::new(item.get_left_ms().into()),
            value: item.get_value()?.into(),
        };
        let valid = item.is_valid();
        valid.then_some(item).ok_or_else(|| {
            Error::Decode("key, value or lifetime of an item is out of bounds".into())
        })
    });
    items.collect()
}

fn read_manifest(from: schema::manifest::Reader<'_>) -> Result<parts::Manifest, Error> {
    let length = |_| Error::Decode("digest has the wrong length".into());
    let digest = from.get_digest()?.try_into().map_err(length)?;
    let (parts, trailing) = from.get_parts()?.as_chunks::<PART_ENTRY_BYTES>();
    if !trailing.is_empty() {
        return Err(Error::Decode(
            "length of the part list is not a multiple of the entry size".into(),
        ));
    }
    let parts = parts.iter().map(|[a, b, c, d, e, f, g, h, length @ ..]| parts::Part {
        digest: [*a, *b, *c, *d, *e, *f, *g, *h],
        length: u32::from_be_bytes(*length),
    });
    Ok(parts::Manifest { digest, parts: parts.collect() })
}

fn split(incarnation: id::Incarnation) -> (u64, u64) {
    let number = incarnation.get();
    ((number >> 64) as u64, number as u64)
}

fn join(high: u64, low: u64) -> id::Incarnation {
    id::Incarnation::new(u128::from(high) << 64 | u128::from(low))
}

fn role_number(role: message::Role) -> u8 {
    match role {
        message::Role::Entry => 1,
        message::Role::Upstream => 2,
    }
}

fn read_role(number: u8) -> Result<message::Role, Error> {
    match number {
        1 => Ok(message::Role::Entry),
        2 => Ok(message::Role::Upstream),
        _ => Err(Error::Unknown),
    }
}

fn state_number(state: message::State) -> u8 {
    match state {
        message::State::Starting => 0,
        message::State::Serving => 1,
        message::State::Leaving => 2,
    }
}

fn read_state(number: u8) -> Result<message::State, Error> {
    match number {
        0 => Ok(message::State::Starting),
        1 => Ok(message::State::Serving),
        2 => Ok(message::State::Leaving),
        _ => Err(Error::Unknown),
    }
}
