//! Guarantee 1: tokens are delivered exactly once, in order, from one generation.

mod support;

use fireflycroft::Code;
use support::cases;
use support::fleet::{CallSpec, ENGINES, HUGE, Kind, MAX_BYTES, Proc};
use support::link::NetworkMode;
use support::oracle::Outcome;
use support::scenario;
use support::upstream::UpstreamMode;
use support::world::World;

/// Length in tokens of the content requested in most cases.
const LONG: u64 = 400;

fn long() -> CallSpec {
    CallSpec {
        content: 5,
        ..CallSpec::default()
    }
}

fn whole(spec: CallSpec) -> CallSpec {
    CallSpec {
        whole: true,
        ..spec
    }
}

fn set_upstream_modes(world: &mut World, mode: UpstreamMode) {
    for agent in 0..ENGINES {
        world.set_upstream_mode(agent, mode);
    }
}

cases! {
    entry_killed_and_caller_back_through_another(world) {
        let first = world.submit(0, long()).unwrap();
        world.advance(200);
        world.kill(Proc::Entry(0));
        assert!(world.next_token(first) > 0);
        let rest = world.resume(1, first, world.next_token(first)).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
        assert_eq!((world.next_token(rest), world.runs(first)), (LONG, 1));
    }

    /// A new entry has no record of the agent yet: the caller may retry.
    caller_back_through_an_entry_that_knows_no_agent(world) {
        let first = world.submit(0, long()).unwrap();
        world.advance(100);
        let next = world.next_token(first);
        world.kill(Proc::Entry(0));
        world.restart_isolated(1, true);
        let early = world.resume(1, first, next).unwrap();
        world.advance(10);
        assert_eq!(world.outcome(early), Some(Outcome::Failed(Code::StreamUnknown)));
        assert!(world.retry_after(early).is_some());
        world.announce_agents(1);
        let rest = world.resume(1, first, next).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }

    /// The caller did not receive the last tokens that its entry sent.
    caller_back_at_an_earlier_token(world) {
        let first = world.submit(0, long()).unwrap();
        world.advance(500);
        world.kill(Proc::Entry(0));
        let rest = world.resume(2, first, world.next_token(first) / 2).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }

    /// A caller that resumes with whole delivery gets correctly numbered tokens.
    whole_rest_is_numbered_from_the_resume_point(world) {
        let first = world.submit(0, whole(CallSpec::default())).unwrap();
        world.advance(2_000);
        assert_eq!(world.outcome(first), Some(Outcome::Whole));
        let rest = world.resume(1, first, 5).unwrap();
        world.advance(500);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }

    caller_resumes_an_ended_answer_at_its_end(world) {
        let first = world.submit(0, CallSpec::default()).unwrap();
        world.advance(2_000);
        let rest = world.resume(1, first, world.next_token(first)).unwrap();
        world.advance(500);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }

    /// Two connections of one caller read the same generation.
    caller_resumes_while_the_first_stream_goes_on(world) {
        let first = world.submit(0, long()).unwrap();
        world.advance(200);
        let second = world.resume(1, first, 0).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(first), Some(Outcome::Whole));
        assert_eq!(world.outcome(second), Some(Outcome::Whole));
    }

    /// The upstream keeps its streams while its software is replaced.
    stream_does_not_go_on_at_another_software_version(world) {
        set_upstream_modes(world, UpstreamMode::Upgrade(40));
        let call = world.submit(0, long()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::UpstreamFailed)));
        assert_eq!(world.next_token(call), 40);
    }

    broken_stream_is_resumed_at_the_same_software_version(world) {
        set_upstream_modes(world, UpstreamMode::Break(40));
        let call = world.submit(0, long()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    stream_of_unknown_software_version_is_not_resumed(world) {
        world.states_versions = false;
        set_upstream_modes(world, UpstreamMode::Break(40));
        let call = world.submit(0, long()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::UpstreamFailed)));
    }

    agent_link_cut_for_two_seconds(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(200);
        let agent = Proc::Agent(world.agent_of(call).unwrap()).addr();
        world.net.cut(agent, Proc::Entry(0).addr());
        world.advance(2_000);
        world.net.heal();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
        assert_eq!(world.runs(call), 1);
    }

    /// The entry ends the stream without splicing in another generation; the
    /// caller may resume.
    agent_link_cut_for_good_then_resumed(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(200);
        let agent = Proc::Agent(world.agent_of(call).unwrap()).addr();
        world.net.cut(agent, Proc::Entry(0).addr());
        world.advance(9_000);
        assert_eq!(world.outcome(call), None, "gave up before the long silence");
        world.advance(2_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::OutcomeUnknown)));
        let rest = world.resume(1, call, world.next_token(call)).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
        assert_eq!(world.runs(call), 1);
    }

    agent_frozen_for_two_seconds(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(200);
        let agent = Proc::Agent(world.agent_of(call).unwrap());
        world.freeze(agent);
        world.advance(2_000);
        world.thaw(agent);
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
        assert_eq!(world.runs(call), 1);
    }

    agent_frozen_past_the_silence_then_resumed(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(200);
        let agent = Proc::Agent(world.agent_of(call).unwrap());
        world.freeze(agent);
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::OutcomeUnknown)));
        world.thaw(agent);
        let rest = world.resume(2, call, world.next_token(call)).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }

    /// Messages received while the entry was frozen are read before timeouts fire.
    entry_frozen_past_the_silence(world) {
        for timers_first in [false, true] {
            let call = world.submit(0, long()).unwrap();
            world.advance(200);
            world.freeze(Proc::Entry(0));
            world.advance(6_000);
            world.thaw_with(Proc::Entry(0), timers_first);
            world.advance(10_000);
            assert_eq!(world.outcome(call), Some(Outcome::Whole));
        }
    }

    engine_killed_after_no_token(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(5);
        world.set_upstream_mode(world.agent_of(call).unwrap(), UpstreamMode::Die(0));
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
        assert_eq!(world.runs(call), 2);
    }

    engine_killed_after_one_token(world) {
        set_upstream_modes(world, UpstreamMode::Die(1));
        let call = world.submit(0, long()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::UpstreamFailed)));
        assert_eq!((world.next_token(call), world.runs(call)), (1, 1));
    }

    engine_killed_after_many_tokens(world) {
        set_upstream_modes(world, UpstreamMode::Die(50));
        let call = world.submit(0, long()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::UpstreamFailed)));
        assert_eq!((world.next_token(call), world.runs(call)), (50, 1));
    }

    /// The caller has received nothing, so it restarts without notice.
    engine_killed_under_a_whole_answer(world) {
        let call = world.submit(0, whole(CallSpec::default())).unwrap();
        world.advance(5);
        world.set_upstream_mode(world.agent_of(call).unwrap(), UpstreamMode::Die(5));
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
        assert_eq!(world.runs(call), 2);
    }

    engine_stream_broken_and_taken_up(world) {
        set_upstream_modes(world, UpstreamMode::Break(50));
        let call = world.submit(0, long()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
        assert_eq!(world.runs(call), 1);
    }

    engine_stream_broken_for_good(world) {
        set_upstream_modes(world, UpstreamMode::Lose(50));
        let call = world.submit(0, long()).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::UpstreamFailed)));
        assert_eq!(world.next_token(call), 50);
    }

    tokens_of_a_fenced_generation_come_late(world) {
        let call = scenario::late_tokens_of_a_fenced_generation(world);
        world.advance(30_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
        assert_eq!(world.runs(call), 2);
    }

    frames_lost_copied_and_overtaken(world) {
        let call = world.submit(0, long()).unwrap();
        world.advance(20);
        world.net.mode = NetworkMode::Combined;
        world.advance(20_000);
        world.net.heal();
        world.advance(5_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    /// Only the frame with the end is lost.
    frame_with_the_end_lost(world) {
        let call = world.submit(0, CallSpec { content: 0, ..CallSpec::default() }).unwrap();
        world.advance(5);
        let agent = Proc::Agent(world.agent_of(call).unwrap()).addr();
        world.net.cut(agent, Proc::Entry(0).addr());
        world.advance(1_000);
        world.net.heal();
        world.advance(2_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    whole_answer_over_the_entrys_buffer(world) {
        let call = world.submit(0, whole(CallSpec { content: HUGE, ..CallSpec::default() })).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Failed(Code::AnswerTooLarge)));
    }

    /// The stream is longer than the agent's byte limit.
    stream_over_the_agents_buffer(world) {
        let call = world.submit(0, CallSpec { content: HUGE, ..CallSpec::default() }).unwrap();
        world.advance_until(60_000, |w| {
            assert!(w.max_bytes() <= MAX_BYTES, "{}", w.max_bytes());
            w.outcome(call).is_some()
        });
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    /// A slow reader loses its position; the agent stays within its byte limit.
    reader_behind_the_agents_buffer(world) {
        let call = world.submit(0, CallSpec { content: HUGE, ..CallSpec::default() }).unwrap();
        world.advance(100);
        let agent = Proc::Agent(world.agent_of(call).unwrap()).addr();
        world.net.cut(Proc::Entry(0).addr(), agent);
        for _ in 0..100 {
            world.advance(100);
            assert!(world.max_bytes() <= MAX_BYTES, "{}", world.max_bytes());
        }
    }

    /// An answer dropped by the byte limit must not be resumed from its middle.
    ended_answers_dropped_to_make_room(world) {
        let service = |content| CallSpec { kind: Kind::Service, content, ..CallSpec::default() };
        let first = world.submit(0, service(3)).unwrap();
        world.advance(1_000);
        world.submit(0, service(HUGE));
        world.advance(5_000);
        let rest = world.resume(1, first, 3).unwrap();
        world.advance(1_000);
        assert_eq!(world.outcome(rest), Some(Outcome::Failed(Code::PartGone)));
    }

    /// The oldest tokens of a running stream were dropped by the byte limit.
    running_stream_has_lost_its_head(world) {
        let service = CallSpec { kind: Kind::Service, content: HUGE, ..CallSpec::default() };
        let first = world.submit(0, service).unwrap();
        world.advance_until(10_000, |w| w.next_token(first) > 200);
        let again = world.resume(1, first, 0).unwrap();
        let rest = world.resume(2, first, world.next_token(first)).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(again), Some(Outcome::Failed(Code::PartGone)));
        assert_eq!(world.outcome(rest), Some(Outcome::Whole));
    }

    /// Nine callers join one keyed generation; the ninth is refused.
    readers_at_their_bound(world) {
        let spec = CallSpec { key: Some(1), kind: Kind::Service, ..long() };
        let calls: Vec<_> = (0..9)
            .map(|i| {
                world.advance(20);
                world.submit(i % 3, spec).unwrap()
            })
            .collect();
        world.advance(10_000);
        let whole = calls.iter().filter(|c| world.outcome(**c) == Some(Outcome::Whole));
        assert_eq!(whole.count(), 8);
        let last = world.outcome(calls[8]);
        assert_eq!(last, Some(Outcome::Failed(Code::ClaimUnresolved)));
    }
}
