//! Entry processes that order a run to stop where an earlier order to its request has no certain outcome.

mod support;

use standins::site::StopAnswer::{self, *};
use standins::site::{AnswerFault, Framing, Loss, Play, StoppedEnd};
use std::time::Duration;
use support::plays::{self, PAST_STOP, faults, read};
use support::streams::list;
use support::until;

/// Events of a stream that outlasts its orders.
const LONG: u64 = 300;

/// Defines test cases of a stream that goes on where it was stopped and is ordered to stop again there, with the answers to
/// its orders and a fault of the run that goes on.
macro_rules! cases {
    ($($name:ident($answers:expr, $fault:expr);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                goes_on($answers, $fault).await;
            }
        )+
    };
}

cases! {
    late_copy_is_waited_for_beside_a_repeated_order(&[NeverArrived, Kept, CopiedLate], AnswerFault::None);
    late_copy_is_waited_for_beside_a_plain_order(&[Kept, CopiedLate], AnswerFault::None);
    run_whose_head_is_lost_is_stopped_after_a_repeated_order(&[NeverArrived, Kept], AnswerFault::LoseResumed(Loss::Reset));
    run_whose_head_is_lost_is_stopped_after_a_plain_order(&[Kept], AnswerFault::LoseResumed(Loss::Reset));
}

async fn goes_on(answers: &'static [StopAnswer], fault: AnswerFault) {
    let site = plays::site().await;
    for engine in &site.engines {
        engine.set_fault(AnswerFault::HoldHead);
    }
    let play = Play {
        framing: Framing::Chunked,
        padding: [0, 0],
        head_delay: Duration::ZERO,
        stopped_end: StoppedEnd::LastChunk,
        own_end: StoppedEnd::LastChunk,
        holds_end: false,
        close_delay: Duration::ZERO,
        answers,
        after: Duration::ZERO,
    };
    let reading = read(&site, "/log/a", play, LONG);
    until("the run", || async { !site.record.runs().is_empty() }).await;
    let id = site.record.runs()[0].request_id.clone();
    let source = site.engine_of(&id).await;
    list(&site, source, "draining");
    until("the notice", || async {
        site.log(0).contains("event=upstream_leaves")
    })
    .await;
    tokio::time::sleep(PAST_STOP).await;
    site.engines[1 - source].set_fault(AnswerFault::None);
    site.engines[source].set_fault(fault);
    let played = [reading.await.unwrap()];
    let faults = faults(&site, &played, |p, runs| {
        p.is_whole(LONG) && runs.len() == 3
    });
    assert!(faults.is_empty(), "{faults}\n{}", site.log(0));
    site.check();
}
