//! Control messages round-trip; corrupt, forged and foreign ones are rejected without a panic.

use std::net;

use agateflow::fleet::{gossip, message, parts, summary};
use agateflow::wire::{control, control_capnp};
use agateflow::{id, unit};
use proptest::prelude::*;
use rstest::rstest;

const HEADERS_BYTES: usize = 28; // IPv4 and UDP
const TARGET_UPSTREAMS: usize = 1_300 / 7; // per data centre
const TARGET_BYTES: usize = 29_000; // per second

fn config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(11);
    ProptestConfig { cases: 512, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn key() -> control::Key {
    control::Key::new(b"secret")
}

fn known(short: u64) -> Option<message::Sender> {
    let sender = message(message::Body::Notice).sender;
    (short == sender.incarnation.get() as u64).then_some(sender)
}

fn contact(index: u8) -> message::Contact {
    let ip = if index.is_multiple_of(2) {
        net::IpAddr::from([127, 0, 0, index])
    } else {
        net::IpAddr::from([u16::from(index); 8])
    };
    message::Contact {
        name: id::Vm::new(&format!("entry-{index}")).expect("valid name"),
        role: message::Role::Entry,
        address: net::SocketAddr::new(ip, 7_000),
    }
}

fn heartbeat() -> message::Body {
    let load = message::Load {
        waiting: 12,
        running: 64,
        queued_ms: 1_500,
        step_us: 48_000,
        cache_free: 250,
        rate: 1_800,
    };
    let grant = unit::Millis::new(86_400_000);
    message::Body::Heartbeat(message::Heartbeat { watching: false, failing: false, grant, load })
}

fn summary(groups: usize) -> message::Body {
    let groups = (0..groups).map(|i| summary::Group {
        running: 4_000,
        waiting: 900,
        queued_ms: 80_000,
        rate: 200_000,
        serving: 64,
        ..summary::Group::new(&format!("model-name-{i}/group-{i}"))
    });
    message::Body::Summary(Box::new(summary::Summary {
        origin: id::Incarnation::new(u128::MAX / 3),
        version: 900,
        data_centre: id::DataCentre::new("recife-1").expect("valid name"),
        range: Some(("entry-10".into(), "entry-25".into())),
        contacts: (0..summary::MAX_CONTACTS as u8).map(contact).collect(),
        groups: groups.collect(),
    }))
}

fn item() -> gossip::Item {
    gossip::Item {
        key: vec![1; gossip::MAX_KEY_BYTES].into(),
        version: u64::MAX,
        ttl: unit::Millis::new(60_000),
        value: vec![2; gossip::MAX_VALUE_BYTES].into(),
    }
}

fn message(body: message::Body) -> message::Message {
    let sender = message::Sender {
        name: id::Vm::new("recife-1-upstream-017").expect("valid name"),
        data_centre: id::DataCentre::new("recife-1").expect("valid name"),
        role: message::Role::Upstream,
        incarnation: id::Incarnation::new(u128::MAX / 7),
        started: unit::Millis::new(1_796_000_000_000),
    };
    message::Message {
        sender,
        sequence: 123_456,
        state: message::State::Leaving,
        revision: unit::Revision::new(40_000),
        tag: 0xdead_beef,
        brief: false,
        body,
    }
}

fn bodies() -> Vec<message::Body> {
    vec![
        message::Body::Notice,
        heartbeat(),
        message::Body::GetDirectory { upstreams: true },
        message::Body::Directory((0..28).map(contact).collect()),
        summary(summary::MAX_GROUPS),
        message::Body::Items(vec![item(); 8].into()),
        message::Body::GetManifest,
        message::Body::Manifest(parts::Manifest::new(&[9; 50_000])),
        message::Body::GetParts(vec![0, 7, 70_000].into()),
        message::Body::Part(vec![5; 16_000].into()),
    ]
}

fn encoded(body: message::Body) -> Vec<u8> {
    control::encode(&message(body), &key(), control::MAX_FRAME_BYTES).expect("within limit")
}

/// Recomputes the authentication code, so that corrupt payloads reach the decoder.
fn with_valid_code(mut bytes: Vec<u8>) -> Vec<u8> {
    let own = blake3::derive_key("agateflow control messages v1", b"secret");
    if bytes.len() > control::CODE_BYTES {
        let code = blake3::keyed_hash(&own, &bytes[control::CODE_BYTES..]);
        bytes[..control::CODE_BYTES].copy_from_slice(&code.as_bytes()[..control::CODE_BYTES]);
    }
    bytes
}

#[test]
fn every_kind_round_trips() {
    for body in bodies() {
        let bytes = encoded(body.clone());

        let decoded = control::decode(&bytes, &key(), &known);

        assert_eq!(decoded, Ok(message(body)));
    }
}

#[rstest]
#[case::heartbeat(heartbeat())]
#[case::directory(message::Body::Directory((0..28).map(contact).collect()))]
#[case::summary(summary(summary::MAX_GROUPS))]
#[case::items(message::Body::Items(vec![item(); 8].into()))]
fn message_fits_into_datagram(#[case] body: message::Body) {
    let bytes = encoded(body);

    assert!(bytes.len() <= control::MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
}

#[test]
fn heartbeats_of_a_data_centre_stay_below_entry_rate() {
    let brief = message::Message { brief: true, ..message(heartbeat()) };

    let bytes = control::encode(&brief, &key(), control::MAX_DATAGRAM_BYTES).expect("small");

    let bytes = bytes.len() + HEADERS_BYTES;
    assert!(bytes * TARGET_UPSTREAMS < TARGET_BYTES, "{bytes} bytes each");
}

#[test]
fn brief_message_needs_known_sender() {
    let brief = message::Message { brief: true, ..message(heartbeat()) };
    let bytes = control::encode(&brief, &key(), control::MAX_DATAGRAM_BYTES).expect("small");

    let known_sender = control::decode(&bytes, &key(), &known);
    let unknown_sender = control::decode(&bytes, &key(), &|_| None);

    assert_eq!(known_sender, Ok(brief));
    assert_eq!(unknown_sender, Err(control::Error::UnknownSender));
}

#[test]
fn wrong_secret_is_rejected() {
    let bytes = encoded(heartbeat());

    let decoded = control::decode(&bytes, &control::Key::new(b"other"), &known);

    assert_eq!(decoded, Err(control::Error::Code));
}

#[test]
fn oversized_message_is_not_encoded() {
    let body = message::Body::Part(vec![5; 16_000].into());

    let encoded = control::encode(&message(body), &key(), control::MAX_DATAGRAM_BYTES);

    assert!(matches!(encoded, Err(control::Error::Length(_))));
}

/// An unpacked heartbeat: one word of segment table, the root pointer, then the root's data.
fn unpacked() -> Vec<u8> {
    let bytes = encoded(heartbeat());
    let mut packed = &bytes[control::CODE_BYTES..];
    let reader = capnp::serialize_packed::read_message(&mut packed, Default::default())
        .expect("own message");
    let mut builder = capnp::message::Builder::new_default();
    let root = reader.get_root::<control_capnp::message::Reader<'_>>().expect("own message");
    builder.set_root_canonical(root).expect("own message");
    capnp::serialize::write_message_to_words(&builder)
}

fn packed(words: &[u8]) -> Vec<u8> {
    let reader =
        capnp::serialize::read_message(&mut &words[..], Default::default()).expect("valid message");
    let root = reader.get_root::<control_capnp::message::Reader<'_>>().expect("valid root");
    let mut builder = capnp::message::Builder::new_default();
    builder.set_root(root).expect("valid root");
    let mut bytes = vec![0; control::CODE_BYTES];
    capnp::serialize_packed::write_message(&mut bytes, &builder).expect("valid message");
    with_valid_code(bytes)
}

#[test]
fn unknown_kind_from_newer_process_is_reported() {
    const DISCRIMINANT: usize = 16 + 24 * 2; // bytes from the start
    let mut words = unpacked();
    words[DISCRIMINANT..DISCRIMINANT + 2].copy_from_slice(&99_u16.to_le_bytes());

    let decoded = control::decode(&packed(&words), &key(), &known);

    assert_eq!(decoded, Err(control::Error::Unknown));
}

#[test]
fn unknown_field_from_newer_process_is_ignored() {
    let mut words = unpacked();
    let data_words = u16::from_le_bytes([words[12], words[13]]);
    let end_of_data = 16 + 8 * usize::from(data_words);
    words.splice(end_of_data..end_of_data, 77_u64.to_le_bytes());
    words[12..14].copy_from_slice(&(data_words + 1).to_le_bytes());
    words[4] += 1;

    let decoded = control::decode(&packed(&words), &key(), &known);

    assert_eq!(decoded, Ok(message(heartbeat())));
    assert_ne!(packed(&words).len(), encoded(heartbeat()).len());
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn corruption_is_rejected(
        kind in 0usize..10,
        at in any::<prop::sample::Index>(),
        flip in 1u8..=255,
    ) {
        let mut bytes = encoded(bodies().swap_remove(kind));
        let at = at.index(bytes.len());
        bytes[at] ^= flip;

        prop_assert_eq!(control::decode(&bytes, &key(), &known), Err(control::Error::Code));
    }

    #[test]
    fn truncation_is_rejected(kind in 0usize..10, at in any::<prop::sample::Index>()) {
        let mut bytes = encoded(bodies().swap_remove(kind));
        bytes.truncate(at.index(bytes.len()));

        prop_assert!(control::decode(&bytes, &key(), &known).is_err());
    }

    #[test]
    fn authentic_corruption_decodes_to_a_valid_message_or_an_error(
        kind in 0usize..10,
        corruption in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
    ) {
        let mut bytes = encoded(bodies().swap_remove(kind));
        for (at, byte) in corruption {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }

        if let Ok(message) = control::decode(&with_valid_code(bytes), &key(), &known) {
            let again = control::encode(&message, &key(), usize::MAX).expect("no limit");
            prop_assert_eq!(control::decode(&again, &key(), &known), Ok(message));
        }
    }

    #[test]
    fn random_bytes_decode_to_a_valid_message_or_an_error(
        bytes in prop::collection::vec(any::<u8>(), 0..400),
    ) {
        if let Ok(message) = control::decode(&with_valid_code(bytes), &key(), &known) {
            let again = control::encode(&message, &key(), usize::MAX).expect("no limit");
            prop_assert_eq!(control::decode(&again, &key(), &known), Ok(message));
        }
    }
}
