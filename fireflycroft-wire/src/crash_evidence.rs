//! Conversion of evidence about parts of prompts to generated types and back.

use crate::error::WireError;
use crate::field::{check_count, millis};
use crate::generated as pb;
use fireflycroft::{CrashId, CrashReport, MAX_SHARED_PARTS, PartId, RefusedPart, SoundPart};
use std::time::Duration;

pub(crate) fn part_crash(report: &CrashReport) -> pb::PartCrash {
    pb::PartCrash {
        ended: report.ended.0,
        parts: report.parts.iter().map(|p| p.0).collect(),
        begun: report.begun,
        age_ms: millis(report.age),
    }
}

/// Reads a crash; rejects more parts than any process considers.
pub(crate) fn read_part_crash(crash: &pb::PartCrash) -> Result<CrashReport, WireError> {
    check_count(crash.parts.len(), MAX_SHARED_PARTS, "part_crashes.parts")?;
    Ok(CrashReport {
        ended: CrashId(crash.ended),
        parts: crash.parts.iter().copied().map(PartId).collect(),
        begun: crash.begun,
        age: Duration::from_millis(crash.age_ms.into()),
    })
}

pub(crate) fn sound_part(sound: &SoundPart) -> pb::SoundPart {
    pb::SoundPart {
        part: sound.part.0,
        age_ms: millis(sound.age),
    }
}

pub(crate) fn read_sound_part(sound: &pb::SoundPart) -> SoundPart {
    SoundPart {
        part: PartId(sound.part),
        age: Duration::from_millis(sound.age_ms.into()),
    }
}

pub(crate) fn refused_part(refused: &RefusedPart) -> pb::RefusedPart {
    pb::RefusedPart {
        part: refused.part.0,
        crashes: refused.crashes,
        age_ms: millis(refused.age),
    }
}

pub(crate) fn read_refused_part(refused: &pb::RefusedPart) -> RefusedPart {
    RefusedPart {
        part: PartId(refused.part),
        crashes: refused.crashes,
        age: Duration::from_millis(refused.age_ms.into()),
    }
}
