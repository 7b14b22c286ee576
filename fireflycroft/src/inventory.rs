//! The inventory and the rules as operators write them.

use crate::ids::Name;
use crate::work::Priority;
use serde::{Deserialize, Serialize};

/// Brands, workspaces, models and plain services.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Inventory {
    /// Brands under which the service is resold.
    #[serde(default)]
    pub brands: Vec<Brand>,
    /// Workspaces of the brands.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// Models that engines may hold.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services beside the engines.
    #[serde(default)]
    pub services: Vec<Name>,
}

/// A brand.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Brand {
    /// Name of the brand.
    pub name: Name,
    /// Models that the brand may use.
    #[serde(default)]
    pub models: Vec<Name>,
    /// Plain services that the brand may use.
    #[serde(default)]
    pub services: Vec<Name>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Brand that the workspace belongs to.
    pub brand: Name,
    /// BLAKE3 digests of the workspace's keys, 64 hexadecimal digits each.
    #[serde(default)]
    pub key_digests: Vec<Name>,
}

/// A model version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name with version, as callers and engines use it.
    pub name: Name,
    /// Number of engines that should hold the model.
    #[serde(default)]
    pub replicas: u32,
}

/// Rules on top of the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Default and highest priorities of workspaces.
    pub priorities: Vec<PriorityRule>,
    /// Quotas of workspaces.
    pub quotas: Vec<Quota>,
    /// Calls that must never be retried.
    pub non_repeatable: Vec<NonRetryable>,
    /// Handling of non-retryable requests without an idempotency key.
    pub without_key: WithoutKey,
    /// Longest wait before an interactive request starts, in milliseconds.
    pub interactive_wait_ms: u64,
    /// Longest wait before a batch request starts, in milliseconds.
    pub batch_wait_ms: u64,
    /// Objectives of brands, for the error budget report.
    pub objectives: Vec<Objective>,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            priorities: Vec::new(),
            quotas: Vec::new(),
            non_repeatable: Vec::new(),
            without_key: WithoutKey::Refuse,
            interactive_wait_ms: 2_000,
            batch_wait_ms: 60_000,
            objectives: Vec::new(),
        }
    }
}

impl Rules {
    /// Returns the objective for a brand's requests of one priority: the brand's own, or
    /// else the general one.
    #[must_use]
    pub fn objective(&self, brand: &str, priority: Priority) -> Option<&Objective> {
        find_objective(&self.objectives, brand, priority)
    }
}

pub(crate) fn find_objective<'a>(
    objectives: &'a [Objective],
    brand: &str,
    priority: Priority,
) -> Option<&'a Objective> {
    let mut of_priority = objectives.iter().filter(|o| o.priority == priority);
    let own = |o: &&Objective| o.brand.as_deref() == Some(brand);
    let general = |o: &&Objective| o.brand.is_none();
    of_priority
        .clone()
        .find(own)
        .or_else(|| of_priority.find(general))
}

/// Priority of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PriorityRule {
    /// Workspace that the rule is for.
    pub workspace: Name,
    /// Priority of requests that name none.
    pub default: Priority,
    /// Highest priority that requests may name.
    pub highest: Priority,
}

/// Quota of a workspace over the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Workspace that the quota is for.
    pub workspace: Name,
    /// Tokens of prompts and answers per minute.
    pub tokens_per_minute: u64,
}

/// A call, or a workspace's generations, that must never be retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NonRetryable {
    /// Model or plain service.
    pub target: Name,
    /// HTTP method; every method when absent.
    #[serde(default)]
    pub method: Option<Name>,
    /// Prefix of the path; every path when absent.
    #[serde(default)]
    pub path: Option<Name>,
    /// Workspace; every workspace when absent.
    #[serde(default)]
    pub workspace: Option<Name>,
}

/// Handling of non-retryable requests without an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithoutKey {
    /// Reject the request; it was not run.
    #[default]
    Refuse,
    /// Run the request once and never retry it; a caller's own retry runs it again.
    RunOnce,
}

/// Objective of a brand's requests of one priority.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Brand that the objective is for; every brand when absent.
    #[serde(default)]
    pub brand: Option<Name>,
    /// Priority that the objective is for.
    pub priority: Priority,
    /// Longest time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Longest time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
    /// Requests per thousand that must meet both limits.
    pub per_mille: u32,
}

impl Eq for Objective {}
