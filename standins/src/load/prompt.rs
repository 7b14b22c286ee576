//! Prompt texts with one word per token, for engines that count words.

use std::fmt::Write;

use super::mix::{Kind, Mix};
use super::plan::Arrival;
use crate::hash;

/// Number of distinct words in prompts.
const VOCABULARY_SIZE: u64 = 4_096;

/// Returns the start of a prompt, shared by requests of one kind in one workspace.
pub(super) fn shared_prefix(mix: &Mix, arrival: &Arrival) -> String {
    let kind = &mix.kinds[arrival.kind];
    let workspace = &mix.workspaces[arrival.workspace];
    let seed = hash::fnv(format!("{}/{}", workspace.name, kind.name).as_bytes());
    generate_words(seed, kind.shared_prompt)
}

/// Returns the rest of a prompt, with the directives that set the answer length
/// and the mark.
pub(super) fn user_prompt(kind: &Kind, arrival: &Arrival, mark: &str) -> String {
    let seed = hash::extend(hash::fnv(kind.name.as_bytes()), mark.as_bytes());
    let mut text = generate_words(seed, arrival.prompt_tokens);
    let _ = write!(text, "[[len={}]][[mark={mark}]]", arrival.output_tokens);
    text
}

fn generate_words(seed: u64, count: u64) -> String {
    let mut text = String::new();
    for index in 0..count {
        let word = hash::extend(seed, &index.to_le_bytes()) % VOCABULARY_SIZE;
        let _ = write!(text, "w{word} ");
    }
    text
}
