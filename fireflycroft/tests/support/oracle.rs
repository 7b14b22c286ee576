//! The oracle: what callers asked, what upstreams ran, what callers got.
//!
//! It knows nothing of how the core works. Each report is checked against
//! the seven points at once; what does not hold is kept as a [`Fault`].

use super::fleet::{self, Ask, Proc};
use super::link::MS;
use fireflycroft::{
    Chunk, Class, Code, ConfigVersion, Digest, Finish, GenerationId, Name, Reply, RequestId,
    ResumePoint,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Starts of one repeatable request in all.
const MAX_RUNS: usize = 3;

/// Longest time beyond the wait of the rules until a request that is given
/// up on is refused: four offers, a claim, a replaced claim and their ticks.
const REFUSAL_SLACK: u64 = 6_000 * MS;

/// Longest time from an agent's leave to its last start.
const LAST_START: u64 = 2_000 * MS;

/// One promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Fault {
    /// Number of the point; zero for "nothing hangs".
    pub(crate) point: u8,
    pub(crate) text: String,
}

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Its whole answer was given.
    Whole,
    /// It was given a code.
    Failed(Code),
    /// Its entry died.
    Cut,
    /// The caller went away.
    Gone,
}

/// One call of a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub(crate) ask: Ask,
    pub(crate) entry: usize,
    pub(crate) at: u64,
    /// Whether its entry had been told to stop.
    pub(crate) late: bool,
    /// Time that its entry was frozen meanwhile.
    pub(crate) frozen: u64,
    /// Number of the first token that it asked for.
    pub(crate) first: u64,
    /// Number of the token that must come next.
    pub(crate) next: u64,
    /// Run that its tokens came from.
    pub(crate) run: Option<usize>,
    pub(crate) point: Option<ResumePoint>,
    pub(crate) outcome: Option<Outcome>,
    /// When it was told to come back.
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
    /// Tokens that it has given.
    pub(crate) emitted: u64,
    /// Whether it came to its own end.
    pub(crate) ended: bool,
}

/// Start of a run, as the upstream sees it.
pub(crate) struct RunStart {
    pub(crate) agent: usize,
    pub(crate) generation: GenerationId,
    pub(crate) request: RequestId,
    pub(crate) workspace: Name,
    pub(crate) content: u8,
}

/// The record and what was found wrong with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) runs: Vec<Run>,
    pub(crate) faults: Vec<Fault>,
    /// Upstreams crashed by each content.
    pub(crate) crashes: BTreeMap<u8, u32>,
    by_request: BTreeMap<RequestId, usize>,
    configs: BTreeMap<(Proc, u64), (ConfigVersion, Digest)>,
}

/// Token `index` of run `run`; padded for the huge content.
pub(crate) fn token(run: usize, index: u64, content: u8) -> Vec<u8> {
    let pad = if content == fleet::HUGE { 1_000 } else { 1 };
    format!("{run}:{index}:{:pad$}", "").into_bytes()
}

/// Refusals that end by themselves, so the caller is told when to retry.
fn may_come_back(code: Code) -> bool {
    use Code::{ClaimUnavailable, ConfigOutdated, Leaving, NoUpstream, NotReady, Overloaded};
    let passing = [
        ClaimUnavailable,
        ConfigOutdated,
        Leaving,
        NoUpstream,
        NotReady,
        Overloaded,
    ];
    passing.contains(&code)
}

fn scan_token(token: &[u8]) -> Option<(usize, u64)> {
    let text = std::str::from_utf8(token).ok()?;
    let mut parts = text.split(':');
    let run = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    Some((run, index))
}

impl Oracle {
    /// A caller asks; with the call it goes on from and the next token.
    pub(crate) fn asked(
        &mut self,
        now: u64,
        entry: usize,
        ask: Ask,
        from: Option<(usize, u64)>,
    ) -> usize {
        let run = from.and_then(|(call, _)| self.calls[call].run);
        self.calls.push(CallRecord {
            ask,
            entry,
            at: now,
            late: false,
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

    /// The entry gave the call that request id.
    pub(crate) fn numbered(&mut self, call: usize, request: RequestId) {
        self.calls[call].request = Some(request);
        self.by_request.insert(request, call);
    }

    /// Calls that have no final answer.
    pub(crate) fn open(&self) -> impl Iterator<Item = usize> {
        (0..self.calls.len()).filter(|i| self.calls[*i].outcome.is_none())
    }

    /// Calls of the entry that have no final answer.
    pub(crate) fn open_at(&self, entry: usize) -> Vec<usize> {
        self.open()
            .filter(|i| self.calls[*i].entry == entry)
            .collect()
    }

    pub(crate) fn fault(&mut self, point: u8, text: impl Into<String>) {
        let text = text.into();
        self.faults.push(Fault { point, text });
    }

    /// An upstream begins a run.
    pub(crate) fn began(&mut self, start: RunStart) -> usize {
        let number = self.runs.len();
        let call = self.by_request.get(&start.request).copied();
        match call {
            Some(call) => self.check_began(number, call, &start),
            None => self.fault(2, format!("run {number} was asked by nobody")),
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

    fn check_began(&mut self, number: usize, call: usize, start: &RunStart) {
        let record = &self.calls[call];
        let ask = record.ask;
        let workspace = fleet::workspace_name(ask.workspace);
        if ask.content != start.content || workspace != start.workspace {
            self.fault(2, format!("run {number} is not what call {call} asked"));
        }
        if let Some(Outcome::Failed(code)) = self.calls[call].outcome
            && code.class() == Class::NotRun
        {
            self.fault(3, format!("run {number} after call {call} got {code:?}"));
        }
        if self.calls[call].late {
            self.fault(6, format!("run {number} by an entry that stops"));
        }
        let most = if ask.repeatable() { MAX_RUNS } else { 1 };
        if self.calls[call].runs.len() >= most {
            self.fault(4, format!("run {number} is one too many for call {call}"));
        }
        let same_key = |c: &&CallRecord| {
            c.ask.key.is_some() && c.ask.key == ask.key && c.ask.workspace == ask.workspace
        };
        let earlier: usize = self
            .calls
            .iter()
            .filter(same_key)
            .map(|c| c.runs.len())
            .sum();
        if earlier > 0 {
            self.fault(4, format!("run {number} repeats the key of call {call}"));
        }
        self.calls[call].runs.push(number);
    }

    /// An agent runs what it was offered under a later configuration.
    pub(crate) fn began_behind(
        &mut self,
        number: usize,
        own: ConfigVersion,
        theirs: ConfigVersion,
    ) {
        if own < theirs {
            let text = format!("run {number} under {own:?}, offered under {theirs:?}");
            self.fault(7, text);
        }
    }

    /// An agent that was told to leave starts a run.
    pub(crate) fn began_leaving(&mut self, number: usize, offered_later: bool, since: u64) {
        if offered_later {
            self.fault(5, format!("run {number} was offered after the leave"));
        }
        if since > LAST_START {
            self.fault(5, format!("run {number} began {since} us after the leave"));
        }
    }

    /// A caller is given something.
    pub(crate) fn replied(&mut self, now: u64, call: usize, reply: &Reply) {
        if let Some(outcome) = self.calls[call].outcome {
            let late = !matches!(outcome, Outcome::Cut | Outcome::Gone);
            if late {
                self.fault(1, format!("call {call} got more after {outcome:?}"));
            }
            return;
        }
        match reply {
            Reply::Begin(point) => self.begun(call, point),
            Reply::Tokens(chunk) => self.given(call, chunk),
            Reply::End(finish) => self.ended(call, finish),
            Reply::Fail {
                code,
                retry_after,
                delivered,
            } => {
                self.calls[call].retry_after = *retry_after;
                self.failed(now, call, *code, *delivered);
            }
        }
    }

    fn begun(&mut self, call: usize, point: &ResumePoint) {
        if self.calls[call].point.is_some() {
            self.fault(1, format!("call {call} begins twice"));
        }
        if point.next != self.calls[call].next {
            let text = format!("call {call} begins at {}, not next", point.next);
            self.fault(1, text);
        }
        self.calls[call].point = Some(point.clone());
    }

    fn given(&mut self, call: usize, chunk: &Chunk) {
        if self.calls[call].point.is_none() {
            self.fault(1, format!("call {call} got tokens before its begin"));
        }
        if chunk.offset != self.calls[call].next {
            let next = self.calls[call].next;
            self.fault(1, format!("call {call} wants {next}, got {}", chunk.offset));
        }
        let tokens: Vec<_> = chunk.tokens().map(scan_token).collect();
        for token in tokens {
            match token {
                Some((run, index)) => self.given_one(call, run, index),
                None => self.fault(1, format!("call {call} got no whole token")),
            }
        }
    }

    fn given_one(&mut self, call: usize, run: usize, index: u64) {
        let record = &mut self.calls[call];
        let same = *record.run.get_or_insert(run) == run;
        let in_order = record.next == index;
        record.next += 1;
        let ask = record.ask;
        if !same {
            self.fault(1, format!("call {call} got tokens of a second run {run}"));
        }
        if !in_order {
            self.fault(1, format!("call {call} got token {index} out of order"));
        }
        let source = &self.runs[run];
        let own = source.workspace == fleet::workspace_name(ask.workspace);
        if !own || source.content != ask.content {
            self.fault(2, format!("call {call} got tokens of foreign run {run}"));
        }
    }

    fn ended(&mut self, call: usize, finish: &Finish) {
        let record = &self.calls[call];
        let next = record.next;
        let workspace = fleet::workspace_name(record.ask.workspace);
        let content = record.ask.content;
        let whole = |r: &Run| {
            r.ended && r.emitted == next && r.content == content && r.workspace == workspace
        };
        let found = match record.run {
            Some(run) => whole(&self.runs[run]),
            None => self.runs.iter().any(whole),
        };
        if !found || finish.total != next {
            self.fault(1, format!("call {call} ended at {next}, not whole"));
        }
        self.calls[call].outcome = Some(Outcome::Whole);
    }

    fn failed(&mut self, now: u64, call: usize, code: Code, delivered: u64) {
        let record = &self.calls[call];
        let waited = now - record.at - record.frozen;
        let bound = u64::try_from(record.ask.max_wait().as_micros()).unwrap() + REFUSAL_SLACK;
        let ran = !record.runs.is_empty() || record.next > record.first;
        let given = record.next;
        // Nothing was given by this call: it need not know of an earlier one.
        let honest = delivered == given || (delivered == 0 && given == record.first);
        if code.class() == Class::NotRun {
            if ran {
                self.fault(3, format!("call {call} ran, but got {code:?}"));
            }
            if may_come_back(code) && self.calls[call].retry_after.is_none() {
                self.fault(0, format!("call {call} got {code:?} and no time to retry"));
            }
            if waited > bound {
                self.fault(0, format!("call {call} got {code:?} after {waited} us"));
            }
        }
        if !honest {
            let text = format!("call {call} got {given} tokens, is told {delivered}");
            self.fault(1, text);
        }
        self.calls[call].outcome = Some(Outcome::Failed(code));
    }

    /// A process that was told to stop has ended.
    pub(crate) fn stopped(&mut self, proc: Proc, cut: &[usize]) {
        if !cut.is_empty() {
            self.fault(6, format!("the stop of {proc:?} cut {cut:?}"));
        }
    }

    /// A configuration is in force at a process in one of its lives.
    pub(crate) fn in_force(&mut self, proc: Proc, life: u64, version: ConfigVersion, to: Digest) {
        let Some((held, digest)) = self.configs.insert((proc, life), (version, to)) else {
            return;
        };
        if version < held {
            self.fault(7, format!("{proc:?} went from {held:?} to {version:?}"));
        }
        if version == held && digest != to {
            self.fault(7, format!("{proc:?} replaced {held:?} by a rival"));
        }
    }
}
