//! A simulated fleet of members in virtual time, with a network that fails on demand.

// Each test uses only a part of this module.
#![allow(dead_code)]

use fireflycroft::{
    ConfigVersion, Incarnation, Load, MemberAction, MemberEvent, MemberRecord, MemberSetup,
    MemberState, Members, Message, Name, Peer, Role, Time, Vm,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two ticks of one process.
const TICK: Duration = Duration::from_millis(100);

/// Most messages kept for a paused process.
const MAX_INBOX: usize = 4_096;

/// Shortest latency of a message, and the range above it, in microseconds.
const MIN_LATENCY_MICROS: u64 = 200;
const LATENCY_RANGE_MICROS: u64 = 4_000;

const FIRST_PORT: usize = 7_000;
const PORTS_PER_HOST: usize = 10_000;
const DATA_CENTRES: [&str; 3] = ["north", "middle", "south"];

/// Processes known to all others from the start.
const SEEDS: usize = 3;

/// Wall-clock time of the first start, in milliseconds.
const EPOCH_MILLIS: u64 = 1_780_000_000_000;

/// Index of a process in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NodeIx(pub(crate) usize);

/// Run state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    Paused,
    Ended,
}

/// One process of the fleet.
#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) members: Members,
    pub(crate) process_state: ProcessState,
    pub(crate) peer: Peer,
    pub(crate) data_centre: usize,
    /// Whether the process is leaving.
    pub(crate) is_leaving: bool,
    /// Bytes sent, as encoded.
    pub(crate) bytes: u64,
    /// Number of entries that the process last reported.
    pub(crate) entries: u32,
    /// Time at which the process last saw a member enter a state.
    pub(crate) seen: HashMap<(Name, MemberState), Time>,
    started_at: Time,
    inbox: Vec<(Peer, Message)>,
}

/// Random number generator with a fixed seed.
#[derive(Clone)]
pub(crate) struct SplitMix64(u64);

#[derive(Clone)]
enum Scheduled {
    Tick(NodeIx),
    Arrival(Peer, SocketAddr, Box<Message>),
}

/// Processes, their network and virtual time.
#[derive(Clone)]
pub(crate) struct Fleet {
    pub(crate) nodes: Vec<Node>,
    pub(crate) now: Time,
    /// Percentage of messages lost.
    pub(crate) loss: u64,
    /// Pairs of data centres; no message passes from the first to the second.
    pub(crate) cuts: HashSet<(usize, usize)>,
    pub(crate) rng: SplitMix64,
    /// Longest packet sent, in bytes.
    pub(crate) longest_packet: usize,
    event_queue: BTreeMap<(Time, u64), Scheduled>,
    by_addr: HashMap<SocketAddr, NodeIx>,
    serial: u64,
}

impl SplitMix64 {
    /// Returns the next number of `SplitMix64`.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }
}

/// Returns the address of place number `place`.
pub(crate) fn addr(place: usize) -> SocketAddr {
    let host = u8::try_from(place / PORTS_PER_HOST + 1).unwrap();
    let port = u16::try_from(FIRST_PORT + place % PORTS_PER_HOST).unwrap();
    SocketAddr::from(([10, 0, 0, host], port))
}

impl Fleet {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            nodes: Vec::new(),
            now: Time::from_millis(1),
            loss: 0,
            cuts: HashSet::new(),
            rng: SplitMix64(seed),
            longest_packet: 0,
            event_queue: BTreeMap::new(),
            by_addr: HashMap::new(),
            serial: 0,
        }
    }

    /// Creates a fleet of `count` processes, a third of them entries, and runs it for
    /// `settle`.
    pub(crate) fn settled(seed: u64, count: usize, settle: Duration) -> Self {
        let mut fleet = Self::new(seed);
        for place in 0..count {
            fleet.start(&format!("member-{place}"), place);
        }
        fleet.run(settle);
        fleet
    }

    /// Starts a process with this name and address.
    pub(crate) fn start(&mut self, name: &str, place: usize) -> NodeIx {
        let data_centre = place % DATA_CENTRES.len();
        let is_entry = (place / DATA_CENTRES.len()).is_multiple_of(3);
        let millis = EPOCH_MILLIS + self.now.0 / 1_000;
        let peer = Peer {
            name: name.into(),
            addr: addr(place),
            incarnation: Incarnation::started_at(millis, self.rng.next()),
            role: if is_entry { Role::Entry } else { Role::Agent },
        };
        let serves = if is_entry {
            vec![]
        } else {
            vec!["model-of-the-archive".into()]
        };
        let members = Members::new(MemberSetup {
            me: peer.clone(),
            data_centre: DATA_CENTRES[data_centre].into(),
            serves,
            seeds: (0..SEEDS).map(addr).collect(),
            seed: self.draw_seed(),
        });
        let ix = NodeIx(self.nodes.len());
        self.by_addr.insert(peer.addr, ix);
        self.nodes.push(Node {
            members,
            process_state: ProcessState::Running,
            peer,
            data_centre,
            is_leaving: false,
            bytes: 0,
            entries: 0,
            seen: HashMap::new(),
            started_at: self.now,
            inbox: Vec::new(),
        });
        let offset = Duration::from_micros(self.rng.below(100_000));
        self.schedule(self.now + offset, Scheduled::Tick(ix));
        ix
    }

    pub(crate) fn node(&self, ix: NodeIx) -> &Node {
        &self.nodes[ix.0]
    }

    /// Returns the indices of running processes.
    pub(crate) fn running(&self) -> Vec<NodeIx> {
        let all = (0..self.nodes.len()).map(NodeIx);
        all.filter(|ix| self.node(*ix).process_state == ProcessState::Running)
            .collect()
    }

    /// Ends a process without a leave broadcast.
    pub(crate) fn end(&mut self, ix: NodeIx) {
        self.nodes[ix.0].process_state = ProcessState::Ended;
        self.nodes[ix.0].inbox.clear();
    }

    pub(crate) fn pause(&mut self, ix: NodeIx) {
        self.nodes[ix.0].process_state = ProcessState::Paused;
    }

    /// Resumes a paused process, which first handles the messages received meanwhile.
    pub(crate) fn resume(&mut self, ix: NodeIx) {
        self.nodes[ix.0].process_state = ProcessState::Running;
        for (from, message) in std::mem::take(&mut self.nodes[ix.0].inbox) {
            self.deliver(ix, from, message);
        }
        self.schedule(self.now, Scheduled::Tick(ix));
    }

    pub(crate) fn leave(&mut self, ix: NodeIx) {
        self.nodes[ix.0].is_leaving = true;
        self.feed(ix, MemberEvent::Leave);
    }

    pub(crate) fn list_vms(&mut self, ix: NodeIx, vms: &[Vm]) {
        self.feed(ix, MemberEvent::Vms(vms.to_vec()));
    }

    pub(crate) fn serve(&mut self, ix: NodeIx, serves: &[Name]) {
        self.feed(ix, MemberEvent::Serves(serves.to_vec()));
    }

    /// Cuts one data centre off from all others.
    pub(crate) fn cut(&mut self, data_centre: usize) {
        for other in (0..DATA_CENTRES.len()).filter(|other| *other != data_centre) {
            self.cut_between(data_centre, other);
        }
    }

    pub(crate) fn cut_between(&mut self, one: usize, other: usize) {
        self.cuts.insert((one, other));
        self.cuts.insert((other, one));
    }

    /// Advances virtual time by `span`.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.event_queue.first_entry() {
            if next.key().0 > end {
                break;
            }
            self.now = self.now.max(next.key().0);
            match next.remove() {
                Scheduled::Tick(ix) => self.tick(ix),
                Scheduled::Arrival(from, to, message) => self.arrive(from, to, *message),
            }
        }
        self.now = end;
    }

    /// Advances time until `done`, at most by `bound`; returns the time taken.
    pub(crate) fn run_until(
        &mut self,
        bound: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started_at = self.now;
        while self.now.since(started_at) <= bound {
            if done(self) {
                return Some(self.now.since(started_at));
            }
            self.run(TICK);
        }
        None
    }

    /// Returns the state in which `at` holds the member of that name.
    pub(crate) fn state(&self, at: NodeIx, name: &str) -> Option<MemberState> {
        self.node(at).members.get(name).map(|r| r.state)
    }

    /// Returns whether every running process except the member itself holds a wanted state.
    pub(crate) fn all_hold(
        &self,
        name: &str,
        wanted: impl Fn(Option<MemberState>) -> bool,
    ) -> bool {
        let others = self.running().into_iter();
        others
            .filter(|at| *self.node(*at).peer.name != *name)
            .all(|at| wanted(self.state(at, name)))
    }

    /// Returns whether all running processes hold the same records, and exactly the running
    /// processes as present.
    pub(crate) fn is_agreed(&self) -> bool {
        let running = self.running();
        let views: HashSet<u64> = running
            .iter()
            .map(|ix| self.node(*ix).members.view())
            .collect();
        let Some(first) = running.first() else {
            return true;
        };
        views.len() == 1 && self.present(*first) == self.names(&running)
    }

    /// Returns the names that a process holds as present.
    pub(crate) fn present(&self, at: NodeIx) -> HashSet<Name> {
        let records = self.node(at).members.records();
        let present = records.filter(|r| r.state < MemberState::Dead);
        present.map(|r| r.peer.name.clone()).collect()
    }

    fn names(&self, nodes: &[NodeIx]) -> HashSet<Name> {
        let peers = nodes.iter().map(|ix| &self.node(*ix).peer);
        peers.map(|peer| peer.name.clone()).collect()
    }

    /// Returns the number of bytes sent by all processes.
    pub(crate) fn bytes(&self) -> u64 {
        self.nodes.iter().map(|node| node.bytes).sum()
    }

    fn draw_seed(&mut self) -> [u8; 32] {
        let mut seed = [0; 32];
        for part in seed.chunks_mut(8) {
            part.copy_from_slice(&self.rng.next().to_le_bytes());
        }
        seed
    }

    fn schedule(&mut self, at: Time, what: Scheduled) {
        self.serial += 1;
        self.event_queue.insert((at, self.serial), what);
    }

    /// Returns the time on the process's own clock.
    fn own_time(&self, ix: NodeIx) -> Time {
        Time::from_millis(0) + self.now.since(self.node(ix).started_at)
    }

    fn tick(&mut self, ix: NodeIx) {
        if self.node(ix).process_state != ProcessState::Running {
            return;
        }
        self.feed(ix, MemberEvent::Tick);
        self.schedule(self.now + TICK, Scheduled::Tick(ix));
    }

    fn arrive(&mut self, from: Peer, to: SocketAddr, message: Message) {
        let Some(ix) = self.by_addr.get(&to).copied() else {
            return;
        };
        match self.node(ix).process_state {
            ProcessState::Running => self.deliver(ix, from, message),
            ProcessState::Paused if self.node(ix).inbox.len() < MAX_INBOX => {
                self.nodes[ix.0].inbox.push((from, message));
            }
            ProcessState::Paused | ProcessState::Ended => {}
        }
    }

    pub(crate) fn deliver(&mut self, ix: NodeIx, from: Peer, message: Message) {
        self.feed(ix, MemberEvent::Message(from, message));
    }

    fn feed(&mut self, ix: NodeIx, event: MemberEvent) {
        let now = self.own_time(ix);
        let mut out = Vec::new();
        self.nodes[ix.0].members.on_event(now, event, &mut out);
        for action in out {
            match action {
                MemberAction::Send(to, message) => self.send(ix, to, message),
                MemberAction::Changed(record) => self.record_seen(ix, record),
                MemberAction::Entries(count) => self.nodes[ix.0].entries = count,
                MemberAction::LogEvent(_) => {}
            }
        }
    }

    fn record_seen(&mut self, ix: NodeIx, record: MemberRecord) {
        let now = self.now;
        let seen = &mut self.nodes[ix.0].seen;
        seen.insert((record.peer.name, record.state), now);
    }

    fn send(&mut self, ix: NodeIx, to: SocketAddr, message: Message) {
        let from = self.node(ix).peer.clone();
        let load = (from.role == Role::Agent).then(sample_load);
        let bodies = std::slice::from_ref(&message);
        let packet =
            fireflycroft_wire::encode_all(&from, ConfigVersion(1_000), load.as_ref(), bodies);
        self.nodes[ix.0].bytes += packet.len() as u64;
        self.longest_packet = self.longest_packet.max(packet.len());
        let latency = MIN_LATENCY_MICROS + self.rng.below(LATENCY_RANGE_MICROS);
        let lost = self.rng.below(100) < self.loss;
        if lost || self.is_cut(ix, to) {
            return;
        }
        let at = self.now + Duration::from_micros(latency);
        self.schedule(at, Scheduled::Arrival(from, to, Box::new(message)));
    }

    fn is_cut(&self, from: NodeIx, to: SocketAddr) -> bool {
        let Some(to) = self.by_addr.get(&to) else {
            return true;
        };
        let ends = (self.node(from).data_centre, self.node(*to).data_centre);
        self.cuts.contains(&ends)
    }
}

/// Returns the load that an agent attaches to each message.
fn sample_load() -> Load {
    Load {
        running: 24,
        queued: 12,
        used_tokens: 180_000,
        expected_tokens: 260_000,
        capacity_tokens: 400_000,
        step: Duration::from_millis(23),
        wait_interactive: Duration::from_millis(350),
        wait_batch: Duration::from_secs(42),
        leaving: false,
        max_batch: 64,
    }
}
