//! Fetches the document in force from a peer over TCP: first its manifest, then the missing parts.
//!
//! Each frame is an authenticated control message, prefixed with its length as big-endian `u32`.

use std::net;
use std::sync::{Arc, Weak};
use std::time::Duration;

use agateflow::fleet::{message, node, parts, revision};
use agateflow::wire::control;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::{sync, time};

use super::error::Error;
use super::handle::Shared;

const MAX_CONCURRENT_FETCHES: usize = 32;
const LENGTH_BYTES: usize = 4;
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(2); // before the next check for shutdown

/// Fetches the document in force from `peer`.
pub(super) async fn fetch(peer: net::SocketAddr, shared: &Shared) -> Result<Arc<[u8]>, Error> {
    let fetched = time::timeout(node::FETCH_TIMEOUT.duration(), fetch_document(peer, shared));
    fetched.await.map_err(|_| Error::Timeout { step: "fetch", peer })?
}

async fn fetch_document(peer: net::SocketAddr, shared: &Shared) -> Result<Arc<[u8]>, Error> {
    let stream = TcpStream::connect(peer).await.map_err(|e| Error::io("connect", peer, e))?;
    let mut connection = Connection { stream, peer, shared };
    connection.send(message::Body::GetManifest).await?;
    let message::Body::Manifest(manifest) = connection.receive().await? else {
        return Err(Error::protocol("fetch", peer, "expected a manifest"));
    };
    let held = shared.document.load_full();
    let held = held.as_ref().map(|document| (&document.manifest, &document.bytes));
    let assembly = parts::Assembly::new(manifest, held);
    let mut assembly = assembly
        .ok_or_else(|| Error::protocol("fetch", peer, "document exceeds the size limit"))?;
    let missing = assembly.missing();
    connection.send(message::Body::GetParts(missing.clone())).await?;
    for _ in 0..missing.len() {
        let message::Body::Part(bytes) = connection.receive().await? else {
            return Err(Error::protocol("fetch", peer, "expected a part"));
        };
        if !assembly.insert(bytes) {
            return Err(Error::protocol("fetch", peer, "unexpected part"));
        }
    }
    assembly.finish().ok_or_else(|| Error::protocol("fetch", peer, "document digest mismatch"))
}

/// Serves the document in force to peers until the service ends.
pub(super) async fn serve(listener: TcpListener, shared: Weak<Shared>) {
    let slots = Arc::new(sync::Semaphore::new(MAX_CONCURRENT_FETCHES));
    loop {
        let Ok(permit) = slots.clone().acquire_owned().await else { return };
        let accepted = time::timeout(ACCEPT_TIMEOUT, listener.accept()).await;
        let Some(shared) = shared.upgrade() else { return };
        let Ok(Ok((stream, peer))) = accepted else { continue };
        tokio::spawn(async move {
            // After a failure the peer retries, here or with another process.
            let served = serve_one(Connection { stream, peer, shared: &shared });
            let _ = time::timeout(node::FETCH_TIMEOUT.duration(), served).await;
            drop(permit);
        });
    }
}

async fn serve_one(mut connection: Connection<'_>) -> Result<(), Error> {
    let message::Body::GetManifest = connection.receive().await? else {
        return Err(Error::protocol("serve", connection.peer, "expected a manifest request"));
    };
    let Some(document) = connection.shared.document.load_full() else {
        return Err(Error::protocol("serve", connection.peer, "no document in force"));
    };
    connection.send(message::Body::Manifest(document.manifest.clone())).await?;
    let message::Body::GetParts(wanted) = connection.receive().await? else {
        return Err(Error::protocol("serve", connection.peer, "expected a parts request"));
    };
    serve_parts(&mut connection, &document, &wanted).await
}

async fn serve_parts(
    connection: &mut Connection<'_>,
    document: &revision::Document,
    wanted: &[u32],
) -> Result<(), Error> {
    for index in wanted.iter().take(document.manifest.parts.len()) {
        let part = document.manifest.slice(&document.bytes, *index as usize);
        let part = part
            .ok_or_else(|| Error::protocol("serve", connection.peer, "part index out of range"))?;
        connection.send(message::Body::Part(part.into())).await?;
    }
    Ok(())
}

struct Connection<'a> {
    stream: TcpStream,
    peer: net::SocketAddr,
    shared: &'a Shared,
}

impl Connection<'_> {
    async fn send(&mut self, body: message::Body) -> Result<(), Error> {
        let message = self.shared.stream_message(body);
        let bytes = control::encode(&message, &self.shared.key, control::MAX_FRAME_BYTES)
            .map_err(|source| Error::Message { step: "encode for", peer: self.peer, source })?;
        let mut frame = (bytes.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(&bytes);
        let sent = self.stream.write_all(&frame).await;
        sent.map_err(|e| Error::io("send to", self.peer, e))?;
        self.shared.counters.sent_stream(frame.len());
        Ok(())
    }

    async fn receive(&mut self) -> Result<message::Body, Error> {
        let peer = self.peer;
        let io = |e| Error::io("receive from", peer, e);
        let length = self.stream.read_u32().await.map_err(io)? as usize;
        if length > control::MAX_FRAME_BYTES {
            return Err(Error::protocol("receive from", peer, "frame exceeds the size limit"));
        }
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).await.map_err(io)?;
        self.shared.counters.received_stream(LENGTH_BYTES + length);
        let message = control::decode(&bytes, &self.shared.key, &|_| None)
            .map_err(|source| Error::Message { step: "decode from", peer, source })?;
        Ok(message.body)
    }
}
