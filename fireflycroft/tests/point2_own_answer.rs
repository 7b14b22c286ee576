//! Guarantee 2: each caller gets the answer to its own request and no other.

mod support;

use fireflycroft::{Code, GenerationId, Message, RequestId, ResumePoint};
use support::cases;
use support::fleet::{CallSpec, Kind, Proc};
use support::link::NetworkMode;
use support::oracle::Outcome;

fn long(workspace: usize) -> CallSpec {
    CallSpec {
        workspace,
        content: 5,
        ..CallSpec::default()
    }
}

fn keyed(workspace: usize, content: u8) -> CallSpec {
    CallSpec {
        workspace,
        content,
        key: Some(1),
        ..CallSpec::default()
    }
}

const UNKNOWN: Option<Outcome> = Some(Outcome::Failed(Code::StreamUnknown));

cases! {
    frames_late_and_out_of_order(world) {
        let calls = [0, 1, 2].map(|i| world.submit(i, long(i)).unwrap());
        world.advance(20);
        world.net.mode = NetworkMode::Slow;
        world.advance(20_000);
        for call in calls {
            assert_eq!(world.outcome(call), Some(Outcome::Whole));
        }
    }

    /// Duplicate frames arrive after their call has ended, while others run.
    frames_copied_into_later_calls(world) {
        world.net.mode = NetworkMode::Duplicating;
        for i in 0..6 {
            world.submit(i % 3, long(i % 3));
            world.advance(2_000);
        }
    }

    /// An agent's new incarnation numbers its generations from one again.
    ids_reused_after_an_agents_restart(world) {
        let first = world.submit(0, long(0)).unwrap();
        world.advance(200);
        let agent = world.agent_of(first).unwrap();
        let next = world.next_token(first);
        world.kill(Proc::Agent(agent));
        world.advance(4_000);
        let other = world.submit(1, long(1)).unwrap();
        world.advance(100);
        let back = world.resume(2, first, next).unwrap();
        world.advance(5_000);
        assert_eq!(world.outcome(back), UNKNOWN);
        assert_eq!(world.outcome(other), Some(Outcome::Whole));
    }

    /// A start for the former incarnation's first reservation arrives late, while
    /// the new incarnation holds its own first reservation.
    stale_start_reaches_an_agents_new_life(world) {
        let service = CallSpec { kind: Kind::Service, ..long(0) };
        let first = world.submit(0, service).unwrap();
        world.advance(100);
        let point = world.resume_point(first).unwrap();
        world.kill(Proc::Agent(3));
        world.advance(5_000);
        let (agent, entry) = (Proc::Agent(3).addr(), Proc::Entry(1).addr());
        world.net.cut(agent, entry);
        world.submit(1, CallSpec { workspace: 1, ..service }).unwrap();
        world.advance(2);
        let stale = Message::Start {
            request: point.request,
            generation: point.generation,
            work: service.submission().work,
        };
        world.send(Proc::Entry(0), agent, stale);
        world.advance(1_000);
        assert_eq!(world.running(3), 0);
    }

    /// Messages to an agent's former incarnation reach the new one.
    old_messages_reach_an_agents_new_life(world) {
        world.net.mode = NetworkMode::Slow;
        let first = world.submit(0, long(0)).unwrap();
        world.advance(900);
        for agent in 0..3 {
            world.kill(Proc::Agent(agent));
        }
        world.submit(1, long(1));
        world.advance(20_000);
        assert!(world.outcome(first).is_some());
    }

    /// Frames for an entry's former incarnation reach the new one.
    old_frames_reach_an_entrys_new_life(world) {
        world.submit(0, long(0)).unwrap();
        world.advance(200);
        world.net.mode = NetworkMode::Duplicating;
        world.kill(Proc::Entry(0));
        world.advance(3_000);
        let call = world.submit(0, long(1)).unwrap();
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    workspace_steals_a_running_stream(world) {
        let call = world.submit(0, long(0)).unwrap();
        world.advance(200);
        let thief = world.resume_as_other_workspace(call, 1, 1).unwrap();
        world.advance(1_000);
        assert_eq!(world.outcome(thief), UNKNOWN);
        world.advance(10_000);
        assert_eq!(world.outcome(call), Some(Outcome::Whole));
    }

    workspace_steals_an_ended_stream(world) {
        let call = world.submit(0, long(0)).unwrap();
        world.advance(10_000);
        let thief = world.resume_as_other_workspace(call, 1, 1).unwrap();
        world.advance(1_000);
        assert_eq!(world.outcome(thief), UNKNOWN);
    }

    /// A dropped stream is unknown to other workspaces, and gone for its own.
    workspace_steals_a_forgotten_stream(world) {
        let call = world.submit(0, long(0)).unwrap();
        world.advance(80_000);
        let thief = world.resume_as_other_workspace(call, 1, 1).unwrap();
        let owner = world.resume(1, call, 3).unwrap();
        world.advance(1_000);
        assert_eq!(world.outcome(thief), UNKNOWN);
        assert_eq!(world.outcome(owner), Some(Outcome::Failed(Code::PartGone)));
    }

    /// A wrong request id for a known generation, and the reverse.
    workspace_guesses_an_id(world) {
        let call = world.submit(0, long(0)).unwrap();
        world.advance(200);
        let real = world.resume_point(call).unwrap();
        for (request, serial) in [
            (RequestId(7), real.generation.serial),
            (real.request, real.generation.serial + 1),
        ] {
            let point = ResumePoint {
                request,
                generation: GenerationId { serial, ..real.generation },
                next: 0,
                ..real.clone()
            };
            for workspace in [0, 1] {
                let from = Some((call, point.clone()));
                let guess = world.submit_from(1, long(workspace), from).unwrap();
                world.advance(500);
                assert_eq!(world.outcome(guess), UNKNOWN);
            }
        }
    }

    /// A cancel for the former incarnation's first generation arrives late.
    stale_cancel_reaches_an_agents_new_life(world) {
        let service = |content| CallSpec { kind: Kind::Service, content, ..long(0) };
        let first = world.submit(0, service(5)).unwrap();
        world.advance(100);
        let generation = world.resume_point(first).unwrap().generation;
        world.kill(Proc::Agent(3));
        world.advance(5_000);
        let second = world.submit(1, service(4)).unwrap();
        world.advance(50);
        let stale = Message::Cancel { generation };
        world.send(Proc::Entry(0), Proc::Agent(3).addr(), stale);
        world.advance(10_000);
        assert_eq!(world.outcome(second), Some(Outcome::Whole));
    }

    /// The same key in two workspaces is two requests.
    same_key_in_two_workspaces(world) {
        let a = world.submit(0, keyed(0, 3)).unwrap();
        let b = world.submit(1, keyed(1, 3)).unwrap();
        world.advance(2_000);
        assert_eq!((world.runs(a), world.runs(b)), (1, 1));
        assert_eq!(world.outcome(b), Some(Outcome::Whole));
    }

    same_key_with_another_body(world) {
        let a = world.submit(0, keyed(0, 3)).unwrap();
        world.advance(2_000);
        let b = world.submit(1, keyed(0, 4)).unwrap();
        world.advance(2_000);
        assert_eq!(world.outcome(a), Some(Outcome::Whole));
        let reused = Outcome::Failed(Code::IdempotencyKeyReused);
        assert_eq!(world.outcome(b), Some(reused));
    }

    /// A service's answer is never taken for an engine's with the same serial.
    resume_point_names_another_agent(world) {
        let call = world.submit(0, long(0)).unwrap();
        world.submit(1, CallSpec { kind: Kind::Service, ..long(0) });
        world.advance(200);
        let point = ResumePoint {
            agent: Proc::Agent(3).peer(0).name,
            ..world.resume_point(call).unwrap()
        };
        let guess = world.submit_from(2, long(0), Some((call, point))).unwrap();
        world.advance(1_000);
        assert_eq!(world.outcome(guess), UNKNOWN);
    }
}
