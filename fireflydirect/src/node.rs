//! State of one process, shared among its tasks.

use crate::clock::Clock;
use crate::config_history::ConfigHistory;
use crate::datagrams::Datagrams;
use crate::departures::Departures;
use crate::discovery;
use crate::links::Links;
use crate::log_value::or_empty;
use crate::metrics::Metrics;
use crate::owner_queries::OwnerQueries;
use crate::peers::Peers;
use crate::runs::{Runs, UnusedCopies};
use fireflycroft::{
    Catalog, ConnectionLimits, CrashEvidence, DepartureRate, DepartureWatch, Discovery,
    Evacuations, FULL_VIEW_AFTER, FleetView, HoldTimes, LengthEstimator, ListCurrency, PlannedStop,
    Policy, Pool, PoolChange, QueryBudget, Refusal, Regions, ReturningCallers, RouteChanges,
    RunTimes, SharedRetryBudget, StreamOrigins, StreamStart, Time, UpstreamIncarnation, UpstreamIx,
    ValueDensities, WaitQueue, WaitingDemand, WatcherRole,
};
use fireflycroft_platform::PlatformSettings;
use fireflynet::Callers;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Stage of a process on its way to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Serving, and ready for callers.
    Serving,
    /// Terminating: not ready, but still accepts requests.
    Draining,
    /// Accepts no requests and closes idle connections.
    Closing,
}

/// Returns whether an entry watches the store from its start on: seeds do, since all entries know
/// them.
fn watches_initially(place: &PlatformSettings) -> bool {
    place.seeds.is_empty() || place.seeds.iter().any(|seed| seed.ip() == place.ip)
}

/// Creates the accounts of a server's connections, whose evictions are counted.
fn accounts(server: &'static str, limits: ConnectionLimits, metrics: &Metrics) -> Callers {
    let evicted = metrics.connections.evicted.clone();
    Callers::new(server, limits, move |shortage| {
        evicted.with_label_values(&[server, shortage.name()]).inc();
    })
}

/// Shared state of one process.
pub struct Node {
    /// The platform's settings: addresses, data centre, bounds.
    pub place: PlatformSettings,
    /// Enabled mechanisms.
    pub policy: Policy,
    /// Clock of the process.
    pub clock: Clock,
    /// Active configuration.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Time at which it was adopted.
    pub config_adopted_at: Cell<Option<Time>>,
    /// Active and previous configurations as the store holds them, for transfer to other entries.
    pub configs: RefCell<ConfigHistory>,
    /// Known upstreams.
    pub pool: RefCell<Pool>,
    /// Retry budget, shared with the other entries.
    pub retry_budget: RefCell<SharedRetryBudget>,
    /// Evidence about requests that crash upstreams.
    pub crash_evidence: RefCell<CrashEvidence>,
    /// Whether what the other entries know of them has come, or nobody knows anything.
    crash_knowledge: Cell<bool>,
    /// Refused callers, who may return.
    pub returning_callers: RefCell<ReturningCallers>,
    /// Origins of streams that callers may take up.
    pub stream_origins: RefCell<StreamOrigins>,
    /// Recent changes of where requests go.
    pub route_changes: RefCell<RouteChanges>,
    /// Generations held until engines have memory for them.
    pub wait_queue: RefCell<WaitQueue>,
    /// Memory for which generations wait elsewhere, or which returning callers will need.
    pub waiting_demand: RefCell<WaitingDemand>,
    /// Time for which runs hold memory.
    pub hold_times: RefCell<HoldTimes>,
    /// Time that upstreams need for the requests of a route.
    pub run_times: RefCell<RunTimes>,
    /// Notified when work of this entry has released memory.
    pub capacity_released: Notify,
    /// Estimates of answer lengths.
    pub lengths: RefCell<LengthEstimator>,
    /// Value of generations per memory held.
    pub value_densities: RefCell<ValueDensities>,
    /// Connections to upstreams, for callers' requests.
    pub links: Links,
    /// Connections to upstreams for calls of this entry's own, whose late answers meet no caller's request.
    pub own_links: Links,
    /// Streams in progress.
    pub runs: Runs,
    /// The other entries.
    pub peers: RefCell<Peers>,
    /// Socket for datagrams to them.
    pub datagrams: Datagrams,
    /// Queries to owners that wait for replies.
    pub owner_queries: OwnerQueries,
    /// Budget of queries, which limits the upstreams whose load is queried before a choice.
    pub query_budget: RefCell<QueryBudget>,
    /// Discovery of entries through the store.
    pub(crate) discovery: RefCell<Discovery>,
    /// Whether a call for it is in progress.
    pub(crate) discovering: Cell<bool>,
    /// Refused suspects in the store.
    pub(crate) refusal_keeper: crate::kept_refusals::Keeper,
    /// Role of this entry among the watchers of the store.
    pub watcher_role: RefCell<WatcherRole>,
    /// Notified when the role changes.
    pub watcher_role_changed: Notify,
    /// Number of lists being read from a replica of the store.
    pub(crate) replica_reads: Cell<usize>,
    /// Whether the last call to the store succeeded.
    pub store_responding: Cell<bool>,
    /// Notified when the store begins or ceases to answer this entry.
    pub(crate) store_state_changed: Notify,
    /// Number of times that the store was restored from a backup; `None` while unknown.
    pub(crate) store_era: Cell<Option<u64>>,
    /// Whether any call to the store has failed.
    pub(crate) any_store_failure: Cell<bool>,
    /// Time of the last response of the store; to any entry, if it never answered this watcher.
    pub last_store_response: Cell<Option<Time>>,
    /// Whether the complete list of upstreams has been read since this entry began to watch.
    pub upstreams_listed: Cell<bool>,
    /// Time from which on the list of upstreams is known, from the store or another entry.
    pub listed_since: Cell<Option<Time>>,
    /// Signs that the list of upstreams is as current as the store's.
    pub(crate) list_currency: RefCell<ListCurrency>,
    /// Notified when an upstream appears or changes, or the configuration changes.
    pub routing_changed: Notify,
    /// Notified when an upstream has restarted.
    incarnation_ended: Notify,
    /// Notified when there is something to announce to other entries at once.
    pub announce_now: Notify,
    /// Whether the next urgent announcement goes to all entries, instead of a few that spread it.
    pub announce_to_all: Cell<bool>,
    /// Notified when there is something to report to owners.
    pub report_due: Notify,
    /// Upstreams whose load changed since the last report.
    pub loads_changed: RefCell<BTreeSet<UpstreamIx>>,
    /// Refusals of callers since the last report.
    pub unreported_refusals: RefCell<Vec<Refusal>>,
    /// Streams begun since the last report.
    pub unreported_starts: RefCell<Vec<StreamStart>>,
    /// Upstreams found unreachable since the last report.
    pub unreported_unreachable: RefCell<Vec<UpstreamIncarnation>>,
    /// Upstreams found to be departing, for the task that migrates their runs.
    pub departing: RefCell<Vec<UpstreamIx>>,
    /// Notified when an upstream is found to be departing.
    pub departure_found: Notify,
    /// State of departing upstreams that run work of this entry.
    pub departures: Departures,
    /// Queries to engines whether they leave, while the store is silent.
    pub departure_watch: RefCell<DepartureWatch>,
    /// Departures of upstreams seen, for the risk of runs.
    pub departure_rate: RefCell<DepartureRate>,
    /// Copies that no run resumes from any more, to be freed.
    pub unused_copies: RefCell<UnusedCopies>,
    /// Counters, histograms and gauges.
    pub metrics: Metrics,
    /// Accounts of callers' connections.
    pub callers: Callers,
    /// Number of calls in progress.
    pub calls_in_flight: Cell<usize>,
    /// Number of open connections that have brought a call, whose answer may wait to be written.
    pub answering_connections: Cell<usize>,
    /// Times of the stop, once it has begun.
    pub planned_stop: Cell<Option<PlannedStop>>,
    stage: watch::Sender<Stage>,
}

impl Node {
    /// Creates the state of a process without configuration and upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new(place: PlatformSettings, policy: Policy) -> anyhow::Result<Self> {
        let clock = Clock::start();
        let mut pool = Pool::new(place.data_centre.clone());
        pool.set_policy(policy);
        pool.set_regions(Regions::new(place.regions.iter().cloned()));
        pool.set_drain_timeout(place.bounds.drain_timeout);
        if let Some(heartbeat) = place.heartbeat {
            pool.set_heartbeat(heartbeat);
        }
        pool.set_fleet(FleetView::unknown(place.ip));
        if let Some(limits) = place.bounds.cold_limits {
            pool.set_cold_limits(&place.vm, limits);
        }
        let retry_budget = SharedRetryBudget::new(place.bounds.retry_limits);
        let peers = Peers::new(&place);
        let metrics = Metrics::new()?;
        let limits = ConnectionLimits::for_callers(place.memory, place.descriptors);
        let callers = accounts("callers", limits, &metrics);
        Ok(Self {
            policy,
            clock,
            catalog: RefCell::default(),
            config_adopted_at: Cell::new(None),
            configs: RefCell::default(),
            pool: RefCell::new(pool),
            retry_budget: RefCell::new(retry_budget),
            crash_evidence: RefCell::default(),
            crash_knowledge: Cell::new(false),
            returning_callers: RefCell::default(),
            stream_origins: RefCell::default(),
            route_changes: RefCell::default(),
            wait_queue: RefCell::default(),
            waiting_demand: RefCell::default(),
            hold_times: RefCell::default(),
            run_times: RefCell::default(),
            capacity_released: Notify::new(),
            lengths: RefCell::default(),
            value_densities: RefCell::default(),
            links: Links::new(clock),
            own_links: Links::new(clock),
            runs: Runs::default(),
            peers: RefCell::new(peers),
            datagrams: Datagrams::new(place.peer_ports.0, metrics.clone()),
            owner_queries: OwnerQueries::default(),
            query_budget: RefCell::default(),
            discovery: RefCell::default(),
            discovering: Cell::default(),
            refusal_keeper: crate::kept_refusals::Keeper::default(),
            watcher_role: RefCell::new(WatcherRole::new(place.ip, watches_initially(&place))),
            watcher_role_changed: Notify::new(),
            replica_reads: Cell::new(0),
            store_responding: Cell::new(false),
            store_state_changed: Notify::new(),
            store_era: Cell::new(None),
            any_store_failure: Cell::new(false),
            last_store_response: Cell::new(None),
            upstreams_listed: Cell::new(false),
            listed_since: Cell::new(None),
            list_currency: RefCell::default(),
            routing_changed: Notify::new(),
            incarnation_ended: Notify::new(),
            announce_now: Notify::new(),
            announce_to_all: Cell::new(false),
            report_due: Notify::new(),
            loads_changed: RefCell::default(),
            unreported_refusals: RefCell::default(),
            unreported_starts: RefCell::default(),
            unreported_unreachable: RefCell::default(),
            departing: RefCell::default(),
            departure_found: Notify::new(),
            departures: Departures::default(),
            departure_watch: RefCell::default(),
            departure_rate: RefCell::default(),
            unused_copies: RefCell::default(),
            callers,
            calls_in_flight: Cell::new(0),
            answering_connections: Cell::new(0),
            planned_stop: Cell::new(None),
            stage: watch::Sender::new(Stage::Serving),
            metrics,
            place,
        })
    }

    /// Returns the accounts for a server of pages.
    #[must_use]
    pub fn page_callers(&self, server: &'static str) -> Callers {
        let limits = ConnectionLimits::for_pages(self.place.memory, self.place.descriptors);
        accounts(server, limits, &self.metrics)
    }

    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns whether all entries know this one by their settings.
    #[must_use]
    pub fn is_seed(&self) -> bool {
        watches_initially(&self.place)
    }

    /// Returns the current stage.
    #[must_use]
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Sets the stage and notifies all subscribers.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_replace(stage);
    }

    /// Subscribes to changes of the stage.
    #[must_use]
    pub fn subscribe_stage(&self) -> watch::Receiver<Stage> {
        self.stage.subscribe()
    }

    /// Returns whether the balancer should send callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_informed = self.catalog.borrow().is_some() && self.has_crash_knowledge();
        self.stage() == Stage::Serving && is_informed
    }

    /// Returns whether this entry knows what the others know of crashes.
    #[must_use]
    pub fn has_crash_knowledge(&self) -> bool {
        self.crash_knowledge.get()
    }

    /// Records that it does, or that nobody knows anything.
    pub fn record_crash_knowledge(&self) {
        self.crash_knowledge.set(true);
        self.routing_changed.notify_waiters();
    }

    /// Returns the version of the active configuration; zero if there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.catalog.borrow().as_ref().map_or(0, |c| c.version())
    }

    /// Records that the complete list of upstreams was read.
    pub fn record_complete_list(&self) {
        let since = self.listed_since.get().unwrap_or_else(|| self.now());
        self.listed_since.set(Some(since));
    }

    /// Returns whether the complete list of upstreams was ever read.
    #[must_use]
    pub fn has_complete_list(&self) -> bool {
        self.listed_since.get().is_some()
    }

    /// Returns the number of entries that share the retry budget, including this one.
    #[must_use]
    pub fn entries(&self) -> usize {
        1 + self.peers.borrow().count(self.now())
    }

    /// Updates the pool's view of the entries in the fleet.
    pub fn update_fleet_view(&self) {
        let has_just_started = self.now().since(Time::default()) < FULL_VIEW_AFTER;
        let fleet = if has_just_started || discovery::is_pending(self) {
            FleetView::unknown(self.place.ip)
        } else {
            FleetView::new(self.place.ip, self.peers.borrow().addrs())
        };
        self.pool.borrow_mut().set_fleet(fleet);
    }

    /// Applies a list of evacuated data centres if it is newer than the active one.
    ///
    /// An entry that watches the store announces the change to all others at once.
    pub fn apply_evacuations(&self, evacuations: Evacuations, source: &str) {
        let revision = evacuations.revision;
        let data_centres = evacuations.data_centres.iter();
        let data_centres: Vec<&str> = data_centres.map(|name| &**name).collect();
        let data_centres = data_centres.join(",");
        let now = self.now();
        if !self.pool.borrow_mut().apply_evacuations(now, evacuations) {
            return;
        }
        log::info!(
            event = "evacuations_changed", data_centres = data_centres, revision = revision,
            source = source;
            ""
        );
        self.routing_changed.notify_waiters();
        if self.watches_store() {
            self.announce_to_all_now();
        }
    }

    /// Logs changes of the pool and acts on them.
    pub fn apply_pool_changes(&self, changes: impl IntoIterator<Item = PoolChange>, source: &str) {
        for change in changes {
            let (ix, event) = match change {
                PoolChange::Available(ix) => (ix, "upstream_came"),
                PoolChange::Leaves(ix) => (ix, "upstream_leaves"),
                PoolChange::Restarted { begun, .. } => (begun, "upstream_restarted"),
                PoolChange::Unreadable(ix) => (ix, "upstream_set_aside"),
                PoolChange::Missing(ix) => (ix, "upstream_missing"),
                PoolChange::Relisted { ix, missing_for } => {
                    self.log_recovered(ix, missing_for, source);
                    continue;
                }
            };
            let record = self.pool.borrow().record(ix).clone();
            log::info!(
                event = event, instance = &*record.instance, incarnation = record.incarnation.0,
                service = &*record.service, addr = record.addr.to_string(),
                software_version = or_empty(record.software_version.as_ref()),
                revision = record.revision, source = source;
                ""
            );
            match change {
                PoolChange::Leaves(ix) => {
                    let mut rate = self.departure_rate.borrow_mut();
                    rate.record(self.now(), &record.service);
                    drop(rate);
                    self.migrate_if_departing(ix);
                    self.announce_now.notify_one();
                }
                PoolChange::Restarted { ended, .. } => {
                    self.metrics.record_restart(&record.service);
                    self.end_incarnation(ended);
                    self.announce_now.notify_one();
                }
                PoolChange::Available(_)
                | PoolChange::Unreadable(_)
                | PoolChange::Missing(_)
                | PoolChange::Relisted { .. } => {}
            }
        }
        self.routing_changed.notify_waiters();
    }

    fn log_recovered(&self, ix: UpstreamIx, missing_for: Duration, source: &str) {
        let pool = self.pool.borrow();
        let record = pool.record(ix);
        log::info!(
            event = "upstream_back", instance = &*record.instance, revision = record.revision,
            missing_ms = missing_for.as_millis(),
            contact_ms = or_empty(self.contact_ms()), source = source;
            ""
        );
    }

    /// Ends an incarnation of an upstream: closes its idle connections, has its runs migrated if
    /// it is not serving, and wakes those that wait for its responses.
    fn end_incarnation(&self, ix: UpstreamIx) {
        let incarnation = self.pool.borrow().record(ix).upstream_incarnation();
        self.links.close_idle(&incarnation);
        self.own_links.close_idle(&incarnation);
        self.migrate_if_departing(ix);
        self.incarnation_ended.notify_waiters();
    }

    /// Waits until a later incarnation of an upstream is known, after which this one sends no
    /// response.
    pub async fn until_ended(&self, ix: UpstreamIx) {
        loop {
            let ended = self.incarnation_ended.notified();
            if self.pool.borrow().is_ended(ix) {
                return;
            }
            ended.await;
        }
    }

    /// Queues an upstream for the migration of its runs, unless it is serving.
    pub fn migrate_if_departing(&self, ix: UpstreamIx) {
        if !self.pool.borrow().is_serving(ix) {
            self.departing.borrow_mut().push(ix);
            self.departure_found.notify_one();
        }
    }

    /// Queues a change of load for an immediate report to the upstream's owners.
    pub(crate) fn record_load_change(&self, ix: UpstreamIx) {
        self.loads_changed.borrow_mut().insert(ix);
        self.report_due.notify_one();
    }

    /// Records that a caller was refused for lack of capacity, with a retry delay.
    pub fn record_refusal(&self, refusal: Refusal) {
        let now = self.now();
        self.returning_callers
            .borrow_mut()
            .record_refusal(now, &refusal);
        self.unreported_refusals.borrow_mut().push(refusal);
        self.report_due.notify_one();
    }

    /// Records that an upstream is unreachable, here and for its owners.
    pub fn record_unreachable(&self, ix: UpstreamIx) {
        let mut pool = self.pool.borrow_mut();
        let incarnation = pool.record(ix).upstream_incarnation();
        pool.record_unreachable(self.now(), &self.place.vm, &incarnation);
        self.unreported_unreachable.borrow_mut().push(incarnation);
        self.report_due.notify_one();
    }

    /// Announces the current state to all other entries at once.
    pub fn announce_to_all_now(&self) {
        self.announce_to_all.set(true);
        self.announce_now.notify_one();
    }
}
