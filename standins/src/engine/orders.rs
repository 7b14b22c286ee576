//! Orders to load or unload models or change the role, with fencing numbers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// An order with its fencing number.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct FencedOrder {
    pub(super) fence: u64,
    #[serde(flatten)]
    pub(super) order: Order,
}

/// The action of an order.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub(super) enum Order {
    /// Loads a model.
    Load {
        /// Its name.
        model: Arc<str>,
    },
    /// Unloads a model; generations in progress continue.
    Unload {
        /// Its name.
        model: Arc<str>,
    },
    /// Changes the role.
    Role {
        /// Its name.
        role: Arc<str>,
    },
}

/// Rejection of a stale fencing number, with the highest number seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub(super) struct StaleFence {
    pub(super) fence: u64,
}

/// The loading state of a model.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
enum ModelState {
    /// Being loaded.
    Loading,
    /// Ready for requests.
    Loaded,
}

/// A model in a [`ModelList`].
#[derive(Debug, Serialize)]
struct Model {
    name: Arc<str>,
    state: ModelState,
}

/// The response to a query for models.
#[derive(Debug, Serialize)]
pub(super) struct ModelList {
    models: Vec<Model>,
    role: Arc<str>,
    fence: u64,
}

/// The models, role and fencing number set by orders.
#[derive(Debug)]
pub(super) struct Orders {
    check_fence: bool,
    load_time: Duration,
    fence: u64,
    role: Arc<str>,
    ready_at: BTreeMap<Arc<str>, Instant>,
}

impl Orders {
    pub(super) fn new(models: &[Arc<str>], check_fence: bool, load_time: Duration) -> Self {
        let now = Instant::now();
        Self {
            check_fence,
            load_time,
            fence: 0,
            role: Arc::from("mixed"),
            ready_at: models
                .iter()
                .map(|model| (Arc::clone(model), now))
                .collect(),
        }
    }

    /// Applies an order, or rejects a stale fencing number if they are checked.
    pub(super) fn apply(&mut self, order: &FencedOrder) -> Result<(), StaleFence> {
        if self.check_fence && order.fence < self.fence {
            return Err(StaleFence { fence: self.fence });
        }
        self.fence = self.fence.max(order.fence);
        match &order.order {
            Order::Load { model } => self.load(model),
            Order::Unload { model } => {
                self.ready_at.remove(model);
            }
            Order::Role { role } => self.role = Arc::clone(role),
        }
        Ok(())
    }

    /// Returns whether a model is loaded.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.ready_at
            .get(model)
            .is_some_and(|at| *at <= Instant::now())
    }

    /// Returns all models with their states.
    pub(super) fn models(&self) -> ModelList {
        let models = self.ready_at.keys().map(|name| Model {
            name: Arc::clone(name),
            state: self.state(name),
        });
        ModelList {
            models: models.collect(),
            role: Arc::clone(&self.role),
            fence: self.fence,
        }
    }

    fn load(&mut self, model: &Arc<str>) {
        let ready_at = Instant::now() + self.load_time;
        self.ready_at.entry(Arc::clone(model)).or_insert(ready_at);
    }

    fn state(&self, model: &str) -> ModelState {
        if self.serves(model) {
            ModelState::Loaded
        } else {
            ModelState::Loading
        }
    }
}
