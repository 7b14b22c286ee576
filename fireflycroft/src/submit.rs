//! Checks on a caller's request before it is offered to any agent.

use crate::code::Code;
use crate::config::{Config, WorkspaceIx};
use crate::entry::{Call, Entry, Phase};
use crate::entry_io::{EntryAction, Reply, Submission};
use crate::ids::{CallId, Digest, Name};
use crate::inventory::WithoutKey;
use crate::log_event::LogEvent;
use crate::objective::{LatencyGoal, MeasuredRequest, TokenTiming, met_objective};
use crate::stream::Chunk;
use crate::time::Time;
use crate::work::{Demand, Priority, Work};
use std::sync::Arc;
use std::time::Duration;

/// Refusal of a request before it is offered to any agent.
pub(crate) struct Refusal {
    pub(crate) code: Code,
    pub(crate) retry_after: Option<Duration>,
}

const fn permanent_refusal(code: Code) -> Refusal {
    Refusal {
        code,
        retry_after: None,
    }
}

/// Properties of a request that passed the checks.
struct Checked {
    demand: Demand,
    claim_key: Option<Digest>,
    max_wait: Duration,
    /// Tokens charged to the quota.
    charged: u64,
    brand: Name,
    goal: Option<LatencyGoal>,
}

/// Brand under which requests with an unknown key are counted.
const NO_BRAND: &str = "none";

/// Whether a request may be retried, and the key under which it is claimed.
struct RetryRules {
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
                    None if self.config.is_lagging() => self.begin_awaiting_config(now, call, out),
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
                out.push(self.refusal_measurement(&submission, refusal.code));
                out.push(EntryAction::LogEvent(
                    LogEvent::new("request_refused").code(refusal.code),
                ));
            }
        }
    }

    fn refusal_measurement(&self, submission: &Submission, code: Code) -> EntryAction {
        let config = self.config.get();
        let workspace = config.and_then(|c| Some((c, c.workspace_of_key(&submission.key_digest)?)));
        let brand =
            workspace.map_or_else(|| Name::from(NO_BRAND), |(c, ix)| c.brand_name(ix).clone());
        let requested = submission.priority;
        let priority = workspace.map_or(Priority::Batch, |(c, ix)| c.priority(ix, requested));
        let objective = workspace.and_then(|(c, _)| c.objective(&brand, priority));
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
        let temporary = |code| Refusal {
            code,
            retry_after: retry,
        };
        if self.leaving {
            return Err(temporary(Code::Leaving));
        }
        let config = self
            .config
            .get()
            .cloned()
            .ok_or_else(|| temporary(Code::NotReady))?;
        if self.config.is_lagging() && submission.resume.is_some() {
            return Err(temporary(Code::ConfigOutdated));
        }
        if self.calls.len() >= self.limits.max_calls {
            return Err(temporary(Code::Overloaded));
        }
        let ix = config
            .workspace_of_key(&submission.key_digest)
            .ok_or_else(|| permanent_refusal(Code::KeyRefused))?;
        if !config.may_use(ix, &submission.target) {
            return Err(permanent_refusal(unknown_target(&submission.work)));
        }
        let retry_rules = check_retry_rules(&config, ix, submission)?;
        let demand = self.demand(&config, ix, submission, retry_rules.repeatable);
        if submission.resume.is_none() {
            self.check_suspects(now, &demand.suspects())?;
        }
        let charged = self.charge(now, &config, ix, submission)?;
        let max_wait = config.max_wait(demand.priority);
        let brand = config.brand_name(ix).clone();
        Ok(Checked {
            goal: config
                .objective(&brand, demand.priority)
                .map(LatencyGoal::of),
            claim_key: retry_rules.claim_key,
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
            shared_parts: submission.shared_parts.clone(),
            retryable: repeatable,
            crashes: self.known_crashes(content),
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
            checked_version: self.config.version(),
            demand: checked.demand,
            work: submission.work,
            delivery: submission.delivery,
            claim_key: checked.claim_key,
            replace: None,
            phase: Phase::New,
            awaiting_config_since: None,
            attempt: 0,
            starts: 0,
            tried: Vec::new(),
            offers: 0,
            retry_after: None,
            refusal: None,
            received: now,
            begin_sent: false,
            buffered: Chunk::default(),
            max_wait: checked.max_wait,
            charged: checked.charged,
            brand: checked.brand,
            goal: checked.goal,
            pace: TokenTiming::default(),
        }
    }
}

impl Call {
    /// Repeats the checks if the configuration has changed since; a call that
    /// it forbids is not offered any more.
    pub(crate) fn recheck(&mut self, config: &Config) -> Result<(), Code> {
        if self.checked_version == config.version {
            return Ok(());
        }
        self.checked_version = config.version;
        let ix = config
            .workspace_of_key(&self.key_digest)
            .filter(|ix| *config.workspace_name(*ix) == self.demand.workspace)
            .ok_or(Code::KeyRefused)?;
        if !config.may_use(ix, &self.demand.target) {
            return Err(unknown_target(&self.work));
        }
        let (method, path) = self.work.method_and_path();
        if config.is_non_retryable(ix, &self.demand.target, method, path) {
            self.demand.retryable = false;
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

fn check_retry_rules(
    config: &Arc<Config>,
    ix: WorkspaceIx,
    submission: &Submission,
) -> Result<RetryRules, Refusal> {
    let method = &submission.method;
    let by_rule = config.is_non_retryable(ix, &submission.target, method, &submission.path);
    let repeatable = !by_rule && !submission.never_retry;
    let needs_key = by_rule && config.without_key() == WithoutKey::Refuse;
    if let Some(key) = &submission.idempotency_key {
        let workspace = config.workspace_name(ix);
        let claim_key = Digest::of(&[workspace.as_bytes(), key.as_bytes()]);
        return Ok(RetryRules {
            repeatable: false,
            claim_key: Some(claim_key),
        });
    }
    if needs_key && submission.resume.is_none() {
        return Err(permanent_refusal(Code::IdempotencyKeyRequired));
    }
    Ok(RetryRules {
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
