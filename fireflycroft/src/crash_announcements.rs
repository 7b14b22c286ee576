//! Crash counts to be told to the fleet again: any one message may be lost,
//! and the next entry must know before the caller sends the request again.

use crate::ids::Digest;
use crate::message::Message;
use crate::time::Time;
use std::time::Duration;

/// Times that a count is told after the first.
const TELLINGS: u8 = 4;

/// Time between two tellings.
const BETWEEN: Duration = Duration::from_millis(400);

/// Counts told at once; beyond it a count is told only the first time.
const MAX_ITEMS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct Item {
    content: Digest,
    count: u8,
    next: Time,
    left: u8,
}

/// Counts that are still to be told.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashAnnouncements {
    items: Vec<Item>,
}

impl CrashAnnouncements {
    /// Takes a count that has just been told for the first time.
    pub(crate) fn add(&mut self, now: Time, content: Digest, count: u8) {
        self.items.retain(|i| i.content != content);
        if self.items.len() < MAX_ITEMS {
            self.items.push(Item {
                content,
                count,
                next: now + BETWEEN,
                left: TELLINGS,
            });
        }
    }

    /// Messages to be told now.
    pub(crate) fn due(&mut self, now: Time) -> Vec<Message> {
        let mut out = Vec::new();
        for item in self.items.iter_mut().filter(|i| i.next <= now) {
            item.next = now + BETWEEN;
            item.left -= 1;
            out.push(Message::Crashes {
                content: item.content,
                count: item.count,
            });
        }
        self.items.retain(|i| i.left > 0);
        out
    }
}
