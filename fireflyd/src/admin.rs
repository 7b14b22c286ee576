//! Admin HTTP server of a process: metrics, health, status and drain.
//!
//! It has no authentication, so its address belongs on a network that only operators reach.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use fireflycroft::{ConfigBundle, ConnectionLimits, RequestId, parse_request_id};
use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde_json::Value;
use tokio::net::TcpListener;

use crate::acceptor::CallerAcceptor;
use crate::http_server;
use crate::metrics::Metrics;

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Time for calls in progress to end when the server stops.
const STOP_GRACE: Duration = Duration::from_secs(1);

/// Readiness of the process, with the reason if it isn't ready; clones share the state.
#[derive(Clone, Debug)]
pub struct Readiness {
    /// Reason for not being ready; `None` when ready.
    reason: Arc<RwLock<Option<Arc<str>>>>,
}

impl Readiness {
    /// Creates a state that is not ready for `reason`.
    #[must_use]
    pub fn not_ready(reason: impl Into<Arc<str>>) -> Self {
        Self {
            reason: Arc::new(RwLock::new(Some(reason.into()))),
        }
    }

    /// Marks the process as ready.
    pub fn set_ready(&self) {
        self.set(None);
    }

    /// Marks the process as not ready for `reason`.
    pub fn set_not_ready(&self, reason: impl Into<Arc<str>>) {
        self.set(Some(reason.into()));
    }

    /// Returns the reason for not being ready; `None` when ready.
    #[must_use]
    pub fn reason(&self) -> Option<Arc<str>> {
        let reason = self.reason.read().unwrap_or_else(PoisonError::into_inner);
        reason.clone()
    }

    fn set(&self, reason: Option<Arc<str>>) {
        *self.reason.write().unwrap_or_else(PoisonError::into_inner) = reason;
    }
}

/// Data and actions of the admin server.
#[derive(Clone)]
pub struct Admin {
    /// Metrics at `/metrics`.
    pub metrics: Metrics,
    /// Readiness at `/health/ready`.
    pub readiness: Readiness,
    /// Returns the status as JSON; must not block.
    pub status: Arc<dyn Fn() -> Value + Send + Sync>,
    /// Returns the events of a request as JSON; must not block.
    pub explain: Arc<dyn Fn(RequestId) -> Value + Send + Sync>,
    /// Returns the current configuration with all its parts, `None` before
    /// the first; must not block.
    pub config: Arc<dyn Fn() -> Option<ConfigBundle> + Send + Sync>,
    /// Starts a planned stop; must not block and must accept repeated calls.
    pub drain: Arc<dyn Fn() + Send + Sync>,
}

impl Admin {
    /// Serves on `listener` until `stop` completes, with connections that stay within `limits`.
    ///
    /// # Errors
    ///
    /// Returns an error of the listener.
    pub async fn serve(
        self,
        listener: TcpListener,
        limits: ConnectionLimits,
        stop: impl Future<Output = ()> + Send + 'static,
    ) -> anyhow::Result<()> {
        let acceptor = CallerAcceptor {
            listener: TcpAcceptor::from_tokio(listener)?,
            callers: self.metrics.accounts("admin", limits),
        };
        let routes = Route::new()
            .at("/metrics", get(metrics))
            .at("/health/live", get(live))
            .at("/health/ready", get(ready))
            .at("/status", get(status))
            .at("/config", get(config))
            .at("/explain/:id", get(explain))
            .at("/drain", post(drain))
            .data(self);
        http_server::serve(acceptor, routes.map_to_response(), stop, Some(STOP_GRACE)).await;
        Ok(())
    }
}

#[handler]
fn metrics(Data(admin): Data<&Admin>) -> Response {
    admin
        .metrics
        .render()
        .with_content_type(METRICS_TYPE)
        .into_response()
}

#[handler]
fn live() -> &'static str {
    "live\n"
}

#[handler]
fn ready(Data(admin): Data<&Admin>) -> Response {
    match admin.readiness.reason() {
        None => "ready\n".into_response(),
        Some(reason) => format!("{reason}\n")
            .with_status(StatusCode::SERVICE_UNAVAILABLE)
            .into_response(),
    }
}

#[handler]
fn status(Data(admin): Data<&Admin>) -> Json<Value> {
    Json((admin.status)())
}

#[handler]
fn config(Data(admin): Data<&Admin>) -> Response {
    match (admin.config)() {
        Some(bundle) => Json(bundle).into_response(),
        None => "no configuration yet\n"
            .with_status(StatusCode::NOT_FOUND)
            .into_response(),
    }
}

#[handler]
fn explain(Path(id): Path<String>, Data(admin): Data<&Admin>) -> Response {
    match parse_request_id(&id) {
        Some(id) => Json((admin.explain)(id)).into_response(),
        None => "not a request id\n"
            .with_status(StatusCode::BAD_REQUEST)
            .into_response(),
    }
}

#[handler]
fn drain(Data(admin): Data<&Admin>) -> Response {
    log::info!(event = "drain_requested"; "");
    (admin.drain)();
    "draining\n"
        .with_status(StatusCode::ACCEPTED)
        .into_response()
}
