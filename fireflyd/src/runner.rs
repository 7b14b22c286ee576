//! Runs work on the upstream and tells the agent's loop what it does.

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

/// Bytes of a plain answer that count as one token.
const PART_BYTES: usize = 32 * 1024;
/// Time between two looks at the upstream's health.
const HEALTH_EVERY: Duration = Duration::from_millis(500);
/// Time between two looks at the upstream's load.
const LOAD_EVERY: Duration = Duration::from_millis(100);
/// Looks that must fail before the upstream counts as down.
const HEALTH_FAILURES: u32 = 3;
/// Wait before a broken stream is taken up again.
const RESUME_WAIT: Duration = Duration::from_millis(50);
const NOT_FOUND: u16 = 404;
/// Time between two looks at the engine's models.
const MODELS_EVERY: Duration = Duration::from_secs(2);
/// Time between two looks whether an order took effect.
const EFFECT_LOOK: Duration = Duration::from_millis(250);
/// Looks before an order counts as failed; two minutes in all.
const MAX_EFFECT_LOOKS: u32 = 480;

/// The upstream behind one agent; cloning shares its connections.
#[derive(Clone, Debug)]
pub enum Runner {
    /// A model engine.
    Engine(EngineClient),
    /// A plain service, with its health looked at by connecting.
    Plain(PlainClient),
}

impl Runner {
    /// Runs one generation or call to its end.
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
                let kept = if content_type.is_empty() {
                    &headers[1..]
                } else {
                    &headers[..]
                };
                match plain.call(&method, &path, kept, body.to_vec()).await {
                    Ok(answer) => {
                        give_whole(generation, answer, tx).await;
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

    /// Takes up a broken stream, or says that it is lost.
    pub async fn resume(&self, generation: GenerationId, from: u64, tx: &mpsc::Sender<AgentInput>) {
        let Self::Engine(engine) = self else {
            send(tx, AgentEvent::Lost { generation }).await;
            return;
        };
        tokio::time::sleep(RESUME_WAIT).await;
        match engine.resume(&generation.to_string(), from).await {
            Ok(stream) => relay(generation, stream, tx).await,
            Err(UpstreamError::NeverSent(_)) => send(tx, AgentEvent::UpstreamDown).await,
            Err(UpstreamError::Answered {
                status: NOT_FOUND, ..
            }) => {
                // The engine answers but has forgotten what ran: it was started anew.
                send(tx, AgentEvent::UpstreamDown).await;
                send(tx, AgentEvent::UpstreamUp).await;
            }
            Err(UpstreamError::Broken(_)) => send(tx, AgentEvent::Broken { generation }).await,
            Err(UpstreamError::Answered { .. } | UpstreamError::Unusable(_)) => {
                send(tx, AgentEvent::Lost { generation }).await;
            }
        }
    }

    /// Stops a generation.
    pub async fn cancel(&self, generation: GenerationId) {
        if let Self::Engine(engine) = self {
            // A generation that cannot be cancelled ends by itself.
            let _ = engine.cancel(&generation.to_string()).await;
        }
    }

    /// Carries out an order and waits until the upstream has done so.
    pub async fn carry_out(&self, order: &Order, tx: &mpsc::Sender<AgentInput>) {
        let code = match self {
            Self::Engine(engine) => pass_on(engine, order).await,
            Self::Plain(_) => Code::OrderFailed,
        };
        if let Self::Engine(engine) = self {
            tell_models(engine, tx).await;
        }
        send(tx, AgentEvent::OrderSettled(code)).await;
    }

    /// Tells which models the engine holds, for ever.
    pub async fn watch_models(self, tx: mpsc::Sender<AgentInput>) {
        let Self::Engine(engine) = self else {
            return;
        };
        loop {
            tell_models(&engine, &tx).await;
            tokio::time::sleep(MODELS_EVERY).await;
        }
    }

    /// Looks at the upstream's health for ever.
    pub async fn watch_health(self, tx: mpsc::Sender<AgentInput>) {
        let mut failures = 0;
        let mut up = false;
        loop {
            if self.is_healthy().await {
                failures = 0;
                // Said each time: a failed start may have marked it down.
                up = true;
                send(&tx, AgentEvent::UpstreamUp).await;
            } else {
                failures += 1;
                if up && failures >= HEALTH_FAILURES {
                    up = false;
                    send(&tx, AgentEvent::UpstreamDown).await;
                }
            }
            tokio::time::sleep(HEALTH_EVERY).await;
        }
    }

    /// Passes on what the upstream reports of its load, for ever.
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
            tokio::time::sleep(LOAD_EVERY).await;
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

async fn pass_on(engine: &EngineClient, order: &Order) -> Code {
    let model = order.model.clone();
    let fenced = FencedOrder {
        fence: order.fence,
        order: match order.kind {
            OrderKind::Load => EngineOrder::Load { model },
            OrderKind::Unload => EngineOrder::Unload { model },
        },
    };
    match engine.order(&fenced).await {
        Ok(OrderOutcome::Taken) => wait_for_effect(engine, order).await,
        Ok(OrderOutcome::Fenced { .. }) => Code::OrderFenced,
        Err(e) => {
            log::warn!(event = "order_failed", req:% = order.id, cause:% = e; "");
            Code::OrderFailed
        }
    }
}

/// Waits until the engine holds the model, or holds it no more.
async fn wait_for_effect(engine: &EngineClient, order: &Order) -> Code {
    let wanted = order.kind == OrderKind::Load;
    for _ in 0..MAX_EFFECT_LOOKS {
        if let Ok(list) = engine.models().await {
            let is_loaded = |m: &Model| m.name == order.model && m.state == ModelState::Loaded;
            if list.models.iter().any(is_loaded) == wanted {
                return Code::OrderDone;
            }
        }
        tokio::time::sleep(EFFECT_LOOK).await;
    }
    Code::OrderFailed
}

async fn tell_models(engine: &EngineClient, tx: &mpsc::Sender<AgentInput>) {
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

/// What a call says that gave no stream or answer.
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
        UpstreamError::Unusable(_) => Code::UpstreamRefused,
    };
    AgentEvent::NotStarted { generation, code }
}

async fn relay(generation: GenerationId, mut stream: EngineStream, tx: &mpsc::Sender<AgentInput>) {
    while let Some(event) = stream.next().await {
        let event = match event {
            EngineEvent::Tokens(tokens) => AgentEvent::Tokens {
                generation,
                tokens: tokens.into_iter().map(|t| t.text.into_bytes()).collect(),
            },
            EngineEvent::Finished { reason, usage } => AgentEvent::Finished {
                generation,
                finish: Finish {
                    total: 0,
                    code: Code::Ok,
                    reason: reason_word(&reason),
                    status: 0,
                    content_type: Name::from(""),
                    prompt_tokens: u32::try_from(usage.prompt_tokens).unwrap_or(u32::MAX),
                    preemptions: u32::try_from(usage.preemptions).unwrap_or(u32::MAX),
                    crashes: 0,
                },
            },
            EngineEvent::Broken { why } => {
                log::warn!(event = "upstream_stream_broken", generation:% = generation, cause = why; "");
                AgentEvent::Broken { generation }
            }
        };
        send(tx, event).await;
    }
}

fn reason_word(reason: &FinishReason) -> Name {
    match reason {
        FinishReason::Stop => Name::from("stop"),
        FinishReason::Length => Name::from("length"),
        FinishReason::Cancelled => Name::from("cancelled"),
        FinishReason::Other(word) => word.clone(),
    }
}

async fn give_whole(
    generation: GenerationId,
    answer: PlainResponse,
    tx: &mpsc::Sender<AgentInput>,
) {
    let tokens: Vec<Vec<u8>> = answer.body.chunks(PART_BYTES).map(<[u8]>::to_vec).collect();
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
    };
    send(tx, AgentEvent::Finished { generation, finish }).await;
}

async fn send(tx: &mpsc::Sender<AgentInput>, event: AgentEvent) {
    // The loop ends only when nothing runs; its end needs no news.
    let _ = tx.send(AgentInput::Core(event)).await;
}
