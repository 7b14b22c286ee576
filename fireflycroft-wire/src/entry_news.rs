//! News of direct entries, to messages and back.

use crate::error::WireError;
use crate::field::{addr_bytes, id_bytes, read_addr, read_all, read_digest, read_name};
use crate::generated as pb;
use crate::owner_news::{life, read_life};
use fireflycroft::{
    CrashCount, EntryAnnouncement, Evacuations, Incarnation, ListChange, RateLimit, RetryCount,
    ToldRate, UpstreamRecord, UpstreamState,
};
use std::net::Ipv4Addr;
use std::time::Duration;

pub(crate) fn news(news: &EntryAnnouncement) -> pb::EntryNews {
    pb::EntryNews {
        name: news.name.to_string(),
        incarnation: news.incarnation.0,
        config: news.config,
        entries: news.entries,
        upstreams: news.upstreams,
        watches: news.watches,
        store_age_ms: news.store_age.map(millis_of),
        upstreams_digest: news.upstreams_digest,
        upstreams_complete: news.upstreams_complete,
        data_centre: news.data_centre.to_string(),
        list_changes: news.list_changes.iter().map(list_change).collect(),
        repeats: news.retries.iter().map(repeats).collect(),
        crashes: news.crashes.iter().map(crash).collect(),
        peers: news.peers.iter().map(|ip| ip.to_bits()).collect(),
        leaving: news.leaving,
        evacuations: Some(evacuations(&news.evacuations)),
        rate_limits: news.rate_limits.iter().map(told_rate).collect(),
        said_leaving: news.departing.iter().map(life).collect(),
    }
}

pub(crate) fn read_news(news: &pb::EntryNews) -> Result<EntryAnnouncement, WireError> {
    let peers = news.peers.iter().copied();
    Ok(EntryAnnouncement {
        name: read_name(&news.name, "news.name")?,
        incarnation: Incarnation(news.incarnation),
        config: news.config,
        entries: news.entries,
        upstreams: news.upstreams,
        watches: news.watches,
        store_age: news.store_age_ms.map(|ms| Duration::from_millis(ms.into())),
        upstreams_digest: news.upstreams_digest,
        upstreams_complete: news.upstreams_complete,
        data_centre: read_name(&news.data_centre, "news.data_centre")?,
        list_changes: read_all(&news.list_changes, read_list_change)?,
        retries: read_all(&news.repeats, read_repeats)?,
        crashes: read_all(&news.crashes, read_crash)?,
        peers: peers.map(Ipv4Addr::from_bits).collect(),
        leaving: news.leaving,
        evacuations: news
            .evacuations
            .as_ref()
            .map(read_evacuations)
            .transpose()?
            .unwrap_or_default(),
        rate_limits: read_all(&news.rate_limits, read_told_rate)?,
        departing: read_all(&news.said_leaving, read_life)?,
    })
}

fn told_rate(told: &ToldRate) -> pb::ToldRate {
    pb::ToldRate {
        life: Some(life(&told.upstream)),
        thousandths: told.limit.map(RateLimit::thousandths),
        age_ms: millis_of(told.age),
    }
}

fn read_told_rate(told: &pb::ToldRate) -> Result<ToldRate, WireError> {
    let told_life = told.life.as_ref();
    Ok(ToldRate {
        upstream: read_life(told_life.ok_or(WireError::Missing("rate_limits.life"))?)?,
        limit: told.thousandths.map(RateLimit::from_thousandths),
        age: Duration::from_millis(told.age_ms.into()),
    })
}

fn evacuations(told: &Evacuations) -> pb::Evacuations {
    let data_centres = told.data_centres.iter();
    pb::Evacuations {
        revision: told.revision,
        data_centres: data_centres.map(ToString::to_string).collect(),
    }
}

fn read_evacuations(told: &pb::Evacuations) -> Result<Evacuations, WireError> {
    let read = |name: &String| read_name(name, "evacuations.data_centres");
    let data_centres = read_all(&told.data_centres, read)?;
    Ok(Evacuations {
        revision: told.revision,
        data_centres: data_centres.into_iter().collect(),
    })
}

/// Whole milliseconds of `span`, at most what the field holds.
pub(crate) fn millis_of(span: Duration) -> u32 {
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

fn repeats(count: &RetryCount) -> pb::RepeatCount {
    pb::RepeatCount {
        service: count.service.to_string(),
        requests: count.requests,
        repeats: count.retries,
    }
}

fn read_repeats(count: &pb::RepeatCount) -> Result<RetryCount, WireError> {
    Ok(RetryCount {
        service: read_name(&count.service, "repeats.service")?,
        requests: count.requests,
        retries: count.repeats,
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
