//! Refuses requests whose prompts share a part that crashes upstreams, and tells the other entries.

use crate::job::Job;
use crate::log_value::list;
use crate::node::Node;
use crate::serve::FINAL_RETRY_AFTER;
use fireflycroft::{
    CrashReport, OwnedKey, PartEvidence, PartId, PartVerdict, RefusedPart, SoundPart,
};
use rand::RngExt;
use std::time::Duration;

/// Mean number of entries that tell all others at once that a suspected part is sound; in a large fleet many of them
/// know it, and the rest tell it in their regular announcements.
const URGENT_TELLERS: f64 = 8.0;

/// Judges the evidence, and logs the parts that are refused from now on.
pub fn judge(node: &Node) {
    let refused = node.crash_evidence.borrow_mut().judge(node.now());
    for part in refused {
        log_refused(&part, "own");
    }
}

fn log_refused(refused: &RefusedPart, source: &str) {
    log::warn!(
        event = "part_refused", part = refused.part.to_string(), crashes = refused.crashes,
        age_ms = refused.age.as_millis(), source = source;
        ""
    );
}

/// Returns why a request with these shared parts may not be sent; `None` if it may.
#[must_use]
pub fn verdict(node: &Node, parts: &[PartId]) -> Option<PartVerdict> {
    if parts.is_empty() {
        return None;
    }
    judge(node);
    let evidence = node.crash_evidence.borrow();
    evidence.verdict(node.now(), parts)
}

/// Returns the verdict on a request before it is sent, or sent once more; none on one that tries its part again.
#[must_use]
pub fn verdict_on(job: &Job) -> Option<PartVerdict> {
    if job.tries_part_again.get() {
        return None;
    }
    verdict(&job.node, &job.head.shared_parts)
}

/// Returns the retry delay of a request that is refused because of a part of its prompt.
#[must_use]
pub const fn retry_after(verdict: &PartVerdict) -> Duration {
    match verdict {
        PartVerdict::Refused(_) => FINAL_RETRY_AFTER,
        PartVerdict::Suspended { wait, .. } => *wait,
    }
}

/// Logs that a request is not sent because of a part of its prompt.
pub fn log_refusal(request_id: &str, verdict: &PartVerdict) {
    let (crashes, age) = match verdict {
        PartVerdict::Refused(refused) => (refused.crashes, refused.age),
        PartVerdict::Suspended { .. } => (0, Duration::ZERO),
    };
    log::warn!(
        event = "refused_for_part", req = request_id, part = verdict.part().to_string(),
        crashes = crashes, age_ms = age.as_millis(),
        retry_after_ms = retry_after(verdict).as_millis();
        ""
    );
}

/// Decides whether a request with a refused part may try it again: one at a time, at one entry.
#[must_use]
pub fn may_try_again(
    node: &Node,
    request_id: &str,
    parts: &[PartId],
    refused: &RefusedPart,
) -> bool {
    let now = node.now();
    let key = OwnedKey::of_part(refused.part);
    let owner = node.peers.borrow().owners(now, key).next();
    if owner != Some(node.place.ip) {
        return false;
    }
    let tries = node.crash_evidence.borrow_mut().take_probe(now, parts);
    if tries {
        log::info!(
            event = "part_tried_again", req = request_id, part = refused.part.to_string(),
            crashes = refused.crashes, age_ms = refused.age.as_millis();
            ""
        );
    }
    tries
}

/// Records that an answer went on past its beginning, or is complete.
pub fn record_sound(job: &Job) {
    clear(&job.node, &job.head.shared_parts, Duration::ZERO, "own");
}

/// Releases a part on an operator's word; returns whether it was refused.
pub fn release(node: &Node, part: PartId) -> bool {
    let refused = node.crash_evidence.borrow().refused(node.now());
    let is_refused = refused.iter().any(|r| r.part == part);
    if is_refused {
        clear(node, &[part], Duration::ZERO, "operator");
        node.announce_to_all_now();
    }
    is_refused
}

fn clear(node: &Node, parts: &[PartId], age: Duration, source: &str) {
    if parts.is_empty() {
        return;
    }
    let mut evidence = node.crash_evidence.borrow_mut();
    let was_refused: Vec<PartId> = evidence
        .refused(node.now())
        .iter()
        .map(|r| r.part)
        .collect();
    let cleared = evidence.record_sound(node.now(), parts, age);
    drop(evidence);
    for sound in cleared {
        let event = match (was_refused.contains(&sound.part), source) {
            (true, _) => "part_released",
            // Its own line stands at the entry that told it.
            (false, "peer") => continue,
            (false, _) => "part_cleared",
        };
        log::info!(
            event = event, part = sound.part.to_string(), age_ms = sound.age.as_millis(),
            source = source;
            ""
        );
    }
    tell_news(node);
}

/// Applies the evidence in another entry's announcement.
pub fn apply(node: &Node, told: &PartEvidence) {
    for SoundPart { part, age } in &told.sound {
        clear(node, &[*part], *age, "peer");
    }
    for report in &told.crashes {
        apply_crash(node, report);
    }
    for refused in &told.refused {
        let is_news = node.crash_evidence.borrow_mut().adopt(node.now(), *refused);
        if is_news {
            log_refused(refused, "peer");
        }
    }
    judge(node);
    tell_news(node);
}

fn apply_crash(node: &Node, report: &CrashReport) {
    let is_news = node
        .crash_evidence
        .borrow_mut()
        .record_told_crash(node.now(), report.clone());
    if is_news {
        log::info!(
            event = "part_crash_told", ended = format!("{:016x}", report.ended.0),
            parts = list(&report.parts), begun = report.begun,
            age_ms = report.age.as_millis();
            ""
        );
    }
}

/// Tells all entries at once that a suspected part is sound, unless others do.
fn tell_news(node: &Node) {
    let has_news = node.crash_evidence.borrow_mut().take_news();
    let entries = u32::try_from(node.entries()).unwrap_or(u32::MAX);
    if has_news && rand::rng().random::<f64>() * f64::from(entries) < URGENT_TELLERS {
        node.announce_to_all_now();
    }
}
