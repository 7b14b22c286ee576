//! Conversion of evidence about parts of prompts to generated types and back.

use crate::error::WireError;
use crate::field::{check_count, millis, read_all};
use crate::generated as pb;
use crate::limits::MAX_RECORDS;
use fireflycroft::{
    CrashId, CrashReport, MAX_SHARED_PARTS, PartEvidence, PartId, RefusedPart, SoundPart,
};
use std::time::Duration;

pub(crate) fn part_evidence(evidence: &PartEvidence) -> pb::PartEvidence {
    pb::PartEvidence {
        crashes: evidence.crashes.iter().map(part_crash).collect(),
        sound: evidence.sound.iter().map(sound_part).collect(),
        refused: evidence.refused.iter().map(refused_part).collect(),
    }
}

/// Reads evidence; rejects more of it than any process tells.
pub(crate) fn read_part_evidence(evidence: &pb::PartEvidence) -> Result<PartEvidence, WireError> {
    check_count(evidence.crashes.len(), MAX_RECORDS, "part_evidence.crashes")?;
    check_count(evidence.sound.len(), MAX_RECORDS, "part_evidence.sound")?;
    check_count(evidence.refused.len(), MAX_RECORDS, "part_evidence.refused")?;
    Ok(PartEvidence {
        crashes: read_all(&evidence.crashes, read_part_crash)?,
        sound: evidence.sound.iter().map(read_sound_part).collect(),
        refused: evidence.refused.iter().map(read_refused_part).collect(),
    })
}

/// Reads the shared parts of a prompt; rejects more than any process considers.
pub(crate) fn read_parts(parts: &[u64], field: &'static str) -> Result<Vec<PartId>, WireError> {
    check_count(parts.len(), MAX_SHARED_PARTS, field)?;
    Ok(parts.iter().copied().map(PartId).collect())
}

fn part_crash(report: &CrashReport) -> pb::PartCrash {
    pb::PartCrash {
        ended: report.ended.0,
        parts: report.parts.iter().map(|p| p.0).collect(),
        begun: report.begun,
        age_ms: millis(report.age),
    }
}

fn read_part_crash(crash: &pb::PartCrash) -> Result<CrashReport, WireError> {
    Ok(CrashReport {
        ended: CrashId(crash.ended),
        parts: read_parts(&crash.parts, "part_crash.parts")?,
        begun: crash.begun,
        age: Duration::from_millis(crash.age_ms.into()),
    })
}

fn sound_part(sound: &SoundPart) -> pb::SoundPart {
    pb::SoundPart {
        part: sound.part.0,
        age_ms: millis(sound.age),
    }
}

fn read_sound_part(sound: &pb::SoundPart) -> SoundPart {
    SoundPart {
        part: PartId(sound.part),
        age: Duration::from_millis(sound.age_ms.into()),
    }
}

fn refused_part(refused: &RefusedPart) -> pb::RefusedPart {
    pb::RefusedPart {
        part: refused.part.0,
        crashes: refused.crashes,
        age_ms: millis(refused.age),
    }
}

fn read_refused_part(refused: &pb::RefusedPart) -> RefusedPart {
    RefusedPart {
        part: PartId(refused.part),
        crashes: refused.crashes,
        age: Duration::from_millis(refused.age_ms.into()),
    }
}
