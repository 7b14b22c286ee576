//! Outgoing messages, batched by destination.
//!
//! The messages of one turn to one process share a mailbox message, which
//! saves a seal and a system call for each token.

use std::collections::HashMap;
use std::net::SocketAddr;

use fireflycroft::{ConfigVersion, Load, Message, Peer};
use fireflycroft_wire::encode_all;

use crate::mailbox::Mailbox;

/// Most messages in one mailbox message.
const MAX_BATCH: usize = 64;

/// Outgoing messages of one turn.
#[derive(Debug, Default)]
pub struct Outbox {
    by_addr: HashMap<SocketAddr, Vec<Message>>,
}

impl Outbox {
    /// Adds a message.
    pub fn push(&mut self, to: SocketAddr, message: Message) {
        self.by_addr.entry(to).or_default().push(message);
    }

    /// Returns whether no message was added since the last flush.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_addr.is_empty()
    }

    /// Sends all messages added since the last flush.
    pub fn flush(
        &mut self,
        mailbox: &Mailbox,
        me: &Peer,
        config: ConfigVersion,
        load: Option<Load>,
    ) {
        for (to, messages) in self.by_addr.drain() {
            for batch in batches(messages) {
                mailbox.send(to, encode_all(me, config, load.as_ref(), &batch));
            }
        }
    }
}

/// Splits messages into batches, with each large one in a batch of its own.
fn batches(messages: Vec<Message>) -> Vec<Vec<Message>> {
    let mut out: Vec<Vec<Message>> = Vec::new();
    let mut can_append = false;
    for message in messages {
        let large = is_large(&message);
        match out.last_mut() {
            Some(last) if can_append && !large && last.len() < MAX_BATCH => last.push(message),
            _ => out.push(vec![message]),
        }
        can_append = !large;
    }
    out
}

fn is_large(message: &Message) -> bool {
    match message {
        Message::Start { .. } | Message::ConfigPart { .. } => true,
        Message::Tokens { chunk, .. } => chunk.data.len() > 4 * 1024,
        _ => false,
    }
}
