//! The published configuration of a direct entry, indexed for look-ups.
//!
//! A catalog is immutable. A request uses the catalog that was active when its head was read, so
//! a configuration change never affects a request half-way.

use crate::ids::Name;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Execution guarantee and response type of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Runs at most once; the response is an event stream.
    Stream,
    /// An event stream that another upstream can resume after any event.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether the response is an event stream.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// Service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// Name in logs and metrics.
    pub name: Name,
    /// Host that selects the route.
    pub host: Name,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Name,
    /// Kind of the route's requests.
    pub kind: RequestKind,
    /// Longest time that a caller waits.
    pub timeout: Duration,
    /// Objective for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Objective for the gap between two events.
    pub gap_objective: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Upstreams that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Regions in which its requests may run; empty for any.
    pub allowed_regions: Vec<Name>,
}

/// Shortest pause of a stream after which its caller may abandon it; set by the users, as the factors below.
const MIN_ABANDONED_PAUSE: Duration = Duration::from_secs(2);

/// The same as a multiple of the objective for the first event.
const ABANDONED_PAUSE_OBJECTIVES: u32 = 4;

/// The same as a multiple of the objective for the gap between two events.
const ABANDONED_PAUSE_GAPS: u32 = 8;

impl RouteSpec {
    /// Returns the pause after which callers abandon a stream.
    #[must_use]
    pub fn abandoned_pause(&self) -> Duration {
        let gap = self.gap_objective.unwrap_or(Duration::ZERO);
        MIN_ABANDONED_PAUSE
            .max(self.objective * ABANDONED_PAUSE_OBJECTIVES)
            .max(gap * ABANDONED_PAUSE_GAPS)
    }

    /// Returns the service for a request with the random number `draw`.
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

/// Configured properties of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Concurrent requests per engine.
    pub slots: u32,
    /// Memory capacity in tokens.
    pub memory_tokens: u64,
    /// Whether the memory of a run can be copied to another engine.
    pub can_migrate: bool,
    /// Whether a growing run can be backed up on another engine.
    pub can_back_up: bool,
    /// Maximum tokens per event.
    pub tokens_per_event: u32,
    /// Transfer time of one token's memory over an engine's link within a data centre; twice that
    /// between data centres. Zero if unknown.
    pub token_copy_time: Duration,
}

/// Service of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name used by routes and upstreams.
    pub name: Name,
    /// Connections that one upstream accepts from all callers.
    pub max_connections: u32,
    /// Requests per second that a cold upstream can handle; `None` for no limit.
    pub cold_rate: Option<f64>,
    /// Engine properties; `None` for plain services.
    pub engine: Option<EngineSpec>,
}

/// Size limits and timeouts for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum bytes of a request head.
    pub header_bytes: usize,
    /// Maximum bytes of a request body.
    pub body_bytes: usize,
    /// Timeout for the request head.
    pub header_timeout: Duration,
    /// Timeout of an idle connection.
    pub idle_timeout: Duration,
}

/// Workspace and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// Name sent to upstreams.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Priority that overrides the route's.
    pub rank: Option<u8>,
    /// Regions in which its callers' requests may run; empty for any.
    pub allowed_regions: Vec<Name>,
}

/// Parts of a catalog before indexing.
#[derive(Clone, Debug)]
pub struct CatalogParts {
    /// Version; higher is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Workspaces; `None` when the configuration requires no keys at all.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}

/// Published configuration, indexed for look-ups.
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

    /// Returns the version; higher is newer.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    #[must_use]
    pub const fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the route with the longest prefix of `path` at `host`.
    ///
    /// Costs one look-up per slash in the path, regardless of the number of routes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteSpec>> {
        let prefixes = self.by_host.get(host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        let found = ends.find_map(|end| prefixes.get(&path[..end]));
        found.map(|i| &self.routes[*i])
    }

    /// Returns the service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Returns whether callers of non-open routes need a key.
    #[must_use]
    pub const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns the workspace that owns `key`.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceSpec> {
        self.by_key.get(key).map(|i| &self.workspaces[*i])
    }

    /// Returns all services.
    #[must_use]
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &RouteSpec> {
        self.routes.iter().map(|r| &**r)
    }

    /// Returns the number of routes.
    #[must_use]
    pub const fn route_count(&self) -> usize {
        self.routes.len()
    }
}
