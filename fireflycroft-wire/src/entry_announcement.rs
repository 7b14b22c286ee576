//! Conversion of direct entries' announcements to generated types and back.

use crate::crash_evidence::{crash_news, read_crash_count, read_crash_news};
use crate::error::WireError;
use crate::field::{
    addr_bytes, check_count, millis, read_addr, read_all, read_digest, read_name, read_narrow,
};
use crate::generated as pb;
use crate::limits::MAX_RECORDS;
use crate::owner_messages::{MAX_TOKENS, life, read_life};
use fireflycroft::{
    CrashNews, EntryAnnouncement, Evacuations, Incarnation, ListChange, Name, PauseCounts,
    RateLimit, RetryCount, ServiceDemand, ToldRate, UpstreamRecord, UpstreamState, is_tellable,
};
use std::net::Ipv4Addr;
use std::time::Duration;

/// Crashes at which direct entries of builds that count them refuse a content.
const ENTRY_CRASH_LIMIT: u32 = 3;

/// Maximum ratios of pauses that are counted.
const MAX_PAUSE_RATIOS: usize = 256;

pub(crate) fn announcement(announcement: &EntryAnnouncement) -> pb::EntryNews {
    pb::EntryNews {
        name: announcement.name.to_string(),
        incarnation: announcement.incarnation.0,
        config: announcement.config,
        entries: announcement.entries,
        upstreams: announcement.upstreams,
        watches: announcement.watches,
        store_age_ms: announcement.store_age.map(millis),
        upstreams_digest: announcement.upstreams_digest,
        upstreams_complete: announcement.upstreams_complete,
        data_centre: announcement.data_centre.to_string(),
        list_changes: readable(&announcement.list_changes, list_change, read_list_change),
        repeats: readable(&announcement.retries, retry_count, read_retry_count),
        crashes: Vec::new(),
        part_evidence: Some(crash_news(&announcement.crash_news)),
        peers: announcement.peers.iter().map(|ip| ip.to_bits()).collect(),
        leaving: announcement.leaving,
        evacuations: Some(evacuations(&announcement.evacuations)),
        rate_limits: readable(&announcement.rate_limits, rate_limit, read_rate_limit),
        said_leaving: readable(&announcement.departing, life, read_life),
        demands: readable(&announcement.demands, demand, read_demand),
        pauses: readable(&announcement.pauses, pause_count, read_pause_count),
    }
}

/// Converts the elements that a receiver can read: for any other one it would reject the whole announcement.
fn readable<T, U, V>(
    all: &[T],
    convert: impl Fn(&T) -> U,
    read: impl Fn(&U) -> Result<V, WireError>,
) -> Vec<U> {
    let converted = all.iter().map(convert);
    converted.filter(|it| read(it).is_ok()).collect()
}

pub(crate) fn read_announcement(
    announcement: &pb::EntryNews,
) -> Result<EntryAnnouncement, WireError> {
    let peers = announcement.peers.iter().copied();
    Ok(EntryAnnouncement {
        name: read_name(&announcement.name, "news.name")?,
        incarnation: Incarnation(announcement.incarnation),
        config: announcement.config,
        entries: announcement.entries,
        upstreams: announcement.upstreams,
        watches: announcement.watches,
        store_age: announcement
            .store_age_ms
            .map(|ms| Duration::from_millis(ms.into())),
        upstreams_digest: announcement.upstreams_digest,
        upstreams_complete: announcement.upstreams_complete,
        data_centre: read_name(&announcement.data_centre, "news.data_centre")?,
        list_changes: read_all(&announcement.list_changes, read_list_change)?,
        retries: read_all(&announcement.repeats, read_retry_count)?,
        crash_news: read_news_of_crashes(announcement)?,
        peers: peers.map(Ipv4Addr::from_bits).collect(),
        leaving: announcement.leaving,
        evacuations: announcement
            .evacuations
            .as_ref()
            .map(read_evacuations)
            .transpose()?
            .unwrap_or_default(),
        rate_limits: read_all(&announcement.rate_limits, read_rate_limit)?,
        departing: read_all(&announcement.said_leaving, read_life)?,
        demands: read_all(&announcement.demands, read_demand)?,
        pauses: read_all(&announcement.pauses, read_pause_count)?,
    })
}

fn demand(demand: &ServiceDemand) -> pb::ServiceDemand {
    pb::ServiceDemand {
        service: demand.service.to_string(),
        tokens: demand.tokens,
    }
}

/// Reads a demand; rejects one whose sums could overflow.
fn read_demand(demand: &pb::ServiceDemand) -> Result<ServiceDemand, WireError> {
    if demand.tokens > MAX_TOKENS {
        return Err(WireError::TooLong("demands.tokens"));
    }
    Ok(ServiceDemand {
        service: read_name(&demand.service, "demands.service")?,
        tokens: demand.tokens,
    })
}

fn rate_limit(rate_limit: &ToldRate) -> pb::ToldRate {
    pb::ToldRate {
        life: Some(life(&rate_limit.upstream)),
        thousandths: rate_limit.limit.map(RateLimit::thousandths),
        age_ms: millis(rate_limit.age),
    }
}

fn read_rate_limit(rate_limit: &pb::ToldRate) -> Result<ToldRate, WireError> {
    let life = rate_limit.life.as_ref();
    Ok(ToldRate {
        upstream: read_life(life.ok_or(WireError::Missing("rate_limits.life"))?)?,
        limit: rate_limit.thousandths.map(RateLimit::from_thousandths),
        age: Duration::from_millis(rate_limit.age_ms.into()),
    })
}

fn evacuations(evacuations: &Evacuations) -> pb::Evacuations {
    let data_centres = evacuations.data_centres.iter();
    let data_centres = data_centres.filter(|name| is_tellable(name));
    pb::Evacuations {
        revision: evacuations.revision,
        data_centres: data_centres.map(ToString::to_string).collect(),
    }
}

fn read_evacuations(evacuations: &pb::Evacuations) -> Result<Evacuations, WireError> {
    let read = |name: &String| read_name(name, "evacuations.data_centres");
    let data_centres = read_all(&evacuations.data_centres, read)?;
    Ok(Evacuations {
        revision: evacuations.revision,
        data_centres: data_centres.into_iter().collect(),
    })
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
            cold_ms: millis(record.cold_for),
            software_version: record
                .software_version
                .as_ref()
                .map_or_else(String::new, ToString::to_string),
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
        software_version: read_software_version(&change.software_version)?,
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

/// Reads a software version; an empty one is unknown.
fn read_software_version(text: &str) -> Result<Option<Name>, WireError> {
    let version = read_name(text, "list_change.software_version")?;
    Ok(Some(version).filter(|v| !v.is_empty()))
}

fn retry_count(count: &RetryCount) -> pb::RepeatCount {
    pb::RepeatCount {
        service: count.service.to_string(),
        requests: count.requests,
        repeats: count.retries,
    }
}

fn read_retry_count(count: &pb::RepeatCount) -> Result<RetryCount, WireError> {
    Ok(RetryCount {
        service: read_name(&count.service, "repeats.service")?,
        requests: count.requests,
        retries: count.repeats,
    })
}

fn pause_count(counts: &PauseCounts) -> pb::PauseCount {
    pb::PauseCount {
        service: counts.service.to_string(),
        reading_ms: counts.reading_ms,
        pauses: counts.pauses.clone(),
    }
}

/// Reads pauses; rejects more ratios than any entry counts.
fn read_pause_count(counts: &pb::PauseCount) -> Result<PauseCounts, WireError> {
    if counts.pauses.len() > MAX_PAUSE_RATIOS {
        return Err(WireError::TooLong("pauses"));
    }
    Ok(PauseCounts {
        service: read_name(&counts.service, "pauses.service")?,
        reading_ms: counts.reading_ms,
        pauses: counts.pauses.clone(),
    })
}

/// Reads evidence about crashes, and the counts of builds that know none about contents.
fn read_news_of_crashes(announcement: &pb::EntryNews) -> Result<CrashNews, WireError> {
    let evidence = announcement.part_evidence.as_ref();
    let mut news = evidence.map(read_crash_news).transpose()?;
    let refused = &mut news.get_or_insert_default().refused;
    check_count(announcement.crashes.len(), MAX_RECORDS, "news.crashes")?;
    for count in &announcement.crashes {
        let content = read_digest(&count.content, "crash.content")?;
        let _: u8 = read_narrow(count.count, "crash.count")?;
        refused.extend(read_crash_count(content, count.count, ENTRY_CRASH_LIMIT));
    }
    Ok(news.unwrap_or_default())
}
