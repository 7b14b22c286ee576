//! An admitted request, ready to be sent to upstreams.

use crate::loads;
use crate::node::Node;
use crate::stop_orders::StopOrders;
use bytes::Bytes;
use fireflycroft::{
    AttemptedUpstreams, Digest, EngineSpec, Name, Need, RegionSet, RequestHead, RouteSpec,
    StreamOrigin, Suspect, Time, UpstreamIx, VersionKey,
};
use fireflynet::{Account, Charge};
use hyper::{HeaderMap, Method, Uri};
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// An admitted request.
pub struct Job {
    /// The process.
    pub node: Rc<Node>,
    /// Route that matched the request.
    pub route: Arc<RouteSpec>,
    /// Version of the configuration applied to it.
    pub version: u64,
    /// Target service.
    pub service: Name,
    /// Engine specification of that service; none for a plain one.
    pub engine: Option<EngineSpec>,
    /// Regions in which it may run; none for any.
    pub homes: Option<RegionSet>,
    /// Workspace of the caller.
    pub workspace: Option<Name>,
    /// Priority rank of workspace or route; 0 is the highest.
    pub rank: u8,
    /// Decoded request head.
    pub head: RequestHead,
    /// Where the stream began that it continues.
    pub origin: Option<StreamOrigin>,
    /// Value per memory held, as a logarithm relative to its kind.
    pub value_density: f64,
    /// The caller's id of this attempt.
    pub request_id: Name,
    /// Method of the request.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Account of the caller's connection.
    pub account: Account,
    /// Memory of its buffers.
    pub memory: Charge,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Digest of path, caller and body.
    pub content: Digest,
    /// What it has in common with other requests that may crash upstreams.
    pub suspects: Vec<Suspect>,
    /// Upstreams to which it was sent to begin a run.
    pub attempted: RefCell<AttemptedUpstreams>,
    /// Orders to stop its runs.
    pub stop_orders: Rc<StopOrders>,
    /// Whether an upstream ended under its answer, or more than one run made a part of it.
    pub is_in_parts: Cell<bool>,
    /// Upstreams whose crashes under it are recorded.
    pub crashed_under: RefCell<HashSet<UpstreamIx>>,
    /// Upstreams that crashed as its answer was beginning there.
    pub crashed_beginnings: Cell<u32>,
    /// Whether it is still to try a refused suspect again.
    pub tries_suspect_again: Cell<bool>,
    /// Time at which the request was sent to the upstream whose answer came last.
    pub sent_at: Cell<Time>,
    /// Time at which the head was read.
    pub arrival: Time,
    /// Latest time of the final answer.
    pub deadline: Time,
}

/// Divisor of the objective that gives how long a request is held while no upstream is available.
const HOLD_DIVISOR: u32 = 8;

impl Job {
    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.node.clock.now()
    }

    /// Returns the time left until the deadline of route or caller.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.since(self.now())
    }

    /// Returns the time since the head was read.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.now().since(self.arrival)
    }

    /// Returns the request's need on an upstream.
    #[must_use]
    pub fn need(&self) -> Need {
        self.need_beyond(0)
    }

    /// Returns the need once `made` tokens of the answer are generated.
    #[must_use]
    pub fn need_beyond(&self, made: u64) -> Need {
        let origin = self.origin.as_ref();
        let version = origin.map(|o| VersionKey::of(&o.software_version));
        let Some(size) = &self.head.size else {
            return Need {
                homes: self.homes,
                version,
                ..Need::default()
            };
        };
        Need {
            is_copy: false,
            tokens: u64::from(size.prompt_tokens) + self.expected_tokens_beyond(made),
            prompt: u64::from(size.prompt_tokens),
            unread: u64::from(size.prompt_tokens),
            shared: size.parts.first().map(|p| p.id),
            draw: rand::rng().next_u64(),
            homes: self.homes,
            copied_from: None,
            version,
        }
    }

    /// Returns the expected length of the answer in tokens; zero for a plain call.
    #[must_use]
    pub fn expected_tokens(&self) -> u64 {
        self.expected_tokens_beyond(0)
    }

    /// Returns the expected length once `made` tokens are generated.
    #[must_use]
    pub fn expected_tokens_beyond(&self, made: u64) -> u64 {
        let Some(size) = &self.head.size else {
            return 0;
        };
        let lengths = self.node.lengths.borrow();
        lengths.expect_beyond(&self.route.name, size.length_hint, size.max_tokens, made)
    }

    /// Records the length of a complete answer in tokens.
    pub fn record_length(&self, tokens: u64) {
        if let Some(size) = &self.head.size {
            let (hint, most) = (size.length_hint, size.max_tokens);
            let mut lengths = self.node.lengths.borrow_mut();
            lengths.record(&self.route.name, hint, most, tokens);
        }
    }

    /// Takes one retry from the shared budget.
    #[must_use]
    pub fn take_retry(&self) -> bool {
        let entries = self.node.entries();
        let mut budget = self.node.retry_budget.borrow_mut();
        budget.take(self.now(), &self.service, entries)
    }

    /// Picks an upstream, preferably one not in `tried`; waits briefly while there is none, unless the
    /// wait is known to be longer.
    pub async fn pick(&self, need: &Need, tried: &[UpstreamIx]) -> Option<UpstreamIx> {
        let until = self.arrival + self.route.objective / HOLD_DIVISOR;
        loads::query(&self.node, &self.service, need, tried).await;
        loop {
            if let Some(ix) = self.pick_now(need, tried) {
                return Some(ix);
            }
            let changed = self.node.routing_changed.notified();
            let wake_at = match self.time_until_available(need) {
                Some(wait) => self.now() + wait,
                None if self.now() < until => until,
                None => return None,
            };
            if wake_at > until {
                return None;
            }
            let wake_at = self.node.clock.instant(wake_at);
            // Timeout or change: the next pass checks again.
            let _ = tokio::time::timeout_at(wake_at, changed).await;
        }
    }

    /// Returns the time until one of the upstreams that accept nothing from this entry for now accepts
    /// a request again; none if there is no such upstream.
    #[must_use]
    pub fn time_until_available(&self, need: &Need) -> Option<Duration> {
        let pool = self.node.pool.borrow();
        pool.until_any_is_free(self.now(), &self.service, need)
    }

    fn pick_now(&self, need: &Need, tried: &[UpstreamIx]) -> Option<UpstreamIx> {
        let pool = self.node.pool.borrow();
        let now = self.now();
        let choose = |tried| match self.origin {
            Some(_) => pool.choose_to_continue(now, &self.service, need, tried),
            None => pool.choose(now, &self.service, need, tried),
        };
        choose(tried).or_else(|| choose(&[]))
    }
}
