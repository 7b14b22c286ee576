//! The entry's choice among agents.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use fireflycroft::{
    Demand, Digest, IdSource, Incarnation, Load, MemberRecord, MemberState, Name, Peer, Priority,
    Role, RoutePolicy, Router, Time,
};
use std::collections::HashMap;
use std::time::Duration;

const NOW: Time = Time::from_millis(1_000);
const STEP: Duration = Duration::from_millis(20);

cases! {
    interactive_gathers_on_the_same_agent_at_all_entries => check_gathering();
    interactive_goes_on_from_a_filled_agent => check_spill_over(40, 64);
    interactive_spreads_over_small_batches => check_spill_over(1, 3);
    batch_keeps_off_the_interactive_agent => check_batch_separation();
    batch_takes_the_interactive_agent_before_a_long_wait => check_batch_spill_over();
    batch_goes_where_memory_is => check_memory_choice();
    slow_agent_is_found_by_its_peers => check_slow_excluded();
    idle_slow_agent_is_still_chosen => check_idle_slow_chosen();
    queued_request_finds_a_freer_agent => check_free_alternative();
    suspect_agent_is_the_last_choice => check_suspect_last();
    tried_agent_is_not_asked_again => check_tried_excluded();
    leaving_agent_is_not_asked => check_leaving_excluded();
    avoided_agent_is_asked_again_later => check_avoided_returns();
    round_robin_goes_round => check_round_robin();
    least_outstanding_counts_own_requests => check_least_outstanding();
    two_choices_takes_the_less_loaded => check_two_choices();
}

fn name(i: usize) -> Name {
    Name::from(format!("agent-{i}"))
}

fn record(i: usize, state: MemberState) -> MemberRecord {
    MemberRecord {
        peer: Peer {
            name: name(i),
            addr: format!("127.0.0.1:{}", 7_000 + i).parse().unwrap(),
            incarnation: Incarnation(1),
            role: Role::Agent,
        },
        data_centre: Name::from("dc"),
        state,
        revision: 1,
        serves: vec![Name::from("model")],
    }
}

fn load(expected: u64) -> Load {
    Load {
        running: 4,
        expected_tokens: expected,
        used_tokens: expected,
        capacity_tokens: 10_000,
        max_batch: 64,
        step: STEP,
        ..Load::default()
    }
}

fn router(policy: RoutePolicy, agents: usize) -> Router {
    let mut router = Router::new(policy, Name::from("dc"));
    for i in 0..agents {
        router.upsert(&record(i, MemberState::Alive));
        router.record_load(NOW, &name(i), load(1_000));
    }
    router
}

fn demand(priority: Priority) -> Demand {
    Demand {
        workspace: Name::from("w"),
        target: Name::from("model"),
        priority,
        prompt_tokens: 100,
        max_tokens: 1_000,
        prefix: Digest(0),
        shared_parts: Vec::new(),
        content: Digest(0),
        retryable: true,
        crashes: 0,
    }
}

fn choose(router: &mut Router, priority: Priority, ids: &mut IdSource) -> Name {
    let ix = router.choose(NOW, &demand(priority), &[], ids).unwrap();
    router.get(ix).peer.name.clone()
}

/// Chooses an agent, sends to it and reports its load again, `times` times.
fn send(router: &mut Router, priority: Priority, times: usize) -> HashMap<Name, usize> {
    let mut ids = IdSource::new([3; 32]);
    let mut sent = HashMap::new();
    for _ in 0..times {
        let to = choose(router, priority, &mut ids);
        router.record_sent(&to, &demand(priority));
        *sent.entry(to.clone()).or_default() += 1;
        let load = router.by_name(&to).unwrap().load;
        router.record_load(NOW, &to, load);
    }
    sent
}

fn gathering_agent(agents: usize) -> Name {
    let mut router = router(RoutePolicy::Expected, agents);
    choose(
        &mut router,
        Priority::Interactive,
        &mut IdSource::new([1; 32]),
    )
}

fn check_gathering() {
    for seed in 0..20 {
        let mut router = router(RoutePolicy::Expected, 6);
        let mut ids = IdSource::new([seed; 32]);
        let to = choose(&mut router, Priority::Interactive, &mut ids);
        assert_eq!(to, gathering_agent(6));
    }
}

/// The limit is a share of the largest batch, not a number of generations.
fn check_spill_over(running: u32, max_batch: u32) {
    let mut router = router(RoutePolicy::Expected, 4);
    let full = Load {
        running,
        max_batch,
        ..load(1_000)
    };
    router.record_load(NOW, &gathering_agent(4), full);
    let sent = send(&mut router, Priority::Interactive, 50);
    assert_eq!(sent.len(), 1);
    assert!(!sent.contains_key(&gathering_agent(4)));
}

fn check_batch_separation() {
    let mut router = router(RoutePolicy::Expected, 4);
    send(&mut router, Priority::Interactive, 200);
    let sent = send(&mut router, Priority::Batch, 100);
    assert_eq!(sent.get(&gathering_agent(4)), None);
    assert_eq!(sent.len(), 3);
}

fn check_batch_spill_over() {
    let mut router = router(RoutePolicy::Expected, 4);
    send(&mut router, Priority::Interactive, 200);
    for i in (0..4).filter(|i| name(*i) != gathering_agent(4)) {
        let full = Load {
            wait_batch: Duration::from_secs(20),
            ..load(9_500)
        };
        router.record_load(NOW, &name(i), full);
    }
    let sent = send(&mut router, Priority::Batch, 20);
    assert_eq!(sent.get(&gathering_agent(4)), Some(&20));
}

fn check_memory_choice() {
    let mut router = router(RoutePolicy::Expected, 4);
    for i in 0..4 {
        let expected = if i == 2 { 2_000 } else { 6_000 };
        router.record_load(NOW, &name(i), load(expected));
    }
    let sent = send(&mut router, Priority::Batch, 10);
    assert_eq!(sent.get(&name(2)), Some(&10));
}

fn check_slow_excluded() {
    let mut router = router(RoutePolicy::Expected, 4);
    let slow = Load {
        step: STEP * 3,
        ..load(0)
    };
    router.record_load(NOW, &gathering_agent(4), slow);
    assert!(!send(&mut router, Priority::Interactive, 20).contains_key(&gathering_agent(4)));
    assert!(!send(&mut router, Priority::Batch, 20).contains_key(&gathering_agent(4)));
}

fn check_idle_slow_chosen() {
    let mut router = router(RoutePolicy::Expected, 4);
    let idle = Load {
        step: STEP * 3,
        running: 0,
        ..load(0)
    };
    router.record_load(NOW, &name(1), idle);
    assert!(send(&mut router, Priority::Batch, 20).contains_key(&name(1)));
}

/// An alternative is free if it has no wait and nothing was sent to it since its last load report.
fn check_free_alternative() {
    let mut router = router(RoutePolicy::Expected, 2);
    let full = Load {
        wait_batch: Duration::from_secs(3),
        ..load(9_000)
    };
    let batch = demand(Priority::Batch);
    router.record_load(NOW, &name(0), full);
    router.record_load(NOW, &name(1), full);
    assert!(!router.has_free_alternative(NOW, &batch, &name(0)));
    router.record_load(NOW, &name(1), load(1_000));
    assert!(router.has_free_alternative(NOW, &batch, &name(0)));
    assert!(!router.has_free_alternative(NOW, &batch, &name(1)));
    router.record_sent(&name(1), &batch);
    assert!(!router.has_free_alternative(NOW, &batch, &name(0)));
}

fn check_suspect_last() {
    let mut router = router(RoutePolicy::Expected, 3);
    for i in 0..2 {
        router.upsert(&record(i, MemberState::Suspect));
    }
    for priority in [Priority::Interactive, Priority::Batch] {
        assert_eq!(send(&mut router, priority, 20).get(&name(2)), Some(&20));
    }
    router.upsert(&record(2, MemberState::Suspect));
    let mut ids = IdSource::new([1; 32]);
    choose(&mut router, Priority::Interactive, &mut ids);
}

fn check_tried_excluded() {
    for policy in [
        RoutePolicy::Expected,
        RoutePolicy::RoundRobin,
        RoutePolicy::LeastOutstanding,
        RoutePolicy::TwoChoices,
    ] {
        let mut router = router(policy, 3);
        let mut ids = IdSource::new([1; 32]);
        let tried = [name(0), name(2)];
        for _ in 0..10 {
            let demand = demand(Priority::Interactive);
            let ix = router.choose(NOW, &demand, &tried, &mut ids).unwrap();
            assert_eq!(router.get(ix).peer.name, name(1));
        }
        let all = [name(0), name(1), name(2)];
        let none = router.choose(NOW, &demand(Priority::Batch), &all, &mut ids);
        assert_eq!(none, None);
    }
}

fn check_leaving_excluded() {
    let mut router = router(RoutePolicy::Expected, 2);
    let leaving = Load {
        leaving: true,
        ..load(0)
    };
    router.record_load(NOW, &name(0), leaving);
    assert_eq!(
        send(&mut router, Priority::Batch, 10).get(&name(1)),
        Some(&10)
    );
}

fn check_avoided_returns() {
    let mut router = router(RoutePolicy::Expected, 1);
    router.avoid(NOW, &name(0), Duration::from_secs(2));
    let mut ids = IdSource::new([1; 32]);
    let demand = demand(Priority::Batch);
    let early = NOW + Duration::from_secs(1);
    assert_eq!(router.choose(early, &demand, &[], &mut ids), None);
    let late = NOW + Duration::from_secs(2);
    assert!(router.choose(late, &demand, &[], &mut ids).is_some());
}

fn check_round_robin() {
    let mut router = router(RoutePolicy::RoundRobin, 3);
    let sent = send(&mut router, Priority::Batch, 30);
    assert!((0..3).all(|i| sent.get(&name(i)) == Some(&10)));
}

fn check_least_outstanding() {
    let mut router = router(RoutePolicy::LeastOutstanding, 3);
    let sent = send(&mut router, Priority::Batch, 30);
    assert!((0..3).all(|i| sent.get(&name(i)) == Some(&10)));
    router.record_done(&name(1));
    let sent = send(&mut router, Priority::Batch, 1);
    assert!(sent.contains_key(&name(1)));
}

fn check_two_choices() {
    let mut router = router(RoutePolicy::TwoChoices, 2);
    let busy = Load {
        running: 30,
        ..load(1_000)
    };
    router.record_load(NOW, &name(0), busy);
    let sent = send(&mut router, Priority::Batch, 400);
    let less = sent.get(&name(1)).copied().unwrap_or_default();
    assert!((250..350).contains(&less), "{less}");
}
