//! Event loop of an agent: connects its core to sockets and timers.

use std::collections::HashMap;
use std::sync::Arc;

use fireflycroft::{
    ActiveConfig, Agent, AgentAction, AgentEvent, AgentSetup, Config, ConfigVersion, Envelope,
    GenerationId, Message, Vm,
};
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::admin::Readiness;
use crate::config_feed::ConfigFeed;
use crate::fleet::{Fleet, FleetChanges};
use crate::node::{Node, TICK};
use crate::runner::Runner;
use crate::status::Status;

/// Maximum number of events handled before queued messages are sent.
const MAX_EVENTS_PER_TURN: usize = 256;

/// Local input of the loop, as opposed to messages from peers.
#[derive(Debug)]
pub enum AgentInput {
    /// Event for the core.
    Core(AgentEvent),
    /// New configuration.
    Config(Arc<Config>),
    /// Current VM list.
    Vms(Vec<Vm>),
    /// Request to drain and stop.
    Leave,
}

/// Event loop of an agent and the state that it owns.
pub struct AgentLoop {
    core: Agent,
    node: Node,
    runner: Runner,
    feed: ConfigFeed,
    config: ActiveConfig,
    ready: Readiness,
    status: Status,
    running: HashMap<GenerationId, AbortHandle>,
    tx: mpsc::Sender<AgentInput>,
    upstream_up: bool,
}

impl AgentLoop {
    /// Creates a loop; its tasks report through `tx`, whose receiver goes to [`Self::run`].
    #[must_use]
    pub fn new(
        setup: AgentSetup,
        node: Node,
        runner: Runner,
        feed: ConfigFeed,
        ready: Readiness,
        status: Status,
        tx: mpsc::Sender<AgentInput>,
    ) -> Self {
        Self {
            core: Agent::new(setup),
            node,
            runner,
            feed,
            config: ActiveConfig::default(),
            ready,
            status,
            running: HashMap::new(),
            tx,
            upstream_up: false,
        }
    }

    /// Runs until the agent has drained after a planned stop.
    pub async fn run(
        mut self,
        mut mail: mpsc::Receiver<Vec<u8>>,
        mut inputs: mpsc::Receiver<AgentInput>,
    ) {
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(buf) = mail.recv() => self.on_mail(&buf),
                Some(input) = inputs.recv() => self.on_input(input),
                _ = tick.tick() => self.on_tick(),
            }
            for _ in 0..MAX_EVENTS_PER_TURN {
                if let Ok(buf) = mail.try_recv() {
                    self.on_mail(&buf);
                } else if let Ok(input) = inputs.try_recv() {
                    self.on_input(input);
                } else {
                    break;
                }
            }
            self.flush();
            if self.node.grace.is_over() && self.core.is_idle() {
                log::info!(event = "agent_stopped"; "");
                return;
            }
        }
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
        self.apply_fleet_changes(&changes);
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
        self.config.observe_version(envelope.config);
        match &envelope.body {
            message if Fleet::is_membership_message(message) => {
                let message = message.clone();
                let changes =
                    self.node
                        .fleet
                        .on_message(now, &envelope.from, message, &mut self.node.outbox);
                self.apply_fleet_changes(&changes);
                self.drive(AgentEvent::Message(Box::new(envelope)));
            }
            Message::ConfigPull { .. } | Message::ConfigPart { .. } => {
                self.feed
                    .on_message(envelope.from.addr, &envelope.body, &mut self.node.outbox);
            }
            _ => self.drive(AgentEvent::Message(Box::new(envelope))),
        }
    }

    fn on_input(&mut self, input: AgentInput) {
        match input {
            AgentInput::Core(event) => {
                match &event {
                    AgentEvent::UpstreamUp => self.upstream_up = true,
                    AgentEvent::UpstreamDown => self.upstream_up = false,
                    AgentEvent::Finished { generation, .. }
                    | AgentEvent::NotStarted { generation, .. } => {
                        self.running.remove(generation);
                    }
                    _ => {}
                }
                self.drive(event);
            }
            AgentInput::Config(config) => {
                let before = self.config.version();
                self.config.adopt(config);
                let have = self.config.version();
                self.drive(AgentEvent::Config(have));
                self.publish_state();
                if have > before {
                    let message = Message::ConfigPull { have, part: 0 };
                    self.node
                        .fleet
                        .announce_to_some(&message, &mut self.node.outbox);
                }
            }
            AgentInput::Vms(vms) => {
                let now = self.node.now();
                let changes = self.node.fleet.on_vms(now, vms, &mut self.node.outbox);
                self.apply_fleet_changes(&changes);
            }
            AgentInput::Leave => {
                self.node.grace.begin();
                let now = self.node.now();
                self.node.fleet.leave(now, &mut self.node.outbox);
                self.drive(AgentEvent::Leave);
                self.publish_state();
            }
        }
    }

    fn on_tick(&mut self) {
        let now = self.node.now();
        let changes = self.node.fleet.on_tick(now, &mut self.node.outbox);
        self.apply_fleet_changes(&changes);
        self.drive(AgentEvent::Tick);
        self.node
            .fleet
            .set_serves(now, self.core.serves(), &mut self.node.outbox);
        self.update_readiness();
        if self.node.start_maintenance(now) {
            self.run_maintenance();
        }
    }

    /// Runs the work that iterates over all members, less often than each tick.
    fn run_maintenance(&mut self) {
        self.feed.set_watching(self.node.fleet.is_watcher());
        self.node.update_member_counts();
        self.status.set(self.status_json());
    }

    /// Publishes readiness, then the status, without waiting for the next tick.
    fn publish_state(&self) {
        self.update_readiness();
        self.status.set(self.status_json());
    }

    /// Handles only the request to leave; an agent ignores changes of other members.
    fn apply_fleet_changes(&mut self, changes: &FleetChanges) {
        if changes.leave {
            self.on_input(AgentInput::Leave);
        }
    }

    fn drive(&mut self, event: AgentEvent) {
        let mut out = Vec::new();
        let now = self.node.now();
        self.core.on_event(now, event, &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: AgentAction) {
        match action {
            AgentAction::Send(to, message) => self.node.outbox.push(to, message),
            AgentAction::Broadcast(message) => {
                for to in self.node.fleet.addrs() {
                    self.node.outbox.push(to, message.clone());
                }
            }
            AgentAction::Run {
                generation,
                request,
                demand,
                work,
            } => {
                let runner = self.runner.clone();
                let tx = self.tx.clone();
                let task = tokio::spawn(async move {
                    runner.run(generation, request, demand, work, &tx).await;
                });
                self.running.insert(generation, task.abort_handle());
            }
            AgentAction::Resume { generation, from } => {
                let runner = self.runner.clone();
                let tx = self.tx.clone();
                let task = tokio::spawn(async move { runner.resume(generation, from, &tx).await });
                self.running.insert(generation, task.abort_handle());
            }
            AgentAction::Stop(generation) => {
                if let Some(task) = self.running.remove(&generation) {
                    task.abort();
                }
                let runner = self.runner.clone();
                tokio::spawn(async move { runner.cancel(generation).await });
            }
            AgentAction::Order(order) => {
                let runner = self.runner.clone();
                let tx = self.tx.clone();
                tokio::spawn(async move { runner.execute_order(&order, &tx).await });
            }
            AgentAction::PullConfig(from) => self.feed.pull(from, &mut self.node.outbox),
            AgentAction::LogEvent(note) => self.node.record_event(&note),
        }
    }

    fn flush(&mut self) {
        let load = self.core.load();
        self.node.outbox.flush(
            &self.node.mailbox,
            &self.node.me,
            self.config.version(),
            Some(load),
        );
    }

    fn update_readiness(&self) {
        let reason = if self.core.is_leaving() {
            Some("leaving")
        } else if !self.upstream_up {
            Some("the upstream does not answer")
        } else if self.config.version() == ConfigVersion(0) {
            Some("no configuration")
        } else if self.config.is_lagging() {
            Some("the configuration is behind")
        } else {
            None
        };
        match reason {
            None => self.ready.set_ready(),
            Some(reason) => self.ready.set_not_ready(reason),
        }
        let running = i64::try_from(self.core.running()).unwrap_or(i64::MAX);
        self.node.metrics.streams_running.set(running);
        let quarantined = i64::try_from(self.core.quarantined()).unwrap_or(i64::MAX);
        self.node.metrics.quarantined_digests.set(quarantined);
        let version = i64::try_from(self.config.version().0).unwrap_or(i64::MAX);
        self.node.metrics.config_version.set(version);
    }

    fn status_json(&self) -> Value {
        let load = self.core.load();
        json!({
            "name": self.node.me.name,
            "role": "agent",
            "config_version": self.config.version().0,
            "streams": self.core.running(),
            "queue": load.queued,
            "used_tokens": load.used_tokens,
            "expected_tokens": load.expected_tokens,
            "capacity_tokens": load.capacity_tokens,
            "leaving": self.core.is_leaving(),
            "serves": self.core.serves(),
            "upstream_up": self.upstream_up,
        })
    }
}
