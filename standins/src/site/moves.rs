//! Moves of runs to other upstreams, and what an upstream answers to the last one, which stops the run.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::sync::Notify;

use super::connections::ConnectionAction;
use super::framing::Framing;
use super::record::{CopyKey, Record};
use super::runs::OwnAnswer;
use crate::sync::lock;

/// Time from the beginning of a run to an earlier order that stops it.
const LATE_ORDER_DELAY: Duration = Duration::from_millis(60);

/// Time after which a late answer comes.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(2_500);

/// Longest time for which an end is held for an order.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// What an upstream does on the last move of a run, once unless stated otherwise; then it copies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopAnswer {
    /// Stops the run and copies its memory.
    #[default]
    Copied,
    /// The same, and answers late.
    CopiedLate,
    /// Stops the run and keeps its memory, since the target has no room.
    Kept,
    /// The same once, then stops runs and loses the answers.
    KeptThenLost,
    /// The same, but names no handle.
    KeptUnnamed,
    /// The same, with a handle that fits in no header.
    KeptUnusable,
    /// The same, and states that nothing was done.
    KeptMarked,
    /// Stops the run and loses the answer.
    Lost,
    /// Stops the run and loses the answer, as those to all further moves.
    AllLost,
    /// Loses the call, and lets the run go on.
    NeverArrived,
    /// Loses the call, and carries it out on the next run of the same request.
    CarriedOutLate,
    /// Lets the run go on, as another move of it is in progress.
    Busy,
    /// Lets the run go on, and states that nothing was done.
    NotExecuted,
    /// Lets all runs go on, and states the same each time.
    NeverExecuted,
    /// Lets all runs go on, and states neither that nothing was done nor a handle each time.
    Unavailable,
    /// Lets the run go on, as there are too many calls.
    TooMany,
    /// Lets the run go on, as the call is meant for another upstream.
    Misdirected,
    /// Lets the run go on, as the call has no meaning.
    Meaningless,
    /// Stops the run and copies its memory, but names no handle.
    CopiedUnnamed,
    /// The same, and states that nothing was done.
    CopiedMarked,
    /// Stops the run and copies its memory; the answer breaks off before its stated length.
    CutLength,
    /// The same, with an answer that breaks off between chunks.
    CutChunks,
    /// The same, with an answer that breaks off where only its connection ends it.
    CutUntilClose,
    /// Stops the run and keeps its memory; the answer breaks off where only its connection ends it.
    KeptCut,
}

impl StopAnswer {
    const fn lets_go_on(self) -> bool {
        matches!(
            self,
            Self::NeverArrived
                | Self::CarriedOutLate
                | Self::Busy
                | Self::NotExecuted
                | Self::NeverExecuted
                | Self::Unavailable
                | Self::TooMany
                | Self::Misdirected
                | Self::Meaningless
        )
    }

    /// Returns the status of an answer that says that the run wasn't stopped.
    const fn refusal(self) -> Option<u16> {
        match self {
            Self::Busy => Some(409),
            Self::NotExecuted | Self::NeverExecuted | Self::Unavailable => Some(503),
            Self::TooMany => Some(429),
            Self::Misdirected => Some(421),
            Self::Meaningless => Some(400),
            _ => None,
        }
    }

    const fn is_lasting(self) -> bool {
        matches!(
            self,
            Self::AllLost | Self::NeverExecuted | Self::Unavailable
        )
    }

    /// Returns whether an answer states that nothing was done.
    const fn is_marked(self) -> bool {
        matches!(
            self,
            Self::NotExecuted | Self::NeverExecuted | Self::CopiedMarked | Self::KeptMarked
        )
    }
}

/// How an upstream ends the stream of a run that was stopped. A body without chunks just ends with its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoppedEnd {
    /// Closes the connection between two chunks.
    #[default]
    Close,
    /// Resets the connection.
    Reset,
    /// Sends the last chunk and keeps the connection.
    LastChunk,
    /// Sends the last chunk and closes the connection.
    LastChunkAndClose,
    /// Sends the last chunk with trailers and keeps the connection.
    Trailers,
    /// Sends the last chunk with an extension and keeps the connection.
    Extension,
    /// Ends its half of the connection between two chunks and waits until the caller closes.
    HalfClose,
    /// Closes the connection within an event.
    WithinEvent,
    /// Sends the last chunk within an event and keeps the connection.
    LastChunkWithinEvent,
    /// Closes the connection within the size of a chunk.
    WithinSize,
    /// Closes the connection within a chunk, before its event.
    WithinChunk,
    /// Closes the connection after the size of the last chunk, before the empty line.
    WithinLastChunk,
    /// Closes the connection within the empty line of the last chunk.
    WithinLastLine,
    /// Closes the connection after the trailers of the last chunk, before the empty line.
    WithinTrailers,
}

impl StoppedEnd {
    /// Returns the bytes that are sent at last on a body with this framing.
    pub(super) const fn bytes(self, framing: Framing) -> &'static [u8] {
        match self {
            Self::WithinEvent if framing.is_chunked() => b"5\r\nid: 9\r\n",
            Self::WithinEvent => b"id: 9",
            _ if !framing.is_chunked() => b"",
            Self::Close | Self::Reset | Self::HalfClose => b"",
            Self::LastChunk | Self::LastChunkAndClose => b"0\r\n\r\n",
            Self::Trailers => b"0\r\nX-Trailer: 1\r\n\r\n",
            Self::Extension => b"0;last=\"1\"\r\n\r\n",
            Self::LastChunkWithinEvent => b"5\r\nid: 9\r\n0\r\n\r\n",
            Self::WithinSize => b"1",
            Self::WithinChunk => b"10\r\n",
            Self::WithinLastChunk => b"0\r\n",
            Self::WithinLastLine => b"0\r\n\r",
            Self::WithinTrailers => b"0\r\nX-Trailer: 1\r\n",
        }
    }

    /// Returns what becomes of the connection.
    pub(super) const fn action<'a>(self, framing: Framing) -> ConnectionAction<'a> {
        match self {
            Self::Reset => ConnectionAction::Reset,
            Self::HalfClose => ConnectionAction::HalfClose,
            Self::LastChunk | Self::Trailers | Self::Extension | Self::LastChunkWithinEvent
                if framing.is_chunked() || framing.is_length() =>
            {
                ConnectionAction::Keep
            }
            _ => ConnectionAction::Close,
        }
    }
}

/// Runs of an upstream that can be moved, and its behaviour on moves.
#[derive(Debug, Default)]
pub struct Moves {
    /// Signals that stop runs, by request.
    stop_signals: Mutex<HashMap<String, Arc<Notify>>>,
    /// Number of the next handle in this incarnation.
    next_handle: AtomicU64,
    behaviour: Mutex<(StopAnswer, Duration)>,
    /// Requests whose next run is stopped by an earlier order.
    late_orders: Mutex<HashSet<String>>,
    holds_ends: AtomicBool,
    /// Whether a further copy of a run's memory to the same upstream keeps its handle.
    keeps_handles: AtomicBool,
    handles: Mutex<HashMap<(String, String), String>>,
    stopped_end: Mutex<StoppedEnd>,
    ordered: Notify,
    /// Signals of the first and the last moves that were asked for, by request.
    copied_runs: Mutex<HashMap<String, Arc<Notify>>>,
    ordered_runs: Mutex<HashMap<String, Arc<Notify>>>,
}

/// A run that can be moved, until it is dropped.
pub(super) struct MovableRun<'a> {
    moves: &'a Moves,
    id: String,
    pub(super) stop: Arc<Notify>,
}

impl Drop for MovableRun<'_> {
    fn drop(&mut self) {
        let mut signals = lock(&self.moves.stop_signals);
        // Another run of the request may have begun since.
        if signals
            .get(&self.id)
            .is_some_and(|s| Arc::ptr_eq(s, &self.stop))
        {
            signals.remove(&self.id);
        }
    }
}

impl Moves {
    /// Sets what it does on the next last move of a run, and after which time it answers.
    pub fn answer_stops(&self, answer: StopAnswer, after: Duration) {
        *lock(&self.behaviour) = (answer, after);
    }

    /// Makes a run that has ended close its stream only when its last move is asked for.
    pub fn hold_ends(&self) {
        self.holds_ends.store(true, Ordering::Relaxed);
    }

    /// Makes a further copy of a run's memory to the same upstream keep its handle.
    pub fn keep_handles(&self) {
        self.keeps_handles.store(true, Ordering::Relaxed);
    }

    /// Sets how it ends the streams of stopped runs.
    pub fn end_stopped(&self, end: StoppedEnd) {
        *lock(&self.stopped_end) = end;
    }

    /// Returns how the stream of a stopped run ends.
    pub(super) fn stopped_end(&self) -> StoppedEnd {
        *lock(&self.stopped_end)
    }

    fn take_behaviour(&self) -> (StopAnswer, Duration) {
        let mut behaviour = lock(&self.behaviour);
        if behaviour.0.is_lasting() {
            return *behaviour;
        }
        let taken = std::mem::take(&mut *behaviour);
        if taken.0 == StopAnswer::KeptThenLost {
            *behaviour = (StopAnswer::AllLost, taken.1);
        }
        taken
    }

    /// Returns the requests of the runs in progress.
    pub(super) fn running(&self) -> Vec<String> {
        lock(&self.stop_signals).keys().cloned().collect()
    }

    pub(super) fn begin(&self, id: &str) -> MovableRun<'_> {
        let stop = Arc::new(Notify::new());
        lock(&self.stop_signals).insert(id.to_owned(), stop.clone());
        if lock(&self.late_orders).remove(id) {
            let stop = stop.clone();
            tokio::spawn(async move {
                tokio::time::sleep(LATE_ORDER_DELAY).await;
                stop.notify_one();
            });
        }
        MovableRun {
            moves: self,
            id: id.to_owned(),
            stop,
        }
    }

    /// Waits until the memory of a request's run was copied while it goes on.
    pub(super) async fn until_copied(&self, id: &str) {
        signal(&self.copied_runs, id).notified().await;
    }

    /// Waits until a run that has ended may close its stream; `holds` if only its own last move counts.
    pub(super) async fn until_end_is_due(&self, id: &str, holds: bool) {
        if holds {
            // No order comes where an entry makes standby copies instead.
            let ordered = signal(&self.ordered_runs, id);
            let _ = tokio::time::timeout(MAX_HOLD, ordered.notified()).await;
        } else if self.holds_ends.load(Ordering::Relaxed) {
            self.ordered.notified().await;
        }
    }

    /// Answers a move called at the upstream at `addr`; `None` if the answer is lost.
    pub(super) async fn answer(
        &self,
        addr: String,
        record: &Record,
        body: &[u8],
    ) -> Option<OwnAnswer> {
        let call: Value = serde_json::from_slice(body).unwrap_or_default();
        let id = call["id"].as_str().unwrap_or_default();
        let is_last = call["last"] == json!(true);
        let (answer, after) = if is_last {
            let played = record.next_stop_answer(id);
            played.unwrap_or_else(|| self.take_behaviour())
        } else {
            Default::default()
        };
        let stop = lock(&self.stop_signals).get(id).cloned();
        if is_last {
            self.ordered.notify_one();
            signal(&self.ordered_runs, id).notify_one();
        } else {
            signal(&self.copied_runs, id).notify_one();
        }
        let stops = is_last && !answer.lets_go_on();
        if let Some(stop) = stop.as_ref().filter(|_| stops) {
            stop.notify_one();
            lock(&self.stop_signals).remove(id);
        }
        let is_late = answer == StopAnswer::CopiedLate;
        tokio::time::sleep(if is_late { LATE_ANSWER_DELAY } else { after }).await;
        match answer {
            StopAnswer::NeverArrived => return None,
            StopAnswer::CarriedOutLate => {
                lock(&self.late_orders).insert(id.to_owned());
                return None;
            }
            _ => {}
        }
        if let Some(refusal) = refusal(answer, record, id, stop.is_some()) {
            return Some(refusal);
        }
        if stop.is_none() {
            return (answer != StopAnswer::AllLost).then(|| OwnAnswer::new(404, "{}".to_owned()));
        }
        let to = call["to"].as_str().unwrap_or_default();
        self.carry_out(answer, addr, to, record, id)
    }

    /// Copies or keeps the memory of a run; `None` if the answer is lost.
    fn carry_out(
        &self,
        answer: StopAnswer,
        addr: String,
        to: &str,
        record: &Record,
        id: &str,
    ) -> Option<OwnAnswer> {
        let holder = match answer {
            StopAnswer::Lost | StopAnswer::AllLost => return None,
            StopAnswer::KeptUnnamed => return Some(OwnAnswer::new(503, "{}".to_owned())),
            StopAnswer::CopiedUnnamed | StopAnswer::CopiedMarked => {
                return Some(marked(answer, 200, "{}".to_owned()));
            }
            StopAnswer::KeptUnusable | StopAnswer::KeptMarked => {
                let body = json!({"handle": "h\u{7}\n"});
                return Some(marked(answer, 503, body.to_string()));
            }
            StopAnswer::Kept | StopAnswer::KeptThenLost | StopAnswer::KeptCut => addr.clone(),
            _ => to.to_owned(),
        };
        // Each incarnation counts its handles from 0.
        let next = || format!("h{}", self.next_handle.fetch_add(1, Ordering::Relaxed));
        let handle = if self.keeps_handles.load(Ordering::Relaxed) {
            let run = (id.to_owned(), holder.clone());
            lock(&self.handles).entry(run).or_insert_with(next).clone()
        } else {
            next()
        };
        let status = if holder == addr { 503 } else { 200 };
        let key = CopyKey {
            holder,
            issuer: addr,
            handle: handle.clone(),
        };
        record.insert_copy(key, id);
        let body = json!({"handle": handle, "created": 1});
        let mut carried_out = OwnAnswer::new(status, body.to_string());
        carried_out.cut = match answer {
            StopAnswer::CutLength => Some(Framing::Length),
            StopAnswer::CutChunks => Some(Framing::Chunked),
            StopAnswer::CutUntilClose | StopAnswer::KeptCut => Some(Framing::UntilClose),
            _ => None,
        };
        Some(carried_out)
    }
}

/// Returns the signal of a request.
fn signal(signals: &Mutex<HashMap<String, Arc<Notify>>>, id: &str) -> Arc<Notify> {
    lock(signals).entry(id.to_owned()).or_default().clone()
}

/// Returns the answer to a move that is refused; of a run that has ended only if that was set for its request.
fn refusal(answer: StopAnswer, record: &Record, id: &str, is_running: bool) -> Option<OwnAnswer> {
    let status = answer.refusal()?;
    if !is_running && record.play_of(id).is_none() {
        return None;
    }
    Some(marked(answer, status, "{}".to_owned()))
}

/// Returns an answer that states that nothing was done, if it is to.
fn marked(answer: StopAnswer, status: u16, body: String) -> OwnAnswer {
    let mut own = OwnAnswer::new(status, body);
    if answer.is_marked() {
        let header = ("X-Not-Executed".to_owned(), "1".to_owned());
        own.headers = [header].into_iter().collect();
    }
    own
}
