//! The oracle: a record of callers' requests, upstreams' runs and replies to callers.
//!
//! It is independent of the core. Each report is checked at once against the
//! seven guarantees (1 to 7); each breach is kept as a [`Violation`].

use super::fleet::{self, CallSpec, Proc};
use super::link::MS;
use fireflycroft::{
    Chunk, Class, Code, ConfigVersion, Digest, Finish, GenerationId, Name, Reply, RequestId,
    ResumePoint,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Total runs of one retryable request.
const MAX_RUNS: usize = 3;

/// Longest time past the rules' wait until a request is refused: covers four
/// offers, a claim, a replaced claim and their ticks.
const REFUSAL_SLACK: u64 = 6_000 * MS;

/// Longest time from an agent's order to leave to its last start.
const LAST_START: u64 = 2_000 * MS;

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    /// Number of the guarantee; zero for "no call hangs".
    pub(crate) point: u8,
    pub(crate) text: String,
}

/// Outcome of a call for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer was delivered.
    Whole,
    /// The call failed with a code.
    Failed(Code),
    /// The entry was killed.
    Cut,
    /// The caller disconnected.
    Gone,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) spec: CallSpec,
    pub(crate) entry: usize,
    pub(crate) at: u64,
    /// Whether its entry was already leaving.
    pub(crate) entry_leaving: bool,
    /// Time for which its entry was frozen during the call.
    pub(crate) frozen: u64,
    /// Index of the first requested token.
    pub(crate) first: u64,
    /// Index of the next expected token.
    pub(crate) next: u64,
    /// Run that its tokens came from.
    pub(crate) run: Option<usize>,
    pub(crate) point: Option<ResumePoint>,
    pub(crate) outcome: Option<Outcome>,
    /// Retry delay in the failure reply.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) runs: Vec<usize>,
    pub(crate) request: Option<RequestId>,
}

/// One run of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) generation: GenerationId,
    pub(crate) agent: usize,
    pub(crate) call: Option<usize>,
    pub(crate) workspace: Name,
    pub(crate) content: u8,
    /// Number of emitted tokens.
    pub(crate) emitted: u64,
    /// Whether it ran to completion.
    pub(crate) ended: bool,
}

/// Start of a run at an upstream.
pub(crate) struct RunStart {
    pub(crate) agent: usize,
    pub(crate) generation: GenerationId,
    pub(crate) request: RequestId,
    pub(crate) workspace: Name,
    pub(crate) content: u8,
}

/// The recorded calls and runs, and the violations found.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) runs: Vec<Run>,
    pub(crate) violations: Vec<Violation>,
    /// Number of upstream crashes caused by each content.
    pub(crate) crashes: BTreeMap<u8, u32>,
    by_request: BTreeMap<RequestId, usize>,
    configs: BTreeMap<(Proc, u64), (ConfigVersion, Digest)>,
}

/// Returns token `index` of a run, padded for the huge content.
pub(crate) fn token(run: usize, index: u64, content: u8) -> Vec<u8> {
    let pad = if content == fleet::HUGE { 1_000 } else { 1 };
    format!("{run}:{index}:{:pad$}", "").into_bytes()
}

/// Returns whether a refusal is temporary, so that it must carry a retry delay.
fn is_temporary(code: Code) -> bool {
    use Code::{ClaimUnavailable, ConfigOutdated, Leaving, NoUpstream, NotReady, Overloaded};
    let temporary = [
        ClaimUnavailable,
        ConfigOutdated,
        Leaving,
        NoUpstream,
        NotReady,
        Overloaded,
    ];
    temporary.contains(&code)
}

fn parse_token(token: &[u8]) -> Option<(usize, u64)> {
    let text = std::str::from_utf8(token).ok()?;
    let mut parts = text.split(':');
    let run = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((run, index))
}

impl Oracle {
    /// Records a call; `from` is the call that it resumes and the next token.
    pub(crate) fn record_call(
        &mut self,
        now: u64,
        entry: usize,
        spec: CallSpec,
        from: Option<(usize, u64)>,
    ) -> usize {
        let run = from.and_then(|(call, _)| self.calls[call].run);
        self.calls.push(CallRecord {
            spec,
            entry,
            at: now,
            entry_leaving: false,
            frozen: 0,
            first: from.map_or(0, |(_, next)| next),
            next: from.map_or(0, |(_, next)| next),
            run,
            point: None,
            outcome: None,
            retry_after: None,
            runs: Vec::new(),
            request: None,
        });
        self.calls.len() - 1
    }

    /// Records the request id that the entry assigned to the call.
    pub(crate) fn record_request_id(&mut self, call: usize, request: RequestId) {
        self.calls[call].request = Some(request);
        self.by_request.insert(request, call);
    }

    /// Returns the calls without a final answer.
    pub(crate) fn open(&self) -> impl Iterator<Item = usize> {
        (0..self.calls.len()).filter(|i| self.calls[*i].outcome.is_none())
    }

    /// Returns the entry's calls without a final answer.
    pub(crate) fn open_at(&self, entry: usize) -> Vec<usize> {
        self.open()
            .filter(|i| self.calls[*i].entry == entry)
            .collect()
    }

    pub(crate) fn violation(&mut self, point: u8, text: impl Into<String>) {
        let text = text.into();
        self.violations.push(Violation { point, text });
    }

    /// Records and checks the start of a run at an upstream.
    pub(crate) fn record_run(&mut self, start: RunStart) -> usize {
        let number = self.runs.len();
        let call = self.by_request.get(&start.request).copied();
        match call {
            Some(call) => self.check_run(number, call, &start),
            None => self.violation(2, format!("run {number} belongs to no recorded call")),
        }
        self.runs.push(Run {
            generation: start.generation,
            agent: start.agent,
            call,
            workspace: start.workspace,
            content: start.content,
            emitted: 0,
            ended: false,
        });
        number
    }

    /// Records that another run goes on where one broke off; returns it.
    pub(crate) fn record_other_run(&mut self, run: usize) -> usize {
        let other = self.runs[run].clone();
        self.runs.push(other);
        self.runs.len() - 1
    }

    fn check_run(&mut self, number: usize, call: usize, start: &RunStart) {
        let record = &self.calls[call];
        let spec = record.spec;
        let workspace = fleet::workspace_name(spec.workspace);
        if spec.content != start.content || workspace != start.workspace {
            self.violation(
                2,
                format!("run {number} differs from the request of call {call}"),
            );
        }
        if let Some(Outcome::Failed(code)) = self.calls[call].outcome
            && code.class() == Class::NotRun
        {
            self.violation(3, format!("run {number} after call {call} got {code:?}"));
        }
        if self.calls[call].entry_leaving {
            self.violation(6, format!("run {number} started by a leaving entry"));
        }
        let max_runs = if spec.repeatable() { MAX_RUNS } else { 1 };
        if self.calls[call].runs.len() >= max_runs {
            self.violation(
                4,
                format!("run {number} exceeds the runs allowed for call {call}"),
            );
        }
        let same_key = |c: &&CallRecord| {
            c.spec.key.is_some() && c.spec.key == spec.key && c.spec.workspace == spec.workspace
        };
        let earlier: usize = self
            .calls
            .iter()
            .filter(same_key)
            .map(|c| c.runs.len())
            .sum();
        if earlier > 0 {
            self.violation(
                4,
                format!("run {number} is a second run for the key of call {call}"),
            );
        }
        self.calls[call].runs.push(number);
    }

    /// Checks that a run was not offered under a later configuration than its agent's.
    pub(crate) fn check_run_config(
        &mut self,
        number: usize,
        own: ConfigVersion,
        theirs: ConfigVersion,
    ) {
        if own < theirs {
            let text = format!("run {number} under {own:?}, offered under {theirs:?}");
            self.violation(7, text);
        }
    }

    /// Checks a run started by a leaving agent.
    pub(crate) fn check_run_after_leave(&mut self, number: usize, offered_later: bool, since: u64) {
        if offered_later {
            self.violation(
                5,
                format!("run {number} was offered after the order to leave"),
            );
        }
        if since > LAST_START {
            self.violation(
                5,
                format!("run {number} began {since} us after the order to leave"),
            );
        }
    }

    /// Records and checks a reply to a caller.
    pub(crate) fn record_reply(&mut self, now: u64, call: usize, reply: &Reply) {
        if let Some(outcome) = self.calls[call].outcome {
            let has_final_reply = !matches!(outcome, Outcome::Cut | Outcome::Gone);
            if has_final_reply {
                self.violation(1, format!("call {call} got more after {outcome:?}"));
            }
            return;
        }
        match reply {
            Reply::Begin(point) => self.on_begin(call, point),
            Reply::Tokens(chunk) => self.on_tokens(call, chunk),
            Reply::End(finish) => self.on_end(call, finish),
            Reply::Fail {
                code,
                retry_after,
                delivered,
            } => {
                self.calls[call].retry_after = *retry_after;
                self.on_fail(now, call, *code, *delivered);
            }
        }
    }

    fn on_begin(&mut self, call: usize, point: &ResumePoint) {
        if self.calls[call].point.is_some() {
            self.violation(1, format!("call {call} begins twice"));
        }
        if point.next != self.calls[call].next {
            let text = format!(
                "call {call} begins at token {}, not the next one",
                point.next
            );
            self.violation(1, text);
        }
        self.calls[call].point = Some(point.clone());
    }

    fn on_tokens(&mut self, call: usize, chunk: &Chunk) {
        if self.calls[call].point.is_none() {
            self.violation(1, format!("call {call} got tokens before its begin"));
        }
        if chunk.offset != self.calls[call].next {
            let next = self.calls[call].next;
            self.violation(1, format!("call {call} wants {next}, got {}", chunk.offset));
        }
        let tokens: Vec<_> = chunk.tokens().map(parse_token).collect();
        for token in tokens {
            match token {
                Some((run, index)) => self.on_token(call, run, index),
                None => self.violation(1, format!("call {call} got a malformed token")),
            }
        }
    }

    fn on_token(&mut self, call: usize, run: usize, index: u64) {
        let record = &mut self.calls[call];
        let same = *record.run.get_or_insert(run) == run;
        let in_order = record.next == index;
        record.next += 1;
        let spec = record.spec;
        if !same {
            self.violation(1, format!("call {call} got tokens of a second run {run}"));
        }
        if !in_order {
            self.violation(1, format!("call {call} got token {index} out of order"));
        }
        let source = &self.runs[run];
        let own = source.workspace == fleet::workspace_name(spec.workspace);
        if !own || source.content != spec.content {
            self.violation(
                2,
                format!("call {call} got tokens of run {run} for another request"),
            );
        }
    }

    fn on_end(&mut self, call: usize, finish: &Finish) {
        if self.calls[call].point.is_none() {
            self.violation(1, format!("call {call} ended before its begin"));
        }
        let record = &self.calls[call];
        let next = record.next;
        let workspace = fleet::workspace_name(record.spec.workspace);
        let content = record.spec.content;
        let whole = |r: &Run| {
            r.ended && r.emitted == next && r.content == content && r.workspace == workspace
        };
        let found = match record.run {
            Some(run) => whole(&self.runs[run]),
            None => self.runs.iter().any(whole),
        };
        if !found || finish.total != next {
            self.violation(1, format!("call {call} ended at token {next}, incomplete"));
        }
        self.calls[call].outcome = Some(Outcome::Whole);
    }

    fn on_fail(&mut self, now: u64, call: usize, code: Code, delivered: u64) {
        let record = &self.calls[call];
        let waited = now - record.at - record.frozen;
        let bound = u64::try_from(record.spec.max_wait().as_micros()).unwrap() + REFUSAL_SLACK;
        let ran = !record.runs.is_empty() || record.next > record.first;
        let given = record.next;
        // A call that delivered nothing needn't count the tokens of the call that it resumes.
        let count_correct = delivered == given || (delivered == 0 && given == record.first);
        if code.class() == Class::NotRun {
            if ran {
                self.violation(3, format!("call {call} ran, but got {code:?}"));
            }
            if is_temporary(code) && self.calls[call].retry_after.is_none() {
                self.violation(0, format!("call {call} got {code:?} without a retry time"));
            }
            if waited > bound {
                self.violation(0, format!("call {call} got {code:?} after {waited} us"));
            }
        }
        if !count_correct {
            let text = format!("call {call} got {given} tokens, but {delivered} are reported");
            self.violation(1, text);
        }
        self.calls[call].outcome = Some(Outcome::Failed(code));
    }

    /// Checks that the planned stop of a process cut no calls.
    pub(crate) fn record_stop(&mut self, proc: Proc, cut: &[usize]) {
        if !cut.is_empty() {
            self.violation(6, format!("the stop of {proc:?} cut {cut:?}"));
        }
    }

    /// Records the active configuration of an incarnation of a process.
    pub(crate) fn record_config(
        &mut self,
        proc: Proc,
        incarnation: u64,
        version: ConfigVersion,
        digest: Digest,
    ) {
        let Some((previous, previous_digest)) =
            self.configs.insert((proc, incarnation), (version, digest))
        else {
            return;
        };
        if version < previous {
            self.violation(7, format!("{proc:?} went from {previous:?} to {version:?}"));
        }
        if version == previous && previous_digest != digest {
            self.violation(
                7,
                format!("{proc:?} replaced {previous:?} by a conflicting one"),
            );
        }
    }
}
