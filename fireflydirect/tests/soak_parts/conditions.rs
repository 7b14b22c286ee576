//! Rate limits, leave notices and pauses in the responses of a soak's upstreams.

use crate::soak_parts::faults::{DRAIN_TIMES, Soak, Undo};
use standins::site::{AnnouncedRate, AnswerFault, EngineKind, ProxyFault};
use std::time::{Duration, Instant};

/// Header of the requests per second that an upstream accepts from all entries.
const RATE_LIMIT: &str = "Server-Limit";

/// Time added to a rate fault's duration: longer than the window in which requests are counted.
const RATE_EXTENSION: Duration = Duration::from_secs(5);

/// Header of a leave notice.
const LEAVING: &str = "Server-Leaving";

/// Header of the pause requested by an upstream that rejects a request, and its value.
const RETRY_AFTER: &str = "Retry-After";
const PAUSE_SECONDS: &str = "1.5";

impl Soak {
    /// Makes an upstream state a rate limit until some time after `end`, unless it states one.
    pub(super) fn state_rate_limit(&mut self, pick: usize, end: Instant) {
        let end = end + RATE_EXTENSION;
        let (kind, number) = self.pick_upstream(pick);
        let upstream = self.upstream(kind, number);
        let now = Instant::now();
        let instance = upstream.instance();
        let mut rates = self.evidence.rates.iter();
        if rates.any(|r| r.instance == instance && now < r.span.1) {
            return;
        }
        let per_second = u32::try_from(pick % 4).unwrap();
        upstream.set_header(RATE_LIMIT, Some(&per_second.to_string()));
        self.evidence.rates.push(AnnouncedRate {
            instance,
            per_second,
            span: (now, end),
        });
        self.pending_undos.push((end, Undo::Rate(kind, number)));
    }

    pub(super) fn lift_rate_limit(&self, kind: EngineKind, number: usize) {
        self.upstream(kind, number).set_header(RATE_LIMIT, None);
    }

    /// Adds leave notices to the responses of an engine; the store shows them at `listed_at`.
    pub(super) async fn send_leave_notice(&mut self, pick: usize, listed_at: Instant) {
        let Some(engine) = self.pick_removable_engine(pick) else {
            return;
        };
        self.announced.insert(engine, true);
        self.replace_engine(engine).await;
        self.end_serving(engine);
        let upstream = &self.site.engines[engine];
        upstream.set_header(LEAVING, Some("1"));
        let announced = (upstream.instance(), Instant::now());
        self.evidence.departing.extend([announced]);
        self.pending_undos
            .push((listed_at, Undo::ListLeaving(engine)));
    }

    /// Records an engine's leave notice in the store; the engine ends some time later.
    pub(super) async fn list_leaving(&mut self, engine: usize) {
        let instance = self.site.engines[engine].instance();
        self.evidence.notices.insert(instance, Instant::now());
        self.site
            .register(EngineKind::Model, engine, "draining")
            .await;
        let end = Instant::now() + DRAIN_TIMES[engine % DRAIN_TIMES.len()];
        self.pending_undos.push((end, Undo::EndEngine(engine)));
    }

    /// Silences the store for `span`, in which an engine leaves: its record stays, and its report and
    /// closed connections are all that tells.
    pub(super) async fn leave_unheard(&mut self, pick: usize, span: Duration) {
        self.excuse_failures(span);
        let store = self.site.store_proxy.as_ref().unwrap();
        store.set_fault(ProxyFault::BlockAll);
        self.pending_undos
            .push((Instant::now() + span, Undo::Store));
        let Some(engine) = self.pick_removable_engine(pick) else {
            return;
        };
        self.announced.insert(engine, false);
        self.replace_engine(engine).await;
        self.end_serving(engine);
        let upstream = &self.site.engines[engine];
        upstream.close_connections();
        upstream.report_leaving(u32::try_from(DRAIN_TIMES[0].as_millis()).unwrap());
        let end = Instant::now() + DRAIN_TIMES[0];
        self.pending_undos.push((end, Undo::EndEngine(engine)));
    }

    /// Makes a plain upstream reject requests with a pause until `end`.
    pub(super) fn request_pause(&mut self, plain: usize, end: Instant) {
        let upstream = &self.site.plains[plain];
        upstream.set_header(RETRY_AFTER, Some(PAUSE_SECONDS));
        upstream.set_fault(AnswerFault::Reject);
        self.pending_undos.push((end, Undo::Pause(plain)));
    }

    pub(super) fn end_pause(&self, plain: usize) {
        self.site.plains[plain].set_header(RETRY_AFTER, None);
        self.site.plains[plain].set_fault(AnswerFault::None);
    }
}
