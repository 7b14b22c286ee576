//! Runs work on the upstream and reports its progress to the agent's loop.

use std::time::Duration;

use fireflycroft::{
    AgentEvent, Code, Demand, Finish, GenerationId, Name, Order, OrderKind, Priority, RequestId,
    UpstreamReport, Work,
};
use futures_util::StreamExt;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::agent::AgentInput;
use crate::upstream::{
    EngineClient, EngineEvent, EngineOrder, EngineStream, FencedOrder, FinishReason,
    GenerateRequest, Model, ModelState, OrderOutcome, PlainClient, PlainResponse, UpstreamError,
};

/// Bytes of a plain service's response sent as one token.
const BYTES_PER_TOKEN: usize = 32 * 1024;
/// Time between two health checks of the upstream.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the upstream's load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Number of consecutive failed checks after which the upstream counts as down.
const HEALTH_FAILURES: u32 = 3;
/// Delay before resuming a broken stream.
const RESUME_DELAY: Duration = Duration::from_millis(50);
const STATUS_NOT_FOUND: u16 = 404;
/// Time between two reads of the engine's models.
const MODELS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two checks whether an order took effect.
const EFFECT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of checks after which an order counts as failed; two minutes in total.
const MAX_EFFECT_CHECKS: u32 = 480;

/// Upstream behind an agent; clones share its connections.
#[derive(Clone, Debug)]
pub enum Runner {
    /// A model engine.
    Engine(EngineClient),
    /// A plain service, healthy if `/health` gets any response.
    Plain(PlainClient),
}

impl Runner {
    /// Runs a generation or call to its end.
    pub async fn run(
        &self,
        generation: GenerationId,
        request: RequestId,
        demand: Demand,
        work: Work,
        tx: &mpsc::Sender<AgentInput>,
    ) {
        let event = match (self, work) {
            (Self::Engine(engine), Work::Generate { body }) => {
                match generate(engine, generation, request, &demand, &body).await {
                    Ok(stream) => {
                        relay(generation, stream, tx).await;
                        return;
                    }
                    Err(e) => not_started(generation, &e),
                }
            }
            (
                Self::Plain(plain),
                Work::Call {
                    method,
                    path,
                    content_type,
                    body,
                },
            ) => {
                let headers = [
                    ("content-type", &*content_type),
                    ("x-request-id", &request.to_string()),
                ];
                let sent_headers = if content_type.is_empty() {
                    &headers[1..]
                } else {
                    &headers[..]
                };
                match plain
                    .call(&method, &path, sent_headers, body.to_vec())
                    .await
                {
                    Ok(answer) => {
                        send_plain_response(generation, answer, tx).await;
                        return;
                    }
                    Err(e) => not_started(generation, &e),
                }
            }
            _ => AgentEvent::NotStarted {
                generation,
                code: Code::BadRequest,
            },
        };
        send(tx, event).await;
    }

    /// Resumes a broken stream, or reports that it is lost.
    pub async fn resume(&self, generation: GenerationId, from: u64, tx: &mpsc::Sender<AgentInput>) {
        let Self::Engine(engine) = self else {
            send(tx, AgentEvent::Lost { generation }).await;
            return;
        };
        tokio::time::sleep(RESUME_DELAY).await;
        match engine.resume(&generation.to_string(), from).await {
            Ok(stream) => relay(generation, stream, tx).await,
            Err(UpstreamError::NeverSent(_)) => send(tx, AgentEvent::UpstreamDown).await,
            Err(UpstreamError::Answered {
                status: STATUS_NOT_FOUND,
                ..
            }) => {
                send(tx, AgentEvent::Forgotten { generation }).await;
            }
            Err(UpstreamError::Broken(_) | UpstreamError::NoAnswer(_)) => {
                send(tx, AgentEvent::Broken { generation }).await;
            }
            Err(UpstreamError::Answered { .. } | UpstreamError::Unusable(_)) => {
                send(tx, AgentEvent::Lost { generation }).await;
            }
        }
    }

    /// Cancels a generation.
    pub async fn cancel(&self, generation: GenerationId) {
        if let Self::Engine(engine) = self
            && let Err(e) = engine.cancel(&generation.to_string()).await
        {
            // The generation may run to its end.
            log::warn!(event = "cancel_failed", generation:% = generation, cause:% = e; "");
        }
    }

    /// Executes an order and waits until it has taken effect.
    pub async fn execute_order(&self, order: &Order, tx: &mpsc::Sender<AgentInput>) {
        let code = match self {
            Self::Engine(engine) => forward_order(engine, order).await,
            Self::Plain(_) => Code::OrderFailed,
        };
        if let Self::Engine(engine) = self {
            report_models(engine, tx).await;
        }
        send(tx, AgentEvent::OrderSettled(code)).await;
    }

    /// Reports the engine's loaded models periodically; never returns for an engine.
    pub async fn watch_models(self, tx: mpsc::Sender<AgentInput>) {
        let Self::Engine(engine) = self else {
            return;
        };
        loop {
            report_models(&engine, &tx).await;
            tokio::time::sleep(MODELS_POLL_INTERVAL).await;
        }
    }

    /// Checks the upstream's health periodically; never returns.
    pub async fn watch_health(self, tx: mpsc::Sender<AgentInput>) {
        let mut failures = 0;
        let mut up = false;
        loop {
            if self.is_healthy().await {
                failures = 0;
                // Sent each time: a failed start may have marked the upstream down.
                up = true;
                send(&tx, AgentEvent::UpstreamUp).await;
            } else {
                failures += 1;
                if up && failures >= HEALTH_FAILURES {
                    up = false;
                    send(&tx, AgentEvent::UpstreamDown).await;
                }
            }
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    /// Forwards the engine's load reports periodically; never returns for an engine.
    pub async fn watch_load(self, tx: mpsc::Sender<AgentInput>) {
        let Self::Engine(engine) = self else {
            return;
        };
        loop {
            if let Ok(report) = engine.load().await {
                let report = UpstreamReport {
                    running: u32::try_from(report.running).unwrap_or(u32::MAX),
                    waiting: u32::try_from(report.waiting).unwrap_or(u32::MAX),
                    used_tokens: report.used_tokens,
                };
                send(&tx, AgentEvent::Report(report)).await;
            }
            tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        }
    }

    async fn is_healthy(&self) -> bool {
        match self {
            Self::Engine(engine) => engine.health().await.is_ok(),
            Self::Plain(plain) => {
                let headers: [(&str, &str); 0] = [];
                plain
                    .call("GET", "/health", &headers, Vec::new())
                    .await
                    .is_ok()
            }
        }
    }
}

async fn forward_order(engine: &EngineClient, order: &Order) -> Code {
    let model = order.model.clone();
    let fenced = FencedOrder {
        fence: order.fence,
        order: match order.kind {
            OrderKind::Load => EngineOrder::Load { model },
            OrderKind::Unload => EngineOrder::Unload { model },
        },
    };
    match engine.order(&fenced).await {
        Ok(OrderOutcome::Accepted) => wait_for_effect(engine, order).await,
        Ok(OrderOutcome::Fenced { .. }) => Code::OrderFenced,
        Err(e) => {
            log::warn!(event = "order_failed", req:% = order.id, cause:% = e; "");
            Code::OrderFailed
        }
    }
}

/// Waits until the engine has loaded or unloaded the model.
async fn wait_for_effect(engine: &EngineClient, order: &Order) -> Code {
    let should_be_loaded = order.kind == OrderKind::Load;
    for _ in 0..MAX_EFFECT_CHECKS {
        if let Ok(list) = engine.models().await {
            let is_loaded = |m: &Model| m.name == order.model && m.state == ModelState::Loaded;
            if list.models.iter().any(is_loaded) == should_be_loaded {
                return Code::OrderDone;
            }
        }
        tokio::time::sleep(EFFECT_CHECK_INTERVAL).await;
    }
    Code::OrderFailed
}

async fn report_models(engine: &EngineClient, tx: &mpsc::Sender<AgentInput>) {
    let Ok(list) = engine.models().await else {
        return;
    };
    let loaded = list
        .models
        .into_iter()
        .filter(|m| m.state == ModelState::Loaded);
    let mut names: Vec<Name> = loaded.map(|m| m.name).collect();
    names.sort_unstable();
    send(tx, AgentEvent::Serves(names)).await;
}

async fn generate(
    engine: &EngineClient,
    generation: GenerationId,
    request: RequestId,
    demand: &Demand,
    body: &[u8],
) -> Result<EngineStream, UpstreamError> {
    let body: Value =
        serde_json::from_slice(body).map_err(|e| UpstreamError::NeverSent(e.to_string()))?;
    let req = GenerateRequest {
        model: demand.target.clone(),
        messages: body.get("messages").cloned().unwrap_or_default(),
        max_tokens: u64::from(demand.max_tokens),
        priority: priority_number(demand.priority),
        stream_id: generation.to_string().into(),
        request_id: Some(request.to_string().into()),
    };
    engine.generate(&req).await
}

const fn priority_number(priority: Priority) -> i64 {
    match priority {
        Priority::Batch => 0,
        Priority::Interactive => 10,
    }
}

/// Returns the event for a call that produced no stream or response.
fn not_started(generation: GenerationId, e: &UpstreamError) -> AgentEvent {
    log::warn!(event = "upstream_call_failed", generation:% = generation, cause:% = e; "");
    let code = match e {
        UpstreamError::NeverSent(_) => Code::NoUpstream,
        UpstreamError::Answered { status, .. } => match status {
            404 | 409 | 429 | 503 => Code::Overloaded,
            400..=499 => Code::BadRequest,
            _ => return AgentEvent::Lost { generation },
        },
        UpstreamError::Broken(_) => return AgentEvent::Broken { generation },
        UpstreamError::NoAnswer(_) => return AgentEvent::Lost { generation },
        UpstreamError::Unusable(_) => Code::UpstreamRefused,
    };
    AgentEvent::NotStarted { generation, code }
}

async fn relay(generation: GenerationId, mut stream: EngineStream, tx: &mpsc::Sender<AgentInput>) {
    while let Some(event) = stream.next().await {
        let event = match event {
            EngineEvent::Opened { software_version } => AgentEvent::Opened {
                generation,
                software_version,
            },
            EngineEvent::Tokens(tokens) => AgentEvent::Tokens {
                generation,
                tokens: tokens.into_iter().map(|t| t.text.into_bytes()).collect(),
            },
            EngineEvent::Finished {
                reason: FinishReason::Cancelled,
                ..
            } => {
                // A run that is cancelled on an order from here is no longer read.
                log::warn!(event = "upstream_cancelled", generation:% = generation; "");
                AgentEvent::Lost { generation }
            }
            EngineEvent::Finished { reason, usage } => AgentEvent::Finished {
                generation,
                finish: Finish {
                    total: 0,
                    code: Code::Ok,
                    reason: reason_name(&reason),
                    status: 0,
                    content_type: Name::from(""),
                    prompt_tokens: u32::try_from(usage.prompt_tokens).unwrap_or(u32::MAX),
                    preemptions: u32::try_from(usage.preemptions).unwrap_or(u32::MAX),
                    crashes: 0,
                    ended: None,
                },
            },
            EngineEvent::Broken { cause } => {
                log::warn!(event = "upstream_stream_broken", generation:% = generation, cause = cause; "");
                AgentEvent::Broken { generation }
            }
        };
        send(tx, event).await;
    }
}

fn reason_name(reason: &FinishReason) -> Name {
    match reason {
        FinishReason::Stop => Name::from("stop"),
        FinishReason::Length => Name::from("length"),
        FinishReason::Cancelled => Name::from("cancelled"),
        FinishReason::Other(name) => name.clone(),
    }
}

async fn send_plain_response(
    generation: GenerationId,
    answer: PlainResponse,
    tx: &mpsc::Sender<AgentInput>,
) {
    let tokens: Vec<Vec<u8>> = answer
        .body
        .chunks(BYTES_PER_TOKEN)
        .map(<[u8]>::to_vec)
        .collect();
    if !tokens.is_empty() {
        send(tx, AgentEvent::Tokens { generation, tokens }).await;
    }
    let finish = Finish {
        total: 0,
        code: Code::Ok,
        reason: Name::from("stop"),
        status: answer.status,
        content_type: answer.content_type.unwrap_or_default().into(),
        prompt_tokens: 0,
        preemptions: 0,
        crashes: 0,
        ended: None,
    };
    send(tx, AgentEvent::Finished { generation, finish }).await;
}

async fn send(tx: &mpsc::Sender<AgentInput>, event: AgentEvent) {
    // The loop ends only when nothing is running, so a failed send loses nothing.
    let _ = tx.send(AgentInput::Core(event)).await;
}
