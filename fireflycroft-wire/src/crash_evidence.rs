//! Conversion of evidence about requests that crash upstreams to generated types and back.

use crate::error::WireError;
use crate::field::{check_count, millis, read_all};
use crate::generated as pb;
use crate::limits::MAX_RECORDS;
use fireflycroft::{
    ContentId, CrashId, CrashNews, CrashReport, Digest, MAX_SHARED_PARTS, PartId, Reach,
    RefusedSuspect, SoundSuspect, Survivor, Suspect,
};
use prost::Message as _;
use std::time::Duration;

/// Encodes evidence for a process that asks for all of it.
#[must_use]
pub fn encode_crash_news(news: &CrashNews) -> Vec<u8> {
    crash_news(news).encode_to_vec()
}

/// Decodes evidence.
///
/// # Errors
///
/// If the bytes are no evidence, or more of it than any process tells.
pub fn decode_crash_news(bytes: &[u8]) -> Result<CrashNews, WireError> {
    read_crash_news(&pb::PartEvidence::decode(bytes)?)
}

pub(crate) fn crash_news(news: &CrashNews) -> pb::PartEvidence {
    let (sound_contents, sound) = news.sound.iter().partition(|s| s.suspect.is_content());
    let (refused_contents, refused) = news.refused.iter().partition(|r| r.suspect.is_content());
    pb::PartEvidence {
        crashes: news.crashes.iter().map(crash_report).collect(),
        sound: sound_suspects(sound),
        refused: refused_suspects(refused),
        sound_contents: sound_suspects(sound_contents),
        refused_contents: refused_suspects(refused_contents),
        survivors: news.survivors.iter().map(survivor).collect(),
    }
}

/// Reads evidence; rejects more of it than any process tells.
pub(crate) fn read_crash_news(news: &pb::PartEvidence) -> Result<CrashNews, WireError> {
    let sound = news.sound.len() + news.sound_contents.len();
    let refused = news.refused.len() + news.refused_contents.len();
    check_count(news.crashes.len(), MAX_RECORDS, "part_evidence.crashes")?;
    check_count(sound, MAX_RECORDS, "part_evidence.sound")?;
    check_count(refused, MAX_RECORDS, "part_evidence.refused")?;
    let survivors = news.survivors.len();
    check_count(survivors, MAX_RECORDS, "part_evidence.survivors")?;
    let sound = news.sound.iter().map(|s| read_sound(s, part));
    let refused = news.refused.iter().map(|r| read_refused(r, part));
    let sound_contents = news.sound_contents.iter();
    let refused_contents = news.refused_contents.iter();
    Ok(CrashNews {
        crashes: read_all(&news.crashes, read_crash_report)?,
        sound: sound
            .chain(sound_contents.map(|s| read_sound(s, content)))
            .collect(),
        refused: refused
            .chain(refused_contents.map(|r| read_refused(r, content)))
            .collect(),
        survivors: news.survivors.iter().map(read_survivor).collect(),
    })
}

/// Reads the number of upstreams that a content has crashed as a refusal from `limit` on.
pub(crate) fn read_crash_count(
    content: Digest,
    crashes: u32,
    limit: u32,
) -> Option<RefusedSuspect> {
    let refused = RefusedSuspect {
        suspect: Suspect::of_content(content),
        crashes,
        age: Duration::ZERO,
    };
    (crashes >= limit).then_some(refused)
}

/// Reads the shared parts of a prompt; rejects more than any process considers.
pub(crate) fn read_parts(parts: &[u64], field: &'static str) -> Result<Vec<PartId>, WireError> {
    check_count(parts.len(), MAX_SHARED_PARTS, field)?;
    Ok(parts.iter().copied().map(PartId).collect())
}

const fn part(id: u64) -> Suspect {
    Suspect::Part(PartId(id))
}

const fn content(id: u64) -> Suspect {
    Suspect::Content(ContentId(id))
}

fn crash_report(report: &CrashReport) -> pb::PartCrash {
    let parts = report.suspects.iter().filter(|s| !s.is_content());
    let mut contents = report.suspects.iter().filter(|s| s.is_content());
    pb::PartCrash {
        ended: report.ended.0,
        parts: parts.map(Suspect::id).collect(),
        begun: report.begun,
        age_ms: millis(report.age),
        content: contents.next().map(Suspect::id),
        lasted_ms: millis(report.reach.lasted),
        events: report.reach.events,
    }
}

fn read_crash_report(crash: &pb::PartCrash) -> Result<CrashReport, WireError> {
    let parts = read_parts(&crash.parts, "part_crash.parts")?;
    let parts = parts.into_iter().map(Suspect::Part);
    Ok(CrashReport {
        ended: CrashId(crash.ended),
        suspects: parts.chain(crash.content.map(content)).collect(),
        begun: crash.begun,
        age: Duration::from_millis(crash.age_ms.into()),
        reach: read_reach(crash.lasted_ms, crash.events),
    })
}

fn survivor(survivor: &Survivor) -> pb::Survivor {
    pb::Survivor {
        content: survivor.content.id(),
        at: survivor.at.0,
        lasted_ms: millis(survivor.reach.lasted),
        events: survivor.reach.events,
    }
}

fn read_survivor(survivor: &pb::Survivor) -> Survivor {
    Survivor {
        content: content(survivor.content),
        at: CrashId(survivor.at),
        reach: read_reach(survivor.lasted_ms, survivor.events),
    }
}

fn read_reach(lasted_ms: u32, events: u64) -> Reach {
    Reach {
        lasted: Duration::from_millis(lasted_ms.into()),
        events,
    }
}

fn sound_suspects(sound: Vec<&SoundSuspect>) -> Vec<pb::SoundPart> {
    let sound = sound.into_iter().map(|s| pb::SoundPart {
        part: s.suspect.id(),
        age_ms: millis(s.age),
    });
    sound.collect()
}

fn read_sound(sound: &pb::SoundPart, suspect: impl Fn(u64) -> Suspect) -> SoundSuspect {
    SoundSuspect {
        suspect: suspect(sound.part),
        age: Duration::from_millis(sound.age_ms.into()),
    }
}

fn refused_suspects(refused: Vec<&RefusedSuspect>) -> Vec<pb::RefusedPart> {
    let refused = refused.into_iter().map(|r| pb::RefusedPart {
        part: r.suspect.id(),
        crashes: r.crashes,
        age_ms: millis(r.age),
    });
    refused.collect()
}

fn read_refused(refused: &pb::RefusedPart, suspect: impl Fn(u64) -> Suspect) -> RefusedSuspect {
    RefusedSuspect {
        suspect: suspect(refused.part),
        crashes: refused.crashes,
        age: Duration::from_millis(refused.age_ms.into()),
    }
}
