//! Streams in progress, for the migration of those on departing upstreams.

use crate::assignment::AssignmentGuard;
use crate::job::Job;
use crate::node::Node;
use crate::stop_orders::StopOrders;
use fireflycroft::{MemoryCopy, Name, Need, Time, UpstreamIx, VersionKey};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A copy of a run's memory, ready to resume from.
pub struct MigrationCopy {
    /// Assignment to the upstream where the run resumes.
    pub assignment: AssignmentGuard,
    /// Memory copy there.
    pub memory: MemoryCopy,
    /// Upstream that made the copy and issued its handle.
    pub source: UpstreamIx,
    /// Whether the run went on at the source, so that the copy lacks the newest tokens.
    pub stands_by: bool,
}

/// A copy made before the last move, which lacks the tokens since.
pub struct EarlierCopy {
    /// Upstream that holds it.
    pub at: UpstreamIx,
    /// Memory copy there.
    pub memory: MemoryCopy,
    /// Upstream that made the copy and issued its handle.
    pub source: UpstreamIx,
}

/// A stream in progress.
pub struct Run {
    /// The caller's id of the attempt, which identifies the run at upstreams.
    pub request_id: Name,
    /// Target service.
    pub service: Name,
    /// Current upstream.
    pub at: Cell<UpstreamIx>,
    /// Upstream that holds the continuous memory backup.
    pub backup: Cell<Option<UpstreamIx>>,
    /// Copy made after a leave notice, or while departures may go unannounced.
    pub migration_copy: RefCell<Option<MigrationCopy>>,
    /// Copy to go on from where the last move gives none in time.
    pub earlier_copy: RefCell<Option<EarlierCopy>>,
    /// Whether a migration is in progress.
    pub migrating: Cell<bool>,
    /// Orders to stop the runs of its request.
    pub stop_orders: Rc<StopOrders>,
    /// Time until which the relay waits for a copy, if its stream broke beside an order to stop.
    pub copy_limit: Cell<Option<Instant>>,
    /// Notified when the migration is complete or has failed.
    pub migration_ended: Notify,
    /// Time of the response head.
    pub began: Time,
    /// Time of the last event.
    pub heard_at: Cell<Time>,
    /// Tokens relayed so far.
    pub produced: Cell<u64>,
    /// Need of the remaining run on an upstream.
    pub need: Cell<Need>,
    /// Whether its engines support migration.
    pub can_migrate: bool,
    /// Time to copy the memory of one token to another engine.
    pub token_copy_time: Duration,
}

/// All streams in progress.
#[derive(Default)]
pub struct Runs {
    runs: RefCell<Vec<Weak<Run>>>,
}

impl Run {
    /// Creates the run of a request that was sent to an upstream.
    #[must_use]
    pub fn new(
        job: &Job,
        at: UpstreamIx,
        backup: Option<UpstreamIx>,
        version: Option<VersionKey>,
    ) -> Self {
        Self {
            request_id: job.request_id.clone(),
            service: job.service.clone(),
            at: Cell::new(at),
            backup: Cell::new(backup),
            migration_copy: RefCell::new(None),
            earlier_copy: RefCell::new(None),
            began: job.now(),
            migrating: Cell::new(false),
            stop_orders: job.stop_orders.clone(),
            copy_limit: Cell::new(None),
            migration_ended: Notify::new(),
            heard_at: Cell::new(job.now()),
            produced: Cell::new(0),
            need: Cell::new(Need {
                unread: 0,
                version,
                ..job.need()
            }),
            can_migrate: job.engine.is_some_and(|e| e.can_migrate) && version.is_some(),
            token_copy_time: job.engine.map_or(Duration::ZERO, |e| e.token_copy_time),
        }
    }

    /// Records that it goes on at an upstream; the copy before is kept only at its source.
    pub fn go_on_at(&self, ix: UpstreamIx) {
        self.at.set(ix);
        let mut earlier = self.earlier_copy.borrow_mut();
        earlier.take_if(|copy| copy.source != ix);
    }

    /// Stores a copy that its stopped run resumes from; frees it if the stream has gone on elsewhere meanwhile.
    pub fn store_copy(
        &self,
        node: &Node,
        assignment: AssignmentGuard,
        memory: MemoryCopy,
        source: UpstreamIx,
    ) {
        let copy = MigrationCopy {
            assignment,
            memory,
            source,
            stands_by: false,
        };
        if self.at.get() == source {
            *self.migration_copy.borrow_mut() = Some(copy);
        } else {
            node.unused_copies.borrow_mut().push(copy);
        }
    }

    /// Returns the holder of its standby copy, if it has one.
    #[must_use]
    pub fn standby_holder(&self) -> Option<UpstreamIx> {
        let copy = self.migration_copy.borrow();
        let standby = copy.as_ref().filter(|copy| copy.stands_by);
        standby.map(|copy| copy.assignment.ix)
    }
}

impl Runs {
    /// Registers a run until it is dropped.
    pub fn register(&self, run: Run) -> Rc<Run> {
        let run = Rc::new(run);
        let mut runs = self.runs.borrow_mut();
        runs.retain(|r| r.strong_count() > 0);
        runs.push(Rc::downgrade(&run));
        run
    }

    /// Returns the runs on an upstream.
    #[must_use]
    pub fn at(&self, ix: UpstreamIx) -> Vec<Rc<Run>> {
        let runs = self.runs.borrow();
        let alive = runs.iter().filter_map(Weak::upgrade);
        alive.filter(|r| r.at.get() == ix).collect()
    }

    /// Returns whether a run on an upstream has had an event since a time.
    #[must_use]
    pub fn is_heard(&self, ix: UpstreamIx, since: Time) -> bool {
        self.at(ix).iter().any(|r| r.heard_at.get() > since)
    }

    /// Returns all runs.
    #[must_use]
    pub fn all(&self) -> Vec<Rc<Run>> {
        let runs = self.runs.borrow();
        runs.iter().filter_map(Weak::upgrade).collect()
    }

    /// Removes the backups held by an upstream and returns their runs.
    pub fn drop_backups_at(&self, ix: UpstreamIx) -> Vec<Rc<Run>> {
        let runs = self.runs.borrow();
        let alive = runs.iter().filter_map(Weak::upgrade);
        let backed_up: Vec<Rc<Run>> = alive.filter(|r| r.backup.get() == Some(ix)).collect();
        for run in &backed_up {
            run.backup.set(None);
        }
        backed_up
    }

    /// Returns the number of runs in progress.
    #[must_use]
    pub fn count(&self) -> usize {
        let runs = self.runs.borrow();
        runs.iter().filter(|r| r.strong_count() > 0).count()
    }
}
