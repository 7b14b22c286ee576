//! Progress lines of a run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::interval;

use super::call::End;

/// Time between two progress lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Counters of a run in progress.
#[derive(Debug, Default)]
pub(super) struct Progress {
    sent: AtomicU64,
    complete: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
    tokens: AtomicU64,
}

impl Progress {
    pub(super) fn add_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_tokens(&self, tokens: u64) {
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    pub(super) fn add_end(&self, end: &End) {
        let counter = match end {
            End::Complete => &self.complete,
            End::Refused(_) => &self.refused,
            End::Failed(_) | End::Broken(_) | End::Unfinished => &self.broken,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Writes a line per second to standard error until it is dropped.
    pub(super) async fn report(&self) {
        let mut ticks = interval(REPORT_INTERVAL);
        ticks.tick().await;
        let mut tokens_before = 0;
        for second in 1_u64.. {
            ticks.tick().await;
            let tokens = self.tokens.load(Ordering::Relaxed);
            eprintln!("{}", self.format_line(second, tokens - tokens_before));
            tokens_before = tokens;
        }
    }

    fn format_line(&self, second: u64, tokens: u64) -> String {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (sent, complete) = (load(&self.sent), load(&self.complete));
        let (refused, broken) = (load(&self.refused), load(&self.broken));
        let open = sent.saturating_sub(complete + refused + broken);
        format!(
            "event=progress second={second} sent={sent} open={open} complete={complete} \
             refused={refused} broken={broken} tokens={tokens}"
        )
    }
}
