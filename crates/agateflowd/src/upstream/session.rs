//! One link from an entry, as the upstream process serves it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agateflow::admission::Input;
use agateflow::event::Event;
use agateflow::wire;
use agateflow::wire::frame;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::error::Error;
use crate::event;
use crate::link::{Peer, handshake, stream};
use crate::upstream::{Shared, TICKET_LIFE, run};

/// Time for an entry to authenticate.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves the link until it is lost or `stopped` turns true.
pub async fn serve(
    socket: TcpStream,
    address: SocketAddr,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let result = tokio::select! {
        result = session(socket, address, &shared) => result,
        _ = stopped.wait_for(|stop| *stop) => Ok(()),
    };
    match result {
        Ok(()) => {}
        Err(error @ Error::Peer { .. }) => {
            event!(shared.logger, Event::PeerUnauthenticated; "peer" => %address, "cause" => %error);
        }
        Err(error @ Error::Frame { .. }) => {
            event!(shared.logger, Event::BadFrame; "peer" => %address, "cause" => %error);
        }
        Err(error) => {
            event!(shared.logger, Event::LinkLost; "peer" => %address, "cause" => %error);
        }
    }
}

async fn session(
    socket: TcpStream,
    address: SocketAddr,
    shared: &Arc<Shared>,
) -> Result<(), Error> {
    let socket_error = |source| Error::Socket { step: "accept link from", peer: address, source };
    socket.set_nodelay(true).map_err(socket_error)?;
    let (reader, mut writer) = socket.into_split();
    let mut reader = stream::Reader::new(reader, address);
    let revision = shared.fleet.borrow().revision;
    let halves = (&mut reader, &mut writer);
    let accepting = handshake::accept(&shared.identity, revision, halves, address);
    let timeout = Error::Timeout { step: "authenticate", peer: address };
    let peer = time::timeout(HELLO_TIMEOUT, accepting).await.map_err(|_| timeout)??;

    shared.sessions.open(peer.incarnation);
    let (queue, frames) = mpsc::channel(stream::QUEUE_FRAMES);
    let result = tokio::select! {
        result = read(&mut reader, shared, &peer, &queue) => result,
        result = stream::write_all(writer, address, frames) => result,
    };
    if shared.sessions.close(peer.incarnation) {
        run::tell(shared, Input::LinkLost(peer.incarnation), None).await;
    }
    result
}

async fn read(
    reader: &mut stream::Reader,
    shared: &Arc<Shared>,
    peer: &Peer,
    queue: &mpsc::Sender<wire::Frame>,
) -> Result<(), Error> {
    while let Some(frame) = reader.next().await? {
        // An entry speaks only for its own attempts.
        if frame.id().is_some_and(|id| id.entry != peer.incarnation) {
            return Err(Error::Peer { peer: peer.address, reason: "frame for another entry" });
        }
        handle(frame, shared, queue).await;
    }
    Ok(())
}

async fn handle(frame: wire::Frame, shared: &Arc<Shared>, queue: &mpsc::Sender<wire::Frame>) {
    match frame {
        wire::Frame::Start(start) => run::start(shared, *start, queue).await,
        wire::Frame::Cancel(id) => run::tell(shared, Input::Cancel(id), Some(queue)).await,
        wire::Frame::Window(mark) => shared.runs.advance(mark),
        wire::Frame::Seal(seal) => run::tell(shared, Input::Seal(seal), Some(queue)).await,
        wire::Frame::Resume(mark) => {
            let input = Input::Resume { id: mark.id, offset: mark.offset.get() };
            run::tell(shared, input, Some(queue)).await;
        }
        wire::Frame::TicketCall(call) => tickets(shared, call, queue).await,
        // Frames that only an upstream process sends, or that need nothing here.
        _ => {}
    }
}

async fn tickets(shared: &Arc<Shared>, call: frame::TicketCall, queue: &mpsc::Sender<wire::Frame>) {
    let tickets = shared.runs.tickets(&call, &shared.tickets);
    let reply = frame::TicketReply { id: call.id, tickets, lifetime: TICKET_LIFE };
    // A lost link loses the tickets; nobody holds them, so nothing ran.
    let _ = queue.send(wire::Frame::TicketReply(reply)).await;
}
