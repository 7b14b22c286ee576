//! Conversion of reports and queries to owners to generated types and back.

use crate::error::WireError;
use crate::field::{check_count, id_bytes, millis, read_all, read_digest, read_name};
use crate::generated as pb;
use crate::limits::MAX_RECORDS;
use fireflycroft::{
    Incarnation, OwnedLoad, OwnerQuery, OwnerQueryBody, OwnerReply, OwnerReplyBody, OwnerReport,
    Pace, Placed, PlacedAt, Refusal, StreamOrigin, StreamStart, UpstreamIncarnation,
};
use pb::owner_query::Ask;
use pb::owner_reply::Answer;
use std::time::Duration;

/// Maximum of the tokens and of the microseconds of a pace; over a day of an engine's time.
const MAX_PACE: u64 = 1 << 37;

/// Maximum number of requests placed on an upstream, so that sums can't overflow.
const MAX_RUNNING: u64 = 1 << 20;

/// Maximum number of gaps that a usual one is based on, so that sums can't overflow.
const MAX_GAPS: u64 = 1 << 20;

/// Maximum number of tokens placed on an upstream, so that sums can't overflow.
pub(crate) const MAX_TOKENS: u64 = 1 << 37;

pub(crate) fn report(report: &OwnerReport) -> pb::OwnerReport {
    pb::OwnerReport {
        entry: report.entry.to_string(),
        is_whole: report.is_whole,
        placed: report.placed.iter().map(placed).collect(),
        refused: report.refused.iter().map(refusal).collect(),
        unreachable: report.unreachable.iter().map(life).collect(),
        streams: report.streams.iter().map(stream_start).collect(),
    }
}

pub(crate) fn read_report(report: &pb::OwnerReport) -> Result<OwnerReport, WireError> {
    check_count(report.placed.len(), MAX_RECORDS, "report.placed")?;
    check_count(report.refused.len(), MAX_RECORDS, "report.refused")?;
    check_count(report.unreachable.len(), MAX_RECORDS, "report.unreachable")?;
    check_count(report.streams.len(), MAX_RECORDS, "report.streams")?;
    Ok(OwnerReport {
        entry: read_name(&report.entry, "report.entry")?,
        is_whole: report.is_whole,
        placed: read_all(&report.placed, read_placed)?,
        refused: read_all(&report.refused, read_refusal)?,
        unreachable: read_all(&report.unreachable, read_life)?,
        streams: read_all(&report.streams, read_stream_start)?,
    })
}

pub(crate) fn query(query: &OwnerQuery) -> pb::OwnerQuery {
    let ask = match &query.body {
        OwnerQueryBody::Loads(lives) => Ask::Loads(pb::Lives {
            lives: lives.iter().map(life).collect(),
        }),
        OwnerQueryBody::Retry(service) => Ask::Repeat(service.to_string()),
        OwnerQueryBody::Refused(content) => Ask::Refused(id_bytes(content.0)),
        OwnerQueryBody::Stream(stream) => Ask::Stream(id_bytes(stream.0)),
    };
    pb::OwnerQuery {
        entry: query.entry.to_string(),
        id: query.id,
        ask: Some(ask),
    }
}

pub(crate) fn read_query(query: &pb::OwnerQuery) -> Result<OwnerQuery, WireError> {
    let body = match &query.ask {
        Some(Ask::Loads(it)) => {
            check_count(it.lives.len(), MAX_RECORDS, "query.lives")?;
            OwnerQueryBody::Loads(read_all(&it.lives, read_life)?)
        }
        Some(Ask::Repeat(service)) => OwnerQueryBody::Retry(read_name(service, "query.repeat")?),
        Some(Ask::Refused(content)) => {
            OwnerQueryBody::Refused(read_digest(content, "query.refused")?)
        }
        Some(Ask::Stream(stream)) => OwnerQueryBody::Stream(read_digest(stream, "query.stream")?),
        None => return Err(WireError::Missing("query.ask")),
    };
    Ok(OwnerQuery {
        entry: read_name(&query.entry, "query.entry")?,
        id: query.id,
        body,
    })
}

pub(crate) fn reply(reply: &OwnerReply) -> pb::OwnerReply {
    let answer = match &reply.body {
        OwnerReplyBody::Loads(loads) => Answer::Loads(pb::OwnedLoads {
            loads: loads.iter().map(owned).collect(),
        }),
        OwnerReplyBody::Retry { service, granted } => Answer::Repeat(pb::Loan {
            service: service.to_string(),
            lent: *granted,
        }),
        OwnerReplyBody::Refused {
            content,
            age,
            waited,
            expected_in,
        } => Answer::Refused(pb::Refused {
            content: id_bytes(content.0),
            age_ms: age.map(millis),
            waited_ms: millis(*waited),
            expected_ms: millis(*expected_in),
        }),
        OwnerReplyBody::Stream(start) => Answer::Stream(pb::StreamFound {
            start: start.as_ref().map(stream_start),
        }),
    };
    pb::OwnerReply {
        entry: reply.entry.to_string(),
        id: reply.id,
        answer: Some(answer),
    }
}

pub(crate) fn read_reply(reply: &pb::OwnerReply) -> Result<OwnerReply, WireError> {
    let body = match &reply.answer {
        Some(Answer::Loads(it)) => {
            check_count(it.loads.len(), MAX_RECORDS, "reply.loads")?;
            OwnerReplyBody::Loads(read_all(&it.loads, read_owned)?)
        }
        Some(Answer::Repeat(loan)) => OwnerReplyBody::Retry {
            service: read_name(&loan.service, "reply.service")?,
            granted: loan.lent,
        },
        Some(Answer::Refused(it)) => OwnerReplyBody::Refused {
            content: read_digest(&it.content, "reply.content")?,
            age: it.age_ms.map(|ms| Duration::from_millis(ms.into())),
            waited: Duration::from_millis(it.waited_ms.into()),
            expected_in: Duration::from_millis(it.expected_ms.into()),
        },
        Some(Answer::Stream(found)) => {
            OwnerReplyBody::Stream(found.start.as_ref().map(read_stream_start).transpose()?)
        }
        None => return Err(WireError::Missing("reply.answer")),
    };
    Ok(OwnerReply {
        entry: read_name(&reply.entry, "reply.entry")?,
        id: reply.id,
        body,
    })
}

fn stream_start(start: &StreamStart) -> pb::StreamStart {
    pb::StreamStart {
        stream: id_bytes(start.stream.0),
        service: start.origin.service.to_string(),
        software_version: start.origin.software_version.to_string(),
        keep_ms: millis(start.keep_for),
    }
}

/// Reads where a stream began; rejects an empty version, which is an unknown one.
fn read_stream_start(start: &pb::StreamStart) -> Result<StreamStart, WireError> {
    let software_version = read_name(&start.software_version, "stream.software_version")?;
    if software_version.is_empty() {
        return Err(WireError::Missing("stream.software_version"));
    }
    Ok(StreamStart {
        stream: read_digest(&start.stream, "stream.stream")?,
        origin: StreamOrigin {
            service: read_name(&start.service, "stream.service")?,
            software_version,
        },
        keep_for: Duration::from_millis(u64::from(start.keep_ms)),
    })
}

fn refusal(refusal: &Refusal) -> pb::Refusal {
    pb::Refusal {
        content: id_bytes(refusal.content.0),
        age_ms: millis(refusal.age),
        waited_ms: millis(refusal.waited),
        expected_ms: millis(refusal.expected_in),
    }
}

fn read_refusal(refusal: &pb::Refusal) -> Result<Refusal, WireError> {
    Ok(Refusal {
        content: read_digest(&refusal.content, "refusal.content")?,
        age: Duration::from_millis(u64::from(refusal.age_ms)),
        waited: Duration::from_millis(u64::from(refusal.waited_ms)),
        expected_in: Duration::from_millis(u64::from(refusal.expected_ms)),
    })
}

pub(crate) fn life(life: &UpstreamIncarnation) -> pb::Life {
    pb::Life {
        instance: life.instance.to_string(),
        incarnation: life.incarnation.0,
    }
}

pub(crate) fn read_life(life: &pb::Life) -> Result<UpstreamIncarnation, WireError> {
    Ok(UpstreamIncarnation {
        instance: read_name(&life.instance, "life.instance")?,
        incarnation: Incarnation(life.incarnation),
    })
}

fn owned(load: &OwnedLoad) -> pb::OwnedLoad {
    let at = PlacedAt {
        instance: load.upstream.instance.clone(),
        incarnation: load.upstream.incarnation,
        placed: load.placed,
        pace: load.pace,
    };
    pb::OwnedLoad {
        placed: Some(placed(&at)),
        serves: load.serves,
    }
}

fn read_owned(load: &pb::OwnedLoad) -> Result<OwnedLoad, WireError> {
    let at = load.placed.as_ref();
    let at = read_placed(at.ok_or(WireError::Missing("owned.placed"))?)?;
    Ok(OwnedLoad {
        upstream: UpstreamIncarnation {
            instance: at.instance,
            incarnation: at.incarnation,
        },
        serves: load.serves,
        placed: at.placed,
        pace: at.pace,
    })
}

fn placed(at: &PlacedAt) -> pb::PlacedAt {
    pb::PlacedAt {
        instance: at.instance.to_string(),
        running: at.placed.running,
        tokens: at.placed.tokens,
        unread: at.placed.unread,
        copies: at.placed.copies,
        made_tokens: at.pace.tokens,
        made_micros: at.pace.micros,
        incarnation: at.incarnation.0,
        long_running: at.placed.long,
        usual_micros: at.pace.usual_micros,
        usual_gaps: at.pace.gaps,
        slowed: at.placed.slowed,
    }
}

/// Reads placed work; rejects counts whose sums could overflow.
fn read_placed(at: &pb::PlacedAt) -> Result<PlacedAt, WireError> {
    let max_tokens = at.tokens.max(at.copies).max(at.unread);
    let most_running = at.running.max(at.long_running).max(at.slowed);
    if u64::from(most_running) > MAX_RUNNING || max_tokens > MAX_TOKENS {
        return Err(WireError::TooLong("placed"));
    }
    Ok(PlacedAt {
        instance: read_name(&at.instance, "placed.instance")?,
        incarnation: Incarnation(at.incarnation),
        placed: Placed {
            running: at.running,
            tokens: at.tokens,
            unread: at.unread,
            copies: at.copies,
            long: at.long_running,
            slowed: at.slowed,
        },
        pace: read_pace(at)?,
    })
}

/// Reads a pace; rejects values whose sums could overflow.
fn read_pace(at: &pb::PlacedAt) -> Result<Pace, WireError> {
    let most = at.made_tokens.max(at.made_micros);
    if most > MAX_PACE || u64::from(at.usual_gaps) > MAX_GAPS {
        return Err(WireError::TooLong("placed.made"));
    }
    Ok(Pace {
        tokens: at.made_tokens,
        micros: at.made_micros,
        usual_micros: at.usual_micros,
        gaps: at.usual_gaps,
    })
}
