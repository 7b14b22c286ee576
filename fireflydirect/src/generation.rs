//! Relaying a stream of events, over as many upstreams as it takes.
//!
//! When an upstream breaks off, its connection is dropped first, so that two
//! runs of one generation never overlap; then the stream goes on from a copy of
//! the run's memory, or, where the route allows it, is run anew after the last
//! event that the caller has.

use crate::answer::{Answer, AnswerBody, BrokenStream, relayed};
use crate::call::{Begun, place_backup};
use crate::crash;
use crate::exchange::{Extras, Opened, give_back, send};
use crate::figure::or_empty;
use crate::job::Job;
use crate::metrics::kind_word;
use crate::placed::PlacedGuard;
use crate::repeats;
use crate::runs::Run;
use bytes::Bytes;
use fireflycroft::{Code, EventRelay, MemoryCopy, Need, ResponseHead, Time, UpstreamIx};
use futures_util::stream::unfold;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Times that one stream goes on elsewhere.
const MAX_BREAKS: u32 = 6;

/// Longest wait for a copy that is under way when the stream breaks; a copy of the longest
/// prompts takes about half a second on an idle link.
const COPY_WAIT: Duration = Duration::from_millis(1_500);

/// Tokens after which the length of an answer is expected anew.
const EXPECT_EVERY: u64 = 64;

/// Tokens over which an upstream's pace is measured: about half a second.
const PACE_TOKENS: u64 = 64;

/// Longest wait for the head of an answer that goes on from memory.
const GO_ON_WAIT: Duration = Duration::from_millis(1_500);

/// An answer of an upstream that is being read.
struct Source {
    body: Incoming,
    link: crate::links::Link,
    head: ResponseHead,
}

/// A stream on its way to the caller.
struct Relay {
    job: Rc<Job>,
    run: Rc<Run>,
    placed: PlacedGuard,
    backup: Option<PlacedGuard>,
    source: Option<Source>,
    events: EventRelay,
    breaks: u32,
    ended: bool,
    pauses: Pauses,
    paced: Option<Paced>,
    expected_at: u64,
}

/// Start of a stretch of a stream over which its upstream's pace is measured.
#[derive(Clone, Copy)]
struct Paced {
    since: Time,
    produced: u64,
}

/// When events came, for the log.
#[derive(Clone, Copy, Default)]
struct Pauses {
    first: Option<Time>,
    last: Time,
    longest: Duration,
}

impl Pauses {
    fn note(&mut self, now: Time) {
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.longest = self.longest.max(now.since(self.last));
        }
        self.last = now;
    }
}

/// What was read from an upstream.
enum Read {
    Data(Bytes),
    End,
    Broke(String),
    TimeUp,
}

/// Another upstream where a stream may go on, and from what.
struct Continuation {
    way: &'static str,
    at: UpstreamIx,
    memory: Option<MemoryCopy>,
    placed: Option<PlacedGuard>,
}

/// Answer whose body is relayed from the upstream that has begun it.
#[must_use]
pub fn relay(job: Rc<Job>, begun: Begun) -> Answer {
    let Begun {
        opened,
        placed,
        backup,
    } = begun;
    let Opened {
        parts,
        head,
        body,
        link,
    } = opened;
    let mut events = EventRelay::default();
    if let Some(last) = job.ask.last_event_id {
        events.resume_after(last);
    }
    let run = job.node.runs.enter(Run {
        request_id: job.request_id.clone(),
        service: job.service.clone(),
        at: Cell::new(placed.ix),
        backup: Cell::new(backup.as_ref().map(|b| b.ix)),
        refuge: RefCell::new(None),
        moving: Cell::new(false),
        moved: Notify::new(),
        produced: Cell::new(0),
        need: Cell::new(Need {
            unread: 0,
            ..job.need()
        }),
        can_move: job.engine.is_some_and(|e| e.can_migrate),
        token_copy_time: job.engine.map_or(Duration::ZERO, |e| e.token_copy_time),
    });
    // Notice may have come between the choice of the upstream and the head of its answer.
    job.node.save_if_leaving(placed.ix);
    let relay = Relay {
        job,
        run,
        placed,
        backup,
        source: Some(Source { body, link, head }),
        events,
        breaks: 0,
        ended: false,
        pauses: Pauses::default(),
        paced: None,
        expected_at: 0,
    };
    let body: AnswerBody = Box::pin(StreamBody::new(Box::pin(unfold(relay, Relay::next))));
    relayed(&parts, body)
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
                        self.note_progress();
                        return Some((Ok(Frame::data(Bytes::from(out))), self));
                    }
                    Err(fault) => return Some(self.break_off(&format!("{fault:?}"))),
                },
                Read::End => {
                    self.finish();
                    return None;
                }
                Read::Broke(why) => {
                    if !self.go_on_elsewhere(&why).await {
                        return Some(self.break_off(&why));
                    }
                }
                Read::TimeUp => return Some(self.break_off("the time is up")),
            }
        }
    }

    async fn read(&mut self) -> Read {
        let limit = self.job.node.clock.instant(self.job.give_up_at);
        let Some(source) = &mut self.source else {
            return Read::Broke("no upstream".to_owned());
        };
        let frame = tokio::select! {
            biased;
            frame = source.body.frame() => frame,
            () = self.job.node.until_ended(self.placed.ix) => {
                return Read::Broke("its upstream started again".to_owned());
            }
            () = tokio::time::sleep_until(limit) => return Read::TimeUp,
        };
        match frame {
            Some(Ok(frame)) => Read::Data(frame.into_data().unwrap_or_default()),
            Some(Err(e)) => Read::Broke(e.to_string()),
            None if self.events.is_mid_event() => Read::Broke("ended within an event".to_owned()),
            None => Read::End,
        }
    }

    fn note_progress(&mut self) {
        self.pauses.note(self.job.now());
        self.placed.note_read();
        let per_event = self.job.engine.map_or(1, |e| e.tokens_per_event);
        let produced = self.events.relayed() * u64::from(per_event);
        self.run.produced.set(produced);
        if produced >= self.expected_at + EXPECT_EVERY {
            self.expected_at = produced;
            let need = Need {
                unread: 0,
                ..self.job.need_beyond(produced)
            };
            self.run.need.set(need);
            self.placed.note_needed(need.tokens);
        }
        self.note_pace(produced);
    }

    /// Measures the upstream's pace over stretches of [`PACE_TOKENS`] tokens.
    fn note_pace(&mut self, produced: u64) {
        let now = self.job.now();
        let since = *self.paced.get_or_insert(Paced {
            since: now,
            produced,
        });
        let tokens = produced - since.produced;
        if tokens >= PACE_TOKENS {
            let mut pool = self.job.node.pool.borrow_mut();
            pool.record_pace(self.placed.ix, tokens, now.since(since.since));
            self.paced = None;
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        if let Some(source) = self.source.take() {
            give_back(&self.job, self.placed.ix, &source.head, source.link);
        }
        self.job
            .node
            .pool
            .borrow_mut()
            .record_outcome(self.placed.ix, false);
        self.learn_length();
        self.note_end("whole");
        self.say("stream_ended", "");
    }

    fn note_end(&self, end: &str) {
        let metrics = &self.job.node.metrics;
        metrics.streams.with_label_values(&[end]).inc();
        let kind = kind_word(self.job.route.kind);
        let pauses = metrics.pause_seconds.with_label_values(&[kind]);
        pauses.observe(self.pauses.longest.as_secs_f64());
    }

    fn learn_length(&self) {
        let job = &self.job;
        if let Some(size) = &job.ask.size {
            let (hint, most) = (size.length_hint, size.max_tokens);
            let tokens = self.run.produced.get();
            let mut lengths = job.node.lengths.borrow_mut();
            lengths.record(&job.route.name, hint, most, tokens);
        }
    }

    fn break_off(mut self, why: &str) -> (Result<Frame<Bytes>, BrokenStream>, Self) {
        self.ended = true;
        self.source = None;
        self.note_end("cut");
        self.say("stream_cut", why);
        (Err(BrokenStream(Code::UpstreamFailed)), self)
    }

    fn say(&self, event: &str, why: &str) {
        let job = &self.job;
        let level = if event == "stream_cut" {
            log::Level::Warn
        } else {
            log::Level::Info
        };
        log::log!(
            level, event = event, req = &*job.request_id, route = &*job.route.name,
            instance = &*job.node.pool.borrow().record(self.placed.ix).instance,
            events = self.events.relayed(), breaks = self.breaks, why = why,
            first_ms = or_empty(self.pauses.first.map(|t| t.since(job.arrival).as_millis())),
            longest_pause_ms = self.pauses.longest.as_millis(),
            prompt = or_empty(job.ask.size.as_ref().map(|s| s.prompt_tokens)),
            most = or_empty(job.ask.size.as_ref().map(|s| s.max_tokens)),
            hint = or_empty(job.ask.size.as_ref().and_then(|s| s.length_hint)),
            age_ms = job.age().as_millis();
            ""
        );
    }

    /// Goes on at another upstream; false when there is no way.
    async fn go_on_elsewhere(&mut self, why: &str) -> bool {
        self.source = None;
        self.paced = None;
        self.events.discard_partial();
        self.breaks += 1;
        self.say("stream_broke", why);
        crash::suspect(&self.job, self.placed.ix);
        if self.breaks > MAX_BREAKS || !self.events.can_resume() {
            return false;
        }
        self.wait_for_copy().await;
        let from = self.placed.ix;
        while let Some(next) = self.continuation(from) {
            if !repeats::take(&self.job).await {
                self.say("budget_spent", "");
                return false;
            }
            if self.go_on_at(next).await {
                return true;
            }
        }
        false
    }

    async fn wait_for_copy(&self) {
        let moved = self.run.moved.notified();
        if self.run.moving.get() {
            // A copy that takes longer is of no use: the caller would not bear the pause.
            let _ = tokio::time::timeout(COPY_WAIT, moved).await;
        }
    }

    /// The next way to go on; each copy is offered once.
    fn continuation(&mut self, from: UpstreamIx) -> Option<Continuation> {
        let refuge = self.run.refuge.borrow_mut().take();
        if let Some(refuge) = refuge.filter(|r| self.holds(r.placed.ix, r.source)) {
            return Some(Continuation {
                way: "moved",
                at: refuge.placed.ix,
                memory: Some(refuge.memory),
                placed: Some(refuge.placed),
            });
        }
        self.run.backup.set(None);
        let backup = self.backup.take();
        if let Some(backup) = backup.filter(|b| self.holds(b.ix, b.ix)) {
            let issued_by = self.job.node.pool.borrow().record(backup.ix).addr;
            return Some(Continuation {
                way: "copy",
                at: backup.ix,
                memory: Some(MemoryCopy {
                    issued_by,
                    handle: self.job.request_id.clone(),
                }),
                placed: None,
            });
        }
        if !self.job.route.kind.is_retryable() || self.breaks > self.job.route.max_attempts {
            return None;
        }
        let pool = self.job.node.pool.borrow();
        let at = pool.choose(self.job.now(), &self.job.service, &self.job.need(), &[from])?;
        Some(Continuation {
            way: "anew",
            at,
            memory: None,
            placed: None,
        })
    }

    /// Whether a copy at `keeper` that `source` made may be asked for: both are in the life in which it
    /// was made, since a handle of another life may name the memory of another request, and the
    /// keeper hasn't left for too long and isn't evacuated.
    fn holds(&self, keeper: UpstreamIx, source: UpstreamIx) -> bool {
        let pool = self.job.node.pool.borrow();
        let may_get = pool.may_get_requests(self.job.now(), keeper) && !pool.is_evacuated(keeper);
        may_get && !pool.is_ended(source)
    }

    async fn go_on_at(&mut self, next: Continuation) -> bool {
        let need = self.need_left(next.memory.is_some());
        let placed = next
            .placed
            .unwrap_or_else(|| self.job.node.place(next.at, need));
        let backup = place_backup(&self.job, next.at, need);
        let keeper = backup
            .as_ref()
            .map(|b| self.job.node.pool.borrow().record(b.ix).addr);
        let extras = Extras {
            backup: keeper,
            memory: next.memory,
            last_event_id: self.events.last_id(),
        };
        let sending = send(&self.job, next.at, &extras, || ());
        let opened = match tokio::time::timeout(GO_ON_WAIT, sending).await {
            Ok(Ok(opened)) if is_stream(&opened) => opened,
            Ok(Ok(opened)) => return self.refused_at(next.at, &opened.parts.status.to_string()),
            Ok(Err(e)) => return self.refused_at(next.at, &e.to_string()),
            Err(_) => return self.refused_at(next.at, "no answer in time"),
        };
        self.placed = placed;
        self.run.at.set(next.at);
        self.job.node.save_if_leaving(next.at);
        self.run.backup.set(backup.as_ref().map(|b| b.ix));
        self.backup = backup;
        self.source = Some(Source {
            body: opened.body,
            link: opened.link,
            head: opened.head,
        });
        let went_on = &self.job.node.metrics.went_on;
        went_on.with_label_values(&[next.way]).inc();
        self.say("stream_goes_on", next.way);
        true
    }

    fn refused_at(&self, at: UpstreamIx, why: &str) -> bool {
        let instance = self.job.node.pool.borrow().record(at).instance.clone();
        log::warn!(
            event = "go_on_refused", req = &*self.job.request_id, instance = &*instance, why = why;
            ""
        );
        false
    }

    /// What the rest of the stream needs; a copy of the memory leaves nothing to read.
    fn need_left(&self, has_memory: bool) -> Need {
        let need = self.job.need_beyond(self.run.produced.get());
        Need {
            unread: if has_memory { 0 } else { need.unread },
            ..need
        }
    }
}

fn is_stream(opened: &Opened) -> bool {
    opened.parts.status.is_success() && opened.head.sealed
}
