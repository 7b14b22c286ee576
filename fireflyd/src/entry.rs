//! Event loop of an entry: drives the core with messages, calls and timers.

use std::collections::HashMap;
use std::sync::Arc;

use fireflycroft::{
    CallId, Config, ConfigVersion, Entry, EntryAction, EntryEvent, EntrySetup, Envelope,
    LeaseAnswer, LeaseCall, LeaseTimings, MeasuredRequest, Message, PlacementLimits, Priority,
    Reply, Time, Vm,
};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::admin::Readiness;
use crate::claims;
use crate::config_feed::ConfigFeed;
use crate::fleet::{Fleet, FleetChanges};
use crate::frontend::FrontendEvent;
use crate::leader::Leader;
use crate::leases;
use crate::metrics::Metrics;
use crate::node::{Node, TICK};
use crate::platform::PlatformClient;
use crate::status::Status;

/// Number of entries that compete for the fleet's lease.
const LEASE_CANDIDATES: usize = 2;
/// Most further events handled in one turn before messages are sent.
const MAX_EVENTS_PER_TURN: usize = 256;

/// Input of the loop other than calls and peers' messages.
#[derive(Debug)]
pub enum EntryInput {
    /// An event for the core.
    Core(EntryEvent),
    /// A configuration was read.
    Config(Arc<Config>),
    /// The VM list was read.
    Vms(Vec<Vm>),
    /// The platform's answer about the fleet's lease.
    Lease(LeaseCall, LeaseAnswer),
    /// A planned stop was requested.
    Leave,
}

/// Event loop of an entry, with its state.
pub struct EntryLoop {
    core: Entry,
    node: Node,
    platform: PlatformClient,
    feed: ConfigFeed,
    ready: Readiness,
    status: Status,
    leader: Leader,
    is_candidate: bool,
    replies: HashMap<CallId, mpsc::UnboundedSender<Reply>>,
    /// Failures of this turn, delivered after its messages are sent.
    failures: Vec<(CallId, Reply)>,
    tx: mpsc::Sender<EntryInput>,
}

impl EntryLoop {
    /// Creates the loop; its background tasks send their results to `tx`,
    /// whose receiver is passed to [`run`](Self::run).
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
        let leader = Leader::new(
            node.me.name.clone(),
            rand::random(),
            LeaseTimings::default(),
            PlacementLimits::default(),
        );
        Self {
            core: Entry::new(setup),
            node,
            platform,
            feed,
            ready,
            status,
            leader,
            is_candidate: false,
            replies: HashMap::new(),
            failures: Vec::new(),
            tx,
        }
    }

    /// Runs until a planned stop is complete: the grace period is over and
    /// the last call has ended.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Vec<u8>>,
        mut calls: mpsc::Receiver<FrontendEvent>,
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
            for _ in 0..MAX_EVENTS_PER_TURN {
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
                self.refuse_rest(calls).await;
                log::info!(event = "entry_stopped"; "");
                return;
            }
        }
    }

    /// Refuses the calls that came while the loop ended; later ones find the channel closed.
    async fn refuse_rest(&mut self, mut calls: mpsc::Receiver<FrontendEvent>) {
        calls.close();
        while let Some(event) = calls.recv().await {
            self.on_call(event);
        }
        self.flush();
    }

    fn on_mail(&mut self, buf: &[u8]) {
        let Some((header, messages)) = self.node.read(buf) else {
            return;
        };
        let now = self.node.now();
        let changes = self
            .node
            .fleet
            .on_received(now, &header.from, &mut self.node.outbox);
        self.apply_fleet_changes(changes);
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
            message if Fleet::is_membership_message(message) => {
                let message = message.clone();
                let changes =
                    self.node
                        .fleet
                        .on_message(now, &envelope.from, message, &mut self.node.outbox);
                self.apply_fleet_changes(changes);
                // The envelope also carries the load and the configuration version.
                self.drive(EntryEvent::Message(Box::new(envelope)));
            }
            Message::ConfigPull { .. } | Message::ConfigPart { .. } => {
                self.feed
                    .on_message(envelope.from.addr, &envelope.body, &mut self.node.outbox);
            }
            Message::OrderAnswer { id, code, fence } => {
                self.leader.on_order_answer(now, *id, *code, *fence);
            }
            _ => self.drive(EntryEvent::Message(Box::new(envelope))),
        }
    }

    fn on_call(&mut self, event: FrontendEvent) {
        match event {
            FrontendEvent::Open(id, tx) => {
                self.replies.insert(id, tx);
            }
            FrontendEvent::Event(event) => {
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
            EntryInput::Config(config) => {
                let before = self.core.config_version();
                self.drive(EntryEvent::Config(config));
                self.announce_config(before);
                self.publish_status();
            }
            EntryInput::Vms(vms) => {
                let now = self.node.now();
                let changes = self.node.fleet.on_vms(now, vms, &mut self.node.outbox);
                self.apply_fleet_changes(changes);
            }
            EntryInput::Lease(call, answer) => {
                let now = self.node.now();
                self.leader.on_answer(now, call, answer);
            }
            EntryInput::Leave => {
                self.node.grace.begin();
                let now = self.node.now();
                self.node.fleet.leave(now, &mut self.node.outbox);
                self.drive(EntryEvent::Leave);
                self.publish_status();
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.node.now();
        let changes = self.node.fleet.on_tick(now, &mut self.node.outbox);
        self.apply_fleet_changes(changes);
        let entries = self.node.fleet.entries();
        self.drive(EntryEvent::EntryCount(entries));
        self.drive(EntryEvent::Tick);
        self.run_leader(now);
        self.update_readiness();
        if self.node.start_maintenance(now) {
            self.run_maintenance();
        }
    }

    /// Runs the tasks whose cost grows with the members, less often than each tick.
    fn run_maintenance(&mut self) {
        self.feed.set_watching(self.node.fleet.is_watcher());
        self.is_candidate = self.node.fleet.rank() < LEASE_CANDIDATES;
        self.node.update_member_counts();
        self.status.set(self.status_json());
    }

    /// Publishes readiness first, then the status, without waiting for a tick.
    fn publish_status(&self) {
        self.update_readiness();
        self.status.set(self.status_json());
    }

    /// Announces a newly active version to a few members: the message carries
    /// the version, and lagging members pull it.
    fn announce_config(&mut self, before: ConfigVersion) {
        let have = self.core.config_version();
        if have > before {
            let message = Message::ConfigPull { have, part: 0 };
            self.node
                .fleet
                .announce_to_some(&message, &mut self.node.outbox);
        }
    }

    /// Drives the lease, and the placement of models while this entry holds it.
    fn run_leader(&mut self, now: Time) {
        let candidate = !self.core.is_leaving() && self.is_candidate;
        let (request, event) = self.leader.on_tick(now, candidate);
        if let Some(event) = event {
            self.node.record_event(&event);
        }
        if let Some((call, op)) = request {
            let platform = self.platform.clone();
            let tx = self.tx.clone();
            tokio::spawn(async move {
                let answer = leases::execute(&platform, op).await;
                let _ = tx.send(EntryInput::Lease(call, answer)).await;
            });
        }
        // Only the lease holder places models.
        if self.leader.held(now).is_some()
            && let Some(config) = self.core.config().cloned()
        {
            self.leader
                .place(now, &config, self.core.router(), &mut self.node.outbox);
        }
    }

    fn apply_fleet_changes(&mut self, changes: FleetChanges) {
        if changes.leave {
            self.on_input(EntryInput::Leave);
        }
        for record in changes.changed {
            log::info!(event = "member_changed", name = &*record.peer.name, state:? = record.state; "");
            self.drive(EntryEvent::Member(record));
        }
    }

    fn drive(&mut self, event: EntryEvent) {
        let mut out = Vec::new();
        let now = self.node.now();
        self.core.on_event(now, event, &mut out);
        for action in out {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: EntryAction) {
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
                    let answer = claims::execute(&platform, key, op).await;
                    let _ = tx
                        .send(EntryInput::Core(EntryEvent::Claim(id, answer)))
                        .await;
                });
            }
            EntryAction::PullConfig(from) => self.feed.pull(from, &mut self.node.outbox),
            EntryAction::Measured(measured) => record_request(&self.node.metrics, &measured),
            EntryAction::LogEvent(event) => self.node.record_event(&event),
        }
    }

    fn reply(&mut self, id: CallId, reply: Reply) {
        if matches!(reply, Reply::Fail { .. }) {
            // The fleet's messages about a failure are sent before the reply.
            self.failures.push((id, reply));
        } else {
            self.deliver(id, reply);
        }
    }

    fn deliver(&mut self, id: CallId, reply: Reply) {
        let last = matches!(reply, Reply::End(_) | Reply::Fail { .. });
        // The replies of a disconnected caller are discarded.
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
        for (id, reply) in std::mem::take(&mut self.failures) {
            self.deliver(id, reply);
        }
    }

    fn update_readiness(&self) {
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
        } else if self.core.is_lagging() {
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
                    "serves": a.serves,
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
            "lease": self.leader.held(self.node.now()),
            "agents": agents,
        })
    }
}

fn record_request(metrics: &Metrics, measured: &MeasuredRequest) {
    let priority = match measured.priority {
        Priority::Interactive => "interactive",
        Priority::Batch => "batch",
    };
    let brand = &*measured.brand;
    let code = measured.code.number().to_string();
    metrics
        .requests
        .with_label_values(&[brand, priority, &code])
        .inc();
    if let Some(met) = measured.met {
        let met = if met { "true" } else { "false" };
        metrics
            .objective
            .with_label_values(&[brand, priority, met])
            .inc();
    }
}
