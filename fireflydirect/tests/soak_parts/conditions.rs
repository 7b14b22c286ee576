//! What upstreams of a soak say in their answers of the requests to come.

use crate::soak_parts::harmed::{SERVES_ON, Soak, Undo};
use standins::site::{AnnouncedRate, AnswerFault, EngineKind};
use std::time::{Duration, Instant};

/// Header in which an upstream names the requests a second that it takes from all entries.
const RATE_LIMIT: &str = "Server-Limit";

/// Time for which a rate is named on top of the fault's own: longer than the span in which requests
/// are counted.
const RATE_FOR: Duration = Duration::from_secs(5);

/// Header in which an upstream says that it leaves.
const LEAVING: &str = "Server-Leaving";

/// Header in which an upstream that turns a request away asks for a pause, and the pause.
const RETRY_AFTER: &str = "Retry-After";
const PAUSE_SECONDS: &str = "1.5";

impl Soak {
    /// Lets an upstream name a rate until some time after `end`, unless it names one.
    pub(super) fn name_rate(&mut self, pick: usize, end: Instant) {
        let end = end + RATE_FOR;
        let (kind, number) = self.any_upstream(pick);
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
        self.due.push((end, Undo::Rate(kind, number)));
    }

    pub(super) fn lift_rate(&self, kind: EngineKind, number: usize) {
        self.upstream(kind, number).set_header(RATE_LIMIT, None);
    }

    /// Lets the answers of an engine say that it leaves; the store hears of it at `listed_at`.
    pub(super) async fn say_leaving(&mut self, pick: usize, listed_at: Instant) {
        let Some(engine) = self.model(pick) else {
            return;
        };
        self.announced.insert(engine, true);
        self.replace_engine().await;
        let upstream = &self.site.engines[engine];
        upstream.set_header(LEAVING, Some("1"));
        let said = (upstream.instance(), Instant::now());
        self.evidence.departing.extend([said]);
        self.due.push((listed_at, Undo::Listed(engine)));
    }

    /// The store hears that an engine leaves, which ends some time later.
    pub(super) async fn list_leaving(&mut self, engine: usize) {
        let instance = self.site.engines[engine].instance();
        self.evidence.notices.insert(instance, Instant::now());
        self.site.enter(EngineKind::Model, engine, "draining").await;
        let end = Instant::now() + SERVES_ON[engine % SERVES_ON.len()];
        self.due.push((end, Undo::EndEngine(engine)));
    }

    /// Lets a plain upstream turn requests away and ask for pauses until `end`.
    pub(super) fn ask_pause(&mut self, plain: usize, end: Instant) {
        let upstream = &self.site.plains[plain];
        upstream.set_header(RETRY_AFTER, Some(PAUSE_SECONDS));
        upstream.set_fault(AnswerFault::Reject);
        self.due.push((end, Undo::Pause(plain)));
    }

    pub(super) fn end_pause(&self, plain: usize) {
        self.site.plains[plain].set_header(RETRY_AFTER, None);
        self.site.plains[plain].set_fault(AnswerFault::None);
    }
}
