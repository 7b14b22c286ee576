//! Request mixes: workspaces, kinds of requests, lengths and latency goals.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Priority class of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person reads the answer as it arrives.
    Interactive,
    /// A long job that tolerates delay.
    Batch,
}

impl Class {
    /// All classes.
    pub const ALL: [Self; 2] = [Self::Interactive, Self::Batch];

    /// Returns the name used in requests and records.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Interactive => "interactive",
            Self::Batch => "batch",
        }
    }
}

/// Latency goal of a class, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Goal {
    /// Time to the first token.
    pub first_token_ms: f64,
    /// Gap between two tokens.
    pub gap_ms: f64,
}

/// A lognormal distribution of lengths in tokens.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LengthDistribution {
    /// Median.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Maximum.
    pub max: u64,
}

/// One kind of request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Kind {
    /// Name.
    pub name: Arc<str>,
    /// Priority class.
    pub class: Class,
    /// Share of the requests, relative to the other weights.
    pub weight: f64,
    /// Tokens of the prompt prefix shared by its requests of one workspace.
    pub shared_prompt: u64,
    /// Lengths of the rest of the prompt.
    pub prompt: LengthDistribution,
    /// Lengths of the answer.
    pub output: LengthDistribution,
}

/// A customer's workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Workspace {
    /// Name.
    pub name: Arc<str>,
    /// Share of the requests, relative to the other weights.
    pub weight: f64,
    /// Bearer key of its callers.
    pub key: Arc<str>,
}

/// A request mix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Mix {
    /// Name.
    pub name: Arc<str>,
    /// Requested model.
    pub model: Arc<str>,
    /// Workspaces that send requests.
    pub workspaces: Vec<Workspace>,
    /// Kinds of requests.
    pub kinds: Vec<Kind>,
    /// Goal of interactive requests.
    pub interactive: Goal,
    /// Goal of batch requests.
    pub batch: Goal,
}

/// Weights of ten workspaces, a few of them large.
const WORKSPACE_WEIGHTS: [f64; 10] = [30.0, 22.0, 15.0, 8.0, 6.0, 5.0, 5.0, 4.0, 3.0, 2.0];

/// Goal of interactive requests in the built-in mixes.
const INTERACTIVE_GOAL: Goal = Goal {
    first_token_ms: 500.0,
    gap_ms: 100.0,
};

/// Goal of batch requests in the built-in mixes.
const BATCH_GOAL: Goal = Goal {
    first_token_ms: 10_000.0,
    gap_ms: 250.0,
};

impl Mix {
    /// Returns the built-in mix of this name.
    #[must_use]
    pub fn built_in(name: &str) -> Option<Self> {
        let kinds = match name {
            "celje" => celje(),
            "kerlann" => kerlann(),
            _ => return None,
        };
        Some(Self {
            name: Arc::from(name),
            model: Arc::from("small"),
            workspaces: workspaces(name),
            kinds,
            interactive: INTERACTIVE_GOAL,
            batch: BATCH_GOAL,
        })
    }

    /// Returns the goal of a class.
    #[must_use]
    pub fn goal(&self, class: Class) -> Goal {
        match class {
            Class::Interactive => self.interactive,
            Class::Batch => self.batch,
        }
    }
}

/// Returns a mix of short lookups and long dossiers.
fn celje() -> Vec<Kind> {
    vec![
        interactive(
            "lookup",
            60.0,
            lengths(80.0, 0.5, 400),
            lengths(40.0, 0.6, 300),
        ),
        interactive(
            "question",
            20.0,
            lengths(200.0, 0.6, 1_000),
            lengths(120.0, 0.7, 800),
        ),
        batch(
            "dossier",
            20.0,
            lengths(1_800.0, 0.6, 6_000),
            lengths(900.0, 1.0, 8_000),
        ),
    ]
}

/// Returns a mix of short grades and long restoration logs.
fn kerlann() -> Vec<Kind> {
    vec![
        interactive(
            "grade",
            45.0,
            lengths(200.0, 0.5, 800),
            lengths(25.0, 0.5, 150),
        ),
        interactive(
            "question",
            25.0,
            lengths(150.0, 0.6, 800),
            lengths(100.0, 0.7, 600),
        ),
        batch(
            "restoration",
            30.0,
            lengths(1_200.0, 0.7, 5_000),
            lengths(1_200.0, 0.9, 8_000),
        ),
    ]
}

fn workspaces(mix: &str) -> Vec<Workspace> {
    let weights = WORKSPACE_WEIGHTS.iter().enumerate();
    let workspace = |(index, weight): (usize, &f64)| Workspace {
        name: format!("{mix}-{index}").into(),
        weight: *weight,
        key: format!("key-{mix}-{index}").into(),
    };
    weights.map(workspace).collect()
}

fn interactive(
    name: &str,
    weight: f64,
    prompt: LengthDistribution,
    output: LengthDistribution,
) -> Kind {
    Kind {
        name: Arc::from(name),
        class: Class::Interactive,
        weight,
        shared_prompt: 128,
        prompt,
        output,
    }
}

fn batch(name: &str, weight: f64, prompt: LengthDistribution, output: LengthDistribution) -> Kind {
    Kind {
        class: Class::Batch,
        shared_prompt: 256,
        ..interactive(name, weight, prompt, output)
    }
}

fn lengths(median: f64, sigma: f64, max: u64) -> LengthDistribution {
    LengthDistribution { median, sigma, max }
}
