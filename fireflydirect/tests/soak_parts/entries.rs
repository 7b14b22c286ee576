//! Faults of entries.

use crate::soak_parts::faults::{Soak, Undo};
use crate::soak_parts::plan::Step;
use crate::support::{Entry, signal_all};
use std::time::{Duration, Instant};

/// Time that an entry has to stop.
const GRACE: Duration = Duration::from_secs(8);

/// Timeouts of the route of resumable streams, in milliseconds: a short and the usual one.
const TIMEOUTS_MS: [u64; 2] = [1_000, 20_000];

impl Soak {
    pub(super) fn pause_entry(&mut self, step: &Step) {
        let entry = step.pick % self.site.entries.len();
        if self.site.entries[entry].is_running() {
            self.excuse_failures(step.span);
            self.site.entries[entry].signal("STOP");
            let end = Instant::now() + step.span;
            self.pending_undos.push((end, Undo::Resume(entry)));
        }
    }

    pub(super) fn kill_entry(&mut self, step: &Step) {
        let entry = step.pick % self.site.entries.len();
        self.excuse_failures(step.span);
        self.site.entries[entry].kill();
        self.start_later(entry, step.span);
    }

    pub(super) fn stop_entry(&mut self, step: &Step) {
        let entry = step.pick % self.site.entries.len();
        if self.site.entries[entry].is_running() {
            self.site.entries[entry].signal("TERM");
            self.start_later(entry, step.span + GRACE);
        }
    }

    /// Kills all entries at once; meanwhile the timeout of streams changes, and one software version may take over.
    pub(super) async fn kill_entries(&mut self, step: &Step) {
        self.excuse_failures(step.span);
        if self.site.entries.iter_mut().all(Entry::is_running) {
            signal_all(&self.site.entries, "KILL");
        }
        for entry in 0..self.site.entries.len() {
            self.site.entries[entry].kill();
            self.start_later(entry, step.span);
        }
        self.site.grade_timeout_ms = TIMEOUTS_MS[step.pick / 2 % TIMEOUTS_MS.len()];
        self.publish_among_strangers(&[]);
        if step.pick.is_multiple_of(2) {
            self.complete_release().await;
        }
    }

    /// Replaces all engines of other versions than that of the newest one.
    async fn complete_release(&mut self) {
        let engines = self.active_engines();
        let Some(newest) = engines.last() else {
            return;
        };
        let version = self.site.engines[*newest].version();
        for engine in engines {
            if self.site.engines[engine].version() != version {
                self.announced.insert(engine, false);
                self.add_engine(&version).await;
                self.end_engine(engine);
            }
        }
    }

    fn start_later(&mut self, entry: usize, after: Duration) {
        let at = Instant::now() + after;
        self.pending_undos.push((at, Undo::StartEntry(entry)));
    }
}
