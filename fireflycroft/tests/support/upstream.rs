//! One fake upstream: it emits numbered tokens, ends, breaks and dies.

use super::fleet;
use fireflycroft::GenerationId;
use std::collections::BTreeMap;

/// What an upstream does next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UpstreamMode {
    /// Serves.
    #[default]
    Serve,
    /// Refuses each request.
    Refuse,
    /// Breaks the next stream to reach that token; it may be taken up again.
    Break(u64),
    /// Breaks it for good.
    Lose(u64),
    /// Dies when a stream reaches that token.
    Die(u64),
    /// Gives no token: its memory is full.
    Full,
}

/// A run on the upstream.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) run: usize,
    pub(crate) content: u8,
    pub(crate) sent: u64,
    /// Counts the streams it was read by.
    pub(crate) epoch: u64,
    /// Whether a broken stream may be taken up again.
    pub(crate) resumable: bool,
}

/// What a stream does at its next turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamStep {
    /// Gives so many tokens.
    Emit(u64),
    End,
    Break,
    Die,
    Wait,
}

/// The upstream of one agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) up: bool,
    pub(crate) mode: UpstreamMode,
    /// Least milliseconds between tokens.
    pub(crate) pause: u64,
    pub(crate) active: BTreeMap<GenerationId, ActiveRun>,
}

impl Upstream {
    pub(crate) fn begin(&mut self, generation: GenerationId, run: usize, content: u8) {
        self.active.insert(
            generation,
            ActiveRun {
                run,
                content,
                sent: 0,
                epoch: 0,
                resumable: true,
            },
        );
    }

    /// Decides on the next turn of a stream, at most `burst` tokens.
    pub(crate) fn next_step(&mut self, generation: GenerationId, burst: u64) -> StreamStep {
        let Some(active) = self.active.get_mut(&generation) else {
            return StreamStep::Wait;
        };
        if active.content == fleet::POISON && active.sent >= 2 {
            return StreamStep::Die;
        }
        let mut limit = fleet::length(active.content);
        match self.mode {
            UpstreamMode::Full => return StreamStep::Wait,
            UpstreamMode::Die(n) if active.sent == n => {
                self.mode = UpstreamMode::Serve;
                return StreamStep::Die;
            }
            UpstreamMode::Break(n) | UpstreamMode::Lose(n) if active.sent == n => {
                active.resumable = matches!(self.mode, UpstreamMode::Break(_));
                self.mode = UpstreamMode::Serve;
                return StreamStep::Break;
            }
            UpstreamMode::Die(n) | UpstreamMode::Break(n) | UpstreamMode::Lose(n)
                if n > active.sent =>
            {
                limit = limit.min(n);
            }
            _ => {}
        }
        if active.sent >= fleet::length(active.content) {
            return StreamStep::End;
        }
        if active.content == fleet::POISON {
            limit = limit.min(2);
        }
        StreamStep::Emit(burst.min(limit - active.sent))
    }
}
