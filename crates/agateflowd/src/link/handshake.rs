//! Mutual authentication of a link: each side sends a MAC, keyed with the secret, over both nonces.

use std::net::SocketAddr;

use agateflow::id;
use agateflow::unit;
use agateflow::wire;
use agateflow::wire::frame;
use bytes::Bytes;
use tokio::net::tcp;

use crate::clock;
use crate::error::Error;
use crate::link::{Identity, Peer, stream};

/// Side of a link that computed a MAC. Prevents reflection of one side's MAC by the other.
#[derive(Clone, Copy)]
enum Side {
    Entry,
    Upstream,
}

impl Side {
    const fn label(self) -> &'static [u8] {
        match self {
            Side::Entry => b"agateflow link entry",
            Side::Upstream => b"agateflow link upstream",
        }
    }
}

fn mac(secret: &[u8; 32], side: Side, hello: &frame::Hello, nonces: (u128, u128)) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    hasher.update(side.label());
    hasher.update(&hello.sender.get().to_le_bytes());
    hasher.update(&nonces.0.to_le_bytes());
    hasher.update(&nonces.1.to_le_bytes());
    hasher.update(hello.vm.as_str().as_bytes());
    hasher.finalize()
}

fn hello(identity: &Identity, revision: unit::Revision) -> frame::Hello {
    frame::Hello {
        sender: identity.incarnation,
        vm: identity.vm.clone(),
        revision,
        nonce: rand::random(),
        clock: clock::now(),
        code: Bytes::new(),
    }
}

fn sign(hello: &mut frame::Hello, identity: &Identity, side: Side, nonces: (u128, u128)) {
    let mac = mac(&identity.secret, side, hello, nonces);
    hello.code = Bytes::copy_from_slice(mac.as_bytes());
}

fn verify(
    hello: &frame::Hello,
    secret: &[u8; 32],
    side: Side,
    nonces: (u128, u128),
) -> Result<(), &'static str> {
    let received: [u8; 32] =
        hello.code.as_ref().try_into().map_err(|_| "authentication code has the wrong length")?;
    // `blake3::Hash` compares in constant time.
    if blake3::Hash::from(received) == mac(secret, side, hello, nonces) {
        Ok(())
    } else {
        Err("authentication code mismatch")
    }
}

async fn read_hello(reader: &mut stream::Reader, peer: SocketAddr) -> Result<frame::Hello, Error> {
    match reader.next_small().await? {
        Some(wire::Frame::Hello(hello)) => Ok(hello),
        Some(_) => Err(Error::Peer { peer, reason: "expected a hello frame" }),
        None => Err(Error::Closed { step: "authenticate", peer }),
    }
}

fn new_peer(hello: frame::Hello, address: SocketAddr) -> Peer {
    Peer {
        vm: hello.vm,
        incarnation: hello.sender,
        revision: hello.revision,
        clock: hello.clock,
        received_at: clock::now(),
        address,
    }
}

/// Authenticates as the entry; `expected` is the VM that the peer must identify as.
///
/// # Errors
///
/// [`Error::Peer`] if the peer fails authentication or is a different VM.
pub async fn connect(
    identity: &Identity,
    expected: &id::Vm,
    revision: unit::Revision,
    halves: (&mut stream::Reader, &mut tcp::OwnedWriteHalf),
    address: SocketAddr,
) -> Result<Peer, Error> {
    let (reader, writer) = halves;
    let mut local = hello(identity, revision);
    stream::write(writer, address, &wire::Frame::Hello(local.clone())).await?;
    let remote = read_hello(reader, address).await?;
    let nonces = (local.nonce, remote.nonce);
    verify(&remote, &identity.secret, Side::Upstream, nonces)
        .map_err(|reason| Error::Peer { peer: address, reason })?;
    if remote.vm != *expected {
        return Err(Error::Peer { peer: address, reason: "peer identifies as a different vm" });
    }
    sign(&mut local, identity, Side::Entry, nonces);
    stream::write(writer, address, &wire::Frame::Hello(local)).await?;
    Ok(new_peer(remote, address))
}

/// Authenticates as the upstream process.
///
/// # Errors
///
/// [`Error::Peer`] if the peer fails authentication.
pub async fn accept(
    identity: &Identity,
    revision: unit::Revision,
    halves: (&mut stream::Reader, &mut tcp::OwnedWriteHalf),
    address: SocketAddr,
) -> Result<Peer, Error> {
    let (reader, writer) = halves;
    let first = read_hello(reader, address).await?;
    let mut local = hello(identity, revision);
    let nonces = (first.nonce, local.nonce);
    sign(&mut local, identity, Side::Upstream, nonces);
    stream::write(writer, address, &wire::Frame::Hello(local)).await?;
    let proof = read_hello(reader, address).await?;
    let unchanged =
        (first.sender, &first.vm, first.nonce) == (proof.sender, &proof.vm, proof.nonce);
    if !unchanged {
        return Err(Error::Peer { peer: address, reason: "hello changed during authentication" });
    }
    verify(&proof, &identity.secret, Side::Entry, nonces)
        .map_err(|reason| Error::Peer { peer: address, reason })?;
    Ok(new_peer(proof, address))
}
