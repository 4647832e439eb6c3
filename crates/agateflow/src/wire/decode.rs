//! Decoder of frames.

use bytes::Bytes;
use capnp::message;

use crate::admission::{self, answer, reason};
use crate::id;
use crate::unit;
use crate::wire;
use crate::wire::frame;
use crate::wire::wire_capnp;

/// Reader limits for messages from a peer.
pub fn reader_options() -> message::ReaderOptions {
    let mut reader_options = message::ReaderOptions::new();
    reader_options.traversal_limit_in_words(Some(2 * wire::MAX_FRAME_BYTES / 8));
    reader_options.nesting_limit(8);
    reader_options
}

/// Reader limits for messages from a peer that is not authenticated.
pub fn small_reader_options() -> message::ReaderOptions {
    let mut reader_options = reader_options();
    reader_options.traversal_limit_in_words(Some(2 * wire::MAX_HELLO_BYTES / 8));
    reader_options
}

/// Reads the frame in `message`.
///
/// # Errors
///
/// The error of the first field that cannot be read.
pub fn frame<S>(message: &message::Reader<S>) -> Result<wire::Frame, wire::Error>
where
    S: message::ReaderSegments,
{
    use wire_capnp::frame::Which;

    let root = message.get_root::<wire_capnp::frame::Reader>()?;
    let frame = match root.which()? {
        Which::Hello(reader) => wire::Frame::Hello(hello(reader?)?),
        Which::Start(reader) => wire::Frame::Start(Box::new(start(reader?)?)),
        Which::Cancel(reader) => wire::Frame::Cancel(attempt(reader?)),
        Which::Seal(reader) => wire::Frame::Seal(seal(reader?)?),
        Which::Resume(reader) => wire::Frame::Resume(position(reader?)?),
        Which::Window(reader) => wire::Frame::Window(position(reader?)?),
        Which::Refused(reader) => wire::Frame::Refused(refused(reader?)?),
        Which::Head(reader) => wire::Frame::Head(head(reader?)?),
        Which::Data(reader) => wire::Frame::Data(data(reader?)?),
        Which::End(reader) => wire::Frame::End(end(reader?)?),
        Which::Failed(reader) => wire::Frame::Failed(failed(reader?)?),
        Which::Sealed(reader) => wire::Frame::Sealed(sealed(reader?)?),
        Which::Ticket(reader) => wire::Frame::TicketCall(ticket_call(reader?)?),
        Which::TicketReply(reader) => wire::Frame::TicketReply(ticket_reply(reader?)?),
    };
    Ok(frame)
}

const fn join(high: u64, low: u64) -> u128 {
    ((high as u128) << 64) | low as u128
}

fn attempt(reader: wire_capnp::id::Reader) -> id::Attempt {
    id::Attempt {
        entry: id::Incarnation::new(join(reader.get_entry_high(), reader.get_entry_low())),
        request: reader.get_request(),
        number: reader.get_number(),
    }
}

fn number(reader: wire_capnp::incarnation::Reader) -> u128 {
    join(reader.get_high(), reader.get_low())
}

fn text(reader: capnp::text::Reader) -> Result<Box<str>, wire::Error> {
    Ok(reader.to_str()?.into())
}

fn bytes(reader: &[u8]) -> Bytes {
    Bytes::copy_from_slice(reader)
}

fn seal(reader: wire_capnp::frame::seal::Reader) -> Result<admission::Seal, wire::Error> {
    Ok(admission::Seal {
        id: attempt(reader.get_id()?),
        target: id::Incarnation::new(number(reader.get_target()?)),
        valid_until: unit::Millis::new(reader.get_valid_until_ms()),
    })
}

fn hello(reader: wire_capnp::frame::hello::Reader) -> Result<frame::Hello, wire::Error> {
    Ok(frame::Hello {
        sender: id::Incarnation::new(number(reader.get_sender()?)),
        vm: reader.get_name()?.to_str()?.parse()?,
        revision: unit::Revision::new(reader.get_revision()),
        nonce: number(reader.get_nonce()?),
        clock: unit::Millis::new(reader.get_clock_ms()),
        code: bytes(reader.get_code()?),
    })
}

fn headers(
    reader: capnp::struct_list::Reader<wire_capnp::header::Owned>,
) -> Result<Vec<answer::Header>, wire::Error> {
    let header = |reader: wire_capnp::header::Reader| {
        Ok(answer::Header { name: text(reader.get_name()?)?, value: bytes(reader.get_value()?) })
    };
    reader.iter().map(header).collect()
}

fn start(reader: wire_capnp::frame::start::Reader) -> Result<frame::Start, wire::Error> {
    Ok(frame::Start {
        id: attempt(reader.get_id()?),
        target: id::Incarnation::new(number(reader.get_target()?)),
        team: reader.get_team()?.to_str()?.parse()?,
        deadline: unit::Millis::new(reader.get_deadline_ms()),
        method: text(reader.get_method()?)?,
        path: text(reader.get_path()?)?,
        headers: headers(reader.get_headers()?)?,
        body: bytes(reader.get_body()?),
        service: text(reader.get_service()?)?,
        stream: reader.get_stream(),
        repeatable: reader.get_repeatable(),
        offset: unit::Bytes::new(reader.get_offset()),
        skip: unit::Tokens::new(reader.get_skip()),
        key: key(reader)?,
        digest: bytes(reader.get_digest()?),
        priority: reader.get_priority(),
        tokens: unit::Tokens::new(reader.get_tokens()),
        valid_until: unit::Millis::new(reader.get_valid_until_ms()),
        revision: unit::Revision::new(reader.get_revision()),
    })
}

fn key(reader: wire_capnp::frame::start::Reader) -> Result<frame::Key, wire::Error> {
    use wire_capnp::frame::KeyKind;

    Ok(match reader.get_key_kind()? {
        KeyKind::None => frame::Key::None,
        KeyKind::IdempotencyKey => frame::Key::Idempotency(bytes(reader.get_key()?)),
        KeyKind::Ticket => frame::Key::Ticket(bytes(reader.get_key()?)),
    })
}

fn position(reader: wire_capnp::frame::resume::Reader) -> Result<frame::Position, wire::Error> {
    let offset = unit::Bytes::new(reader.get_offset());
    Ok(frame::Position { id: attempt(reader.get_id()?), offset })
}

fn end(reader: wire_capnp::frame::end::Reader) -> Result<frame::Position, wire::Error> {
    let offset = unit::Bytes::new(reader.get_length());
    Ok(frame::Position { id: attempt(reader.get_id()?), offset })
}

fn refused(reader: wire_capnp::frame::refused::Reader) -> Result<frame::Refused, wire::Error> {
    Ok(frame::Refused {
        id: attempt(reader.get_id()?),
        // An unknown reason doesn't prove that the attempt did not run; nor does `Validity`.
        reason: reason::Reason::from_code(reader.get_reason()).unwrap_or(reason::Reason::Validity),
        retry_after: unit::Millis::new(reader.get_retry_after_ms()),
        detail: text(reader.get_detail()?)?,
    })
}

fn head(reader: wire_capnp::frame::head::Reader) -> Result<frame::Head, wire::Error> {
    Ok(frame::Head {
        id: attempt(reader.get_id()?),
        head: answer::Head {
            status: reader.get_status(),
            headers: headers(reader.get_headers()?)?,
        },
    })
}

fn data(reader: wire_capnp::frame::part::Reader) -> Result<frame::Data, wire::Error> {
    Ok(frame::Data {
        id: attempt(reader.get_id()?),
        offset: unit::Bytes::new(reader.get_offset()),
        bytes: bytes(reader.get_bytes()?),
    })
}

fn failed(reader: wire_capnp::frame::failed::Reader) -> Result<frame::Failed, wire::Error> {
    Ok(frame::Failed {
        id: attempt(reader.get_id()?),
        detail: text(reader.get_detail()?)?,
        crashed: reader.get_crashed(),
    })
}

fn sealed(reader: wire_capnp::frame::sealed::Reader) -> Result<frame::Sealed, wire::Error> {
    use wire_capnp::frame::SealState;

    let state = match reader.get_state()? {
        SealState::NotRun => admission::Progress::NotRun,
        SealState::Running => admission::Progress::Running,
        SealState::Ran => admission::Progress::Ran,
    };
    Ok(frame::Sealed { id: attempt(reader.get_id()?), state })
}

fn ticket_call(
    reader: wire_capnp::frame::ticket_call::Reader,
) -> Result<frame::TicketCall, wire::Error> {
    Ok(frame::TicketCall {
        id: attempt(reader.get_id()?),
        team: reader.get_team()?.to_str()?.parse()?,
        count: reader.get_count(),
    })
}

fn ticket_reply(
    reader: wire_capnp::frame::ticket_reply::Reader,
) -> Result<frame::TicketReply, wire::Error> {
    let tickets = reader.get_tickets()?;
    let tickets: Result<Vec<_>, capnp::Error> =
        tickets.iter().map(|ticket| ticket.map(bytes)).collect();
    Ok(frame::TicketReply {
        id: attempt(reader.get_id()?),
        tickets: tickets?,
        lifetime: unit::Millis::new(reader.get_life_ms()),
    })
}
