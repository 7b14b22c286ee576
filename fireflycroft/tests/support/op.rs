//! Steps of a fuzzing script and the strategies that generate them.

use super::fleet::{AGENTS, CONTENTS, CallSpec, ENTRIES, Kind, Proc, WORKSPACES};
use super::link::NetworkMode;
use super::platform::PlatformMode;
use super::upstream::UpstreamMode;
use fireflycroft::MemberState;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

/// Largest number of steps in a case.
pub(crate) const MAX_STEPS: usize = 120;

/// One step.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    /// A caller sends a request to an entry.
    Submit(usize, CallSpec),
    /// The same request is sent to two entries at the same time.
    SubmitTwice(usize, usize, CallSpec),
    /// The caller of an earlier call sends the same request again.
    Resend(prop::sample::Index, usize),
    /// The caller of an earlier call resumes at its position, or at half of it if `back`.
    Resume {
        call: prop::sample::Index,
        entry: usize,
        back: bool,
    },
    /// Another workspace uses the resume point of an earlier call.
    ResumeAsOtherWorkspace {
        call: prop::sample::Index,
        entry: usize,
    },
    /// The caller disconnects.
    CallerGone(prop::sample::Index),
    /// Time passes, in milliseconds.
    Advance(u64),
    NetworkMode(NetworkMode),
    /// A link loses all messages in one direction.
    Cut(Proc, Proc),
    Reconnect(Proc, Proc),
    /// The process ends and restarts as a new incarnation.
    Kill(Proc),
    Freeze(Proc),
    Thaw(Proc),
    /// The process leaves as planned and ends when it is idle.
    Leave(Proc),
    CancelLeave(usize),
    Upstream(usize, UpstreamMode),
    /// The upstream crashes now.
    Crash(usize),
    Platform(PlatformMode),
    /// A process reads that version, or a conflicting one of the same number.
    Config {
        to: Proc,
        version: u64,
        other: bool,
    },
    /// Membership reports that state of an agent, whether true or not.
    Member {
        entry: usize,
        agent: usize,
        state: MemberState,
    },
    /// All faults are repaired.
    Heal,
}

pub(crate) fn any_entry() -> impl Strategy<Value = usize> {
    0..ENTRIES
}

fn any_agent() -> impl Strategy<Value = usize> {
    0..AGENTS
}

fn any_proc() -> impl Strategy<Value = Proc> {
    prop_oneof![
        any_entry().prop_map(Proc::Entry),
        any_agent().prop_map(Proc::Agent),
    ]
}

fn any_spec() -> impl Strategy<Value = CallSpec> {
    let key = prop_oneof![2 => Just(None), 1 => (0..3_u8).prop_map(Some)];
    let kind = prop_oneof![
        7 => Just(Kind::Plain),
        1 => Just(Kind::NeverRetry),
        2 => Just(Kind::Service),
    ];
    let whole = prop::bool::weighted(0.3);
    let parts = (0..WORKSPACES, 0..CONTENTS, key, kind, whole, any::<bool>());
    parts.prop_map(
        |(workspace, content, key, kind, whole, interactive)| CallSpec {
            workspace,
            content,
            key,
            kind,
            whole,
            interactive,
        },
    )
}

fn any_network_mode() -> impl Strategy<Value = NetworkMode> {
    use NetworkMode::{Combined, Duplicating, Lossy, Reliable, Slow};
    prop::sample::select(vec![Reliable, Lossy, Duplicating, Slow, Combined])
}

fn any_platform() -> impl Strategy<Value = PlatformMode> {
    use PlatformMode::{DelayedWrites, Hung, LosesAnswers, Slow, StaleReads, Unavailable, Up};
    prop::sample::select(vec![
        Up,
        Unavailable,
        Slow,
        LosesAnswers,
        DelayedWrites,
        StaleReads,
        Hung,
    ])
}

fn any_mood() -> impl Strategy<Value = UpstreamMode> {
    let at = prop::sample::select(vec![0, 1, 2, 5, 20]);
    (0..6_u8, at).prop_map(|(kind, n)| match kind {
        0 => UpstreamMode::Serve,
        1 => UpstreamMode::Refuse,
        2 => UpstreamMode::Break(n),
        3 => UpstreamMode::Lose(n),
        4 => UpstreamMode::Die(n),
        _ => UpstreamMode::Full,
    })
}

fn any_state() -> impl Strategy<Value = MemberState> {
    use MemberState::{Alive, Dead, Leaving, Suspect};
    prop::sample::select(vec![Alive, Suspect, Leaving, Dead])
}

fn any_span() -> impl Strategy<Value = u64> {
    prop_oneof![
        12 => 0..20_u64,
        8 => 20..400_u64,
        4 => 400..4_000_u64,
        2 => 4_000..12_000_u64,
        1 => 60_000..90_000_u64,
    ]
}

/// Returns the strategy for one step.
pub(crate) fn any_op() -> impl Strategy<Value = Op> {
    let index = any::<prop::sample::Index>;
    let link = || (any_entry(), any_agent(), any::<bool>());
    let ends = |(entry, agent, back): (usize, usize, bool)| {
        let (entry, agent) = (Proc::Entry(entry), Proc::Agent(agent));
        if back { (agent, entry) } else { (entry, agent) }
    };
    prop_oneof![
        12 => (any_entry(), any_spec()).prop_map(|(entry, spec)| Op::Submit(entry, spec)),
        2 => (any_entry(), any_entry(), any_spec()).prop_map(|(a, b, spec)| Op::SubmitTwice(a, b, spec)),
        5 => (index(), any_entry()).prop_map(|(call, entry)| Op::Resend(call, entry)),
        5 => (index(), any_entry(), any::<bool>())
            .prop_map(|(call, entry, back)| Op::Resume { call, entry, back }),
        1 => (index(), any_entry()).prop_map(|(call, entry)| Op::ResumeAsOtherWorkspace { call, entry }),
        2 => index().prop_map(Op::CallerGone),
        20 => any_span().prop_map(Op::Advance),
        2 => any_network_mode().prop_map(Op::NetworkMode),
        2 => link().prop_map(move |l| { let (a, b) = ends(l); Op::Cut(a, b) }),
        2 => link().prop_map(move |l| { let (a, b) = ends(l); Op::Reconnect(a, b) }),
        2 => any_proc().prop_map(Op::Kill),
        3 => any_proc().prop_map(Op::Freeze),
        4 => any_proc().prop_map(Op::Thaw),
        1 => any_proc().prop_map(Op::Leave),
        1 => any_agent().prop_map(Op::CancelLeave),
        4 => (any_agent(), any_mood()).prop_map(|(agent, mood)| Op::Upstream(agent, mood)),
        1 => any_agent().prop_map(Op::Crash),
        2 => any_platform().prop_map(Op::Platform),
        2 => (any_proc(), 1..7_u64, any::<bool>())
            .prop_map(|(to, version, other)| Op::Config { to, version, other }),
        2 => (any_entry(), any_agent(), any_state())
            .prop_map(|(entry, agent, state)| Op::Member { entry, agent, state }),
        1 => Just(Op::Heal),
    ]
}

/// A script of steps. Its state is only the seed: the oracle is part of the system under test.
pub(crate) struct Script;

impl ReferenceStateMachine for Script {
    type State = u64;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Op> {
        any_op().boxed()
    }

    fn apply(state: u64, _: &Op) -> u64 {
        state
    }
}
