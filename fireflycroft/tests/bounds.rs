//! Every table has a limit, with a defined result when it is reached.

mod support;

use fireflycroft::{Code, Message, RequestId};
use support::cases;
use support::fleet::{AGENTS, CallSpec, ENGINES, GIANT, MAX_CALLS, MAX_HELD, MAX_OFFERS, Proc};
use support::oracle::Outcome;
use support::upstream::UpstreamMode;

/// Tokens that an agent sends beyond the last acknowledgement.
const WINDOW_TOKENS: u64 = 2_048;

cases! {
    calls_at_the_entrys_bound(world) {
        for agent in 0..ENGINES {
            world.freeze(Proc::Agent(agent));
        }
        let calls: Vec<_> = (0..=MAX_CALLS)
            .map(|_| world.submit(0, CallSpec::default()).unwrap())
            .collect();
        let last = world.outcome(calls[MAX_CALLS]);
        assert_eq!(last, Some(Outcome::Failed(Code::Overloaded)));
    }

    /// A caller that reads nothing is sent at most two windows.
    caller_who_takes_nothing(world) {
        world.stall_callers(true);
        let call = world.submit(0, CallSpec { content: GIANT, ..CallSpec::default() }).unwrap();
        world.advance(60_000);
        assert!(world.next_token(call) <= 2 * WINDOW_TOKENS, "{}", world.next_token(call));
        assert_eq!(world.outcome(call), None);
        world.stall_callers(false);
        world.advance(20_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    /// Each answer is within its own limit, but their total is not.
    whole_answers_held_back_at_once(world) {
        let spec = CallSpec { content: 4, whole: true, ..CallSpec::default() };
        let calls: Vec<_> = (0..12).map(|_| world.submit(0, spec).unwrap()).collect();
        for _ in 0..100 {
            world.advance(50);
            assert!(world.max_held() <= MAX_HELD, "{}", world.max_held());
        }
        let of = |outcome| {
            let same = calls.iter().filter(|c| world.outcome(**c) == Some(outcome));
            same.count()
        };
        let (whole, large) = (Outcome::Whole, Outcome::Failed(Code::AnswerTooLarge));
        assert!(of(whole) > 0 && of(large) > 0);
        assert_eq!(of(whole) + of(large), calls.len());
    }

    /// An upstream without output must not leave its caller waiting for ever.
    upstream_that_hangs(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Full);
        }
        let call = world.submit(0, CallSpec { content: 5, ..CallSpec::default() }).unwrap();
        world.advance(59_000);
        assert_eq!(world.outcome(call), None);
        world.advance(2_000);
        let late = Outcome::Failed(Code::DeadlineExceeded);
        assert_eq!(world.outcome(call), Some(late));
    }

    /// A generation without readers must not occupy the engine.
    run_that_nobody_reads(world) {
        let call = world.submit(0, CallSpec { content: GIANT, ..CallSpec::default() }).unwrap();
        world.advance(100);
        let agent = world.agent_of(call).unwrap();
        world.disconnect_caller(call);
        world.advance(29_000);
        assert_eq!(world.running(agent), 1);
        world.advance(2_000);
        assert_eq!(world.running(agent), 0);
    }

    /// Offers of a dead entry are never withdrawn; they must expire.
    waits_of_a_dead_entry(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Full);
        }
        for _ in 0..20 {
            world.submit(0, CallSpec { content: 5, ..CallSpec::default() });
        }
        world.advance(100);
        assert!(world.max_queued() > 0);
        world.kill(Proc::Entry(0));
        world.advance(2_500);
        assert_eq!(world.max_queued(), 0);
    }

    /// More offers arrive within a minute than an agent remembers.
    offers_at_the_agents_bound(world) {
        for agent in 0..ENGINES {
            world.set_upstream_mode(agent, UpstreamMode::Full);
        }
        for i in 0..1_200 {
            world.submit(i % 3, CallSpec { interactive: i % 2 == 0, ..CallSpec::default() });
            world.advance(20);
            assert!(world.max_offers() <= MAX_OFFERS, "{}", world.max_offers());
        }
    }

    withdrawals_of_offers_that_never_came(world) {
        for i in 0..2 * MAX_OFFERS {
            for agent in 0..AGENTS {
                let withdraw = Message::Withdraw {
                    request: RequestId(1_000 + i as u128),
                    attempt: 1,
                };
                world.send(Proc::Entry(0), Proc::Agent(agent).addr(), withdraw);
            }
            world.advance(2);
        }
        assert!(world.max_offers() <= MAX_OFFERS, "{}", world.max_offers());
    }
}
