//! HTTP server for callers.
//!
//! A handler parses a request, submits it to the entry's loop and turns the
//! replies into a response. It reports the tokens consumed by the caller, so
//! that the agent sends no faster than the caller reads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use anyhow::Context;
use bytes::Bytes;
use fireflycroft::{
    CHAT_PATH, CallId, Chunk, Code, Delivery, EntryEvent, Finish, Name, Reply, ResumePoint,
};
use futures_util::{FutureExt, Stream};
use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{Data, Path};
use poem::{Body, EndpointExt, Request, Response, Route, handler};
use tokio::sync::{mpsc, oneshot};

use fireflynet::Callers;

use crate::acceptor::CallerAcceptor;
use crate::answer::{self, Failure};
use crate::http_server;
use crate::metrics::Metrics;
use crate::request::{BadRequest, ParsedRequest, parse_call, parse_chat};
use crate::service::{NO_MEMORY_RETRY_AFTER, Service};
use crate::tls::TlsConnections;

/// Tokens consumed by a caller between two reports to the entry.
const CONSUMED_STEP_TOKENS: u64 = 128;

/// Delay told to callers that come once the entry has ended its work; other entries take theirs.
const STOPPED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Input of the entry's loop from the HTTP server.
#[derive(Debug)]
pub enum FrontendEvent {
    /// A new call and the channel for its replies.
    Open(CallId, mpsc::UnboundedSender<Reply>),
    /// An event of a call.
    Event(EntryEvent),
}

/// HTTP front end of one entry; clones share its state.
#[derive(Clone, Debug)]
pub struct Frontend {
    tx: mpsc::Sender<FrontendEvent>,
    next_call: Arc<AtomicU64>,
    metrics: Metrics,
    callers: Callers,
}

/// TLS certificate and key of the callers' address.
#[derive(Clone, Debug)]
pub struct Tls {
    /// Certificate chain, PEM.
    pub cert: Vec<u8>,
    /// Private key, PEM.
    pub key: Vec<u8>,
}

/// A call registered at the entry; dropping it before its end reports that the caller disconnected.
struct OpenCall {
    id: CallId,
    tx: mpsc::Sender<FrontendEvent>,
    rx: mpsc::UnboundedReceiver<Reply>,
    done: bool,
    service: Service,
}

impl Frontend {
    /// Creates a front end that sends its calls to `tx`.
    #[must_use]
    pub fn new(tx: mpsc::Sender<FrontendEvent>, metrics: Metrics, callers: Callers) -> Self {
        Self {
            tx,
            next_call: Arc::new(AtomicU64::new(1)),
            metrics,
            callers,
        }
    }

    /// Binds `listen` and serves callers until `stop`, then until the
    /// responses in progress have ended.
    ///
    /// Returns the bound address and the server's future.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound or the certificate
    /// cannot be read.
    pub fn bind(
        self,
        listen: SocketAddr,
        tls: Option<Tls>,
        stop: oneshot::Receiver<()>,
    ) -> anyhow::Result<(SocketAddr, impl Future<Output = ()> + use<>)> {
        let listener = fireflynet::listen(listen).context("callers' address")?;
        let listener = TcpAcceptor::from_tokio(listener)?;
        let acceptor = CallerAcceptor {
            listener,
            callers: self.callers.clone(),
        };
        let bound = acceptor
            .local_addr()
            .first()
            .and_then(|a| a.as_socket_addr().copied())
            .context("callers' address")?;
        let app = Route::new()
            .at(CHAT_PATH, poem::post(serve_chat))
            .at("/services/:service/*path", serve_call)
            .data(self);
        let stopped = async move {
            // A dropped sender stops the server, too.
            let _ = stop.await;
        };
        let app = app.map_to_response();
        let server = match tls {
            None => http_server::serve(acceptor, app, stopped, None).boxed(),
            Some(tls) => {
                let acceptor = TlsConnections::new(acceptor, &tls)?;
                http_server::serve(acceptor, app, stopped, None).boxed()
            }
        };
        Ok((bound, server))
    }

    async fn open(
        &self,
        service: Service,
        event: impl FnOnce(CallId) -> EntryEvent,
    ) -> Result<OpenCall, Failure> {
        let id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (tx, rx) = mpsc::unbounded_channel();
        let stopped = |_| Failure {
            retry_after: Some(STOPPED_RETRY_AFTER),
            ..Failure::of(Code::Leaving)
        };
        self.tx
            .send(FrontendEvent::Open(id, tx))
            .await
            .map_err(stopped)?;
        self.tx
            .send(FrontendEvent::Event(event(id)))
            .await
            .map_err(stopped)?;
        Ok(OpenCall {
            id,
            tx: self.tx.clone(),
            rx,
            done: false,
            service,
        })
    }
}

impl OpenCall {
    async fn next(&mut self) -> Option<Reply> {
        let reply = self.rx.recv().await;
        let ends = matches!(reply, None | Some(Reply::End(_) | Reply::Fail { .. }));
        self.done |= ends;
        reply
    }

    fn report_consumed(&self, next: u64) {
        // A report lost to a full queue only delays the agent: the next one replaces it.
        let event = EntryEvent::Consumed(self.id, next);
        let _ = self.tx.try_send(FrontendEvent::Event(event));
    }
}

/// Complete answer of a successful call.
struct WholeAnswer {
    resume_point: Option<ResumePoint>,
    chunk: Chunk,
    finish: Finish,
}

impl OpenCall {
    /// Waits for the complete answer or the failure.
    async fn collect(&mut self) -> Result<WholeAnswer, Failure> {
        let mut resume_point = None;
        let mut chunk = Chunk::default();
        loop {
            match self.next().await {
                Some(Reply::Begin(begun)) => resume_point = Some(begun),
                Some(Reply::Tokens(next)) => {
                    if !self.service.reserve_answer(next.data.len()) {
                        return Err(Failure::of(Code::AnswerTooLarge));
                    }
                    append(&mut chunk, next);
                }
                Some(Reply::End(finish)) => {
                    return Ok(WholeAnswer {
                        resume_point,
                        chunk,
                        finish,
                    });
                }
                Some(Reply::Fail {
                    code,
                    retry_after,
                    delivered,
                }) => {
                    return Err(Failure {
                        code,
                        retry_after,
                        delivered,
                        detail: None,
                    });
                }
                None => return Err(Failure::of(Code::OutcomeUnknown)),
            }
        }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let event = FrontendEvent::Event(EntryEvent::CallerGone(self.id));
        if let Err(mpsc::error::TrySendError::Full(event)) = self.tx.try_send(event) {
            let tx = self.tx.clone();
            tokio::spawn(async move { tx.send(event).await });
        }
    }
}

#[handler]
async fn serve_chat(req: &Request, body: Body, frontend: Data<&Frontend>) -> Response {
    let mut service = match Service::begin(&frontend.callers, req) {
        Ok(service) => service,
        Err(bad) => return refuse(frontend.0, bad),
    };
    let parsed = match service.read_body(req, body).await {
        Ok(buf) => parse_chat(req.headers(), buf),
        Err(bad) => Err(bad),
    };
    match parsed {
        Ok(parsed) => frontend.serve_chat(service, parsed).await,
        Err(bad) => refuse(frontend.0, bad),
    }
}

#[handler]
async fn serve_call(
    req: &Request,
    body: Body,
    Path((service, path)): Path<(String, String)>,
    frontend: Data<&Frontend>,
) -> Response {
    let mut running = match Service::begin(&frontend.callers, req) {
        Ok(running) => running,
        Err(bad) => return refuse(frontend.0, bad),
    };
    let path = match req.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let parsed = match running.read_body(req, body).await {
        Ok(buf) => parse_call(req.headers(), req.method().as_str(), &service, &path, buf),
        Err(bad) => Err(bad),
    };
    match parsed {
        Ok(parsed) => frontend.serve_call(running, parsed).await,
        Err(bad) => refuse(frontend.0, bad),
    }
}

fn refuse(frontend: &Frontend, bad: BadRequest) -> Response {
    frontend.count_unreadable(bad.code);
    log::info!(event = "request_unreadable", code = bad.code.number(), detail:% = bad.detail; "");
    answer::error_response(&Failure {
        detail: Some(bad.detail),
        retry_after: (bad.code == Code::NoMemory).then_some(NO_MEMORY_RETRY_AFTER),
        ..Failure::of(bad.code)
    })
}

impl Frontend {
    /// Counts a request refused before it reached the core.
    fn count_unreadable(&self, code: Code) {
        let code = code.number().to_string();
        self.metrics
            .requests
            .with_label_values(&["none", "none", &code])
            .inc();
    }

    async fn serve_chat(&self, service: Service, parsed: ParsedRequest) -> Response {
        let class_label = class_label(&parsed);
        let ParsedRequest { submission, target } = parsed;
        let delivery = submission.delivery;
        let received = Instant::now();
        let opened = self
            .open(service, |id| EntryEvent::Submit(id, Box::new(submission)))
            .await;
        let call = match opened {
            Ok(call) => call,
            Err(failure) => return answer::error_response(&failure),
        };
        let relay = Relay {
            frontend: self.clone(),
            call,
            model: target,
            class_label,
            resume_point: None,
            received,
            last_chunk_at: None,
            consumed: 0,
        };
        match delivery {
            Delivery::Stream => relay.stream().await,
            Delivery::Whole => relay.whole().await,
        }
    }

    async fn serve_call(&self, service: Service, parsed: ParsedRequest) -> Response {
        let ParsedRequest { submission, .. } = parsed;
        let opened = self
            .open(service, |id| EntryEvent::Submit(id, Box::new(submission)))
            .await;
        let mut call = match opened {
            Ok(call) => call,
            Err(failure) => return answer::error_response(&failure),
        };
        match call.collect().await {
            Ok(whole) => {
                let point = whole.resume_point.as_ref();
                let res = answer::call_response(point, whole.chunk, &whole.finish);
                call.service.hold(res).await
            }
            Err(failure) => answer::error_response(&failure),
        }
    }
}

/// Appends to an answer; the first chunk becomes the answer, without a copy or spare memory.
fn append(whole: &mut Chunk, chunk: Chunk) {
    if whole.count() == 0 {
        *whole = chunk;
        whole.data.shrink_to_fit();
        return;
    }
    for token in chunk.tokens() {
        whole.push(token);
    }
}

fn class_label(parsed: &ParsedRequest) -> &'static str {
    match parsed.submission.priority {
        Some(fireflycroft::Priority::Interactive) => "interactive",
        Some(fireflycroft::Priority::Batch) => "batch",
        None => "default",
    }
}

/// Relays the replies of one call to its caller.
struct Relay {
    frontend: Frontend,
    call: OpenCall,
    model: Name,
    class_label: &'static str,
    resume_point: Option<ResumePoint>,
    received: Instant,
    last_chunk_at: Option<Instant>,
    consumed: u64,
}

impl Relay {
    /// Responds with a stream, or with an error status if the call failed before its first event.
    async fn stream(mut self) -> Response {
        let Some(first) = self.next_events().await else {
            return answer::error_response(&Failure::of(Code::OutcomeUnknown));
        };
        let first = match first {
            Ok(events) => events,
            Err(failure) => return answer::error_response(&failure),
        };
        let request = self.resume_point.as_ref().map(|p| p.request.to_string());
        let body = Body::from_bytes_stream(self.into_stream(first));
        Response::builder()
            .content_type("text/event-stream")
            .header("cache-control", "no-store")
            .header("x-request-id", request.unwrap_or_default())
            .body(body)
    }

    fn into_stream(
        self,
        first: Bytes,
    ) -> impl Stream<Item = std::io::Result<Bytes>> + Send + 'static {
        let start = (Some(first), Some(self));
        futures_util::stream::unfold(start, |(first, relay)| async move {
            if let Some(first) = first {
                return Some((Ok(first), (None, relay)));
            }
            let mut relay = relay?;
            match relay.next_events().await? {
                Ok(events) => Some((Ok(events), (None, Some(relay)))),
                Err(failure) => Some((Ok(answer::error_event(&failure)), (None, None))),
            }
        })
    }

    /// Returns the bytes of the next events; `None` after the end.
    async fn next_events(&mut self) -> Option<Result<Bytes, Failure>> {
        loop {
            if self.call.done {
                return None;
            }
            match self.call.next().await {
                Some(Reply::Begin(resume_point)) => self.resume_point = Some(resume_point),
                Some(Reply::Tokens(chunk)) => {
                    self.observe(&chunk);
                    let resume_point = self.resume_point.as_ref()?;
                    let events = answer::token_events(resume_point, &self.model, &chunk);
                    let events = self.call.service.hold_events(events);
                    return Some(events.ok_or_else(|| Failure::of(Code::AnswerTooLarge)));
                }
                Some(Reply::End(finish)) => {
                    let resume_point = self.resume_point.as_ref()?;
                    return Some(Ok(answer::finish_events(
                        resume_point,
                        &self.model,
                        &finish,
                    )));
                }
                Some(Reply::Fail {
                    code,
                    retry_after,
                    delivered,
                }) => {
                    return Some(Err(Failure {
                        code,
                        retry_after,
                        delivered,
                        detail: None,
                    }));
                }
                None => return Some(Err(Failure::of(Code::OutcomeUnknown))),
            }
        }
    }

    fn observe(&mut self, chunk: &Chunk) {
        let now = Instant::now();
        let metrics = &self.frontend.metrics;
        match self.last_chunk_at.replace(now) {
            None => {
                let wait = now.duration_since(self.received).as_secs_f64();
                metrics
                    .first_token_seconds
                    .with_label_values(&[self.class_label])
                    .observe(wait);
            }
            Some(last_chunk_at) => {
                let gap = now.duration_since(last_chunk_at).as_secs_f64();
                metrics
                    .between_token_seconds
                    .with_label_values(&[self.class_label])
                    .observe(gap);
            }
        }
        if chunk.end() >= self.consumed + CONSUMED_STEP_TOKENS {
            self.consumed = chunk.end();
            self.call.report_consumed(self.consumed);
        }
    }

    /// Responds with the complete answer or an error status.
    async fn whole(mut self) -> Response {
        let whole = match self.call.collect().await {
            Ok(whole) => whole,
            Err(failure) => return answer::error_response(&failure),
        };
        match &whole.resume_point {
            Some(resume_point) => {
                let WholeAnswer { chunk, finish, .. } = &whole;
                let res = answer::completion_response(resume_point, &self.model, chunk, finish);
                self.call.service.hold(res).await
            }
            None => answer::error_response(&Failure::of(Code::OutcomeUnknown)),
        }
    }
}
