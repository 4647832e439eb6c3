//! Serves one link from an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agateflow::admission::Input;
use agateflow::admission::reason::Reason;
use agateflow::event::Event;
use agateflow::id;
use agateflow::intake::Stage;
use agateflow::wire;
use agateflow::wire::frame;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::error::Error;
use crate::intake::{self, Connection};
use crate::link::{Peer, handshake, stream};
use crate::upstream::{Shared, TICKET_LIFETIME, attempt};
use crate::{blocks, event};

/// Timeout for an entry to authenticate.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size from which a body counts as often as it is copied.
const LARGE_BODY_BYTES: u64 = 64 << 10;

/// Times that a large body takes its size: as a message of a link, decoded and sent to the engine. The allocator keeps
/// what is freed of them for a while.
const BODY_COPIES: u64 = 3;

/// Serves the link until it is lost or `stopped` turns true.
pub async fn serve(
    socket: TcpStream,
    address: SocketAddr,
    connection: Arc<Connection>,
    shared: Arc<Shared>,
    mut stopped: watch::Receiver<bool>,
) {
    let result = tokio::select! {
        result = serve_entry(socket, address, &connection, &shared) => result,
        _ = stopped.wait_for(|stop| *stop) => Ok(()),
        () = connection.evicted() => Ok(()),
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

async fn serve_entry(
    socket: TcpStream,
    address: SocketAddr,
    connection: &Arc<Connection>,
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
    let peer = time::timeout(HANDSHAKE_TIMEOUT, accepting).await.map_err(|_| timeout)??;
    // An authenticated link does not have to go.
    connection.enter(Stage::Running);

    shared.sessions.open(peer.incarnation);
    let (queue, frames) = mpsc::channel(stream::QUEUE_FRAMES);
    let result = tokio::select! {
        result = read(&mut reader, shared, connection, &peer, &queue) => result,
        result = stream::write_all(writer, address, frames) => result,
    };
    if shared.sessions.close(peer.incarnation) {
        attempt::process(shared, Input::LinkLost(peer.incarnation), None).await;
    }
    result
}

async fn read(
    reader: &mut stream::Reader,
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
    peer: &Peer,
    queue: &mpsc::Sender<wire::Frame>,
) -> Result<(), Error> {
    while let Some(frame) = reader.next().await? {
        // An entry may refer only to its own attempts.
        if frame.id().is_some_and(|id| id.entry != peer.incarnation) {
            return Err(Error::Peer { peer: peer.address, reason: "frame for another entry" });
        }
        handle(frame, shared, connection, queue).await;
    }
    Ok(())
}

async fn handle(
    frame: wire::Frame,
    shared: &Arc<Shared>,
    connection: &Arc<Connection>,
    queue: &mpsc::Sender<wire::Frame>,
) {
    match frame {
        wire::Frame::Start(start) => match charge(*start, connection) {
            Ok(start) => attempt::start(shared, start, queue).await,
            Err(id) => {
                let refused = attempt::refused(id, Reason::Overloaded, intake::RETRY_AFTER);
                let _ = queue.send(refused).await;
            }
        },
        wire::Frame::Cancel(id) => attempt::process(shared, Input::Cancel(id), Some(queue)).await,
        wire::Frame::Window(mark) => shared.attempts.acknowledge(mark),
        wire::Frame::Seal(seal) => attempt::process(shared, Input::Seal(seal), Some(queue)).await,
        wire::Frame::Resume(mark) => {
            let input = Input::Resume { id: mark.id, offset: mark.offset.get() };
            attempt::process(shared, input, Some(queue)).await;
        }
        wire::Frame::TicketCall(call) => issue_tickets(shared, call, queue).await,
        // Frames that only an upstream process sends, or that require no action.
        _ => {}
    }
}

/// Charges the body of an attempt to its link until the last copy of it is dropped. Returns the attempt's id if
/// there is no memory for it.
fn charge(
    mut start: frame::Start,
    connection: &Arc<Connection>,
) -> Result<frame::Start, id::Attempt> {
    let length = start.body.len() as u64;
    let copies = if length > LARGE_BODY_BYTES { BODY_COPIES } else { 1 };
    let charge = connection.charge_now(length * copies).map_err(|_| start.id)?;
    let body = blocks::unpooled(start.body).map_err(|_| start.id)?;
    start.body = blocks::charged(body, charge);
    Ok(start)
}

async fn issue_tickets(
    shared: &Arc<Shared>,
    call: frame::TicketCall,
    queue: &mpsc::Sender<wire::Frame>,
) {
    let tickets = shared.attempts.issue_tickets(&call, &shared.ticket_secret);
    let reply = frame::TicketReply { id: call.id, tickets, lifetime: TICKET_LIFETIME };
    // Tickets lost with the link were never used, so no call ran under them.
    let _ = queue.send(wire::Frame::TicketReply(reply)).await;
}
