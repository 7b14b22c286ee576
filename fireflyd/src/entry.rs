//! The loop of an entry: sockets and timers round its core.

use std::collections::HashMap;
use std::sync::Arc;

use fireflycroft::{
    CallId, Config, Entry, EntryAction, EntryEvent, EntrySetup, Envelope, MemberRecord, Message,
    Reply,
};
use fireflycroft_wire::decode_all;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::admin::Readiness;
use crate::claims;
use crate::config_feed::ConfigFeed;
use crate::front::FrontEvent;
use crate::node::{Node, TICK};
use crate::platform::PlatformClient;
use crate::status::Status;

/// Events taken in one turn before messages go out.
const TURN: usize = 256;

/// What reaches the loop from beside callers and peers.
#[derive(Debug)]
pub enum EntryInput {
    /// For the core.
    Core(EntryEvent),
    /// A configuration was read.
    Config(Arc<Config>),
    /// The entry is to stop.
    Leave,
}

/// The entry's loop and what it owns.
pub struct EntryLoop {
    core: Entry,
    node: Node,
    platform: PlatformClient,
    feed: ConfigFeed,
    ready: Readiness,
    status: Status,
    replies: HashMap<CallId, mpsc::UnboundedSender<Reply>>,
    tx: mpsc::Sender<EntryInput>,
}

impl EntryLoop {
    /// A loop that will take its own inputs from the other end of `tx`.
    #[must_use]
    pub fn new(
        setup: EntrySetup,
        node: Node,
        platform: PlatformClient,
        feed: ConfigFeed,
        ready: Readiness,
        status: Status,
        tx: mpsc::Sender<EntryInput>,
    ) -> Self {
        Self {
            core: Entry::new(setup),
            node,
            platform,
            feed,
            ready,
            status,
            replies: HashMap::new(),
            tx,
        }
    }

    /// Runs until a planned stop has ended the last call.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Vec<u8>>,
        mut calls: mpsc::Receiver<FrontEvent>,
        mut inputs: mpsc::Receiver<EntryInput>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(buf) = mail.recv() => self.on_mail(&buf),
                Some(event) = calls.recv() => self.on_call(event),
                Some(input) = inputs.recv() => self.on_input(input),
                _ = tick.tick() => self.on_tick(),
            }
            for _ in 0..TURN {
                if let Ok(buf) = mail.try_recv() {
                    self.on_mail(&buf);
                } else if let Ok(event) = calls.try_recv() {
                    self.on_call(event);
                } else {
                    break;
                }
            }
            self.flush();
            if self.node.grace.is_over() && self.core.is_idle() && calls.is_empty() {
                log::info!(event = "entry_stopped"; "");
                return;
            }
        }
    }

    fn on_mail(&mut self, buf: &[u8]) {
        let (header, messages) = match decode_all(buf) {
            Ok(decoded) => decoded,
            Err(e) => {
                log::warn!(event = "message_unreadable", code = e.code().number(), cause:% = e; "");
                return;
            }
        };
        for message in messages {
            self.on_message(Envelope {
                from: header.from.clone(),
                config: header.config,
                load: header.load,
                body: message,
            });
        }
    }

    fn on_message(&mut self, envelope: Envelope) {
        let now = self.node.now();
        match &envelope.body {
            Message::Ping { .. } | Message::Pong { .. } => {
                let changed = self.node.fleet.on_message(
                    now,
                    &envelope.from,
                    &envelope.body,
                    &mut self.node.outbox,
                );
                self.learn(changed);
                // The load and the version ride on these too.
                self.drive(EntryEvent::Message(Box::new(envelope)));
            }
            Message::ConfigPull { .. } | Message::ConfigPart { .. } => {
                self.feed
                    .on_message(envelope.from.addr, &envelope.body, &mut self.node.outbox);
            }
            _ => self.drive(EntryEvent::Message(Box::new(envelope))),
        }
    }

    fn on_call(&mut self, event: FrontEvent) {
        match event {
            FrontEvent::Open(id, tx) => {
                self.replies.insert(id, tx);
            }
            FrontEvent::Event(event) => {
                if let EntryEvent::CallerGone(id) = &event {
                    self.replies.remove(id);
                }
                self.drive(event);
            }
        }
    }

    fn on_input(&mut self, input: EntryInput) {
        match input {
            EntryInput::Core(event) => self.drive(event),
            EntryInput::Config(config) => self.drive(EntryEvent::Config(config)),
            EntryInput::Leave => {
                self.node.grace.begin();
                self.node.fleet.leave();
                self.drive(EntryEvent::Leave);
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.node.now();
        let changed = self.node.fleet.on_tick(now, &mut self.node.outbox);
        self.learn(changed);
        let entries = self.node.fleet.entries();
        self.drive(EntryEvent::Entries(entries));
        self.drive(EntryEvent::Tick);
        self.tell_state();
    }

    fn learn(&mut self, changed: Vec<MemberRecord>) {
        for record in changed {
            log::info!(event = "member_changed", name = &*record.peer.name, state:? = record.state; "");
            self.drive(EntryEvent::Member(record));
        }
    }

    fn drive(&mut self, event: EntryEvent) {
        let mut out = Vec::new();
        let now = self.node.now();
        self.core.on_event(now, event, &mut out);
        for action in out {
            self.act(action);
        }
    }

    fn act(&mut self, action: EntryAction) {
        match action {
            EntryAction::Send(to, message) => self.node.outbox.push(to, message),
            EntryAction::Broadcast(message) => {
                for to in self.node.fleet.addrs() {
                    self.node.outbox.push(to, message.clone());
                }
            }
            EntryAction::Reply(id, reply) => self.reply(id, reply),
            EntryAction::Claim(id, key, op) => {
                let platform = self.platform.clone();
                let tx = self.tx.clone();
                tokio::spawn(async move {
                    let answer = claims::ask(&platform, key, op).await;
                    let _ = tx
                        .send(EntryInput::Core(EntryEvent::Claim(id, answer)))
                        .await;
                });
            }
            EntryAction::PullConfig(from) => self.feed.pull(from, &mut self.node.outbox),
            EntryAction::Note(note) => self.node.note(&note),
        }
    }

    fn reply(&mut self, id: CallId, reply: Reply) {
        let last = matches!(reply, Reply::End(_) | Reply::Fail { .. });
        // A caller that went away has told so; its replies are for nobody.
        if let Some(tx) = self.replies.get(&id) {
            let _ = tx.send(reply);
        }
        if last {
            self.replies.remove(&id);
        }
    }

    fn flush(&mut self) {
        let config = self.core.config_version();
        self.node
            .outbox
            .flush(&self.node.mailbox, &self.node.me, config, None);
    }

    fn tell_state(&self) {
        let agents = self
            .core
            .router()
            .agents()
            .filter(|a| !a.load.leaving)
            .count();
        let reason = if self.core.is_leaving() {
            Some("leaving")
        } else if self.core.config().is_none() {
            Some("no configuration")
        } else if self.core.is_behind() {
            Some("the configuration is behind")
        } else if agents == 0 {
            Some("no agent")
        } else {
            None
        };
        match reason {
            None => self.ready.set_ready(),
            Some(reason) => self.ready.set_not_ready(reason),
        }
        let calls = i64::try_from(self.core.calls()).unwrap_or(i64::MAX);
        self.node.metrics.streams_running.set(calls);
        let quarantined = i64::try_from(self.core.quarantined()).unwrap_or(i64::MAX);
        self.node.metrics.quarantined_digests.set(quarantined);
        self.status.set(self.status_json());
    }

    fn status_json(&self) -> Value {
        let agents: Vec<Value> = self
            .core
            .router()
            .agents()
            .map(|a| {
                json!({
                    "name": a.peer.name,
                    "data_centre": a.data_centre,
                    "state": format!("{:?}", a.state).to_lowercase(),
                    "running": a.load.running,
                    "queued": a.load.queued,
                    "leaving": a.load.leaving,
                })
            })
            .collect();
        json!({
            "name": self.node.me.name,
            "role": "entry",
            "config_version": self.core.config_version().0,
            "streams": self.core.calls(),
            "queue": 0,
            "leaving": self.core.is_leaving(),
            "agents": agents,
        })
    }
}
