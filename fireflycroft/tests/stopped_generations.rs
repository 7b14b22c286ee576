//! An agent whose upstream ends a generation, in any way, beside an order to stop it.

#[path = "support/agent_site.rs"]
mod agent_site;

use std::time::Duration;

use agent_site::Site;
use fireflycroft::{
    AgentAction, AgentEvent, AgentLimits, Chunk, Code, Finish, GenerationId, Message, RequestId,
};

/// A generation with a token, and the request whose entry reads it.
struct Run {
    site: Site,
    generation: GenerationId,
}

impl Run {
    fn begin() -> Self {
        let mut site = Site::new(2);
        let generation = site.start(1);
        let mut run = Self { site, generation };
        run.opened("a");
        run.token(b"a");
        run
    }

    fn token(&mut self, token: &[u8]) {
        self.site.apply(AgentEvent::Tokens {
            generation: self.generation,
            tokens: vec![token.to_vec()],
        });
    }

    fn opened(&mut self, version: &str) {
        self.site.apply(AgentEvent::Opened {
            generation: self.generation,
            software_version: Some(version.into()),
        });
    }

    fn finished(&mut self) {
        let finish = Finish {
            total: 0,
            code: Code::Ok,
            reason: "stop".into(),
            status: 0,
            content_type: "".into(),
            prompt_tokens: 10,
            preemptions: 0,
            crashes: 0,
            ended: None,
        };
        self.site.apply(AgentEvent::Finished {
            generation: self.generation,
            finish,
        });
    }

    fn broken(&mut self) {
        let generation = self.generation;
        self.site.apply(AgentEvent::Broken { generation });
    }

    fn lost(&mut self) {
        let generation = self.generation;
        self.site.apply(AgentEvent::Lost { generation });
    }

    fn forgotten(&mut self) {
        let generation = self.generation;
        self.site.apply(AgentEvent::Forgotten { generation });
    }

    fn not_started(&mut self) {
        self.site.apply(AgentEvent::NotStarted {
            generation: self.generation,
            code: Code::Overloaded,
        });
    }

    fn upstream_down(&mut self) {
        self.site.apply(AgentEvent::UpstreamDown);
    }

    fn cancel(&mut self) {
        let generation = self.generation;
        self.site.receive(Message::Cancel { generation });
    }

    fn leave(&mut self) {
        self.site.apply(AgentEvent::Leave);
    }

    /// Its readers are silent until the agent gives it up.
    fn unread(&mut self) {
        let limits = AgentLimits::default();
        for wait in [limits.reader_timeout, limits.unread_timeout] {
            self.site.now = self.site.now + wait + Duration::from_secs(1);
            self.site.apply(AgentEvent::Tick);
        }
    }

    /// Its upstream is silent until the agent gives it up.
    fn stalled(&mut self) {
        let steps = AgentLimits::default().stall_timeout.as_secs() + 1;
        for _ in 0..steps {
            self.site.now = self.site.now + Duration::from_secs(1);
            self.read_on();
            self.site.apply(AgentEvent::Tick);
        }
    }

    fn read_on(&mut self) {
        self.site.receive(Message::Ack {
            reader: RequestId(1),
            generation: self.generation,
            next: 1,
        });
    }

    fn broken_too_often(&mut self) {
        for _ in 0..=AgentLimits::default().max_resumes {
            self.broken();
        }
    }

    fn resumed_at_another_version(&mut self) {
        self.broken();
        self.opened("b");
    }

    /// Its upstream goes on with another generation.
    fn forgotten_alone(&mut self) {
        self.broken();
        self.site.now = self.site.now + Duration::from_secs(1);
        let other = self.site.start(2);
        self.site.apply(AgentEvent::Tokens {
            generation: other,
            tokens: vec![b"other".to_vec()],
        });
        self.forgotten();
    }

    /// Returns the tokens and the ends that a new reader gets.
    fn read_anew(&mut self) -> (Vec<u8>, Vec<Code>) {
        self.site.out.clear();
        self.site.receive(Message::Attach {
            reader: RequestId(9),
            request: RequestId(1),
            generation: self.generation,
            workspace: "desk".into(),
            from: 0,
        });
        let (mut tokens, mut ends) = (Vec::new(), Vec::new());
        for (chunk, finish) in self.told() {
            tokens.extend(chunk.data);
            ends.extend(finish.map(|f| f.code));
        }
        (tokens, ends)
    }

    /// Returns what its readers were told since the last look.
    fn told(&mut self) -> Vec<(Chunk, Option<Finish>)> {
        let told = |action: &AgentAction| match action {
            AgentAction::Send(
                _,
                Message::Tokens {
                    generation,
                    chunk,
                    finish,
                    ..
                },
            ) if *generation == self.generation => Some((chunk.clone(), finish.clone())),
            _ => None,
        };
        self.site.out.iter().filter_map(told).collect()
    }

    /// Returns how often its upstream was told to stop it.
    fn stops(&self) -> usize {
        let stop = |a: &&AgentAction| **a == AgentAction::Stop(self.generation);
        self.site.out.iter().filter(stop).count()
    }

    /// Returns whether its upstream was told to go on with it, or to begin it again.
    fn runs_again(&self) -> bool {
        let again = |action: &AgentAction| match action {
            AgentAction::Run { generation, .. } | AgentAction::Resume { generation, .. } => {
                *generation == self.generation
            }
            _ => false,
        };
        self.site.out.iter().any(again)
    }
}

/// The agent stops a generation; what its upstream then makes of it changes nothing.
fn check_stopped(stop: fn(&mut Run), orders: usize, code: Code, late: fn(&mut Run)) {
    let mut run = Run::begin();
    stop(&mut run);
    assert_eq!(run.stops(), orders);
    run.site.out.clear();
    late(&mut run);
    assert_eq!((run.stops(), run.runs_again()), (0, false));
    assert_eq!(run.read_anew(), (b"a".to_vec(), vec![code]));
}

/// A generation ends by itself; an order to stop it that comes then changes nothing.
fn check_ended(order: fn(&mut Run)) {
    let mut run = Run::begin();
    run.token(b"b");
    run.finished();
    run.site.out.clear();
    order(&mut run);
    assert_eq!((run.stops(), run.runs_again()), (0, false));
    assert_eq!(run.read_anew(), (b"ab".to_vec(), vec![Code::Ok]));
}

/// Defines a module per way to stop, with a test per late event of the upstream.
macro_rules! stop_cases {
    ($($name:ident: $stop:expr, $orders:literal => $code:ident;)+) => {$(
        mod $name {
            use super::*;

            late_cases! {
                $stop, $orders => $code;
                then_nothing: |_| {};
                then_tokens: |run| run.token(b"b");
                then_its_end: Run::finished;
                then_tokens_and_its_end: |run| {
                    run.token(b"b");
                    run.finished();
                };
                then_an_end_without_marker: Run::broken;
                then_loss: Run::lost;
                then_no_such_generation: Run::forgotten;
                then_a_refusal: Run::not_started;
                then_its_head: |run| run.opened("a");
                then_the_end_of_the_upstream: Run::upstream_down;
                then_another_order: Run::cancel;
                then_a_leave: Run::leave;
            }
        }
    )+};
}

macro_rules! late_cases {
    ($stop:expr, $orders:literal => $code:ident; $($name:ident: $late:expr;)+) => {$(
        #[test]
        fn $name() {
            check_stopped($stop, $orders, Code::$code, $late);
        }
    )+};
}

stop_cases! {
    cancelled: Run::cancel, 1 => Cancelled;
    unread: Run::unread, 1 => Cancelled;
    stalled: Run::stalled, 1 => DeadlineExceeded;
    lost: Run::lost, 1 => UpstreamFailed;
    broken_too_often: Run::broken_too_often, 1 => UpstreamFailed;
    resumed_at_another_version: Run::resumed_at_another_version, 1 => UpstreamFailed;
    forgotten_alone: Run::forgotten_alone, 1 => UpstreamFailed;
    forgotten_with_all: |run| {
        run.broken();
        run.forgotten();
    }, 0 => UpstreamFailed;
    upstream_down: Run::upstream_down, 0 => UpstreamFailed;
}

macro_rules! ended_cases {
    ($($name:ident: $order:expr;)+) => {$(
        #[test]
        fn $name() {
            check_ended($order);
        }
    )+};
}

ended_cases! {
    ended_before_a_cancel: Run::cancel;
    ended_before_it_was_given_up: Run::unread;
    ended_before_its_connection_broke: Run::broken_too_often;
    ended_before_its_loss: Run::lost;
    ended_before_it_was_forgotten: Run::forgotten;
    ended_before_its_upstream: Run::upstream_down;
    ended_before_a_refusal: Run::not_started;
    ended_before_a_leave: Run::leave;
}
