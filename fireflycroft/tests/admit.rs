//! Tests of the agent's admission control, with simulated time.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    Admission, AdmitDecision, AdmitPolicy, Capacity, Demand, Digest, Name, OfferId, Priority,
    RequestId, Time, UpstreamReport,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::Duration;

const CAPACITY: Capacity = Capacity {
    tokens: 10_000,
    max_batch: 16,
    max_queue: 8,
};
/// Time of one decoding step.
const STEP: Duration = Duration::from_millis(20);
const MAX_WAIT: Duration = Duration::from_secs(10);

cases! {
    empty_upstream_takes_what_fits_at_all => takes_first();
    prompt_beyond_memory_is_too_long => refuses_too_long();
    learned_length_counts_before_it_is_used => counts_expected_memory();
    short_answers_fit_where_long_ones_do_not => short_lengths_admit_more();
    batch_work_leaves_memory_to_interactive => headroom_of_memory();
    batch_work_leaves_slots_to_interactive => headroom_of_slots();
    later_batch_does_not_pass_earlier => batch_keeps_order();
    interactive_goes_before_waiting_batch => interactive_first();
    batch_that_waited_long_is_kept_room => aged_batch_is_kept_room();
    long_prompt_waits_beside_interactive_work => long_prompt_waits();
    short_prompt_joins_interactive_work => short_prompt_joins();
    long_prompts_join_one_after_another => prompts_join_apart();
    load_is_told_afresh_when_nobody_asks => load_is_fresh();
    what_cannot_begin_in_time_is_refused => refuses_early();
    told_wait_shrinks_as_the_line_does => wait_shrinks();
    expired_leave_the_line => expires();
    released_slot_goes_to_the_next => releases();
    pass_through_takes_all_and_tells_the_report => passes_through();
    bounds_hold_in_any_order => bounds_hold();
}

/// Admission control with simulated time and a counter of offers.
struct AdmissionFixture {
    admission: Admission,
    now: Time,
    next: u128,
}

fn demand(priority: Priority, prompt: u32) -> Demand {
    Demand {
        workspace: Name::from("w"),
        target: Name::from("model"),
        priority,
        prompt_tokens: prompt,
        max_tokens: 8_192,
        prefix: Digest(0),
        shared_parts: Vec::new(),
        content: Digest(0),
        retryable: true,
        crashes: 0,
    }
}

impl AdmissionFixture {
    fn new(policy: AdmitPolicy) -> Self {
        Self {
            admission: Admission::new(policy, CAPACITY),
            now: Time::from_millis(1),
            next: 0,
        }
    }

    /// Creates a fixture that has learned many answers of that length.
    fn with_lengths(priority: Priority, length: u64) -> Self {
        let mut fixture = Self::new(AdmitPolicy::Expected);
        for _ in 0..300 {
            let (offer, _) = fixture.offer(priority, 10);
            fixture.produce(offer, length);
            fixture.admission.finish(offer);
        }
        fixture
    }

    fn offer(&mut self, priority: Priority, prompt: u32) -> (OfferId, AdmitDecision) {
        self.next += 1;
        let offer = OfferId {
            request: RequestId(self.next),
            attempt: 1,
        };
        let until = self.now + MAX_WAIT;
        let demand = demand(priority, prompt);
        let decision = self.admission.offer(self.now, offer, &demand, until);
        (offer, decision)
    }

    fn produce(&mut self, offer: OfferId, total: u64) {
        for count in 1..=total {
            self.now = self.now + STEP;
            self.admission.record_progress(self.now, offer, count);
        }
    }

    /// Offers requests until one is not admitted; returns the admitted ones.
    fn fill(&mut self, priority: Priority, prompt: u32) -> Vec<OfferId> {
        let mut admitted = Vec::new();
        loop {
            let (offer, decision) = self.offer(priority, prompt);
            if decision != AdmitDecision::Admit {
                self.admission.release(offer);
                return admitted;
            }
            admitted.push(offer);
        }
    }
}

fn takes_first() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 4_000);
    assert_eq!(
        fixture.offer(Priority::Batch, 9_000).1,
        AdmitDecision::Admit
    );
}

fn refuses_too_long() {
    let mut fixture = AdmissionFixture::new(AdmitPolicy::Expected);
    assert_eq!(
        fixture.offer(Priority::Batch, 10_000).1,
        AdmitDecision::TooLong
    );
}

/// Ten prompts would fit, but not together with their expected answers.
fn counts_expected_memory() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 2_000);
    let admitted = fixture.fill(Priority::Batch, 1_000).len();
    assert!((2..=3).contains(&admitted), "{admitted}");
}

fn short_lengths_admit_more() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 20);
    let admitted = fixture.fill(Priority::Batch, 1_000).len();
    assert!((7..=9).contains(&admitted), "{admitted}");
}

fn headroom_of_memory() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 20);
    for _ in 0..100 {
        let (offer, _) = fixture.offer(Priority::Interactive, 10);
        fixture.produce(offer, 20);
        fixture.admission.finish(offer);
    }
    fixture.fill(Priority::Batch, 900);
    fixture.fill(Priority::Batch, 400);
    assert!(fixture.offer(Priority::Batch, 400).1 != AdmitDecision::Admit);
    assert_eq!(
        fixture.offer(Priority::Interactive, 400).1,
        AdmitDecision::Admit
    );
}

fn headroom_of_slots() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 20);
    assert_eq!(fixture.fill(Priority::Batch, 10).len(), 14);
    assert_eq!(fixture.fill(Priority::Interactive, 10).len(), 2);
}

fn batch_keeps_order() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 500);
    let admitted = fixture.fill(Priority::Batch, 1_500);
    let (large, decision) = fixture.offer(Priority::Batch, 2_000);
    assert!(matches!(decision, AdmitDecision::Queue(_)), "{decision:?}");
    let (small, decision) = fixture.offer(Priority::Batch, 1);
    assert!(matches!(decision, AdmitDecision::Queue(_)), "{decision:?}");
    assert_eq!(fixture.admission.admit_next(fixture.now), None);
    for offer in admitted {
        fixture.admission.release(offer);
    }
    assert_eq!(fixture.admission.admit_next(fixture.now), Some(large));
    assert_eq!(fixture.admission.admit_next(fixture.now), Some(small));
}

fn interactive_first() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 20);
    let first = fixture.fill(Priority::Interactive, 10);
    fixture.offer(Priority::Batch, 10);
    let (interactive, decision) = fixture.offer(Priority::Interactive, 10);
    assert!(matches!(decision, AdmitDecision::Queue(_)), "{decision:?}");
    fixture.admission.release(first[0]);
    assert_eq!(fixture.admission.admit_next(fixture.now), Some(interactive));
}

/// Interactive requests beyond their slot floor may not take the memory set
/// aside for an aged batch request; before it is aged they may.
fn aged_batch_is_kept_room() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Interactive, 20);
    for _ in 0..5 {
        fixture.offer(Priority::Interactive, 1_400);
    }
    let (_, decision) = fixture.offer(Priority::Batch, 6_000);
    assert!(matches!(decision, AdmitDecision::Queue(_)), "{decision:?}");
    let (young, decision) = fixture.offer(Priority::Interactive, 500);
    assert_eq!(decision, AdmitDecision::Admit);
    fixture.admission.release(young);
    fixture.now = fixture.now + MAX_WAIT / 2;
    assert!(fixture.offer(Priority::Interactive, 500).1 != AdmitDecision::Admit);
}

/// Creates a fixture that has learned a prefill time of 1/100 step per token.
fn fixture_with_prefill() -> AdmissionFixture {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 20);
    for _ in 0..20 {
        let (offer, _) = fixture.offer(Priority::Batch, 1_000);
        fixture.now = fixture.now + STEP * 11;
        fixture.admission.record_progress(fixture.now, offer, 1);
        fixture.produce(offer, 20);
        fixture.admission.finish(offer);
        fixture.now = fixture.now + MAX_WAIT;
    }
    fixture
}

fn long_prompt_waits() {
    let mut fixture = fixture_with_prefill();
    let (interactive, _) = fixture.offer(Priority::Interactive, 10);
    fixture.produce(interactive, 2);
    let (long, decision) = fixture.offer(Priority::Batch, 2_000);
    assert!(matches!(decision, AdmitDecision::Queue(_)), "{decision:?}");
    assert_eq!(fixture.admission.admit_next(fixture.now), None);
    fixture.now = fixture.now + MAX_WAIT / 2;
    assert_eq!(fixture.admission.admit_next(fixture.now), Some(long));
}

fn short_prompt_joins() {
    let mut fixture = fixture_with_prefill();
    let (interactive, _) = fixture.offer(Priority::Interactive, 10);
    fixture.produce(interactive, 2);
    assert_eq!(fixture.offer(Priority::Batch, 200).1, AdmitDecision::Admit);
}

/// Two prefills in one step would delay the other requests twice as long.
fn prompts_join_apart() {
    let mut fixture = fixture_with_prefill();
    let (first, decision) = fixture.offer(Priority::Batch, 2_000);
    assert_eq!(decision, AdmitDecision::Admit);
    let (second, decision) = fixture.offer(Priority::Batch, 2_000);
    assert!(matches!(decision, AdmitDecision::Queue(_)), "{decision:?}");
    assert_eq!(fixture.admission.admit_next(fixture.now), None);
    fixture.now = fixture.now + MAX_WAIT / 2;
    fixture.admission.record_progress(fixture.now, first, 1);
    assert_eq!(fixture.admission.admit_next(fixture.now), Some(second));
}

/// Entries route by the reported load, so it must be updated without new offers.
fn load_is_fresh() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 500);
    let admitted = fixture.fill(Priority::Batch, 1_500);
    assert!(fixture.admission.load().expected_tokens > 5_000);
    for offer in admitted {
        fixture.admission.release(offer);
    }
    assert_eq!(fixture.admission.load().expected_tokens, 0);
}

fn refuses_early() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 3_000);
    fixture.fill(Priority::Batch, 2_000);
    let refused = (0..20).any(|_| match fixture.offer(Priority::Batch, 2_000).1 {
        AdmitDecision::Refuse(wait) => wait > MAX_WAIT,
        _ => false,
    });
    assert!(refused);
}

fn wait_shrinks() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 200);
    let admitted = fixture.fill(Priority::Batch, 1_000);
    let (queued, _) = fixture.offer(Priority::Batch, 1_000);
    let long = fixture.admission.expected_wait(Priority::Batch);
    fixture.admission.release(queued);
    let short = fixture.admission.expected_wait(Priority::Batch);
    assert!(short < long, "{short:?} {long:?}");
    for offer in admitted {
        fixture.admission.release(offer);
    }
    assert_eq!(fixture.admission.admit_next(fixture.now), None);
    let (last, _) = fixture.offer(Priority::Batch, 10);
    fixture.admission.release(last);
    assert_eq!(
        fixture.admission.expected_wait(Priority::Batch),
        Duration::ZERO
    );
}

fn expires() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 500);
    fixture.fill(Priority::Batch, 1_500);
    let (waiting, _) = fixture.offer(Priority::Batch, 2_000);
    assert_eq!(fixture.admission.remove_expired(fixture.now), []);
    assert_eq!(
        fixture.admission.remove_expired(fixture.now + MAX_WAIT),
        [waiting]
    );
    assert_eq!(fixture.admission.load().queued, 0);
}

fn releases() {
    let mut fixture = AdmissionFixture::with_lengths(Priority::Batch, 20);
    let admitted = fixture.fill(Priority::Batch, 10);
    let (waiting, _) = fixture.offer(Priority::Batch, 10);
    fixture.admission.release(admitted[3]);
    assert_eq!(fixture.admission.admit_next(fixture.now), Some(waiting));
}

fn passes_through() {
    let mut fixture = AdmissionFixture::new(AdmitPolicy::PassThrough);
    for _ in 0..100 {
        assert_eq!(
            fixture.offer(Priority::Batch, 5_000).1,
            AdmitDecision::Admit
        );
    }
    assert_eq!(fixture.admission.load().running, 0);
    fixture.admission.record_report(UpstreamReport {
        running: 7,
        waiting: 93,
        used_tokens: 9_000,
    });
    let load = fixture.admission.load();
    assert_eq!((load.running, load.queued), (7, 93));
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Offer(bool, u32),
    Produce(usize, u64),
    Finish(usize),
    Release(usize),
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (any::<bool>(), 1_u32..6_000).prop_map(|(i, p)| Op::Offer(i, p)),
        4 => (0_usize..16, 1_u64..400).prop_map(|(i, n)| Op::Produce(i, n)),
        2 => (0_usize..16).prop_map(Op::Finish),
        1 => (0_usize..16).prop_map(Op::Release),
        1 => (1_u64..5_000).prop_map(Op::Wait),
    ]
}

/// Admitted prompts stay within the memory, and batch and queue within their
/// bounds; no request is admitted twice.
fn bounds_hold() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(200), rng);
    runner
        .run(&prop::collection::vec(op(), 1..120), |ops| {
            let mut fixture = AdmissionFixture::new(AdmitPolicy::Expected);
            let mut admitted: Vec<(OfferId, u32, u64)> = Vec::new();
            let mut queued: Vec<(OfferId, u32)> = Vec::new();
            for op in ops {
                step(&mut fixture, &mut admitted, &mut queued, op);
                while let Some(offer) = fixture.admission.admit_next(fixture.now) {
                    let at = queued.iter().position(|(o, _)| *o == offer);
                    let (offer, prompt) = queued.remove(at.unwrap());
                    admitted.push((offer, prompt, 0));
                }
                let prompts: u64 = admitted.iter().map(|(_, p, _)| u64::from(*p)).sum();
                let load = fixture.admission.load();
                prop_assert!(admitted.len() <= 1 || prompts <= CAPACITY.tokens);
                prop_assert!(admitted.len() <= CAPACITY.max_batch as usize);
                prop_assert_eq!(load.running as usize, admitted.len());
                prop_assert_eq!(load.queued as usize, queued.len());
                prop_assert!(queued.len() <= CAPACITY.max_queue);
                prop_assert!(!admitted.is_empty() || queued.is_empty());
            }
            Ok(())
        })
        .unwrap();
}

fn step(
    fixture: &mut AdmissionFixture,
    admitted: &mut Vec<(OfferId, u32, u64)>,
    queued: &mut Vec<(OfferId, u32)>,
    op: Op,
) {
    match op {
        Op::Offer(interactive, prompt) => {
            let priority = if interactive {
                Priority::Interactive
            } else {
                Priority::Batch
            };
            match fixture.offer(priority, prompt) {
                (offer, AdmitDecision::Admit) => admitted.push((offer, prompt, 0)),
                (offer, AdmitDecision::Queue(_)) => queued.push((offer, prompt)),
                _ => {}
            }
        }
        Op::Produce(i, more) if i < admitted.len() => {
            admitted[i].2 += more;
            fixture.now = fixture.now + STEP;
            fixture
                .admission
                .record_progress(fixture.now, admitted[i].0, admitted[i].2);
        }
        Op::Finish(i) if i < admitted.len() => fixture.admission.finish(admitted.remove(i).0),
        Op::Release(i) if i < admitted.len() => fixture.admission.release(admitted.remove(i).0),
        Op::Wait(millis) => {
            fixture.now = fixture.now + Duration::from_millis(millis);
            let expired = fixture.admission.remove_expired(fixture.now);
            queued.retain(|(offer, _)| !expired.contains(offer));
        }
        _ => {}
    }
}
