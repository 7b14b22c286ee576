//! Suspects under which answers have gone on, and which of them are to be told.

use crate::crash_report::{SoundSuspect, Suspect};
use crate::time::Time;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Suspects per generation; the older of two generations is forgotten.
const GENERATION: usize = 2_048;

/// Time for which a sound suspect is told, since messages may be lost.
const TELL_FOR: Duration = Duration::from_secs(5);

/// Maximum number of sound suspects told at a time.
const MAX_TOLD: usize = 8;

/// Times at which suspects of one kind were last seen sound.
#[derive(Clone, Debug, Default)]
struct SeenSound {
    generations: [HashMap<Suspect, Time>; 2],
}

impl SeenSound {
    fn last(&self, suspect: Suspect) -> Option<Time> {
        let mut generations = self.generations.iter();
        generations.find_map(|g| g.get(&suspect)).copied()
    }

    fn insert(&mut self, suspect: Suspect, at: Time) {
        let [newer, older] = &mut self.generations;
        if newer.len() >= GENERATION && !newer.contains_key(&suspect) {
            *older = std::mem::take(newer);
        }
        newer.insert(suspect, at);
    }
}

/// Suspects seen sound; contents, of which there are as many as requests, drive out no parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct SoundSuspects {
    parts: SeenSound,
    contents: SeenSound,
    /// Those to tell, with the time since which they are told.
    news: VecDeque<(Suspect, Time)>,
    /// Whether one waits to be told.
    has_news: bool,
}

impl SoundSuspects {
    const fn of_kind(&self, suspect: Suspect) -> &SeenSound {
        if suspect.is_content() {
            &self.contents
        } else {
            &self.parts
        }
    }

    /// Returns the time at which a suspect was last seen sound.
    pub(crate) fn last(&self, suspect: Suspect) -> Option<Time> {
        self.of_kind(suspect).last(suspect)
    }

    /// Records that a suspect was seen sound.
    pub(crate) fn record(&mut self, suspect: Suspect, at: Time) {
        let at = at.max(self.last(suspect).unwrap_or_default());
        let seen = if suspect.is_content() {
            &mut self.contents
        } else {
            &mut self.parts
        };
        seen.insert(suspect, at);
    }

    /// Adds a sound suspect to those to be told.
    pub(crate) fn tell(&mut self, now: Time, suspect: Suspect) {
        self.news.retain(|(s, _)| *s != suspect);
        if self.news.len() >= MAX_TOLD {
            self.news.pop_front();
        }
        self.news.push_back((suspect, now));
        self.has_news = true;
    }

    /// Returns once whether there is one to tell since the last call.
    pub(crate) fn take_news(&mut self) -> bool {
        std::mem::take(&mut self.has_news)
    }

    /// Returns those to tell.
    pub(crate) fn to_tell(&self, now: Time) -> Vec<SoundSuspect> {
        let recent = self.news.iter().rev();
        let recent = recent.filter(|(_, since)| now.since(*since) < TELL_FOR);
        let told = recent.filter_map(|(suspect, _)| {
            let age = now.since(self.last(*suspect)?);
            Some(SoundSuspect {
                suspect: *suspect,
                age,
            })
        });
        told.collect()
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.news.retain(|(_, since)| now.since(*since) < TELL_FOR);
    }
}
