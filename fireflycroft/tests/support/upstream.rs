//! One fake upstream: it emits numbered tokens, ends, breaks and dies.

use super::fleet;
use fireflycroft::GenerationId;
use std::collections::BTreeMap;

/// What an upstream does next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mood {
    /// Serves.
    #[default]
    Good,
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
pub(crate) struct Live {
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
pub(crate) enum Turn {
    /// Gives so many tokens.
    Give(u64),
    End,
    Break,
    Die,
    Wait,
}

/// The upstream of one agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upstream {
    pub(crate) up: bool,
    pub(crate) mood: Mood,
    /// Least milliseconds between tokens.
    pub(crate) pause: u64,
    pub(crate) live: BTreeMap<GenerationId, Live>,
}

impl Upstream {
    pub(crate) fn begin(&mut self, generation: GenerationId, run: usize, content: u8) {
        self.live.insert(
            generation,
            Live {
                run,
                content,
                sent: 0,
                epoch: 0,
                resumable: true,
            },
        );
    }

    /// Decides on the next turn of a stream, at most `burst` tokens.
    pub(crate) fn turn(&mut self, generation: GenerationId, burst: u64) -> Turn {
        let Some(live) = self.live.get_mut(&generation) else {
            return Turn::Wait;
        };
        if live.content == fleet::POISON && live.sent >= 2 {
            return Turn::Die;
        }
        let mut limit = fleet::answer_tokens(live.content);
        match self.mood {
            Mood::Full => return Turn::Wait,
            Mood::Die(n) if live.sent == n => {
                self.mood = Mood::Good;
                return Turn::Die;
            }
            Mood::Break(n) | Mood::Lose(n) if live.sent == n => {
                live.resumable = matches!(self.mood, Mood::Break(_));
                self.mood = Mood::Good;
                return Turn::Break;
            }
            Mood::Die(n) | Mood::Break(n) | Mood::Lose(n) if n > live.sent => limit = limit.min(n),
            _ => {}
        }
        if live.sent >= fleet::answer_tokens(live.content) {
            return Turn::End;
        }
        if live.content == fleet::POISON {
            limit = limit.min(2);
        }
        Turn::Give(burst.min(limit - live.sent))
    }
}
