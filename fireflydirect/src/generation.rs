//! Relays a stream of events to the caller, with failover between upstreams.
//!
//! When an upstream fails, its connection is dropped, and the stream waits until its
//! run is known to have ended, so that two runs of one generation never overlap. It
//! then resumes from a copy of the run's memory or, where the route allows it, from a
//! new run after the last event that the caller has, in both cases at the software
//! version that began it.

use crate::answer::{Answer, AnswerBody, BrokenStream, relayed_answer};
use crate::assignment::AssignmentGuard;
use crate::call::{StartedStream, assign_backup};
use crate::continuation::{self, Continuation, Copies, Halt, Resumption};
use crate::crash::{self, Progress};
use crate::event_times::EventTimes;
use crate::exchange::{SendOptions, release_link};
use crate::job::Job;
use crate::log_value::or_empty;
use crate::metrics::kind_label;
use crate::retries;
use crate::run_end::{self, BrokenRun};
use crate::runs::Run;
use crate::standby_copies;
use crate::stop_orders::RunKey;
use crate::stopping::record_run_time;
use crate::stream_origins::{OriginGuard, record_start};
use crate::stream_pace::{StreamPace, tokens_per_event};
use crate::stream_source::{Read, Source, fault_of_end, is_whole_after_all, wait_for_copy};
use crate::suspects;
use bytes::Bytes;
use fireflycroft::{BodyEnd, BodyFraming, Code, EventRelay, Need, Time, UpstreamIx, VersionKey};
use futures_util::stream::unfold;
use http_body_util::StreamBody;
use hyper::body::Frame;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Failovers allowed per stream.
const MAX_RESUMPTIONS: u32 = 6;

/// Upstreams tried for one failover.
const MAX_CONTINUATIONS: usize = 6;

/// Tokens between two estimates of an answer's length.
const ESTIMATE_INTERVAL_TOKENS: u64 = 64;

/// Interval at which the progress of an answer is held against crashes under its content.
const SURVIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reason in logs for a stream that is cut at its deadline.
const DEADLINE_EXCEEDED: &str = "deadline exceeded";

/// State of a stream being relayed.
struct Relay {
    job: Rc<Job>,
    run: Rc<Run>,
    assignment: AssignmentGuard,
    /// Software version that began the stream; the stream can't go on if it is unknown.
    version: Option<VersionKey>,
    /// Origin of a resumable stream, while it lasts.
    _origin: Option<OriginGuard>,
    backup: Option<AssignmentGuard>,
    source: Option<Source>,
    events: EventRelay,
    framing: BodyFraming,
    /// What the end of the body meant when it came.
    body_end: BodyEnd,
    breaks: u32,
    ended: bool,
    /// Time at which its first run was sent.
    sent_at: Time,
    /// Progress at the current upstream.
    progress: Progress,
    /// Events relayed when it was recorded last.
    relayed_before: u64,
    /// Time at which it was last held against crashes.
    survival_checked: Time,
    /// Whether it has gone on past its beginning.
    is_sound: bool,
    event_times: EventTimes,
    pace: StreamPace,
    estimated_at: u64,
}

/// What becomes of a stream that broke off.
enum AfterBreak {
    /// It goes on elsewhere.
    GoesOn,
    /// It is whole, since its run ended by itself.
    Whole,
    /// It can't go on.
    Lost,
}

/// Returns an answer whose body is relayed from a started stream.
#[must_use]
pub fn relay(job: Rc<Job>, stream: StartedStream) -> Answer {
    let StartedStream {
        response,
        assignment,
        backup,
        version,
    } = stream;
    let framing = response.head.framing;
    let sent_at = job.sent_at.get();
    let (parts, source) = Source::of(response);
    let mut events = EventRelay::default();
    if let Some(last) = job.head.last_event_id {
        events.resume_after(last);
    }
    let backup_holder = backup.as_ref().map(|b| b.ix);
    let run = Run::new(&job, assignment.ix, backup_holder, version);
    let run = job.node.runs.register(run);
    // A leave notice may have arrived between the choice of the upstream and its response head.
    job.node.migrate_if_departing(assignment.ix);
    let progress = Progress::begun(job.now());
    let origin = version.and_then(|_| record_start(&job, assignment.ix));
    let relay = Relay {
        job,
        run,
        assignment,
        version,
        _origin: origin,
        backup,
        source: Some(source),
        events,
        framing,
        body_end: BodyEnd::BrokenOff,
        breaks: 0,
        ended: false,
        sent_at,
        progress,
        relayed_before: 0,
        survival_checked: sent_at,
        is_sound: false,
        event_times: EventTimes::default(),
        pace: StreamPace::default(),
        estimated_at: 0,
    };
    let body: AnswerBody = Box::pin(StreamBody::new(Box::pin(unfold(relay, Relay::next))));
    relayed_answer(&parts, body)
}

impl Drop for Relay {
    fn drop(&mut self) {
        standby_copies::release_unused(&self.job.node, &self.run);
    }
}

impl Relay {
    async fn next(mut self) -> Option<(Result<Frame<Bytes>, BrokenStream>, Self)> {
        if self.ended {
            return None;
        }
        loop {
            match self.read().await {
                Read::Data(bytes) => match self.events.push(&bytes) {
                    Ok(out) if out.is_empty() => {}
                    Ok(out) => {
                        self.record_progress();
                        return Some((Ok(Frame::data(Bytes::from(out))), self));
                    }
                    Err(fault) => return Some(self.cut(&format!("{fault:?}"))),
                },
                Read::End => {
                    self.finish();
                    return None;
                }
                Read::Broke(why) => {
                    let after = timeout_at(self.deadline(), self.handle_break(&why)).await;
                    match after.unwrap_or(AfterBreak::Lost) {
                        _ if self.job.time_left().is_zero() => {
                            return Some(self.cut(DEADLINE_EXCEEDED));
                        }
                        AfterBreak::GoesOn => {}
                        AfterBreak::Whole => {
                            self.finish();
                            return None;
                        }
                        AfterBreak::Lost => return Some(self.cut(&why)),
                    }
                }
                Read::TimeUp => return Some(self.cut(DEADLINE_EXCEEDED)),
            }
        }
    }

    fn deadline(&self) -> Instant {
        self.job.node.clock.instant(self.job.deadline)
    }

    async fn read(&mut self) -> Read {
        let deadline = self.deadline();
        let Some(source) = &mut self.source else {
            return Read::Broke("no upstream".to_owned());
        };
        let node = &self.job.node;
        let read = source.read(node, self.assignment.ix, deadline).await;
        if !matches!(read, Read::End) {
            return read;
        }
        let fault = fault_of_end(node, &self.run, self.framing, &self.events, deadline).await;
        let Some(fault) = fault else {
            return read;
        };
        self.body_end = fault.end;
        Read::Broke(fault.why.to_owned())
    }

    /// Waits while the caller does for the outcome of an order that is out where the stream broke; returns whether it
    /// shows that the stream ended by itself.
    async fn is_whole_after_all(&mut self, broke: &RunKey) -> bool {
        let deadline = self.deadline();
        let until = deadline.min(self.job.node.clock.instant(self.patience_end()));
        let is_whole = is_whole_after_all(&self.run, broke, self.framing, until).await;
        self.body_end == BodyEnd::Undecided && is_whole
    }

    /// Returns the time at which the caller gives up if no event comes.
    fn patience_end(&self) -> Time {
        let last = self.event_times.last.max(self.job.arrival);
        last + self.job.route.abandoned_pause()
    }

    fn record_progress(&mut self) {
        let now = self.job.now();
        let relayed = self.events.relayed();
        self.progress
            .record_read(now, relayed - self.relayed_before);
        self.relayed_before = relayed;
        if !self.is_sound && self.progress.is_past_beginning() {
            self.is_sound = true;
            suspects::record_past_beginning(&self.job);
        }
        if now.since(self.survival_checked) >= SURVIVAL_CHECK_INTERVAL {
            self.survival_checked = now;
            suspects::record_survivor(&self.job, self.assignment.ix, self.progress.reach());
        }
        self.event_times.record(now);
        self.run.heard_at.set(now);
        self.assignment.record_prompt_read();
        let per_event = tokens_per_event(&self.job);
        let produced = self.events.relayed() * u64::from(per_event);
        self.run.produced.set(produced);
        if produced >= self.estimated_at + ESTIMATE_INTERVAL_TOKENS {
            self.estimated_at = produced;
            let need = self.remaining_need(true);
            self.run.need.set(need);
            self.assignment.grow_to(need.tokens);
        }
        self.pace.record(&self.job, &mut self.assignment, produced);
    }

    fn finish(&mut self) {
        self.ended = true;
        if self.progress.has_data() {
            self.record_soundness();
        }
        if let Some(source) = self.source.take() {
            release_link(&self.job, self.assignment.ix, &source.head, source.link);
        }
        self.job
            .node
            .pool
            .borrow_mut()
            .record_outcome(self.assignment.ix, false);
        self.job.record_length(self.run.produced.get());
        record_run_time(&self.job, self.sent_at);
        self.record_end("whole");
        self.log_event("stream_ended", self.framing.end_mark());
    }

    /// Records what a complete answer shows; one that was made in parts shows no more than its last run.
    fn record_soundness(&self) {
        if self.job.is_in_parts.get() || self.job.head.last_event_id.is_some() {
            suspects::record_past_beginning(&self.job);
            suspects::record_survivor(&self.job, self.assignment.ix, self.progress.reach());
        } else {
            suspects::record_complete(&self.job);
        }
    }

    fn record_end(&self, end: &str) {
        let metrics = &self.job.node.metrics;
        metrics.streams.with_label_values(&[end]).inc();
        let kind = kind_label(self.job.route.kind);
        let pauses = metrics.pause_seconds.with_label_values(&[kind]);
        pauses.observe(self.event_times.longest.as_secs_f64());
    }

    fn cut(mut self, why: &str) -> (Result<Frame<Bytes>, BrokenStream>, Self) {
        self.ended = true;
        self.source = None;
        self.record_end("cut");
        self.log_event("stream_cut", why);
        (Err(BrokenStream(Code::UpstreamFailed)), self)
    }

    fn log_event(&self, event: &str, why: &str) {
        let job = &self.job;
        let level = if event == "stream_cut" {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        let pool = job.node.pool.borrow();
        let upstream = pool.record(self.assignment.ix);
        let incarnation = upstream.upstream_incarnation();
        let last_order = self.run.stop_orders.last_sent(&incarnation);
        log::log!(
            level, event = event, req = &*job.request_id, route = &*job.route.name,
            instance = &*upstream.instance,
            software_version = or_empty(upstream.software_version.as_ref()),
            events = self.events.relayed(), breaks = self.breaks, why = why,
            framing = self.framing.name(),
            stop_order = self.run.stop_orders.at(&incarnation).name(),
            stop_order_age_ms = or_empty(last_order.map(|t| job.now().since(t).as_millis())),
            first_ms = or_empty(self.event_times.first.map(|t| t.since(job.arrival).as_millis())),
            longest_pause_ms = self.event_times.longest.as_millis(),
            longest_pause_at_ms = self.event_times.longest_since.since(job.arrival).as_millis(),
            prompt = or_empty(job.head.size.as_ref().map(|s| s.prompt_tokens)),
            most = or_empty(job.head.size.as_ref().map(|s| s.max_tokens)),
            hint = or_empty(job.head.size.as_ref().and_then(|s| s.length_hint)),
            age_ms = job.age().as_millis();
            ""
        );
    }

    /// Goes on elsewhere; where it can't, waits for the outcome of an order that is out. May be dropped at the deadline.
    async fn handle_break(&mut self, why: &str) -> AfterBreak {
        let broke = self.run.stop_orders.run_at(&self.assignment.incarnation());
        let Err(halt) = self.resume_elsewhere(why).await else {
            return AfterBreak::GoesOn;
        };
        if self.body_end != BodyEnd::Undecided && halt == Halt::Barred {
            return AfterBreak::Lost;
        }
        if self.is_whole_after_all(&broke).await {
            return AfterBreak::Whole;
        }
        // The order may have left a copy.
        let has_copy = self.run.migration_copy.borrow().is_some();
        if halt == Halt::NothingLeft && has_copy && self.try_continuations().await.is_ok() {
            return AfterBreak::GoesOn;
        }
        AfterBreak::Lost
    }

    /// Returns whether the stream may go on at all.
    fn can_resume(&self) -> bool {
        let is_known = self.events.can_resume() && self.version.is_some();
        is_known && self.breaks <= MAX_RESUMPTIONS
    }

    /// Resumes the stream on another upstream, if that is possible.
    async fn resume_elsewhere(&mut self, why: &str) -> Result<(), Halt> {
        self.source = None;
        self.pace = StreamPace::default();
        self.events.discard_partial();
        self.breaks += 1;
        self.log_event("stream_broke", why);
        let at = self.assignment.ix;
        let contact = crash::check_for_crash(&self.job, at, self.progress).await;
        let has_crashed_too_many = crash::has_crashed_too_many(&self.job) && !self.is_sound;
        if self.is_refused() || has_crashed_too_many || !self.can_resume() {
            return Err(Halt::Barred);
        }
        wait_for_copy(&self.run).await;
        let silent_for = self.job.now().since(self.event_times.last);
        standby_copies::check_source(&self.job.node, &self.run, silent_for).await;
        let sent_by = self.job.sent_at.get();
        let broken = BrokenRun {
            at,
            contact,
            sent_by,
            progress: self.progress,
        };
        if !self.is_over(broken).await {
            return Err(Halt::Barred);
        }
        self.try_continuations().await
    }

    /// Waits until a run is over, as long as the caller does; false if it may go on.
    async fn is_over(&self, broken: BrokenRun) -> bool {
        run_end::until_over(&self.job, &self.run, broken, self.patience_end()).await
    }

    /// Resumes the stream at one upstream after another, as far as it may be sent on.
    async fn try_continuations(&mut self) -> Result<(), Halt> {
        let mut tried = vec![self.assignment.ix];
        while let Some(next) = self.next_continuation(&tried) {
            let at = next.at;
            // Nothing is sent, and no retry taken, for an answer that would come too late.
            if self.is_refused() || self.job.time_left().is_zero() {
                return Err(Halt::Barred);
            }
            if !retries::take(&self.job).await {
                self.log_event("budget_spent", "");
                return Err(Halt::Barred);
            }
            match self.resume_at(next).await {
                Resumption::GoesOn => return Ok(()),
                Resumption::NotRun => {}
                Resumption::MayRun(contact) => {
                    let broken = BrokenRun {
                        at,
                        contact,
                        sent_by: self.job.now(),
                        progress: Progress::default(),
                    };
                    if !self.is_over(broken).await {
                        return Err(Halt::Barred);
                    }
                }
            }
            tried.push(at);
            if tried.len() > MAX_CONTINUATIONS {
                return Err(Halt::Barred);
            }
        }
        Err(Halt::NothingLeft)
    }

    /// Returns whether the stream may not go on because its request may crash upstreams.
    fn is_refused(&self) -> bool {
        let verdict = suspects::verdict_on_answer(&self.job, self.is_sound);
        if let Some(verdict) = &verdict {
            suspects::log_refusal(&self.job.request_id, verdict);
        }
        verdict.is_some()
    }

    /// Returns the next possible continuation.
    fn next_continuation(&mut self, tried: &[UpstreamIx]) -> Option<Continuation> {
        let need = self.remaining_need(false);
        let mut copies = Copies {
            job: &self.job,
            run: &self.run,
            backup: &mut self.backup,
            version: self.version?,
        };
        let copy = copies.take_next();
        copy.or_else(|| continuation::anew(&self.job, &need, tried))
    }

    async fn resume_at(&mut self, next: Continuation) -> Resumption {
        let need = self.remaining_need(next.memory.is_some());
        let assignment = next
            .assignment
            .unwrap_or_else(|| self.job.node.assign(next.at, need));
        let backup = assign_backup(&self.job, next.at, need);
        let backup_holder = backup
            .as_ref()
            .map(|b| self.job.node.pool.borrow().record(b.ix).addr);
        let options = SendOptions {
            backup: backup_holder,
            memory: next.memory,
            last_event_id: self.events.last_id(),
            is_sound: self.is_sound,
        };
        let response = match continuation::send_on(&self.job, next.at, &options).await {
            Ok(response) => response,
            Err(failed) => return failed,
        };
        self.assignment = assignment;
        if self.events.relayed() > 0 {
            self.job.is_in_parts.set(true);
        }
        self.run.go_on_at(next.at);
        self.framing = response.head.framing;
        self.body_end = BodyEnd::BrokenOff;
        self.job.node.migrate_if_departing(next.at);
        self.run.backup.set(backup.as_ref().map(|b| b.ix));
        self.backup = backup;
        self.progress = self.progress.resumed(self.job.now());
        self.source = Some(Source::of(response).1);
        let resumptions = &self.job.node.metrics.resumed;
        resumptions.with_label_values(&[next.method]).inc();
        self.log_event("stream_goes_on", next.method);
        Resumption::GoesOn
    }

    /// Returns the need of the remaining stream; with a copy of the memory no prompt is unread.
    fn remaining_need(&self, has_memory: bool) -> Need {
        let need = self.job.need_beyond(self.run.produced.get());
        Need {
            unread: if has_memory { 0 } else { need.unread },
            version: self.version,
            ..need
        }
    }
}
