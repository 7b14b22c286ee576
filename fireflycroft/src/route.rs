//! Routing: the entry's table of agents and its choice among them.
//!
//! Every message from an agent carries its load, so the table is as recent as
//! the last message. Requests sent since are added to that load.

use crate::ids::{Digest, IdSource, Name, Peer};
use crate::member_record::{MemberRecord, MemberState};
use crate::message::Load;
use crate::time::Time;
use crate::work::{Demand, Priority};
use std::net::SocketAddr;
use std::time::Duration;

/// How an entry chooses among agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Lowest expected wait and memory use.
    #[default]
    Expected,
    /// Each in turn. A baseline.
    RoundRobin,
    /// Fewest requests of this entry in progress. A baseline.
    LeastOutstanding,
    /// The less loaded of two random agents, by their last reports. A baseline.
    TwoChoices,
}

/// Index of an agent in the entry's table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AgentIx(usize);

/// The entry's view of one agent.
#[derive(Clone, Debug)]
pub struct AgentView {
    /// The agent's identity and address.
    pub peer: Peer,
    /// Data centre that it runs in.
    pub data_centre: Name,
    /// Membership state.
    pub state: MemberState,
    /// Models or plain services of its upstream.
    pub serves: Vec<Name>,
    /// Last reported load.
    pub load: Load,
    /// Time at which the load was received.
    pub load_received: Time,
    /// Requests of this entry in progress there.
    pub outstanding: u32,
    /// Requests sent there since its last load report.
    pub sent_since: u32,
    /// Prompt tokens of those requests.
    pub sent_tokens: u64,
    /// Share of this entry's recent interactive requests that went there.
    pub interactive_share: f64,
    avoid_until: Time,
}

/// The entry's table of agents.
#[derive(Clone, Debug)]
pub struct Router {
    policy: RoutePolicy,
    data_centre: Name,
    agents: Vec<AgentView>,
    round_robin_turn: usize,
}

const SUSPECT_PENALTY: f64 = 1_000.0;
const SLOW_PENALTY: f64 = 2.0;
const REMOTE_PENALTY: f64 = 0.01;

/// Interactive work gathers on an agent up to its largest batch divided by this.
const GATHER_BATCH_DIVISOR: u32 = 2;

/// Batch size that costs as much as the whole memory.
const UNIT_COST_BATCH: f64 = 64.0;

/// Prompt length that costs as much as the whole memory on an agent with all interactive work.
const UNIT_COST_PROMPT_TOKENS: f64 = 500.0;

/// Wait, in engine steps, that costs as much as the whole memory.
const UNIT_COST_WAIT_STEPS: f64 = 256.0;

/// Step duration used for waits before any agent has reported one.
const MIN_STEP: Duration = Duration::from_millis(1);

/// Step duration above which an agent is slow, in tenths of its peers' median.
const SLOW_STEP_TENTHS: u32 = 25;

/// Weight of one request in the moving average of interactive shares.
const INTERACTIVE_SHARE_WEIGHT: f64 = 0.02;

impl Router {
    /// Creates an empty table for an entry in `data_centre`.
    #[must_use]
    pub const fn new(policy: RoutePolicy, data_centre: Name) -> Self {
        Self {
            policy,
            data_centre,
            agents: Vec::new(),
            round_robin_turn: 0,
        }
    }

    /// Adds or updates an agent from its membership record.
    pub fn upsert(&mut self, record: &MemberRecord) {
        if let Some(agent) = self
            .agents
            .iter_mut()
            .find(|a| a.peer.name == record.peer.name)
        {
            if agent.peer.incarnation != record.peer.incarnation {
                agent.load = Load::default();
                agent.avoid_until = Time::default();
            }
            agent.peer = record.peer.clone();
            agent.state = record.state;
            agent.serves.clone_from(&record.serves);
            agent.data_centre = record.data_centre.clone();
            return;
        }
        self.agents.push(AgentView {
            peer: record.peer.clone(),
            data_centre: record.data_centre.clone(),
            state: record.state,
            serves: record.serves.clone(),
            load: Load::default(),
            load_received: Time::default(),
            outstanding: 0,
            sent_since: 0,
            sent_tokens: 0,
            interactive_share: 0.0,
            avoid_until: Time::default(),
        });
    }

    /// Records the load that an agent reported.
    pub fn record_load(&mut self, now: Time, name: &Name, load: Load) {
        if let Some(agent) = self.by_name_mut(name) {
            agent.load = load;
            agent.load_received = now;
            agent.sent_since = 0;
            agent.sent_tokens = 0;
        }
    }

    /// Records a request sent to the agent.
    pub fn record_sent(&mut self, name: &Name, demand: &Demand) {
        if demand.priority == Priority::Interactive {
            self.update_interactive_shares(name);
        }
        if let Some(agent) = self.by_name_mut(name) {
            agent.outstanding += 1;
            agent.sent_since += 1;
            agent.sent_tokens += u64::from(demand.prompt_tokens);
        }
    }

    fn update_interactive_shares(&mut self, name: &Name) {
        for agent in &mut self.agents {
            agent.interactive_share *= 1.0 - INTERACTIVE_SHARE_WEIGHT;
            if agent.peer.name == *name {
                agent.interactive_share += INTERACTIVE_SHARE_WEIGHT;
            }
        }
    }

    /// Records the end of a request at the agent.
    pub fn record_done(&mut self, name: &Name) {
        if let Some(agent) = self.by_name_mut(name) {
            agent.outstanding = agent.outstanding.saturating_sub(1);
        }
    }

    /// Excludes the agent from the choice for `span`.
    pub fn avoid(&mut self, now: Time, name: &Name, span: Duration) {
        if let Some(agent) = self.by_name_mut(name) {
            agent.avoid_until = agent.avoid_until.max(now + span);
        }
    }

    /// Returns the agent of that name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&AgentView> {
        self.agents.iter().find(|a| *a.peer.name == *name)
    }

    /// Returns the mailbox address of the agent of that name.
    #[must_use]
    pub fn addr_of(&self, name: &str) -> Option<SocketAddr> {
        self.by_name(name).map(|a| a.peer.addr)
    }

    /// Returns the agent at that index.
    #[must_use]
    pub fn get(&self, ix: AgentIx) -> &AgentView {
        &self.agents[ix.0]
    }

    /// Returns all known agents.
    pub fn agents(&self) -> impl Iterator<Item = &AgentView> {
        self.agents.iter()
    }

    /// Returns whether any agent, however loaded, serves `target`.
    #[must_use]
    pub fn any_serves(&self, target: &Name) -> bool {
        self.agents
            .iter()
            .any(|a| is_usable(a) && a.serves.contains(target))
    }

    /// Chooses an agent outside `tried` for `demand`.
    pub fn choose(
        &mut self,
        now: Time,
        demand: &Demand,
        tried: &[Name],
        ids: &mut IdSource,
    ) -> Option<AgentIx> {
        let candidates: Vec<usize> = (0..self.agents.len())
            .filter(|i| self.is_candidate(now, *i, demand, tried))
            .collect();
        let chosen = match self.policy {
            RoutePolicy::RoundRobin => self.round_robin(&candidates),
            RoutePolicy::LeastOutstanding => candidates
                .into_iter()
                .min_by_key(|i| self.agents[*i].outstanding),
            RoutePolicy::TwoChoices => self.two_choices(&candidates, ids),
            RoutePolicy::Expected => self.expected_cost(&candidates, demand, ids),
        };
        chosen.map(AgentIx)
    }

    /// Returns whether another agent has free capacity now while `current` has none.
    #[must_use]
    pub fn has_free_alternative(&self, now: Time, demand: &Demand, current: &Name) -> bool {
        if self.policy != RoutePolicy::Expected {
            return false;
        }
        let current_wait = self.by_name(current).map(|a| wait_at(a, demand.priority));
        let candidates: Vec<usize> = (0..self.agents.len())
            .filter(|i| self.is_candidate(now, *i, demand, std::slice::from_ref(current)))
            .collect();
        let step = self.median_step(&candidates);
        let is_free = |i: &usize| {
            let agent = &self.agents[*i];
            agent.state == MemberState::Alive
                && agent.sent_since == 0
                && wait_at(agent, demand.priority).is_zero()
                && !is_slow(agent, step)
        };
        current_wait.is_some_and(|wait| !wait.is_zero()) && candidates.iter().any(is_free)
    }

    fn is_candidate(&self, now: Time, i: usize, demand: &Demand, tried: &[Name]) -> bool {
        let agent = &self.agents[i];
        is_usable(agent)
            && agent.avoid_until <= now
            && agent.serves.contains(&demand.target)
            && !tried.contains(&agent.peer.name)
    }

    fn round_robin(&mut self, candidates: &[usize]) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.round_robin_turn = self.round_robin_turn.wrapping_add(1);
        Some(candidates[self.round_robin_turn % candidates.len()])
    }

    fn two_choices(&self, candidates: &[usize], ids: &mut IdSource) -> Option<usize> {
        let first = *candidates.get(ids.draw_below(candidates.len()))?;
        let second = *candidates.get(ids.draw_below(candidates.len()))?;
        let load = |i: usize| self.agents[i].load.running + self.agents[i].load.queued;
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }

    /// Keeps interactive and batch work on different agents as far as possible.
    fn expected_cost(
        &self,
        candidates: &[usize],
        demand: &Demand,
        ids: &mut IdSource,
    ) -> Option<usize> {
        let step = self.median_step(candidates);
        if demand.priority == Priority::Interactive
            && let Some(gathering) = self.gathering_agent(candidates, demand, step)
        {
            return Some(gathering);
        }
        self.cheapest(candidates, demand, step, ids)
    }

    /// Returns the first agent with capacity, in an order that all entries share.
    ///
    /// Interactive work thus gathers on few agents, whose prefix caches it
    /// warms, and spills over to the next one when these are filled to a limit.
    fn gathering_agent(
        &self,
        candidates: &[usize],
        demand: &Demand,
        step: Duration,
    ) -> Option<usize> {
        let has_capacity = |i: &&usize| {
            let agent = &self.agents[**i];
            let batch = agent.load.running + agent.load.queued + agent.sent_since;
            agent.state == MemberState::Alive
                && batch < agent.load.max_batch / GATHER_BATCH_DIVISOR
                && agent.load.wait_interactive.is_zero()
                && !is_slow(agent, step)
        };
        let order = |i: &&usize| rendezvous(&demand.target, &self.agents[**i].peer.name);
        candidates
            .iter()
            .filter(has_capacity)
            .max_by_key(order)
            .copied()
    }

    /// Returns the candidate of lowest cost. Ties are broken at random so that
    /// the entries don't all choose the same agent.
    fn cheapest(
        &self,
        candidates: &[usize],
        demand: &Demand,
        step: Duration,
        ids: &mut IdSource,
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let shift = ids.draw_below(candidates.len());
        let turned = candidates
            .iter()
            .cycle()
            .skip(shift)
            .take(candidates.len())
            .copied();
        let cost = |i: &usize| self.cost(*i, demand, step);
        turned.min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the cost of a request on an agent, in units of its whole memory.
    #[allow(clippy::cast_precision_loss)]
    fn cost(&self, i: usize, demand: &Demand, step: Duration) -> f64 {
        let agent = &self.agents[i];
        let load = &agent.load;
        let wait = wait_at(agent, demand.priority);
        let unit_cost_wait = step.max(MIN_STEP).mul_f64(UNIT_COST_WAIT_STEPS);
        let wait = wait.as_secs_f64() / unit_cost_wait.as_secs_f64();
        let capacity = load.capacity_tokens.max(1) as f64;
        let memory = (load.expected_tokens + agent.sent_tokens) as f64 / capacity;
        let batch = f64::from(load.running + load.queued + agent.sent_since) / UNIT_COST_BATCH;
        let occupancy = match demand.priority {
            Priority::Interactive => memory + batch,
            Priority::Batch => {
                memory
                    + agent.interactive_share * f64::from(demand.prompt_tokens)
                        / UNIT_COST_PROMPT_TOKENS
            }
        };
        let slow = if is_slow(agent, step) {
            SLOW_PENALTY
        } else {
            0.0
        };
        let suspect = if agent.state == MemberState::Suspect {
            SUSPECT_PENALTY
        } else {
            0.0
        };
        let remote = if agent.data_centre == self.data_centre {
            0.0
        } else {
            REMOTE_PENALTY
        };
        wait + occupancy + slow + suspect + remote
    }

    /// Returns the median of the reported step durations, zero if there are none.
    fn median_step(&self, candidates: &[usize]) -> Duration {
        let reported = candidates.iter().map(|i| self.agents[*i].load.step);
        let mut steps: Vec<Duration> = reported.filter(|s| !s.is_zero()).collect();
        steps.sort_unstable();
        steps.get(steps.len() / 2).copied().unwrap_or_default()
    }

    fn by_name_mut(&mut self, name: &Name) -> Option<&mut AgentView> {
        self.agents.iter_mut().find(|a| a.peer.name == *name)
    }
}

/// Returns the reported wait of an agent for a request of that priority.
const fn wait_at(agent: &AgentView, priority: Priority) -> Duration {
    match priority {
        Priority::Interactive => agent.load.wait_interactive,
        Priority::Batch => agent.load.wait_batch,
    }
}

/// Returns whether a busy agent is slow compared with its peers.
fn is_slow(agent: &AgentView, median: Duration) -> bool {
    agent.load.running > 0 && agent.load.step * 10 > median * SLOW_STEP_TENTHS && !median.is_zero()
}

/// Returns an agent's rendezvous hash for a target, the same at all entries.
fn rendezvous(target: &Name, agent: &Name) -> Digest {
    Digest::of(&[target.as_bytes(), agent.as_bytes()])
}

fn is_usable(agent: &AgentView) -> bool {
    let state = matches!(agent.state, MemberState::Alive | MemberState::Suspect);
    state && !agent.load.leaving
}
