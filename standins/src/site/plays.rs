//! What upstreams do with the run of one request, instead of what each does with all.

use std::time::{Duration, Instant};

use super::framing::Framing;
use super::moves::{StopAnswer, StoppedEnd};

/// Behaviour of all upstreams towards one request.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    /// How the end of its stream is told.
    pub framing: Framing,
    /// Bytes of comments before each event of its first run and of those that go on.
    pub padding: [usize; 2],
    /// Time to the head of a run that goes on from memory.
    pub head_delay: Duration,
    /// How its stream ends when its run is stopped.
    pub stopped_end: StoppedEnd,
    /// How its stream ends when its first run does.
    pub own_end: StoppedEnd,
    /// Whether its first run ends only when its memory was copied, and closes its stream only when its last move is asked for.
    pub holds_end: bool,
    /// Time from then to the close.
    pub close_delay: Duration,
    /// Answers to its last moves, one after another; then they are carried out.
    pub answers: &'static [StopAnswer],
    /// Time after which the first of them comes.
    pub after: Duration,
}

/// A play, and how many of its answers were given.
#[derive(Clone, Copy, Debug)]
pub(super) struct Playing {
    pub(super) play: Play,
    given: usize,
    /// Time at which the first last move was asked for.
    pub(super) ordered_at: Option<Instant>,
}

impl Playing {
    pub(super) const fn new(play: Play) -> Self {
        Self {
            play,
            given: 0,
            ordered_at: None,
        }
    }

    /// Returns the next answer to a last move, and the time after which it comes.
    pub(super) fn next_answer(&mut self) -> (StopAnswer, Duration) {
        let answer = self.play.answers.get(self.given).copied();
        let after = if self.given == 0 {
            self.play.after
        } else {
            Duration::ZERO
        };
        self.given += 1;
        self.ordered_at.get_or_insert_with(Instant::now);
        (answer.unwrap_or_default(), after)
    }
}
