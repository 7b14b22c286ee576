//! Checks on a caller's request before any agent hears of it.

use crate::code::Code;
use crate::config::{Config, WorkspaceIx};
use crate::entry::{Call, Entry, Phase};
use crate::entry_io::{EntryAction, Reply, Submission};
use crate::ids::{CallId, Digest, Name};
use crate::inventory::WithoutKey;
use crate::note::Note;
use crate::objective::{LatencyGoal, MeasuredRequest, TokenTiming, met_objective};
use crate::stream::Chunk;
use crate::time::Time;
use crate::work::{Demand, Priority, Work};
use std::sync::Arc;
use std::time::Duration;

/// Why a request is refused before any agent hears of it.
struct Refusal {
    code: Code,
    retry_after: Option<Duration>,
}

const fn final_refusal(code: Code) -> Refusal {
    Refusal {
        code,
        retry_after: None,
    }
}

/// What the checks found out of a request.
struct Checked {
    demand: Demand,
    claim_key: Option<Digest>,
    max_wait: Duration,
    /// Tokens charged to the quota.
    charged: u64,
    brand: Name,
    goal: Option<LatencyGoal>,
}

/// Brand under which a request is counted whose key nobody holds.
const NO_BRAND: &str = "none";

/// Whether and how a request is claimed.
struct Repeating {
    repeatable: bool,
    claim_key: Option<Digest>,
}

impl Entry {
    pub(crate) fn on_submit(
        &mut self,
        now: Time,
        id: CallId,
        submission: Submission,
        out: &mut Vec<EntryAction>,
    ) {
        match self.check(now, &submission) {
            Ok(checked) => {
                self.retries.earn();
                let resume = submission.resume.clone();
                let call = self.new_call(now, id, submission, checked);
                match resume {
                    Some(point) => self.begin_resume(now, call, point, out),
                    None if self.config.is_behind() => self.begin_behind(now, call, out),
                    None => self.begin_offers(now, call, out),
                }
            }
            Err(refusal) => {
                let least = self.limits.min_retry_after;
                out.push(EntryAction::Reply(
                    id,
                    Reply::Fail {
                        code: refusal.code,
                        retry_after: refusal.retry_after.map(|r| r.max(least)),
                        delivered: 0,
                    },
                ));
                out.push(self.measured_refusal(&submission, refusal.code));
                out.push(EntryAction::Note(
                    Note::new("request_refused").code(refusal.code),
                ));
            }
        }
    }

    fn measured_refusal(&self, submission: &Submission, code: Code) -> EntryAction {
        let config = self.config.get();
        let asker = config.and_then(|c| Some((c, c.workspace_of_key(&submission.key_digest)?)));
        let brand = asker.map_or_else(|| Name::from(NO_BRAND), |(c, ix)| c.brand_name(ix).clone());
        let wish = submission.priority;
        let priority = asker.map_or(Priority::Batch, |(c, ix)| c.priority(ix, wish));
        let objective = asker.and_then(|(c, _)| c.objective(&brand, priority));
        let goal = objective.map(LatencyGoal::of);
        EntryAction::Measured(MeasuredRequest {
            met: met_objective(code, &TokenTiming::default(), goal),
            brand,
            priority,
            code,
        })
    }

    fn check(&mut self, now: Time, submission: &Submission) -> Result<Checked, Refusal> {
        let retry = Some(self.limits.min_retry_after);
        let later = |code| Refusal {
            code,
            retry_after: retry,
        };
        if self.leaving {
            return Err(later(Code::Leaving));
        }
        let config = self
            .config
            .get()
            .cloned()
            .ok_or_else(|| later(Code::NotReady))?;
        if self.config.is_behind() && submission.resume.is_some() {
            return Err(later(Code::ConfigOutdated));
        }
        if self.calls.len() >= self.limits.max_calls {
            return Err(later(Code::Overloaded));
        }
        let ix = config
            .workspace_of_key(&submission.key_digest)
            .ok_or_else(|| final_refusal(Code::KeyRefused))?;
        if !config.may_use(ix, &submission.target) {
            return Err(final_refusal(unknown_target(&submission.work)));
        }
        let repeating = check_repeating(&config, ix, submission)?;
        let demand = self.demand(&config, ix, submission, repeating.repeatable);
        if self.quarantine.is_refused(demand.content) && submission.resume.is_none() {
            return Err(final_refusal(Code::Quarantined));
        }
        let charged = self.charge(now, &config, ix, submission)?;
        let max_wait = config.max_wait(demand.priority);
        let brand = config.brand_name(ix).clone();
        Ok(Checked {
            goal: config
                .objective(&brand, demand.priority)
                .map(LatencyGoal::of),
            claim_key: repeating.claim_key,
            demand,
            max_wait,
            charged,
            brand,
        })
    }

    fn demand(
        &self,
        config: &Config,
        ix: WorkspaceIx,
        submission: &Submission,
        repeatable: bool,
    ) -> Demand {
        let content = digest_content(submission);
        Demand {
            workspace: config.workspace_name(ix).clone(),
            target: submission.target.clone(),
            priority: config.priority(ix, submission.priority),
            prompt_tokens: submission.prompt_tokens,
            max_tokens: submission.max_tokens,
            prefix: submission.prefix,
            content,
            repeatable,
            crashes: self.quarantine.crashes(content),
        }
    }

    fn charge(
        &mut self,
        now: Time,
        config: &Config,
        ix: WorkspaceIx,
        submission: &Submission,
    ) -> Result<u64, Refusal> {
        let Some(quota) = config.tokens_per_minute(ix) else {
            return Ok(0);
        };
        if submission.resume.is_some() {
            return Ok(0);
        }
        let share = quota / u64::from(self.entries);
        let tokens = u64::from(submission.prompt_tokens);
        let workspace = config.workspace_name(ix);
        match self.quotas.take(now, workspace, tokens, share) {
            Ok(()) => Ok(tokens),
            Err(wait) => Err(Refusal {
                code: Code::QuotaExceeded,
                retry_after: Some(wait),
            }),
        }
    }

    fn new_call(
        &mut self,
        now: Time,
        id: CallId,
        submission: Submission,
        checked: Checked,
    ) -> Call {
        Call {
            id,
            request: self.ids.draw(),
            key_digest: submission.key_digest,
            checked: self.config.version(),
            demand: checked.demand,
            work: submission.work,
            delivery: submission.delivery,
            claim_key: checked.claim_key,
            replace: None,
            phase: Phase::New,
            behind_since: None,
            attempt: 0,
            starts: 0,
            tried: Vec::new(),
            offers: 0,
            retry_after: None,
            refusal: None,
            received: now,
            told_begin: false,
            held_back: Chunk::default(),
            max_wait: checked.max_wait,
            charged: checked.charged,
            brand: checked.brand,
            goal: checked.goal,
            pace: TokenTiming::default(),
        }
    }
}

impl Call {
    /// Checks again by a later configuration than it was checked by; what it
    /// forbids is not offered any more.
    pub(crate) fn check_again(&mut self, config: &Config) -> Result<(), Code> {
        if self.checked == config.version {
            return Ok(());
        }
        self.checked = config.version;
        let ix = config
            .workspace_of_key(&self.key_digest)
            .filter(|ix| *config.workspace_name(*ix) == self.demand.workspace)
            .ok_or(Code::KeyRefused)?;
        if !config.may_use(ix, &self.demand.target) {
            return Err(unknown_target(&self.work));
        }
        let (method, path) = self.work.method_and_path();
        if config.is_non_repeatable(ix, &self.demand.target, method, path) {
            self.demand.repeatable = false;
        }
        Ok(())
    }
}

fn unknown_target(work: &Work) -> Code {
    match work {
        Work::Generate { .. } => Code::ModelUnknown,
        Work::Call { .. } => Code::ServiceUnknown,
    }
}

fn check_repeating(
    config: &Arc<Config>,
    ix: WorkspaceIx,
    submission: &Submission,
) -> Result<Repeating, Refusal> {
    let method = &submission.method;
    let by_rule = config.is_non_repeatable(ix, &submission.target, method, &submission.path);
    let repeatable = !by_rule && !submission.never_repeat;
    let needs_key = by_rule && config.without_key() == WithoutKey::Refuse;
    if let Some(key) = &submission.idempotency_key {
        let workspace = config.workspace_name(ix);
        let claim_key = Digest::of(&[workspace.as_bytes(), key.as_bytes()]);
        return Ok(Repeating {
            repeatable: false,
            claim_key: Some(claim_key),
        });
    }
    if needs_key && submission.resume.is_none() {
        return Err(final_refusal(Code::IdempotencyKeyRequired));
    }
    Ok(Repeating {
        repeatable,
        claim_key: None,
    })
}

fn digest_content(submission: &Submission) -> Digest {
    let target = submission.target.as_bytes();
    match &submission.work {
        Work::Generate { body } => Digest::of(&[target, body]),
        Work::Call {
            method, path, body, ..
        } => Digest::of(&[target, method.as_bytes(), path.as_bytes(), body]),
    }
}
