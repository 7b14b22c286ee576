//! Streams under way, so that those on an upstream that leaves can be saved.

use crate::assignment::AssignmentGuard;
use fireflycroft::{MemoryCopy, Name, Need, UpstreamIx};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;

/// A copy of a run's memory on another upstream, ready to go on from.
pub struct MigrationCopy {
    /// Its place on the upstream where the run goes on.
    pub assignment: AssignmentGuard,
    /// The memory there.
    pub memory: MemoryCopy,
    /// Upstream that made the copy and gave it its handle.
    pub source: UpstreamIx,
}

/// One stream under way.
pub struct Run {
    /// The caller's id of the attempt, by which upstreams know the run.
    pub request_id: Name,
    /// Service that answers.
    pub service: Name,
    /// Upstream that runs it now.
    pub at: Cell<UpstreamIx>,
    /// Upstream that keeps a copy as the run grows.
    pub backup: Cell<Option<UpstreamIx>>,
    /// Copy that was made on notice.
    pub migration_copy: RefCell<Option<MigrationCopy>>,
    /// Whether a copy is being made on notice.
    pub migrating: Cell<bool>,
    /// Rings when the copy is done or has failed.
    pub migration_ended: Notify,
    /// Tokens relayed so far.
    pub produced: Cell<u64>,
    /// What the rest of the run needs of an upstream.
    pub need: Cell<Need>,
    /// Whether its engines can copy its memory.
    pub can_migrate: bool,
    /// Time that the memory of one token takes to another engine.
    pub token_copy_time: Duration,
}

/// All streams under way.
#[derive(Default)]
pub struct Runs {
    runs: RefCell<Vec<Weak<Run>>>,
}

impl Runs {
    /// Enters a run; it leaves by being dropped.
    pub fn register(&self, run: Run) -> Rc<Run> {
        let run = Rc::new(run);
        let mut runs = self.runs.borrow_mut();
        runs.retain(|r| r.strong_count() > 0);
        runs.push(Rc::downgrade(&run));
        run
    }

    /// Runs on an upstream.
    #[must_use]
    pub fn at(&self, ix: UpstreamIx) -> Vec<Rc<Run>> {
        let runs = self.runs.borrow();
        let alive = runs.iter().filter_map(Weak::upgrade);
        alive.filter(|r| r.at.get() == ix).collect()
    }

    /// Forgets copies that an upstream keeps; gives the runs that had them.
    pub fn drop_backups_at(&self, ix: UpstreamIx) -> Vec<Rc<Run>> {
        let runs = self.runs.borrow();
        let alive = runs.iter().filter_map(Weak::upgrade);
        let kept: Vec<Rc<Run>> = alive.filter(|r| r.backup.get() == Some(ix)).collect();
        for run in &kept {
            run.backup.set(None);
        }
        kept
    }

    /// Runs under way.
    #[must_use]
    pub fn count(&self) -> usize {
        let runs = self.runs.borrow();
        runs.iter().filter(|r| r.strong_count() > 0).count()
    }
}
