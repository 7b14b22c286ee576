//! A fake upstream that emits numbered tokens, ends, breaks and dies.

use super::fleet;
use fireflycroft::GenerationId;
use std::collections::BTreeMap;

/// Behaviour of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum UpstreamMode {
    /// Serves requests.
    #[default]
    Serve,
    /// Refuses each request.
    Refuse,
    /// Breaks the next stream to reach that token; it can be resumed.
    Break(u64),
    /// Breaks the next stream to reach that token; software of another version resumes it.
    Upgrade(u64),
    /// Breaks the next stream to reach that token; it cannot be resumed.
    Lose(u64),
    /// Dies when a stream reaches that token.
    Die(u64),
    /// Produces no tokens, as with full memory.
    Full,
}

/// A run on the upstream.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) run: usize,
    pub(crate) content: u8,
    pub(crate) sent: u64,
    /// Number of times its stream was resumed.
    pub(crate) epoch: u64,
    /// Whether a broken stream can be resumed.
    pub(crate) resumable: bool,
    /// Whether another software version resumes it.
    pub(crate) upgraded: bool,
}

/// Next step of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamStep {
    /// Emits that number of tokens.
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
    /// Base pause between bursts of tokens, in milliseconds.
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
                upgraded: false,
            },
        );
    }

    /// Decides on the next step of a stream: at most `burst` tokens.
    pub(crate) fn next_step(&mut self, generation: GenerationId, burst: u64) -> StreamStep {
        let Some(active) = self.active.get_mut(&generation) else {
            return StreamStep::Wait;
        };
        if active.content == fleet::POISON && active.sent >= 2 {
            return StreamStep::Die;
        }
        let mut limit = fleet::answer_tokens(active.content);
        match self.mode {
            UpstreamMode::Full => return StreamStep::Wait,
            UpstreamMode::Die(n) if active.sent == n => {
                self.mode = UpstreamMode::Serve;
                return StreamStep::Die;
            }
            UpstreamMode::Break(n) | UpstreamMode::Upgrade(n) | UpstreamMode::Lose(n)
                if active.sent == n =>
            {
                active.resumable = !matches!(self.mode, UpstreamMode::Lose(_));
                active.upgraded = matches!(self.mode, UpstreamMode::Upgrade(_));
                self.mode = UpstreamMode::Serve;
                return StreamStep::Break;
            }
            UpstreamMode::Die(n)
            | UpstreamMode::Break(n)
            | UpstreamMode::Upgrade(n)
            | UpstreamMode::Lose(n)
                if n > active.sent =>
            {
                limit = limit.min(n);
            }
            _ => {}
        }
        if active.sent >= fleet::answer_tokens(active.content) {
            return StreamStep::End;
        }
        if active.content == fleet::POISON {
            limit = limit.min(2);
        }
        StreamStep::Emit(burst.min(limit - active.sent))
    }
}
