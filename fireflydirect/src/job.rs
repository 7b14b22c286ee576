//! One request of a caller, checked and ready to be sent.

use crate::loads;
use crate::node::Node;
use bytes::Bytes;
use fireflycroft::{
    Digest, EngineSpec, Name, Need, RegionSet, RequestHead, RouteSpec, Time, UpstreamIx,
};
use hyper::{HeaderMap, Method, Uri};
use rand::Rng;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// A request that was let in.
pub struct Job {
    /// The process.
    pub node: Rc<Node>,
    /// Route that selected the request.
    pub route: Arc<RouteSpec>,
    /// Version of the configuration that it is handled by.
    pub version: u64,
    /// Service that is to answer.
    pub service: Name,
    /// Engines of that service, unless it is a plain one.
    pub engine: Option<EngineSpec>,
    /// Regions in which it may run; none where any will do.
    pub homes: Option<RegionSet>,
    /// Workspace of the caller.
    pub workspace: Option<Name>,
    /// Urgency that the operator gave workspace or route; 0 goes first.
    pub rank: u8,
    /// What the head says.
    pub ask: RequestHead,
    /// Worth for the memory that it holds, as the logarithm against its kind.
    pub yields: f64,
    /// The caller's id of this attempt.
    pub request_id: Name,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body, whole.
    pub body: Bytes,
    /// Digest of path, caller and body.
    pub content: Digest,
    /// When the head was read.
    pub arrival: Time,
    /// When the caller has its final answer at the latest.
    pub give_up_at: Time,
}

/// Share of the objective for which a request is held back while there is nobody to send it to.
const HOLD_SHARE: u32 = 8;

impl Job {
    /// Time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.node.clock.now()
    }

    /// Time until the answer is given up, by the route or by the caller.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.give_up_at.since(self.now())
    }

    /// Time since the head was read.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.now().since(self.arrival)
    }

    /// What the request needs of an upstream.
    #[must_use]
    pub fn need(&self) -> Need {
        self.need_beyond(0)
    }

    /// The same once so many tokens of the answer are made.
    #[must_use]
    pub fn need_beyond(&self, made: u64) -> Need {
        let Some(size) = &self.ask.size else {
            return Need {
                homes: self.homes,
                ..Need::default()
            };
        };
        Need {
            is_copy: false,
            tokens: u64::from(size.prompt_tokens) + self.expected_beyond(made),
            prompt: u64::from(size.prompt_tokens),
            unread: u64::from(size.prompt_tokens),
            shared: size.parts.first().map(|p| p.id),
            draw: rand::rng().next_u64(),
            homes: self.homes,
            copied_from: None,
        }
    }

    /// Tokens that the answer is expected to have; zero for a plain call.
    #[must_use]
    pub fn expected_tokens(&self) -> u64 {
        self.expected_beyond(0)
    }

    /// The same once so many of them are made.
    #[must_use]
    pub fn expected_beyond(&self, made: u64) -> u64 {
        let Some(size) = &self.ask.size else {
            return 0;
        };
        let lengths = self.node.lengths.borrow();
        lengths.expect_beyond(&self.route.name, size.length_hint, size.max_tokens, made)
    }

    /// Takes one repeat from the shared budget.
    #[must_use]
    pub fn take_repeat(&self) -> bool {
        let entries = self.node.entries();
        let mut budget = self.node.retry_budget.borrow_mut();
        budget.take(self.now(), &self.service, entries)
    }

    /// An upstream that isn't in `tried`; waits a little while there is none at all, unless it is known
    /// that there will be none for longer.
    pub async fn pick(&self, need: &Need, tried: &[UpstreamIx]) -> Option<UpstreamIx> {
        let until = self.arrival + self.route.objective / HOLD_SHARE;
        loads::query(&self.node, &self.service, need, tried).await;
        loop {
            if let Some(ix) = self.pick_now(need, tried) {
                return Some(ix);
            }
            let changed = self.node.routing_changed.notified();
            let wake_at = match self.until_any_is_free(need) {
                Some(wait) => self.now() + wait,
                None if self.now() < until => until,
                None => return None,
            };
            if wake_at > until {
                return None;
            }
            let wake_at = self.node.clock.instant(wake_at);
            // Whatever woke it, the next look tells.
            let _ = tokio::time::timeout_at(wake_at, changed).await;
        }
    }

    /// Time until one of the upstreams that want nothing of this entry for now takes a request again;
    /// none where there is no such upstream.
    #[must_use]
    pub fn until_any_is_free(&self, need: &Need) -> Option<Duration> {
        let pool = self.node.pool.borrow();
        pool.until_any_is_free(self.now(), &self.service, need)
    }

    fn pick_now(&self, need: &Need, tried: &[UpstreamIx]) -> Option<UpstreamIx> {
        let pool = self.node.pool.borrow();
        let now = self.now();
        let fresh = pool.choose(now, &self.service, need, tried);
        fresh.or_else(|| pool.choose(now, &self.service, need, &[]))
    }
}
