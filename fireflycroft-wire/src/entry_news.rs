//! News of direct entries, to bytes and back: one datagram holds one of them.

use crate::error::WireError;
use crate::field::{addr_bytes, check_count, id_bytes, read_addr, read_digest, read_name};
use crate::generated as pb;
use crate::limits::{MAX_DATAGRAM_BYTES, MAX_RECORDS};
use fireflycroft::{
    CrashCount, EntryNews, Incarnation, ListChange, Pace, Placed, PlacedAt, Refusal, RepeatCount,
    UpstreamRecord, UpstreamState,
};
use prost::Message as _;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Most tokens and microseconds of a pace: a day of an engine's.
const MAX_PACE: u64 = 1 << 37;

/// Writes news as one datagram.
#[must_use]
pub fn encode_news(news: &EntryNews) -> Vec<u8> {
    pb::EntryNews {
        name: news.name.to_string(),
        incarnation: news.incarnation.0,
        config: news.config,
        config_bytes: news.config_bytes,
        upstreams: news.upstreams,
        watches: news.watches,
        store_age_ms: news.store_age.map(millis_of),
        upstreams_digest: news.upstreams_digest,
        list_changes: news.list_changes.iter().map(list_change).collect(),
        changes_only: news.changes_only,
        placed: news.placed.iter().map(placed).collect(),
        repeats: news.repeats.iter().map(repeats).collect(),
        crashes: news.crashes.iter().map(crash).collect(),
        peers: news.peers.iter().map(|ip| ip.to_bits()).collect(),
        leaving: news.leaving,
        refused: news.refused.iter().map(refusal).collect(),
    }
    .encode_to_vec()
}

/// Reads news from one datagram.
///
/// # Errors
///
/// When the bytes are no sound news.
pub fn decode_news(bytes: &[u8]) -> Result<EntryNews, WireError> {
    check_count(bytes.len(), MAX_DATAGRAM_BYTES, "news")?;
    let news = pb::EntryNews::decode(bytes)?;
    check_count(news.placed.len(), MAX_RECORDS, "placed")?;
    Ok(EntryNews {
        name: read_name(&news.name, "news.name")?,
        incarnation: Incarnation(news.incarnation),
        config: news.config,
        config_bytes: news.config_bytes,
        upstreams: news.upstreams,
        watches: news.watches,
        store_age: news.store_age_ms.map(|ms| Duration::from_millis(ms.into())),
        upstreams_digest: news.upstreams_digest,
        list_changes: news
            .list_changes
            .iter()
            .map(read_list_change)
            .collect::<Result<_, _>>()?,
        changes_only: news.changes_only,
        placed: news
            .placed
            .iter()
            .map(read_placed)
            .collect::<Result<_, _>>()?,
        repeats: news
            .repeats
            .iter()
            .map(read_repeats)
            .collect::<Result<_, _>>()?,
        crashes: news
            .crashes
            .iter()
            .map(read_crash)
            .collect::<Result<_, _>>()?,
        peers: news.peers.into_iter().map(Ipv4Addr::from_bits).collect(),
        leaving: news.leaving,
        refused: news
            .refused
            .iter()
            .map(read_refusal)
            .collect::<Result<_, _>>()?,
    })
}

/// Whole milliseconds of `span`, at most what the field holds.
fn millis_of(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn list_change(change: &ListChange) -> pb::ListChange {
    match change {
        ListChange::Listed(record) => pb::ListChange {
            instance: record.instance.to_string(),
            revision: record.revision,
            removed: false,
            service: record.service.to_string(),
            addr: addr_bytes(record.addr),
            data_centre: record.data_centre.to_string(),
            slots: record.slots,
            leaving: record.state == UpstreamState::Leaving,
            unreadable: record.state == UpstreamState::Unreadable,
            incarnation: record.incarnation.0,
            cold_ms: millis_of(record.cold_for),
        },
        ListChange::Removed { instance, revision } => pb::ListChange {
            instance: instance.to_string(),
            revision: *revision,
            removed: true,
            ..pb::ListChange::default()
        },
    }
}

fn read_list_change(change: &pb::ListChange) -> Result<ListChange, WireError> {
    let instance = read_name(&change.instance, "list_change.instance")?;
    let revision = change.revision;
    if change.removed {
        return Ok(ListChange::Removed { instance, revision });
    }
    Ok(ListChange::Listed(UpstreamRecord {
        instance,
        incarnation: Incarnation(change.incarnation),
        service: read_name(&change.service, "list_change.service")?,
        addr: read_addr(&change.addr)?,
        data_centre: read_name(&change.data_centre, "list_change.data_centre")?,
        slots: change.slots,
        state: match (change.unreadable, change.leaving) {
            (true, _) => UpstreamState::Unreadable,
            (false, true) => UpstreamState::Leaving,
            (false, false) => UpstreamState::Serving,
        },
        cold_for: Duration::from_millis(u64::from(change.cold_ms)),
        revision,
    }))
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
    }
}

fn read_placed(at: &pb::PlacedAt) -> Result<PlacedAt, WireError> {
    Ok(PlacedAt {
        instance: read_name(&at.instance, "placed.instance")?,
        incarnation: Incarnation(at.incarnation),
        placed: Placed {
            running: at.running,
            tokens: at.tokens,
            unread: at.unread,
            copies: at.copies,
        },
        pace: read_pace(at)?,
    })
}

/// Refuses a pace whose figures would overflow when summed.
fn read_pace(at: &pb::PlacedAt) -> Result<Pace, WireError> {
    if at.made_tokens > MAX_PACE || at.made_micros > MAX_PACE {
        return Err(WireError::TooLong("placed.made"));
    }
    Ok(Pace {
        tokens: at.made_tokens,
        micros: at.made_micros,
    })
}

fn repeats(count: &RepeatCount) -> pb::RepeatCount {
    pb::RepeatCount {
        service: count.service.to_string(),
        requests: count.requests,
        repeats: count.repeats,
    }
}

fn read_repeats(count: &pb::RepeatCount) -> Result<RepeatCount, WireError> {
    Ok(RepeatCount {
        service: read_name(&count.service, "repeats.service")?,
        requests: count.requests,
        repeats: count.repeats,
    })
}

fn refusal(refusal: &Refusal) -> pb::Refusal {
    pb::Refusal {
        content: id_bytes(refusal.content.0),
        age_ms: millis_of(refusal.age),
    }
}

fn read_refusal(refusal: &pb::Refusal) -> Result<Refusal, WireError> {
    Ok(Refusal {
        content: read_digest(&refusal.content, "refusal.content")?,
        age: Duration::from_millis(u64::from(refusal.age_ms)),
    })
}

fn crash(crash: &CrashCount) -> pb::CrashCount {
    pb::CrashCount {
        content: id_bytes(crash.content.0),
        count: u32::from(crash.count),
    }
}

fn read_crash(crash: &pb::CrashCount) -> Result<CrashCount, WireError> {
    Ok(CrashCount {
        content: read_digest(&crash.content, "crash.content")?,
        count: u8::try_from(crash.count).map_err(|_| WireError::BadValue("crash.count"))?,
    })
}
