//! A reservation on an agent and the generation started from it.
//!
//! States only advance: reserved, then either expired or running, then
//! finished. Readers attach at a token offset; each is sent the tokens that
//! follow, within a window beyond its last acknowledgement.

use crate::code::Code;
use crate::ids::{GenerationId, Name, RequestId};
use crate::message::{Finish, Message, Standing};
use crate::offer::OfferId;
use crate::stream::TokenLog;
use crate::time::Time;
use crate::work::Demand;
use std::net::SocketAddr;

/// Maximum number of readers of one generation.
pub(crate) const MAX_READERS: usize = 8;

/// Tokens sent to a reader beyond its last acknowledgement.
pub(crate) const WINDOW_TOKENS: u64 = 2_048;

/// Maximum bytes of tokens in one message.
pub(crate) const MAX_CHUNK_BYTES: usize = 64 * 1024;

const MAX_CHUNK_TOKENS: usize = 1_024;

/// State of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// May be started until that time.
    Reserved(Time),
    /// Expired or withdrawn at that time; can no longer be started.
    Expired(Time),
    /// Runs on the upstream.
    Running,
    /// Ended at that time.
    Finished(Time),
}

/// An entry that reads a generation for one caller.
#[derive(Clone, Debug)]
pub(crate) struct Reader {
    /// Request id of the reader's call.
    pub(crate) id: RequestId,
    /// Mailbox of its entry.
    pub(crate) addr: SocketAddr,
    /// Next token to send.
    pub(crate) next: u64,
    /// First token not acknowledged.
    pub(crate) acked: u64,
    /// Time of its last message.
    pub(crate) last_received: Time,
    /// Whether the end was sent to it.
    pub(crate) end_sent: bool,
}

/// A reservation and the generation started from it.
#[derive(Clone, Debug)]
pub(crate) struct Generation {
    pub(crate) id: GenerationId,
    pub(crate) offer: OfferId,
    pub(crate) demand: Demand,
    pub(crate) stage: Stage,
    pub(crate) log: TokenLog,
    pub(crate) finish: Option<Finish>,
    pub(crate) readers: Vec<Reader>,
    /// Whether a reader detached after the end was sent to it, or the generation
    /// was cancelled after its end.
    pub(crate) end_delivered: bool,
    /// Time since which it has had no readers.
    pub(crate) unread_since: Option<Time>,
    /// Number of times the upstream stream was resumed.
    pub(crate) resume_count: u32,
    /// Time of the last break of the upstream stream; zero before the first.
    pub(crate) broken_at: Time,
    /// Software version of the upstream that began the tokens, if it is known.
    pub(crate) software_version: Option<Name>,
    /// Time of the upstream's last output; the start before the first one.
    pub(crate) last_output: Time,
}

impl Generation {
    pub(crate) fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }

    /// Returns whether stopping the agent now would interrupt a caller.
    ///
    /// A complete answer is kept for its reader, even if the reader is silent.
    pub(crate) fn blocks_shutdown(&self) -> bool {
        match self.stage {
            Stage::Reserved(_) | Stage::Running => true,
            Stage::Expired(_) => false,
            Stage::Finished(_) => {
                !self.readers.is_empty() || (self.is_complete() && !self.end_delivered)
            }
        }
    }

    fn is_complete(&self) -> bool {
        self.finish.as_ref().is_some_and(|f| f.code == Code::Ok)
    }

    /// Attaches a reader at `from`, replacing its previous attachment.
    pub(crate) fn attach(
        &mut self,
        now: Time,
        reader: RequestId,
        addr: SocketAddr,
        from: u64,
    ) -> Result<(), Standing> {
        match self.stage {
            Stage::Reserved(_) => return Err(Standing::Reserved),
            Stage::Expired(_) => return Err(Standing::NeverStarted),
            Stage::Running | Stage::Finished(_) => {}
        }
        if from < self.log.first() || from > self.log.end() {
            return Err(Standing::PartGone);
        }
        self.readers.retain(|r| r.id != reader);
        if self.readers.len() >= MAX_READERS {
            return Err(Standing::Crowded);
        }
        self.unread_since = None;
        self.readers.push(Reader {
            id: reader,
            addr,
            next: from,
            acked: from,
            last_received: now,
            end_sent: false,
        });
        Ok(())
    }

    /// Records the tokens that a reader has delivered.
    pub(crate) fn ack(&mut self, now: Time, reader: RequestId, next: u64) {
        let end = self.log.end();
        if let Some(r) = self.readers.iter_mut().find(|r| r.id == reader) {
            r.acked = r.acked.max(next.min(end));
            r.next = r.next.max(r.acked);
            r.last_received = now;
        }
    }

    pub(crate) fn detach(&mut self, now: Time, reader: RequestId) {
        let end_sent = |r: &Reader| r.id == reader && r.end_sent;
        self.end_delivered |= self.readers.iter().any(end_sent);
        self.readers.retain(|r| r.id != reader);
        self.record_unread(now);
    }

    /// Drops the readers without a message since `limit`.
    pub(crate) fn drop_silent(&mut self, now: Time, limit: Time) {
        self.readers.retain(|r| r.last_received > limit);
        self.record_unread(now);
    }

    fn record_unread(&mut self, now: Time) {
        if self.readers.is_empty() && self.unread_since.is_none() {
            self.unread_since = Some(now);
        }
    }

    /// Returns the messages that bring one reader up to date within its window.
    ///
    /// With `always_reply`, there is at least one message, so that the reader
    /// receives a response.
    pub(crate) fn messages(
        &mut self,
        reader: RequestId,
        always_reply: bool,
    ) -> Vec<(SocketAddr, Message)> {
        let Some(at) = self.readers.iter().position(|r| r.id == reader) else {
            return Vec::new();
        };
        let mut out = Vec::new();
        let mut allow_empty = always_reply;
        while let Some(message) = self.next_message(at, allow_empty) {
            out.push((self.readers[at].addr, message));
            allow_empty = false;
        }
        out
    }

    /// Returns the messages that bring all readers up to date.
    pub(crate) fn messages_to_all(&mut self) -> Vec<(SocketAddr, Message)> {
        let ids: Vec<RequestId> = self.readers.iter().map(|r| r.id).collect();
        ids.into_iter()
            .flat_map(|id| self.messages(id, false))
            .collect()
    }

    fn next_message(&mut self, at: usize, allow_empty: bool) -> Option<Message> {
        let reader = &mut self.readers[at];
        let window_left = (reader.acked + WINDOW_TOKENS).saturating_sub(reader.next);
        let window = usize::try_from(window_left)
            .unwrap_or(MAX_CHUNK_TOKENS)
            .min(MAX_CHUNK_TOKENS);
        let chunk = self.log.chunk_at(reader.next, window, MAX_CHUNK_BYTES)?;
        let reaches_end = chunk.end() == self.log.end();
        let finish = self
            .finish
            .clone()
            .filter(|_| reaches_end && !reader.end_sent);
        if chunk.count() == 0 && finish.is_none() && !allow_empty {
            return None;
        }
        reader.next = chunk.end();
        reader.end_sent |= finish.is_some();
        Some(Message::Tokens {
            reader: reader.id,
            generation: self.id,
            chunk,
            finish,
        })
    }

    /// Returns the result of a generation that the agent itself ends.
    pub(crate) fn finish_with(&self, code: Code, reason: &str) -> Finish {
        Finish {
            total: self.log.end(),
            code,
            reason: Name::from(reason),
            status: 0,
            content_type: Name::from(""),
            prompt_tokens: self.demand.prompt_tokens,
            preemptions: 0,
            crashes: 0,
            ended: None,
        }
    }
}
