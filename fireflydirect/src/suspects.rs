//! Refuses requests that crash upstreams, and tells the other entries.

use crate::job::Job;
use crate::log_value::list;
use crate::node::Node;
use crate::serve::FINAL_RETRY_AFTER;
use fireflycroft::{
    Code, CrashId, CrashNews, CrashReport, CrashVerdict, OwnedKey, Reach, RefusedSuspect,
    SoundSuspect, Survivor, Suspect, UpstreamIx,
};
use rand::RngExt;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Mean number of entries that tell all others at once that a suspect is sound; in a large fleet many of them know it,
/// and the rest tell it in their regular announcements.
const URGENT_TELLERS: f64 = 8.0;

/// Unit of the ages that are told, which are rounded down.
const AGE_RESOLUTION: Duration = Duration::from_millis(1);

/// Judges the evidence, and logs what is refused from now on, or no more.
pub fn judge(node: &Node) {
    let judgement = node.crash_evidence.borrow_mut().judge(node.now());
    for refused in &judgement.refused {
        log_refused(refused, "own");
    }
    for suspect in judgement.exonerated {
        log_released(suspect, Duration::ZERO, "own");
    }
}

/// Returns the values of the log fields `part` and `content` for a suspect; one of them is empty.
fn fields(suspect: Suspect) -> (String, String) {
    match suspect {
        Suspect::Part(part) => (part.to_string(), String::new()),
        Suspect::Content(content) => (String::new(), content.to_string()),
    }
}

fn log_refused(refused: &RefusedSuspect, source: &str) {
    let (part, content) = fields(refused.suspect);
    log::warn!(
        event = "part_refused", part = part, content = content, crashes = refused.crashes,
        age_ms = refused.age.as_millis(), source = source;
        ""
    );
}

fn log_released(suspect: Suspect, age: Duration, source: &str) {
    let (part, content) = fields(suspect);
    log::info!(
        event = "part_released", part = part, content = content, age_ms = age.as_millis(),
        source = source;
        ""
    );
}

/// Returns why a request with these suspects may not be sent; `None` if it may.
#[must_use]
pub fn verdict(node: &Node, suspects: &[Suspect]) -> Option<CrashVerdict> {
    judge(node);
    let evidence = node.crash_evidence.borrow();
    evidence.verdict(node.now(), suspects)
}

/// Returns the verdict on a request before it is sent, or sent once more; none on one that tries a suspect again.
#[must_use]
pub fn verdict_on(job: &Job) -> Option<CrashVerdict> {
    if job.tries_suspect_again.get() {
        return None;
    }
    verdict(&job.node, &job.suspects)
}

/// Returns the verdict on a request whose answer may have gone on past its beginning: then it speaks for itself until it
/// is refused.
#[must_use]
pub fn verdict_on_answer(job: &Job, is_sound: bool) -> Option<CrashVerdict> {
    let verdict = verdict_on(job)?;
    let is_refused = matches!(verdict, CrashVerdict::Refused(_));
    (is_refused || !is_sound).then_some(verdict)
}

/// Returns the code of the answer to a request that is not sent because of a verdict.
#[must_use]
pub const fn code(verdict: &CrashVerdict) -> Code {
    match verdict.suspect() {
        Suspect::Part(_) => Code::PartRefused,
        Suspect::Content(_) => Code::Overloaded,
    }
}

/// Returns the retry delay of a request that is not sent because of a verdict.
#[must_use]
pub const fn retry_after(verdict: &CrashVerdict) -> Duration {
    match verdict {
        CrashVerdict::Refused(_) => FINAL_RETRY_AFTER,
        CrashVerdict::Doubted { wait, .. } | CrashVerdict::Suspended { wait, .. } => *wait,
    }
}

/// Logs that a request is not sent because of a verdict.
pub fn log_refusal(request_id: &str, verdict: &CrashVerdict) {
    let (crashes, age) = match verdict {
        CrashVerdict::Refused(refused) | CrashVerdict::Doubted { refused, .. } => {
            (refused.crashes, refused.age)
        }
        CrashVerdict::Suspended { .. } => (0, Duration::ZERO),
    };
    let (part, content) = fields(verdict.suspect());
    let event = if part.is_empty() {
        "refused_for_content"
    } else {
        "refused_for_part"
    };
    log::warn!(
        event = event, req = request_id, part = part, content = content, crashes = crashes,
        age_ms = age.as_millis(), retry_after_ms = retry_after(verdict).as_millis();
        ""
    );
}

/// Decides whether a request with a refused suspect may try it again: one at a time, at one entry.
#[must_use]
pub fn may_try_again(
    node: &Node,
    request_id: &str,
    suspects: &[Suspect],
    refused: &RefusedSuspect,
) -> bool {
    let now = node.now();
    let key = OwnedKey::of_suspect(refused.suspect);
    let owner = node.peers.borrow().owners(now, key).next();
    if owner != Some(node.place.ip) {
        return false;
    }
    let tries = node.crash_evidence.borrow_mut().take_probe(now, suspects);
    if tries {
        let (part, content) = fields(refused.suspect);
        log::info!(
            event = "part_tried_again", req = request_id, part = part, content = content,
            crashes = refused.crashes, age_ms = refused.age.as_millis();
            ""
        );
    }
    tries
}

/// Records that an answer is complete.
pub fn record_complete(job: &Job) {
    clear(&job.node, &job.suspects, "own");
}

/// Records that an answer went on past its beginning, which clears the parts of its prompt.
pub fn record_past_beginning(job: &Job) {
    let parts = job.suspects.iter().filter(|s| !s.is_content());
    let parts: Vec<Suspect> = parts.copied().collect();
    clear(&job.node, &parts, "own");
}

/// Records how far an answer in progress has got.
pub fn record_survivor(job: &Job, at: UpstreamIx, reach: Reach) {
    let node = &job.node;
    let survivor = Survivor {
        content: Suspect::of_content(job.content),
        at: CrashId::of(&node.pool.borrow().record(at).upstream_incarnation()),
        reach,
    };
    apply_survivor(node, survivor, "own");
    tell_news(node);
}

fn apply_survivor(node: &Node, survivor: Survivor, source: &str) {
    let mut evidence = node.crash_evidence.borrow_mut();
    if !evidence.record_survivor(node.now(), survivor) {
        return;
    }
    log::info!(
        event = "content_survived", content = survivor.content.to_string(),
        at = format!("{:016x}", survivor.at.0), events = survivor.reach.events,
        lasted_ms = survivor.reach.lasted.as_millis(), source = source;
        ""
    );
}

/// Releases a part or content by its id on an operator's word; returns whether it was refused.
pub fn release(node: &Node, id: u64) -> bool {
    let refused = node.crash_evidence.borrow().refused(node.now());
    let named = refused.iter().map(|r| r.suspect).filter(|s| s.id() == id);
    let named: Vec<Suspect> = named.collect();
    if !named.is_empty() {
        clear(node, &named, "operator");
        node.announce_to_all_now();
    }
    !named.is_empty()
}

fn clear(node: &Node, suspects: &[Suspect], source: &str) {
    let mut evidence = node.crash_evidence.borrow_mut();
    let refused = evidence.refused(node.now());
    let cleared = evidence.record_sound(node.now(), suspects, Duration::ZERO);
    drop(evidence);
    for sound in cleared {
        log_sound(sound, &refused, source);
    }
    tell_news(node);
}

/// Applies a sound answer that another entry told.
fn apply_sound(node: &Node, told: SoundSuspect, on_way: Duration) {
    let mut evidence = node.crash_evidence.borrow_mut();
    let refused = evidence.refused(node.now());
    let cleared = evidence.record_told_sound(node.now(), told, on_way);
    drop(evidence);
    if let Some(sound) = cleared {
        log_sound(sound, &refused, "peer");
    }
}

/// Logs that a suspect is released, or cleared of crashes for which it wasn't refused yet.
fn log_sound(sound: SoundSuspect, refused: &[RefusedSuspect], source: &str) {
    if refused.iter().any(|r| r.suspect == sound.suspect) {
        log_released(sound.suspect, sound.age, source);
    } else {
        log_cleared(sound.suspect, sound.age, source);
    }
}

fn log_cleared(suspect: Suspect, age: Duration, source: &str) {
    let (part, content) = fields(suspect);
    log::info!(
        event = "part_cleared", part = part, content = content, age_ms = age.as_millis(),
        source = source;
        ""
    );
}

/// Applies evidence that another entry told, and that was on its way for `on_way` at most; its ages leave that out.
pub fn apply(node: &Node, from: Ipv4Addr, told: &CrashNews, on_way: Duration) {
    for sound in &told.sound {
        apply_sound(node, *sound, on_way + AGE_RESOLUTION);
    }
    for report in &told.crashes {
        apply_crash(node, from, report);
    }
    adopt(node, &told.refused, "peer");
    for survivor in &told.survivors {
        apply_survivor(node, *survivor, "peer");
    }
    judge(node);
    tell_news(node);
}

/// Refuses suspects that another entry told, or that the store keeps.
pub fn adopt(node: &Node, refused: &[RefusedSuspect], source: &str) {
    for refused in refused {
        let is_news = node.crash_evidence.borrow_mut().adopt(node.now(), *refused);
        if is_news {
            log_refused(refused, source);
        }
    }
}

fn apply_crash(node: &Node, from: Ipv4Addr, report: &CrashReport) {
    let mut evidence = node.crash_evidence.borrow_mut();
    if !evidence.record_told_crash(node.now(), report.clone()) {
        return;
    }
    let (contents, parts): (Vec<&Suspect>, Vec<&Suspect>) =
        report.suspects.iter().partition(|s| s.is_content());
    let crashes = contents.iter().map(|s| evidence.crashes_under(**s)).max();
    let event = if parts.is_empty() {
        "crash_told"
    } else {
        "part_crash_told"
    };
    log::info!(
        event = event, ended = format!("{:016x}", report.ended.0), parts = list(&parts),
        content = list(&contents), crashes = crashes.unwrap_or(0), begun = report.begun,
        events = report.reach.events, lasted_ms = report.reach.lasted.as_millis(),
        age_ms = report.age.as_millis(), from = from.to_string();
        ""
    );
}

/// Tells all entries at once that a suspect is sound, unless others do.
fn tell_news(node: &Node) {
    let has_news = node.crash_evidence.borrow_mut().take_news();
    let entries = u32::try_from(node.entries()).unwrap_or(u32::MAX);
    if has_news && rand::rng().random::<f64>() * f64::from(entries) < URGENT_TELLERS {
        node.announce_to_all_now();
    }
}
