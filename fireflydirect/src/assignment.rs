//! Work that this entry has assigned to upstreams.

use crate::node::Node;
use fireflycroft::{Need, Time, UpstreamIncarnation, UpstreamIx};
use std::rc::Rc;

impl Node {
    /// Counts work as assigned to an upstream until the guard is dropped.
    #[must_use]
    pub fn assign(self: &Rc<Self>, ix: UpstreamIx, need: Need) -> AssignmentGuard {
        self.pool.borrow_mut().place(self.now(), ix, &need);
        if need.tokens > 0 {
            self.record_load_change(ix);
        }
        AssignmentGuard {
            node: self.clone(),
            ix,
            since: self.now(),
            need,
            is_slowed: false,
        }
    }
}

/// Work assigned to an upstream; released when dropped.
pub struct AssignmentGuard {
    node: Rc<Node>,
    /// The upstream.
    pub ix: UpstreamIx,
    since: Time,
    need: Need,
    is_slowed: bool,
}

impl AssignmentGuard {
    /// Returns the incarnation of the upstream that is known now.
    #[must_use]
    pub fn incarnation(&self) -> UpstreamIncarnation {
        self.node
            .pool
            .borrow()
            .record(self.ix)
            .upstream_incarnation()
    }

    /// Raises the run's memory need to `tokens`, if that is more than before.
    pub fn grow_to(&mut self, tokens: u64) {
        if tokens > self.need.tokens {
            let mut pool = self.node.pool.borrow_mut();
            pool.grow(self.ix, &mut self.need, tokens);
        }
    }

    /// Records whether the answer sees that the upstream is slow now.
    pub fn set_slowed(&mut self, is_slowed: bool) {
        if self.is_slowed != is_slowed {
            self.is_slowed = is_slowed;
            let mut pool = self.node.pool.borrow_mut();
            pool.record_slowed(self.ix, is_slowed);
            self.node.record_load_change(self.ix);
        }
    }

    /// Records that the upstream has read the prompt.
    pub fn record_prompt_read(&mut self) {
        if self.need.unread > 0 {
            let span = self.node.now().since(self.since);
            let mut pool = self.node.pool.borrow_mut();
            pool.record_read(self.ix, self.need.unread, span);
            pool.record_prompt_read(self.ix, &mut self.need);
            let service = &pool.record(self.ix).service;
            let after = self.node.now().since(self.since);
            let mut hold_times = self.node.hold_times.borrow_mut();
            hold_times.record_first_event(service, after);
            self.node.record_load_change(self.ix);
        }
    }
}

impl AssignmentGuard {
    /// Records how long a run has held its memory.
    fn record_hold_time(&self) {
        if self.need.is_copy {
            return;
        }
        let service = self.node.pool.borrow().record(self.ix).service.clone();
        let held = self.node.now().since(self.since);
        let mut hold_times = self.node.hold_times.borrow_mut();
        hold_times.record(&service, self.need.tokens, held);
        self.node.capacity_released.notify_waiters();
    }
}

impl Drop for AssignmentGuard {
    fn drop(&mut self) {
        self.set_slowed(false);
        self.node.pool.borrow_mut().release(self.ix, &self.need);
        if self.need.tokens > 0 {
            self.node.record_load_change(self.ix);
            self.record_hold_time();
        }
    }
}
