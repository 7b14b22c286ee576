//! The scheduler and the streams that receive its tokens.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;
use std::time::Duration;

use super::batch::{Batch, Limits, SeqKey, Sequence, StepPlan, StepResult};
use super::cache::{CacheChange, PrefixCache};
use super::config::Config;
use super::length;
use super::load::Load;
use super::log::RunEvent;
use super::prompt::Prompt;
use super::stream::{EndReason, Reader, Stream, StreamParts};
use super::text::TokenText;

/// A parsed generation request.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) model: Arc<str>,
    pub(super) prompt: Prompt,
    pub(super) max_tokens: u64,
    pub(super) priority: i64,
    pub(super) stream_id: Option<Arc<str>>,
    pub(super) request_id: Option<Arc<str>>,
}

/// The reason for rejecting a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SubmitError {
    /// The model isn't loaded.
    UnknownModel,
    /// The prompt exceeds the length limit or the memory.
    PromptTooLong,
    /// A generation in progress uses the stream id.
    StreamIdTaken,
}

/// The scheduler, the prefix cache and the streams.
#[derive(Debug)]
pub(super) struct Core {
    batch: Batch,
    cache: PrefixCache,
    streams: HashMap<SeqKey, Arc<Stream>>,
    by_id: HashMap<Arc<str>, Arc<Stream>>,
    next_key: SeqKey,
    nonces: RandomState,
    step_duration: Duration,
}

impl Core {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            batch: Batch::new(Limits {
                capacity_tokens: cfg.capacity_tokens,
                max_batch: cfg.max_batch,
            }),
            cache: PrefixCache::new(cfg.cache_tokens),
            streams: HashMap::new(),
            by_id: HashMap::new(),
            next_key: 1,
            nonces: RandomState::new(),
            step_duration: Duration::ZERO,
        }
    }

    /// Adds a request to the waiting queue.
    pub(super) fn submit(
        &mut self,
        cfg: &Config,
        submission: Submission,
    ) -> Result<Reader, SubmitError> {
        let key = self.next_key;
        let id = submission
            .stream_id
            .clone()
            .unwrap_or_else(|| format!("s{key}").into());
        if self.is_in_progress(&id) {
            return Err(SubmitError::StreamIdTaken);
        }
        self.next_key += 1;
        let stream = Arc::new(self.new_stream(cfg, key, id, &submission));
        let reader = stream.attach();
        log_started(cfg, &stream, &submission);
        self.streams.insert(key, Arc::clone(&stream));
        self.by_id
            .insert(Arc::clone(&stream.id), Arc::clone(&stream));
        self.batch.push(sequence(cfg, key, submission));
        Ok(reader)
    }

    fn is_in_progress(&self, id: &str) -> bool {
        let stream = self.by_id.get(id);
        stream.is_some_and(|stream| stream.progress().end.is_none())
    }

    fn new_stream(
        &self,
        cfg: &Config,
        key: SeqKey,
        id: Arc<str>,
        submission: &Submission,
    ) -> Stream {
        let directives = &submission.prompt.directives;
        let nonce = self.nonces.hash_one(key) >> 32;
        Stream::new(StreamParts {
            id,
            request: format!("r{key}").into(),
            key,
            model: Arc::clone(&submission.model),
            prompt_tokens: submission.prompt.tokens,
            natural_end: submission.natural_end(cfg),
            text: TokenText {
                nonce: u32::try_from(nonce).unwrap_or(u32::MAX),
                mark: directives.mark.clone(),
                words: directives.words,
            },
        })
    }

    /// Plans the next step; logs preemptions and ends sequences that exceed the memory.
    pub(super) fn plan(&mut self, cfg: &Config) -> StepPlan {
        let plan = self.batch.plan(&mut self.cache);
        for key in &plan.preempted {
            if let Some(stream) = self.streams.get(key) {
                stream.update(|progress| progress.preemptions += 1);
                let tokens = stream.progress().generated;
                let id = &stream.request;
                cfg.run_log.append(&RunEvent::Preempted { id, tokens });
            }
        }
        for key in &plan.out_of_memory {
            let generated = self
                .streams
                .get(key)
                .map(|stream| stream.progress().generated);
            self.finish(cfg, *key, generated.unwrap_or_default(), EndReason::Length);
        }
        plan
    }

    /// Delivers the tokens of a step; returns whether the engine crashed.
    pub(super) fn commit(&mut self, cfg: &Config) -> bool {
        let committed = self.batch.commit();
        for (key, generated) in &committed.tokens {
            self.deliver_token(cfg, *key, *generated, &committed);
        }
        let crashed = committed.crashed.and_then(|key| self.streams.get(&key));
        if let Some(stream) = crashed {
            cfg.run_log.append(&RunEvent::Crashed {
                id: &stream.request,
                mark: stream.text.mark.as_deref(),
            });
        }
        committed.crashed.is_some()
    }

    /// Delivers a token to the readers, together with the end if it is the last.
    fn deliver_token(&mut self, cfg: &Config, key: SeqKey, generated: u64, committed: &StepResult) {
        let Some(stream) = self.streams.get(&key) else {
            return;
        };
        if generated == 1 {
            let id = &stream.request;
            cfg.run_log.append(&RunEvent::FirstToken { id });
        }
        if committed.finished.contains(&key) {
            let reason = stream.natural_end;
            self.finish(cfg, key, generated, reason);
        } else {
            stream.update(|progress| progress.generated = generated);
        }
    }

    fn finish(&mut self, cfg: &Config, key: SeqKey, tokens: u64, reason: EndReason) {
        let Some(stream) = self.streams.remove(&key) else {
            return;
        };
        cfg.run_log.append(&RunEvent::Finished {
            id: &stream.request,
            tokens,
            reason,
        });
        stream.finish(tokens, reason);
    }

    /// Cancels a generation in progress.
    pub(super) fn cancel(&mut self, cfg: &Config, stream: &Stream) {
        let Some(tokens) = self.batch.remove(stream.key) else {
            return;
        };
        self.streams.remove(&stream.key);
        cfg.run_log.append(&RunEvent::Cancelled {
            id: &stream.request,
            stream_id: &stream.id,
            tokens,
        });
        stream.finish(tokens, EndReason::Cancelled);
    }

    /// Cancels streams that had no reader for `window`, and drops ended ones.
    ///
    /// Returns whether there were any such streams.
    pub(super) fn sweep(&mut self, cfg: &Config, window: Duration) -> bool {
        let streams = self.by_id.values();
        let idle: Vec<_> = streams
            .filter(|stream| stream.is_idle(window))
            .cloned()
            .collect();
        for stream in &idle {
            if stream.progress().end.is_some() {
                self.by_id.remove(&stream.id);
            } else {
                self.cancel(cfg, stream);
            }
        }
        !idle.is_empty()
    }

    /// Returns a stream by its id.
    pub(super) fn stream(&self, id: &str) -> Option<Arc<Stream>> {
        self.by_id.get(id).cloned()
    }

    /// Returns the cache changes since the last call.
    pub(super) fn take_cache_changes(&mut self) -> Vec<(CacheChange, u64)> {
        self.cache.take_changes()
    }

    /// Records the duration of the current step.
    pub(super) fn set_step_duration(&mut self, step_duration: Duration) {
        self.step_duration = step_duration;
    }

    /// Returns the current load.
    pub(super) fn load(&self, cfg: &Config) -> Load {
        Load {
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            used_tokens: self.batch.used_tokens(),
            capacity_tokens: cfg.capacity_tokens,
            max_batch: cfg.max_batch,
            preemptions_total: self.batch.preemptions(),
            step_ms: self.step_duration.as_secs_f64() * 1e3,
        }
    }
}

impl Submission {
    /// Returns the output length without a token limit.
    fn length(&self, cfg: &Config) -> u64 {
        let drawn = || length::draw(cfg.seed, self.prompt.digest);
        self.prompt.directives.len.unwrap_or_else(drawn).max(1)
    }

    /// Returns the end reason of an uninterrupted generation.
    fn natural_end(&self, cfg: &Config) -> EndReason {
        if self.length(cfg) > self.max_tokens {
            EndReason::Length
        } else {
            EndReason::Stop
        }
    }
}

fn sequence(cfg: &Config, key: SeqKey, submission: Submission) -> Sequence {
    Sequence {
        key,
        priority: submission.priority,
        prompt_tokens: submission.prompt.tokens,
        target: submission.length(cfg).min(submission.max_tokens).max(1),
        crash_after: submission.prompt.directives.crash_after(),
        prefixes: submission.prompt.prefixes,
        generated: 0,
    }
}

fn log_started(cfg: &Config, stream: &Stream, submission: &Submission) {
    cfg.run_log.append(&RunEvent::Started {
        id: &stream.request,
        stream_id: &stream.id,
        request_id: submission.request_id.as_deref(),
        mark: stream.text.mark.as_deref(),
        model: &stream.model,
        nonce: format!("{:08x}", stream.text.nonce),
        prompt_tokens: stream.prompt_tokens,
        priority: submission.priority,
    });
}
