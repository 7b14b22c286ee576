//! Answers that have got further than others with the same content had when their upstreams ended.
//!
//! Such an answer shows that its content wasn't the cause, unless its own upstream ends under it as well.

use crate::crash_report::{CrashId, Survivor, Suspect};
use crate::time::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Answers remembered for each content: those that got furthest.
const MAX_PER_CONTENT: usize = 4;

/// Maximum number of contents.
const MAX_CONTENTS: usize = 256;

/// Retention after the last answer with a content.
const RETENTION: Duration = Duration::from_mins(10);

/// Time for which an answer is told, since messages may be lost.
const TELL_FOR: Duration = Duration::from_secs(2);

/// Maximum number of answers told at a time.
const MAX_TOLD: usize = 8;

/// Answers that went on, by content.
#[derive(Clone, Debug, Default)]
pub(crate) struct Survivors {
    by_content: HashMap<Suspect, (Time, Vec<Survivor>)>,
    /// Those to tell, with the time since which they are told.
    news: VecDeque<(Survivor, Time)>,
    /// Whether one waits to be told.
    has_news: bool,
}

impl Survivors {
    /// Returns the answers with a content that got furthest.
    pub(crate) fn of(&self, content: Suspect) -> &[Survivor] {
        let known = self.by_content.get(&content);
        known.map_or(&[], |(_, survivors)| survivors.as_slice())
    }

    /// Records an answer, and tells it.
    pub(crate) fn record(&mut self, now: Time, survivor: Survivor) {
        if self.by_content.len() >= MAX_CONTENTS && !self.by_content.contains_key(&survivor.content)
        {
            self.drop_oldest();
        }
        let known = self.by_content.entry(survivor.content).or_default();
        let (last, survivors) = known;
        *last = now;
        survivors.retain(|s| s.at != survivor.at);
        survivors.push(survivor);
        survivors.sort_by_key(|s| s.reach);
        let excess = survivors.len().saturating_sub(MAX_PER_CONTENT);
        survivors.drain(..excess);
        self.news
            .retain(|(s, _)| s.content != survivor.content || s.at != survivor.at);
        self.news.truncate(MAX_TOLD - 1);
        self.news.push_front((survivor, now));
        self.has_news = true;
    }

    /// Returns once whether there is one to tell since the last call.
    pub(crate) fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Removes the answers with a content at an upstream that ended under it.
    pub(crate) fn remove(&mut self, content: Suspect, ended: CrashId) {
        if let Some((_, survivors)) = self.by_content.get_mut(&content) {
            survivors.retain(|s| s.at != ended);
        }
        self.news
            .retain(|(s, _)| s.content != content || s.at != ended);
    }

    /// Removes all answers with a content.
    pub(crate) fn forget(&mut self, content: Suspect) {
        self.by_content.remove(&content);
        self.news.retain(|(s, _)| s.content != content);
    }

    /// Returns those to tell.
    pub(crate) fn to_tell(&self, now: Time) -> Vec<Survivor> {
        let recent = self.news.iter();
        let recent = recent.filter(|(_, since)| now.since(*since) < TELL_FOR);
        recent.map(|(survivor, _)| *survivor).collect()
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.news.retain(|(_, since)| now.since(*since) < TELL_FOR);
        self.by_content
            .retain(|_, (last, _)| now.since(*last) < RETENTION);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.by_content.iter().min_by_key(|(_, (last, _))| *last);
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.by_content.remove(&content);
        }
    }
}
