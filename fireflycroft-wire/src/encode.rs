//! Encoding of the core's types as packets.
//!
//! Encoding can't fail. The limits are enforced by the decoder: a value that
//! exceeds them is encoded, and rejected by the receiver.

use crate::crash_evidence::crash_news;
use crate::field::{
    addr_bytes, generation, id_bytes, member_state, micros, priority, role, standing,
};
use crate::generated as pb;
use crate::generated::body::Kind;
use crate::generated::start;
use fireflycroft::{
    Chunk, ConfigVersion, Demand, Envelope, Finish, Load, MemberRecord, Message, Name, OrderKind,
    Peer, Work,
};
use prost::Message as _;
use std::slice;

/// Encodes a packet of one message.
#[must_use]
pub fn encode(envelope: &Envelope) -> Vec<u8> {
    let mut buf = Vec::new();
    encode_into(envelope, &mut buf);
    buf
}

/// Appends the packet of one message to `buf`.
pub fn encode_into(envelope: &Envelope, buf: &mut Vec<u8>) {
    let bodies = slice::from_ref(&envelope.body);
    write(
        &packet(
            &envelope.from,
            envelope.config,
            envelope.load.as_ref(),
            bodies,
        ),
        buf,
    );
}

/// Encodes a packet of any number of messages from one sender.
#[must_use]
pub fn encode_all(
    from: &Peer,
    config: ConfigVersion,
    load: Option<&Load>,
    bodies: &[Message],
) -> Vec<u8> {
    let mut buf = Vec::new();
    write(&packet(from, config, load, bodies), &mut buf);
    buf
}

fn write(packet: &pb::Packet, buf: &mut Vec<u8>) {
    buf.reserve(packet.encoded_len());
    packet.encode_raw(buf);
}

fn packet(
    from: &Peer,
    config: ConfigVersion,
    load: Option<&Load>,
    bodies: &[Message],
) -> pb::Packet {
    pb::Packet {
        from: Some(peer(from)),
        config: config.0,
        load: load.map(self::load),
        bodies: bodies.iter().map(body).collect(),
    }
}

fn peer(peer: &Peer) -> pb::Peer {
    pb::Peer {
        name: peer.name.to_string(),
        addr: addr_bytes(peer.addr),
        incarnation: peer.incarnation.0,
        role: role(peer.role),
    }
}

fn load(load: &Load) -> pb::Load {
    pb::Load {
        running: load.running,
        queued: load.queued,
        used_tokens: load.used_tokens,
        expected_tokens: load.expected_tokens,
        capacity_tokens: load.capacity_tokens,
        step_us: micros(load.step),
        wait_interactive_us: micros(load.wait_interactive),
        wait_batch_us: micros(load.wait_batch),
        leaving: load.leaving,
        max_batch: load.max_batch,
    }
}

fn body(message: &Message) -> pb::Body {
    let kind = reservation_message(message)
        .or_else(|| generation_message(message))
        .or_else(|| fleet_message(message));
    pb::Body { kind }
}

/// Converts the messages of offers and reservations, up to the start.
fn reservation_message(message: &Message) -> Option<Kind> {
    Some(match message {
        Message::Offer {
            request,
            attempt,
            demand,
            max_wait,
        } => Kind::Offer(pb::Offer {
            request: id_bytes(request.0),
            attempt: *attempt,
            demand: Some(self::demand(demand)),
            max_wait_us: micros(*max_wait),
        }),
        Message::Queued {
            request,
            attempt,
            wait,
        } => Kind::Queued(pb::Queued {
            request: id_bytes(request.0),
            attempt: *attempt,
            wait_us: micros(*wait),
        }),
        Message::Accept {
            request,
            attempt,
            generation,
            hold,
        } => Kind::Accept(pb::Accept {
            request: id_bytes(request.0),
            attempt: *attempt,
            generation: Some(self::generation(*generation)),
            hold_us: micros(*hold),
        }),
        Message::Refuse {
            request,
            attempt,
            code,
            retry_after,
        } => Kind::Refuse(pb::Refuse {
            request: id_bytes(request.0),
            attempt: *attempt,
            code: code.number(),
            retry_after_us: micros(*retry_after),
        }),
        Message::Withdraw { request, attempt } => Kind::Withdraw(pb::Withdraw {
            request: id_bytes(request.0),
            attempt: *attempt,
        }),
        Message::Start {
            request,
            generation,
            work,
        } => Kind::Start(pb::Start {
            request: id_bytes(request.0),
            generation: Some(self::generation(*generation)),
            work: Some(self::work(work)),
        }),
        _ => return None,
    })
}

/// Converts the messages about a started generation.
fn generation_message(message: &Message) -> Option<Kind> {
    Some(match message {
        Message::Attach {
            reader,
            request,
            generation,
            workspace,
            from,
        } => Kind::Attach(pb::Attach {
            reader: id_bytes(reader.0),
            request: id_bytes(request.0),
            generation: Some(self::generation(*generation)),
            workspace: workspace.to_string(),
            from: *from,
        }),
        Message::Tokens {
            reader,
            generation,
            chunk,
            finish,
        } => Kind::Tokens(pb::Tokens {
            reader: id_bytes(reader.0),
            generation: Some(self::generation(*generation)),
            chunk: Some(self::chunk(chunk)),
            finish: finish.as_ref().map(self::finish),
        }),
        Message::Stand {
            reader,
            generation,
            standing,
        } => Kind::Stand(pb::Stand {
            reader: id_bytes(reader.0),
            generation: Some(self::generation(*generation)),
            standing: self::standing(*standing),
        }),
        Message::Ack {
            reader,
            generation,
            next,
        } => Kind::Ack(pb::Ack {
            reader: id_bytes(reader.0),
            generation: Some(self::generation(*generation)),
            next: *next,
        }),
        Message::Detach { reader, generation } => Kind::Detach(pb::Detach {
            reader: id_bytes(reader.0),
            generation: Some(self::generation(*generation)),
        }),
        Message::Cancel { generation } => Kind::Cancel(pb::Cancel {
            generation: Some(self::generation(*generation)),
        }),
        _ => return None,
    })
}

/// Converts the messages about the fleet itself.
fn fleet_message(message: &Message) -> Option<Kind> {
    Some(match message {
        Message::CrashNews(news) => Kind::Crashes(pb::Crashes {
            content: id_bytes(0),
            count: 0,
            parts: Some(crash_news(news)),
        }),
        Message::Ping {
            nonce,
            records,
            view,
        } => Kind::Ping(probe(*nonce, records, *view)),
        Message::Pong {
            nonce,
            records,
            view,
        } => Kind::Pong(probe(*nonce, records, *view)),
        Message::PingVia { nonce, target } => Kind::PingVia(pb::PingVia {
            nonce: *nonce,
            target: Some(record(target)),
        }),
        Message::ViewParts { parts } => Kind::ViewParts(pb::ViewParts {
            parts: parts.clone(),
        }),
        Message::ViewHashes {
            parts,
            hashes,
            reply,
        } => Kind::ViewHashes(pb::ViewHashes {
            parts: *parts,
            hashes: hashes.clone(),
            reply: *reply,
        }),
        Message::ViewPage { records } => Kind::ViewPage(pb::ViewPage {
            records: records.iter().map(record).collect(),
        }),
        Message::ConfigPull { have, part } => Kind::ConfigPull(pb::ConfigPull {
            have: have.0,
            part: *part,
        }),
        Message::ConfigPart {
            version,
            part,
            parts,
            digest,
            data,
        } => Kind::ConfigPart(pb::ConfigPart {
            version: version.0,
            part: *part,
            parts: *parts,
            digest: id_bytes(digest.0),
            data: data.to_vec(),
        }),
        Message::Order(order) => Kind::Order(pb::Order {
            id: id_bytes(order.id.0),
            fence: order.fence,
            kind: match order.kind {
                OrderKind::Load => pb::OrderKind::Load,
                OrderKind::Unload => pb::OrderKind::Unload,
            }
            .into(),
            model: order.model.to_string(),
        }),
        Message::OrderAnswer { id, code, fence } => Kind::OrderAnswer(pb::OrderAnswer {
            id: id_bytes(id.0),
            code: code.number(),
            fence: *fence,
        }),
        // Listed one by one, so that a new message doesn't compile until it is handled.
        Message::Offer { .. }
        | Message::Queued { .. }
        | Message::Accept { .. }
        | Message::Refuse { .. }
        | Message::Withdraw { .. }
        | Message::Start { .. }
        | Message::Attach { .. }
        | Message::Tokens { .. }
        | Message::Stand { .. }
        | Message::Ack { .. }
        | Message::Detach { .. }
        | Message::Cancel { .. } => return None,
    })
}

fn demand(demand: &Demand) -> pb::Demand {
    pb::Demand {
        workspace: demand.workspace.to_string(),
        target: demand.target.to_string(),
        priority: priority(demand.priority),
        prompt_tokens: demand.prompt_tokens,
        max_tokens: demand.max_tokens,
        prefix: id_bytes(demand.prefix.0),
        content: id_bytes(demand.content.0),
        repeatable: demand.retryable,
        crashes: u32::from(demand.crashes),
        parts: demand.shared_parts.iter().map(|p| p.0).collect(),
    }
}

fn work(work: &Work) -> start::Work {
    match work {
        Work::Generate { body } => start::Work::Generate(pb::Generate {
            body: body.to_vec(),
        }),
        Work::Call {
            method,
            path,
            content_type,
            body,
        } => start::Work::Call(pb::Call {
            method: method.to_string(),
            path: path.to_string(),
            content_type: content_type.to_string(),
            body: body.to_vec(),
        }),
    }
}

fn chunk(chunk: &Chunk) -> pb::Chunk {
    pb::Chunk {
        offset: chunk.offset,
        data: chunk.data.clone(),
        lens: chunk.lens.clone(),
    }
}

fn finish(finish: &Finish) -> pb::Finish {
    pb::Finish {
        total: finish.total,
        code: finish.code.number(),
        reason: finish.reason.to_string(),
        status: u32::from(finish.status),
        content_type: finish.content_type.to_string(),
        prompt_tokens: finish.prompt_tokens,
        preemptions: finish.preemptions,
        crashes: u32::from(finish.crashes),
        ended: finish.ended.map(|e| e.0),
    }
}

fn probe(nonce: u64, records: &[MemberRecord], view: u64) -> pb::Probe {
    pb::Probe {
        nonce,
        records: records.iter().map(record).collect(),
        view,
    }
}

fn record(record: &MemberRecord) -> pb::MemberRecord {
    pb::MemberRecord {
        peer: Some(peer(&record.peer)),
        data_centre: record.data_centre.to_string(),
        state: member_state(record.state),
        turn: record.revision,
        serves: record.serves.iter().map(Name::to_string).collect(),
    }
}
