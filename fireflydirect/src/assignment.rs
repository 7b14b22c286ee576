//! Work that this entry has placed on upstreams.

use crate::node::Node;
use fireflycroft::{Need, UpstreamIx};
use std::rc::Rc;

impl Node {
    /// Counts work as placed on an upstream for as long as the guard lives.
    #[must_use]
    pub fn assign(self: &Rc<Self>, ix: UpstreamIx, need: Need) -> AssignmentGuard {
        self.pool.borrow_mut().place(self.now(), ix, &need);
        if need.tokens > 0 {
            self.note_load(ix);
        }
        AssignmentGuard {
            node: self.clone(),
            ix,
            need,
        }
    }
}

/// Work placed on an upstream; taken back when dropped.
pub struct AssignmentGuard {
    node: Rc<Node>,
    /// The upstream.
    pub ix: UpstreamIx,
    need: Need,
}

impl AssignmentGuard {
    /// Notes the memory that a run is expected to need by now, if it is more than before.
    pub fn grow_to(&mut self, tokens: u64) {
        if tokens > self.need.tokens {
            let mut pool = self.node.pool.borrow_mut();
            pool.grow(self.ix, &mut self.need, tokens);
        }
    }

    /// Notes that the upstream has read the prompt.
    pub fn record_prompt_read(&mut self) {
        if self.need.unread > 0 {
            let mut pool = self.node.pool.borrow_mut();
            pool.note_read(self.ix, &mut self.need);
            self.node.note_load(self.ix);
        }
    }
}

impl Drop for AssignmentGuard {
    fn drop(&mut self) {
        self.node.pool.borrow_mut().release(self.ix, &self.need);
        if self.need.tokens > 0 {
            self.node.note_load(self.ix);
        }
    }
}
