//! The published configuration of a direct entry, indexed for look-ups.
//!
//! A catalog is immutable. A request is handled by the one catalog that was in
//! force when its head was read, so a change never splits a request in two.

use crate::ids::Name;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// More than once.
    Idempotent,
    /// At most once.
    Once,
    /// At most once; the answer is a stream of events.
    Stream,
    /// A stream that another upstream may go on with after any event.
    ResumableStream,
}

impl RequestKind {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request that may have run may be sent once more.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that a route sends a share of its requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Its share, against the sum of the weights of the route.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name that logs and metrics give.
    pub name: Name,
    /// Host that selects it.
    pub host: Name,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Name,
    /// How often a request may run.
    pub kind: RequestKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is on time, up to its first event.
    pub objective: Duration,
    /// Longest pause between two events that is on time.
    pub gap_objective: Option<Duration>,
    /// Urgency; 0 goes first.
    pub rank: u8,
    /// Services that answer, with their shares.
    pub targets: Vec<Target>,
    /// Upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether a caller needs no key.
    pub open: bool,
    /// Regions in which its requests may run; any where none is named.
    pub allowed_regions: Vec<Name>,
}

impl RouteSpec {
    /// The service for a request that drew `draw`.
    #[must_use]
    pub fn target(&self, draw: u32) -> Option<&Name> {
        let sum: u32 = self.targets.iter().map(|t| t.weight).sum();
        if sum == 0 {
            return self.targets.first().map(|t| &t.service);
        }
        let mut left = draw % sum;
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        None
    }
}

/// What the configuration says of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that fit in its memory.
    pub memory_tokens: u64,
    /// Whether the memory of a run can be copied to another engine.
    pub can_migrate: bool,
    /// Whether a run can be backed up on another engine as it grows.
    pub can_back_up: bool,
    /// Tokens that one event holds at most.
    pub tokens_per_event: u32,
    /// Time that the memory of one token takes over an engine's link within a data centre; twice
    /// that between two. Zero where it isn't known.
    pub token_copy_time: Duration,
}

/// One service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name that routes and upstreams give.
    pub name: Name,
    /// Connections that one upstream accepts from all callers.
    pub max_connections: u32,
    /// Requests a second that an upstream bears while it is cold; none where it bears any.
    pub cold_rate: Option<f64>,
    /// Set for model engines.
    pub engine: Option<EngineSpec>,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for the head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A workspace and the keys that belong to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Name that upstreams are told.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Urgency that goes before the route's.
    pub rank: Option<u8>,
    /// Regions in which requests of its callers may run; any where none is named.
    pub allowed_regions: Vec<Name>,
}

/// What a catalog is made of.
#[derive(Clone, Debug)]
pub struct CatalogParts {
    /// Version; higher is newer.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteSpec>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Workspaces; `None` when the configuration asks for no keys at all.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}

/// The configuration in force, indexed.
#[derive(Clone, Debug)]
pub struct Catalog {
    version: u64,
    routes: Vec<Arc<RouteSpec>>,
    services: Vec<ServiceSpec>,
    limits: CallerLimits,
    workspaces: Vec<WorkspaceSpec>,
    requires_keys: bool,
    by_host: HashMap<Name, HashMap<Name, usize>>,
    by_key: HashMap<Name, usize>,
}

impl Catalog {
    /// Indexes the parts of one version.
    #[must_use]
    pub fn new(parts: CatalogParts) -> Self {
        let requires_keys = parts.workspaces.is_some();
        let workspaces = parts.workspaces.unwrap_or_default();
        let mut by_host: HashMap<Name, HashMap<Name, usize>> = HashMap::new();
        for (i, route) in parts.routes.iter().enumerate() {
            let host = by_host.entry(route.host.clone()).or_default();
            host.insert(route.prefix.clone(), i);
        }
        let mut by_key = HashMap::new();
        for (i, workspace) in workspaces.iter().enumerate() {
            for key in &workspace.keys {
                by_key.insert(key.clone(), i);
            }
        }
        Self {
            version: parts.version,
            routes: parts.routes.into_iter().map(Arc::new).collect(),
            services: parts.services,
            limits: parts.limits,
            workspaces,
            requires_keys,
            by_host,
            by_key,
        }
    }

    /// Version; higher is newer.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Bounds on callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// The route with the longest prefix of `path` at `host`.
    ///
    /// Costs one look-up for each slash in the path, however many routes there are.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let prefixes = self.by_host.get(host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        let found = ends.find_map(|end| prefixes.get(&path[..end]));
        found.map(|i| &self.routes[*i])
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Whether callers of routes that are not open need a key.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// The workspace that holds `key`.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        self.by_key.get(key).map(|i| &self.workspaces[*i])
    }

    /// All services.
    #[must_use]
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// Routes in all.
    #[must_use]
    pub const fn route_count(&self) -> usize {
        self.routes.len()
    }
}
