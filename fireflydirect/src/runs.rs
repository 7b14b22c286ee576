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

/// Place and name of a copy of a run's memory.
#[derive(Clone, Debug)]
pub struct EarlierCopy {
    /// Upstream that holds it.
    pub at: UpstreamIx,
    /// Memory copy there.
    pub memory: MemoryCopy,
    /// Upstream that made the copy and issued its handle.
    pub source: UpstreamIx,
}

impl EarlierCopy {
    /// Returns whether both name one copy: an upstream that copies a run to a holder again copies only what is new.
    fn is_same_copy(&self, other: &Self) -> bool {
        self.source == other.source && self.at == other.at
    }
}

impl MigrationCopy {
    /// Returns its place and name.
    #[must_use]
    pub fn place(&self) -> EarlierCopy {
        EarlierCopy {
            at: self.assignment.ix,
            memory: self.memory.clone(),
            source: self.source,
        }
    }
}

/// Copies that no run resumes from any more, to be freed.
#[derive(Default)]
pub struct UnusedCopies(Vec<UnusedCopy>);

/// A copy to be freed; its memory counts as assigned until then, if it did before.
pub struct UnusedCopy {
    /// Upstream that made the copy and issued its handle.
    pub source: UpstreamIx,
    /// Memory copy.
    pub memory: MemoryCopy,
    _assignment: Option<AssignmentGuard>,
}

impl Extend<MigrationCopy> for UnusedCopies {
    fn extend<T: IntoIterator<Item = MigrationCopy>>(&mut self, copies: T) {
        let unused = |copy: MigrationCopy| UnusedCopy {
            source: copy.source,
            memory: copy.memory,
            _assignment: Some(copy.assignment),
        };
        self.0.extend(copies.into_iter().map(unused));
    }
}

impl Extend<EarlierCopy> for UnusedCopies {
    fn extend<T: IntoIterator<Item = EarlierCopy>>(&mut self, copies: T) {
        let unused = |copy: EarlierCopy| UnusedCopy {
            source: copy.source,
            memory: copy.memory,
            _assignment: None,
        };
        self.0.extend(copies.into_iter().map(unused));
    }
}

impl IntoIterator for UnusedCopies {
    type Item = UnusedCopy;
    type IntoIter = std::vec::IntoIter<UnusedCopy>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
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
    /// Copy that the stream is going on from, if that works.
    taken: RefCell<Option<EarlierCopy>>,
    /// Copy that the current run went on from.
    in_use: RefCell<Option<EarlierCopy>>,
    /// Copies that it won't go on from any more.
    superseded: RefCell<Vec<EarlierCopy>>,
    /// Whether its stream has ended.
    is_over: Cell<bool>,
    /// Upstream of the move that is in progress; a former one's may go on for a while.
    moving_from: Cell<Option<UpstreamIx>>,
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
            taken: RefCell::new(None),
            in_use: RefCell::new(None),
            superseded: RefCell::default(),
            is_over: Cell::new(false),
            began: job.now(),
            moving_from: Cell::new(None),
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
        self.in_use.replace(self.taken.take());
        let mut earlier = self.earlier_copy.borrow_mut();
        let earlier = earlier.take_if(|copy| copy.source != ix);
        self.superseded.borrow_mut().extend(earlier);
    }

    /// Stores a copy that its stopped run resumes from; frees it if the stream has ended or gone on elsewhere meanwhile.
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
        self.store(node, copy);
    }

    /// Stores a copy to resume from; frees it if the stream has ended or gone on elsewhere meanwhile.
    pub fn store(&self, node: &Node, copy: MigrationCopy) {
        if self.is_over.get() || self.at.get() != copy.source {
            node.unused_copies.borrow_mut().extend([copy]);
            return;
        }
        self.replace_copy(copy);
    }

    /// Replaces the copy to resume from; the one before is freed unless it is the same by another handle.
    pub fn replace_copy(&self, copy: MigrationCopy) {
        let replaced = self.migration_copy.replace(Some(copy));
        let replaced = replaced.map(|copy| copy.place());
        self.superseded.borrow_mut().extend(replaced);
    }

    /// Stores a copy to go on from where its last move gives none; frees it if the stream has ended.
    pub fn store_earlier(&self, node: &Node, copy: EarlierCopy) {
        if self.is_over.get() {
            node.unused_copies.borrow_mut().extend([copy]);
            return;
        }
        let replaced = self.earlier_copy.replace(Some(copy));
        self.superseded.borrow_mut().extend(replaced);
    }

    /// Records that the stream is to go on from a copy, or from none; from the one before it couldn't.
    pub fn take(&self, copy: Option<EarlierCopy>) {
        let failed = self.taken.replace(copy);
        self.superseded.borrow_mut().extend(failed);
    }

    /// Returns the copies that it won't go on from any more, unless it runs from them or is to go on from them by other
    /// names.
    pub fn take_superseded(&self) -> Vec<EarlierCopy> {
        let migration_copy = self
            .migration_copy
            .borrow()
            .as_ref()
            .map(MigrationCopy::place);
        let wanted = [
            migration_copy,
            self.earlier_copy.borrow().clone(),
            self.taken.borrow().clone(),
        ];
        let is = |copy: &EarlierCopy, others: &[Option<EarlierCopy>]| {
            let mut others = others.iter().flatten();
            others.any(|other| other.is_same_copy(copy))
        };
        let in_use = [self.in_use.borrow().clone()];
        let mut superseded = self.superseded.borrow_mut();
        superseded.retain(|copy| !is(copy, &in_use));
        let mut unused: Vec<EarlierCopy> = Vec::new();
        for copy in superseded.extract_if(.., |copy| !is(copy, &wanted)) {
            if !unused.iter().any(|other| other.is_same_copy(&copy)) {
                unused.push(copy);
            }
        }
        unused
    }

    /// Records that the stream has ended, and returns the copies that are left.
    pub fn end(&self) -> Vec<EarlierCopy> {
        self.is_over.set(true);
        let copy = self.migration_copy.take().map(|copy| copy.place());
        let left = [copy, self.earlier_copy.take(), self.taken.take()];
        // Of several names of a copy, the newest is used.
        let mut superseded = self.superseded.borrow_mut();
        superseded.splice(..0, left.into_iter().flatten());
        drop(superseded);
        self.take_superseded()
    }

    /// Begins a move from an upstream; false if one from there is in progress.
    #[must_use]
    pub fn begin_move(&self, from: UpstreamIx) -> bool {
        self.moving_from.replace(Some(from)) != Some(from)
    }

    /// Ends a move from an upstream.
    pub fn end_move(&self, from: UpstreamIx) {
        if self.moving_from.get() == Some(from) {
            self.moving_from.set(None);
        }
        self.migration_ended.notify_waiters();
    }

    /// Returns whether a move from its current upstream is in progress.
    #[must_use]
    pub fn is_moving(&self) -> bool {
        self.moving_from.get() == Some(self.at.get())
    }

    /// Returns whether its stream is still made at an upstream.
    #[must_use]
    pub fn is_made_at(&self, ix: UpstreamIx) -> bool {
        self.at.get() == ix && !self.is_over.get()
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
