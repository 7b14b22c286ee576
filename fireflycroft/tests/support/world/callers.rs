//! Actions of callers, and queries on their calls.

use super::{ScheduledEvent, World};
use crate::support::fleet::{CallSpec, Proc};
use crate::support::link::MS;
use crate::support::oracle::Outcome;
use fireflycroft::{CallId, Digest, EntryEvent, Reply, ResumePoint};
use proptest::sample::Index;
use std::time::Duration;

impl World {
    pub(crate) fn outcome(&self, call: usize) -> Option<Outcome> {
        self.oracle.calls[call].outcome
    }

    /// Returns the retry delay that the call was sent.
    pub(crate) fn retry_after(&self, call: usize) -> Option<Duration> {
        self.oracle.calls[call].retry_after
    }

    /// Returns the index of the call's next token.
    pub(crate) fn next_token(&self, call: usize) -> u64 {
        self.oracle.calls[call].next
    }

    /// Returns the number of runs started for the call.
    pub(crate) fn runs(&self, call: usize) -> usize {
        self.oracle.calls[call].runs.len()
    }

    /// Returns the agent of the call's last run.
    pub(crate) fn agent_of(&self, call: usize) -> Option<usize> {
        let run = self.oracle.calls[call].runs.last()?;
        Some(self.oracle.runs[*run].agent)
    }

    /// Returns the number of the process's incarnation, counted from zero.
    pub(crate) fn incarnation(&self, proc: Proc) -> u64 {
        match proc {
            Proc::Entry(i) => self.entries[i].incarnation,
            Proc::Agent(i) => self.agents[i].incarnation,
        }
    }

    /// Returns the active configuration version of the process.
    pub(crate) fn version(&self, proc: Proc) -> u64 {
        self.config_of(proc).0
    }

    /// Returns the digest of the active configuration of the process.
    pub(crate) fn digest(&self, proc: Proc) -> Option<Digest> {
        match proc {
            Proc::Entry(i) => self.entries[i].core.config().map(|c| c.digest),
            Proc::Agent(i) => self.agents[i].config.get().map(|c| c.digest),
        }
    }

    /// Sends a request to an entry; returns `None` if the entry is not running.
    pub(crate) fn submit(&mut self, entry: usize, spec: CallSpec) -> Option<usize> {
        self.submit_from(entry, spec, None)
    }

    /// Resumes an earlier call at token `next`.
    pub(crate) fn resume(&mut self, entry: usize, earlier: usize, next: u64) -> Option<usize> {
        let record = &self.oracle.calls[earlier];
        let point = ResumePoint {
            next,
            ..record.point.clone()?
        };
        let spec = record.spec;
        self.submit_from(entry, spec, Some((earlier, point)))
    }

    pub(crate) fn submit_from(
        &mut self,
        entry: usize,
        spec: CallSpec,
        from: Option<(usize, ResumePoint)>,
    ) -> Option<usize> {
        if !self.entries[entry].is_running() {
            return None;
        }
        let mut submission = spec.submission();
        submission.resume = from.as_ref().map(|(_, point)| point.clone());
        let from = from.map(|(call, point)| (call, point.next));
        let call = self.oracle.record_call(self.now, entry, spec, from);
        self.oracle.calls[call].entry_leaving = self.entries[entry].leaving.is_some();
        let event = EntryEvent::Submit(CallId(call as u64), Box::new(submission));
        self.drive_entry(entry, event);
        Some(call)
    }

    pub(crate) fn disconnect_caller(&mut self, call: usize) {
        let record = &mut self.oracle.calls[call];
        if record.outcome.is_none() {
            record.outcome = Some(Outcome::Gone);
            let entry = record.entry;
            self.drive_entry(entry, EntryEvent::CallerGone(CallId(call as u64)));
        }
    }

    /// Makes callers stop consuming tokens, or consume all that are pending.
    pub(crate) fn stall_callers(&mut self, stalled: bool) {
        self.callers_stalled = stalled;
        let open: Vec<usize> = self.oracle.open().collect();
        for call in open.into_iter().filter(|_| !stalled) {
            let record = &self.oracle.calls[call];
            let (entry, next) = (record.entry, record.next);
            self.drive_entry(entry, EntryEvent::Consumed(CallId(call as u64), next));
        }
    }

    pub(super) fn pick(&self, index: Index) -> Option<usize> {
        let calls = self.oracle.calls.len();
        (calls > 0).then(|| index.index(calls))
    }

    pub(super) fn resend(&mut self, call: Index, entry: usize) {
        if let Some(call) = self.pick(call) {
            let spec = self.oracle.calls[call].spec;
            self.submit(entry, spec);
        }
    }

    pub(super) fn resume_indexed(&mut self, call: Index, entry: usize, back: bool) {
        if let Some(call) = self.pick(call) {
            let next = self.oracle.calls[call].next;
            self.resume(entry, call, if back { next / 2 } else { next });
        }
    }

    /// Resumes a call with the key of another workspace.
    pub(crate) fn resume_as_other_workspace(
        &mut self,
        call: usize,
        entry: usize,
        workspace: usize,
    ) -> Option<usize> {
        let point = self.resume_point(call)?;
        let spec = CallSpec {
            workspace,
            ..self.oracle.calls[call].spec
        };
        self.submit_from(entry, spec, Some((call, point)))
    }

    /// Returns the call's resume point.
    pub(crate) fn resume_point(&self, call: usize) -> Option<ResumePoint> {
        self.oracle.calls[call].point.clone()
    }

    pub(super) fn deliver_reply(&mut self, entry: usize, call: CallId, reply: &Reply) {
        let index = usize::try_from(call.0).unwrap();
        self.oracle.record_reply(self.now, index, reply);
        if let Reply::Tokens(chunk) = reply
            && !self.callers_stalled
        {
            let delay = self.rng.below(20) * MS;
            let incarnation = self.entries[entry].incarnation;
            let taken = EntryEvent::Consumed(call, chunk.end());
            self.schedule(delay, ScheduledEvent::Entry(entry, incarnation, taken));
        }
    }
}
