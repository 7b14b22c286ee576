//! Callers who were refused for lack of room, and come back.
//!
//! Each attempt of a caller has an id of its own, and what a caller says of the
//! time that it will still wait tells nothing of the time that it has waited:
//! callers of one kind differ by a sixth in it. So a returning caller is known by what it asks: path, key and body.
//! Entries tell each other whom they refused, since callers return to any of them.
//!
//! All of it is lost with an entry, and then its callers count as new ones.

use crate::ids::Digest;
use crate::time::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Time for which a refused caller is remembered: longer than it is told to wait.
const REMEMBER_FOR: Duration = Duration::from_secs(4);

/// Time for which a refusal is told again and again: two tellings, of which one may be lost.
const REPORT_FOR: Duration = Duration::from_millis(600);

/// Refusals told at a time, the newest first.
const MAX_REPORTED: usize = 24;

/// Time between two looks for those to forget, once as many as allowed are remembered.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Refused callers remembered.
const MAX_REMEMBERED: usize = 4_096;

/// A refusal for lack of room, as entries tell it each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Digest of what the caller asked.
    pub content: Digest,
    /// Time since.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Refused {
    since: Time,
    is_own: bool,
}

/// Callers who were refused of late, by what they asked.
#[derive(Clone, Debug, Default)]
pub struct ReturningCallers {
    refused: HashMap<Digest, Refused>,
    swept: Time,
}

impl ReturningCallers {
    /// Notes that a caller was refused and told to come back; the first time counts.
    pub fn record_refusal(&mut self, now: Time, content: Digest) {
        let refused = Refused {
            since: now,
            is_own: true,
        };
        self.remember(now, content, refused);
    }

    /// Takes a refusal that another entry told.
    pub fn apply_refusal(&mut self, now: Time, reported: &Refusal) {
        let refused = Refused {
            since: now - reported.age,
            is_own: false,
        };
        self.remember(now, reported.content, refused);
    }

    fn remember(&mut self, now: Time, content: Digest, refused: Refused) {
        let is_full = self.refused.len() >= MAX_REMEMBERED;
        if is_full && now.since(self.swept) >= SWEEP_INTERVAL {
            self.swept = now;
            self.refused
                .retain(|_, r| now.since(r.since) < REMEMBER_FOR);
        }
        if self.refused.len() >= MAX_REMEMBERED {
            return;
        }
        let known = self.refused.entry(content).or_insert(refused);
        if now.since(known.since) >= REMEMBER_FOR {
            *known = refused;
        }
    }

    /// Time since a caller who asks this was refused for the first time.
    #[must_use]
    pub fn waited(&self, now: Time, content: Digest) -> Option<Duration> {
        let refused = self.refused.get(&content)?;
        let waited = now.since(refused.since);
        (waited < REMEMBER_FOR).then_some(waited)
    }

    /// Refusals of this entry, to tell the others.
    #[must_use]
    pub fn own_refusals(&self, now: Time) -> Vec<Refusal> {
        let fresh = |r: &Refused| r.is_own && now.since(r.since) < REPORT_FOR;
        let own = self.refused.iter().filter(|(_, r)| fresh(r));
        let mut reported: Vec<Refusal> = own
            .map(|(content, r)| Refusal {
                content: *content,
                age: now.since(r.since),
            })
            .collect();
        reported.sort_by_key(|r| r.age);
        reported.truncate(MAX_REPORTED);
        reported
    }
}
