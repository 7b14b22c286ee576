//! Work that this entry has placed on upstreams.

use crate::node::Node;
use fireflycroft::{Need, UpstreamIx};
use std::rc::Rc;

impl Node {
    /// Counts work as placed on an upstream for as long as the guard lives.
    #[must_use]
    pub fn place(self: &Rc<Self>, ix: UpstreamIx, need: Need) -> PlacedGuard {
        self.pool.borrow_mut().place(self.now(), ix, &need);
        if need.tokens > 0 {
            self.note_load(ix);
        }
        PlacedGuard {
            node: self.clone(),
            ix,
            need,
        }
    }
}

/// Work placed on an upstream; taken back when dropped.
pub struct PlacedGuard {
    node: Rc<Node>,
    /// The upstream.
    pub ix: UpstreamIx,
    need: Need,
}

impl PlacedGuard {
    /// Notes the memory that a run is expected to need by now, if it is more than before.
    pub fn note_needed(&mut self, tokens: u64) {
        if tokens > self.need.tokens {
            let mut pool = self.node.pool.borrow_mut();
            pool.grow(self.ix, &mut self.need, tokens);
        }
    }

    /// Notes that the upstream has read the prompt.
    pub fn note_read(&mut self) {
        if self.need.unread > 0 {
            let mut pool = self.node.pool.borrow_mut();
            pool.record_prompt_read(self.ix, &mut self.need);
            self.node.note_load(self.ix);
        }
    }
}

impl Drop for PlacedGuard {
    fn drop(&mut self) {
        self.node.pool.borrow_mut().release(self.ix, &self.need);
        if self.need.tokens > 0 {
            self.node.note_load(self.ix);
        }
    }
}
