//! Encoder of frames.

use crate::admission::{self, answer};
use crate::id;
use crate::wire;
use crate::wire::frame;
use crate::wire::wire_capnp;

/// Words that a frame takes besides its payload; sizes the first segment.
const FRAME_OVERHEAD_WORDS: u32 = 64;

/// Appends the encoded `frame` to `buffer`.
///
/// # Errors
///
/// [`wire::Error::Codec`] if the message cannot be built, which happens only out of memory.
pub fn append(frame: &wire::Frame, buffer: &mut Vec<u8>) -> Result<(), wire::Error> {
    let words = FRAME_OVERHEAD_WORDS + payload_words(frame);
    let allocator = capnp::message::HeapAllocator::new().first_segment_words(words);
    let mut message = capnp::message::Builder::new(allocator);
    let mut root = message.init_root::<wire_capnp::frame::Builder>();
    root.set_version(wire::VERSION);
    build(frame, root);
    capnp::serialize::write_message(buffer, &message)?;
    Ok(())
}

fn payload_words(frame: &wire::Frame) -> u32 {
    let bytes = match frame {
        wire::Frame::Start(start) => start.body.len() + 256,
        wire::Frame::Data(data) => data.bytes.len(),
        _ => 0,
    };
    u32::try_from(bytes / 8).unwrap_or(u32::MAX / 2)
}

fn build(frame: &wire::Frame, root: wire_capnp::frame::Builder) {
    match frame {
        wire::Frame::Hello(hello) => build_hello(hello, root.init_hello()),
        wire::Frame::Start(start) => build_start(start, root.init_start()),
        wire::Frame::Cancel(id) => build_id(*id, root.init_cancel()),
        wire::Frame::Seal(seal) => build_seal(*seal, root.init_seal()),
        wire::Frame::Resume(position) => build_position(*position, root.init_resume()),
        wire::Frame::Window(position) => build_position(*position, root.init_window()),
        wire::Frame::Refused(refused) => build_refused(refused, root.init_refused()),
        wire::Frame::Head(head) => build_head(head, root.init_head()),
        wire::Frame::Data(data) => build_data(data, root.init_data()),
        wire::Frame::End(position) => {
            let mut end = root.init_end();
            end.set_length(position.offset.get());
            build_id(position.id, end.init_id());
        }
        wire::Frame::Failed(failed) => build_failed(failed, root.init_failed()),
        wire::Frame::Sealed(sealed) => build_sealed(*sealed, root.init_sealed()),
        wire::Frame::TicketCall(call) => build_ticket_call(call, root.init_ticket()),
        wire::Frame::TicketReply(reply) => build_ticket_reply(reply, root.init_ticket_reply()),
    }
}

const fn split(number: u128) -> (u64, u64) {
    ((number >> 64) as u64, number as u64)
}

fn build_id(id: id::Attempt, mut builder: wire_capnp::id::Builder) {
    let (high, low) = split(id.entry.get());
    builder.set_entry_high(high);
    builder.set_entry_low(low);
    builder.set_request(id.request);
    builder.set_number(id.number);
}

fn build_incarnation(number: u128, mut builder: wire_capnp::incarnation::Builder) {
    let (high, low) = split(number);
    builder.set_high(high);
    builder.set_low(low);
}

fn build_position(position: frame::Position, mut builder: wire_capnp::frame::resume::Builder) {
    builder.set_offset(position.offset.get());
    build_id(position.id, builder.init_id());
}

fn build_seal(seal: admission::Seal, mut builder: wire_capnp::frame::seal::Builder) {
    builder.set_valid_until_ms(seal.valid_until.get());
    build_incarnation(seal.target.get(), builder.reborrow().init_target());
    build_id(seal.id, builder.init_id());
}

fn build_hello(hello: &frame::Hello, mut builder: wire_capnp::frame::hello::Builder) {
    builder.set_name(hello.vm.as_str());
    builder.set_revision(hello.revision.get());
    builder.set_code(&hello.code);
    builder.set_clock_ms(hello.clock.get());
    build_incarnation(hello.sender.get(), builder.reborrow().init_sender());
    build_incarnation(hello.nonce, builder.init_nonce());
}

fn build_headers(
    headers: &[answer::Header],
    mut builder: capnp::struct_list::Builder<wire_capnp::header::Owned>,
) {
    for (index, header) in (0u32..).zip(headers) {
        let mut entry = builder.reborrow().get(index);
        entry.set_name(&*header.name);
        entry.set_value(&header.value);
    }
}

fn header_count(headers: &[answer::Header]) -> u32 {
    u32::try_from(headers.len()).unwrap_or(u32::MAX)
}

fn build_start(start: &frame::Start, mut builder: wire_capnp::frame::start::Builder) {
    build_id(start.id, builder.reborrow().init_id());
    build_incarnation(start.target.get(), builder.reborrow().init_target());
    builder.set_team(start.team.as_str());
    builder.set_deadline_ms(start.deadline.get());
    builder.set_method(&*start.method);
    builder.set_path(&*start.path);
    builder.set_body(&start.body);
    builder.set_service(&*start.service);
    builder.set_stream(start.stream);
    builder.set_repeatable(start.repeatable);
    builder.set_offset(start.offset.get());
    builder.set_skip(start.skip.get());
    builder.set_digest(&start.digest);
    builder.set_priority(start.priority);
    builder.set_tokens(start.tokens.get());
    builder.set_revision(start.revision.get());
    builder.set_valid_until_ms(start.valid_until.get());
    build_key(&start.key, builder.reborrow());
    build_headers(&start.headers, builder.init_headers(header_count(&start.headers)));
}

fn build_key(key: &frame::Key, mut builder: wire_capnp::frame::start::Builder) {
    let (kind, bytes) = match key {
        frame::Key::None => (wire_capnp::frame::KeyKind::None, None),
        frame::Key::Idempotency(key) => (wire_capnp::frame::KeyKind::IdempotencyKey, Some(key)),
        frame::Key::Ticket(ticket) => (wire_capnp::frame::KeyKind::Ticket, Some(ticket)),
    };
    builder.set_key_kind(kind);
    if let Some(bytes) = bytes {
        builder.set_key(bytes);
    }
}

fn build_refused(refused: &frame::Refused, mut builder: wire_capnp::frame::refused::Builder) {
    builder.set_reason(refused.reason.code());
    builder.set_retry_after_ms(refused.retry_after.get());
    builder.set_detail(&*refused.detail);
    build_id(refused.id, builder.init_id());
}

fn build_head(head: &frame::Head, mut builder: wire_capnp::frame::head::Builder) {
    builder.set_status(head.head.status);
    build_id(head.id, builder.reborrow().init_id());
    let headers = &head.head.headers;
    build_headers(headers, builder.init_headers(header_count(headers)));
}

fn build_data(data: &frame::Data, mut builder: wire_capnp::frame::part::Builder) {
    builder.set_offset(data.offset.get());
    builder.set_bytes(&data.bytes);
    build_id(data.id, builder.init_id());
}

fn build_failed(failed: &frame::Failed, mut builder: wire_capnp::frame::failed::Builder) {
    builder.set_detail(&*failed.detail);
    builder.set_crashed(failed.crashed);
    build_id(failed.id, builder.init_id());
}

fn build_sealed(sealed: frame::Sealed, mut builder: wire_capnp::frame::sealed::Builder) {
    builder.set_state(match sealed.state {
        admission::Progress::NotRun => wire_capnp::frame::SealState::NotRun,
        admission::Progress::Running => wire_capnp::frame::SealState::Running,
        admission::Progress::Ran => wire_capnp::frame::SealState::Ran,
    });
    build_id(sealed.id, builder.init_id());
}

fn build_ticket_call(
    call: &frame::TicketCall,
    mut builder: wire_capnp::frame::ticket_call::Builder,
) {
    builder.set_team(call.team.as_str());
    builder.set_count(call.count);
    build_id(call.id, builder.init_id());
}

fn build_ticket_reply(
    reply: &frame::TicketReply,
    mut builder: wire_capnp::frame::ticket_reply::Builder,
) {
    builder.set_life_ms(reply.lifetime.get());
    build_id(reply.id, builder.reborrow().init_id());
    let count = u32::try_from(reply.tickets.len()).unwrap_or(u32::MAX);
    let mut tickets = builder.init_tickets(count);
    for (index, ticket) in (0u32..).zip(&reply.tickets) {
        tickets.set(index, ticket);
    }
}
