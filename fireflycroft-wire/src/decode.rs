//! Decoding of packets into the core's types.

use crate::crash_evidence::{read_crash_count, read_crash_news, read_parts};
use crate::error::WireError;
use crate::field::{
    check_count, read_addr, read_code, read_digest, read_generation, read_member_state, read_name,
    read_narrow, read_priority, read_request, read_role, read_standing, read_text,
};
use crate::generated as pb;
use crate::generated::body::Kind;
use crate::generated::start;
use crate::limits::{
    MAX_BODIES, MAX_CHUNK_TOKENS, MAX_HASHES, MAX_PACKET_BYTES, MAX_PARTS, MAX_RECORDS, MAX_SERVES,
};
use fireflycroft::{
    CRASH_LIMIT, Chunk, ConfigVersion, CrashId, CrashNews, Demand, Envelope, Finish, Incarnation,
    Load, MemberRecord, Message, Order, OrderKind, Peer, Work,
};
use prost::Message as _;
use std::time::Duration;

/// Header of a packet, common to all its messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Header {
    /// Sender.
    pub from: Peer,
    /// Version of the sender's active configuration.
    pub config: ConfigVersion,
    /// Load of the sender's upstream, from agents only.
    pub load: Option<Load>,
}

/// Decodes a packet of exactly one message.
///
/// # Errors
///
/// Fails if the bytes are no valid packet or it holds another number of messages.
pub fn decode(bytes: &[u8]) -> Result<Envelope, WireError> {
    let (header, bodies) = decode_all(bytes)?;
    let [body] =
        <[Message; 1]>::try_from(bodies).map_err(|bodies| WireError::NotSingle(bodies.len()))?;
    Ok(Envelope {
        from: header.from,
        config: header.config,
        load: header.load,
        body,
    })
}

/// Decodes a packet of any number of messages.
///
/// # Errors
///
/// Fails if the bytes are no valid packet; one invalid message invalidates all of it.
pub fn decode_all(bytes: &[u8]) -> Result<(Header, Vec<Message>), WireError> {
    check_count(bytes.len(), MAX_PACKET_BYTES, "packet")?;
    let packet = pb::Packet::decode(bytes)?;
    check_count(packet.bodies.len(), MAX_BODIES, "bodies")?;
    let header = Header {
        from: peer(packet.from)?,
        config: ConfigVersion(packet.config),
        load: packet.load.map(load),
    };
    let bodies = packet
        .bodies
        .into_iter()
        .map(message)
        .collect::<Result<_, _>>()?;
    Ok((header, bodies))
}

fn peer(peer: Option<pb::Peer>) -> Result<Peer, WireError> {
    let peer = peer.ok_or(WireError::Missing("peer"))?;
    Ok(Peer {
        name: read_name(&peer.name, "peer.name")?,
        addr: read_addr(&peer.addr)?,
        incarnation: Incarnation(peer.incarnation),
        role: read_role(peer.role)?,
    })
}

const fn load(load: pb::Load) -> Load {
    Load {
        running: load.running,
        queued: load.queued,
        used_tokens: load.used_tokens,
        expected_tokens: load.expected_tokens,
        capacity_tokens: load.capacity_tokens,
        step: Duration::from_micros(load.step_us),
        wait_interactive: Duration::from_micros(load.wait_interactive_us),
        wait_batch: Duration::from_micros(load.wait_batch_us),
        leaving: load.leaving,
        max_batch: load.max_batch,
    }
}

fn message(body: pb::Body) -> Result<Message, WireError> {
    match body.kind.ok_or(WireError::Missing("body"))? {
        Kind::Offer(offer) => read_offer(offer),
        Kind::Queued(queued) => read_queued(&queued),
        Kind::Accept(accept) => read_accept(&accept),
        Kind::Refuse(refuse) => read_refuse(&refuse),
        Kind::Withdraw(withdraw) => read_withdraw(&withdraw),
        Kind::Start(start) => read_start(start),
        Kind::Attach(attach) => read_attach(&attach),
        Kind::Tokens(tokens) => read_tokens(tokens),
        Kind::Stand(stand) => read_stand(&stand),
        Kind::Ack(ack) => read_ack(&ack),
        Kind::Detach(detach) => read_detach(&detach),
        Kind::Cancel(cancel) => read_cancel(cancel),
        Kind::Crashes(crashes) => read_crashes(&crashes),
        Kind::Ping(probe) => read_ping(probe),
        Kind::Pong(probe) => read_pong(probe),
        Kind::PingVia(via) => read_ping_via(via),
        Kind::ViewParts(parts) => read_view_parts(parts),
        Kind::ViewHashes(hashes) => read_view_hashes(hashes),
        Kind::ViewPage(page) => read_view_page(page),
        Kind::ConfigPull(pull) => Ok(read_config_pull(pull)),
        Kind::ConfigPart(part) => read_config_part(part),
        Kind::Order(order) => read_order(&order),
        Kind::OrderAnswer(answer) => read_order_answer(&answer),
    }
}

fn read_offer(offer: pb::Offer) -> Result<Message, WireError> {
    Ok(Message::Offer {
        request: read_request(&offer.request, "offer.request")?,
        attempt: offer.attempt,
        demand: demand(offer.demand)?,
        max_wait: Duration::from_micros(offer.max_wait_us),
    })
}

fn read_queued(queued: &pb::Queued) -> Result<Message, WireError> {
    Ok(Message::Queued {
        request: read_request(&queued.request, "queued.request")?,
        attempt: queued.attempt,
        wait: Duration::from_micros(queued.wait_us),
    })
}

fn read_accept(accept: &pb::Accept) -> Result<Message, WireError> {
    Ok(Message::Accept {
        request: read_request(&accept.request, "accept.request")?,
        attempt: accept.attempt,
        generation: read_generation(accept.generation)?,
        hold: Duration::from_micros(accept.hold_us),
    })
}

fn read_refuse(refuse: &pb::Refuse) -> Result<Message, WireError> {
    Ok(Message::Refuse {
        request: read_request(&refuse.request, "refuse.request")?,
        attempt: refuse.attempt,
        code: read_code(refuse.code)?,
        retry_after: Duration::from_micros(refuse.retry_after_us),
    })
}

fn read_withdraw(withdraw: &pb::Withdraw) -> Result<Message, WireError> {
    Ok(Message::Withdraw {
        request: read_request(&withdraw.request, "withdraw.request")?,
        attempt: withdraw.attempt,
    })
}

fn read_start(start: pb::Start) -> Result<Message, WireError> {
    Ok(Message::Start {
        request: read_request(&start.request, "start.request")?,
        generation: read_generation(start.generation)?,
        work: work(start.work)?,
    })
}

fn read_attach(attach: &pb::Attach) -> Result<Message, WireError> {
    Ok(Message::Attach {
        reader: read_request(&attach.reader, "attach.reader")?,
        request: read_request(&attach.request, "attach.request")?,
        generation: read_generation(attach.generation)?,
        workspace: read_name(&attach.workspace, "attach.workspace")?,
        from: attach.from,
    })
}

fn read_tokens(tokens: pb::Tokens) -> Result<Message, WireError> {
    Ok(Message::Tokens {
        reader: read_request(&tokens.reader, "tokens.reader")?,
        generation: read_generation(tokens.generation)?,
        chunk: chunk(tokens.chunk)?,
        finish: tokens.finish.as_ref().map(finish).transpose()?,
    })
}

fn read_stand(stand: &pb::Stand) -> Result<Message, WireError> {
    Ok(Message::Stand {
        reader: read_request(&stand.reader, "stand.reader")?,
        generation: read_generation(stand.generation)?,
        standing: read_standing(stand.standing)?,
    })
}

fn read_ack(ack: &pb::Ack) -> Result<Message, WireError> {
    Ok(Message::Ack {
        reader: read_request(&ack.reader, "ack.reader")?,
        generation: read_generation(ack.generation)?,
        next: ack.next,
    })
}

fn read_detach(detach: &pb::Detach) -> Result<Message, WireError> {
    Ok(Message::Detach {
        reader: read_request(&detach.reader, "detach.reader")?,
        generation: read_generation(detach.generation)?,
    })
}

fn read_cancel(cancel: pb::Cancel) -> Result<Message, WireError> {
    Ok(Message::Cancel {
        generation: read_generation(cancel.generation)?,
    })
}

fn read_crashes(crashes: &pb::Crashes) -> Result<Message, WireError> {
    if let Some(evidence) = &crashes.parts {
        return read_crash_news(evidence).map(Message::CrashNews);
    }
    let content = read_digest(&crashes.content, "crashes.content")?;
    let count: u8 = read_narrow(crashes.count, "crashes.count")?;
    let refused = read_crash_count(content, count.into(), CRASH_LIMIT.into());
    Ok(Message::CrashNews(CrashNews {
        refused: refused.into_iter().collect(),
        ..CrashNews::default()
    }))
}

fn read_ping(probe: pb::Probe) -> Result<Message, WireError> {
    Ok(Message::Ping {
        nonce: probe.nonce,
        records: records(probe.records)?,
        view: probe.view,
    })
}

fn read_pong(probe: pb::Probe) -> Result<Message, WireError> {
    Ok(Message::Pong {
        nonce: probe.nonce,
        records: records(probe.records)?,
        view: probe.view,
    })
}

fn read_ping_via(via: pb::PingVia) -> Result<Message, WireError> {
    let target = via.target.ok_or(WireError::Missing("target"))?;
    Ok(Message::PingVia {
        nonce: via.nonce,
        target: record(target)?,
    })
}

fn read_view_parts(view: pb::ViewParts) -> Result<Message, WireError> {
    check_count(view.parts.len(), MAX_PARTS, "view.parts")?;
    Ok(Message::ViewParts { parts: view.parts })
}

fn read_view_hashes(view: pb::ViewHashes) -> Result<Message, WireError> {
    check_count(view.hashes.len(), MAX_HASHES, "view.hashes")?;
    Ok(Message::ViewHashes {
        parts: view.parts,
        hashes: view.hashes,
        reply: view.reply,
    })
}

fn read_view_page(page: pb::ViewPage) -> Result<Message, WireError> {
    Ok(Message::ViewPage {
        records: records(page.records)?,
    })
}

const fn read_config_pull(pull: pb::ConfigPull) -> Message {
    Message::ConfigPull {
        have: ConfigVersion(pull.have),
        part: pull.part,
    }
}

fn read_config_part(part: pb::ConfigPart) -> Result<Message, WireError> {
    Ok(Message::ConfigPart {
        version: ConfigVersion(part.version),
        part: part.part,
        parts: part.parts,
        digest: read_digest(&part.digest, "config_part.digest")?,
        data: part.data.into(),
    })
}

fn demand(demand: Option<pb::Demand>) -> Result<Demand, WireError> {
    let demand = demand.ok_or(WireError::Missing("demand"))?;
    Ok(Demand {
        workspace: read_name(&demand.workspace, "demand.workspace")?,
        target: read_name(&demand.target, "demand.target")?,
        priority: read_priority(demand.priority)?,
        prompt_tokens: demand.prompt_tokens,
        max_tokens: demand.max_tokens,
        prefix: read_digest(&demand.prefix, "demand.prefix")?,
        content: read_digest(&demand.content, "demand.content")?,
        retryable: demand.repeatable,
        crashes: read_narrow(demand.crashes, "demand.crashes")?,
        shared_parts: read_parts(&demand.parts, "demand.parts")?,
    })
}

fn work(work: Option<start::Work>) -> Result<Work, WireError> {
    Ok(match work.ok_or(WireError::Missing("work"))? {
        start::Work::Generate(generate) => Work::Generate {
            body: generate.body.into(),
        },
        start::Work::Call(call) => Work::Call {
            method: read_text(&call.method, "call.method")?,
            path: read_text(&call.path, "call.path")?,
            content_type: read_text(&call.content_type, "call.content_type")?,
            body: call.body.into(),
        },
    })
}

fn chunk(chunk: Option<pb::Chunk>) -> Result<Chunk, WireError> {
    let chunk = chunk.ok_or(WireError::Missing("chunk"))?;
    check_count(chunk.lens.len(), MAX_CHUNK_TOKENS, "chunk")?;
    let chunk = Chunk {
        offset: chunk.offset,
        data: chunk.data,
        lens: chunk.lens,
    };
    let ends = chunk.offset.checked_add(chunk.count()).is_some();
    if !ends || !chunk.is_consistent() {
        return Err(WireError::InconsistentChunk);
    }
    Ok(chunk)
}

fn finish(finish: &pb::Finish) -> Result<Finish, WireError> {
    Ok(Finish {
        total: finish.total,
        code: read_code(finish.code)?,
        reason: read_text(&finish.reason, "finish.reason")?,
        status: read_narrow(finish.status, "finish.status")?,
        content_type: read_text(&finish.content_type, "finish.content_type")?,
        prompt_tokens: finish.prompt_tokens,
        preemptions: finish.preemptions,
        crashes: read_narrow(finish.crashes, "finish.crashes")?,
        ended: finish.ended.map(CrashId),
    })
}

fn records(records: Vec<pb::MemberRecord>) -> Result<Vec<MemberRecord>, WireError> {
    check_count(records.len(), MAX_RECORDS, "records")?;
    records.into_iter().map(record).collect()
}

fn record(record: pb::MemberRecord) -> Result<MemberRecord, WireError> {
    check_count(record.serves.len(), MAX_SERVES, "record.serves")?;
    let serves = record.serves.iter();
    Ok(MemberRecord {
        peer: peer(record.peer)?,
        data_centre: read_name(&record.data_centre, "record.data_centre")?,
        state: read_member_state(record.state)?,
        revision: record.turn,
        serves: serves
            .map(|name| read_name(name, "record.serves"))
            .collect::<Result<_, _>>()?,
    })
}

fn read_order(order: &pb::Order) -> Result<Message, WireError> {
    let kind = match pb::OrderKind::try_from(order.kind) {
        Ok(pb::OrderKind::Load) => OrderKind::Load,
        Ok(pb::OrderKind::Unload) => OrderKind::Unload,
        Ok(pb::OrderKind::Unspecified) | Err(_) => return Err(WireError::BadValue("order.kind")),
    };
    Ok(Message::Order(Order {
        id: read_request(&order.id, "order.id")?,
        fence: order.fence,
        kind,
        model: read_name(&order.model, "order.model")?,
    }))
}

fn read_order_answer(answer: &pb::OrderAnswer) -> Result<Message, WireError> {
    Ok(Message::OrderAnswer {
        id: read_request(&answer.id, "order_answer.id")?,
        code: read_code(answer.code)?,
        fence: answer.fence,
    })
}
