//! Parses completions and checks the labelled weight version of each token.

use std::collections::BTreeSet;

use serde::Deserialize;

use super::{Completion, LiveError};
use crate::text::{self, LabelledTokens, verify_labels};

#[derive(Debug, Deserialize)]
pub(super) struct CompletionObject {
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    weight_version: Option<u64>,
    #[serde(default)]
    weight_versions: Option<Vec<u64>>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

impl CompletionObject {
    fn text(&self) -> &str {
        self.choices.first().map_or("", |choice| &choice.text)
    }
}

pub(super) fn read_object(
    prompt: &str,
    object: CompletionObject,
    possible_versions: &[u64],
) -> Result<Completion, LiveError> {
    let named: BTreeSet<u64> = object.weight_versions.iter().flatten().copied().collect();
    if named.is_empty() && !possible_versions.is_empty() {
        text::attribute(prompt, object.text(), possible_versions)?;
        return Ok(Completion {
            text: object.text().to_owned(),
            weight_versions: named,
            is_fully_labelled: false,
        });
    }
    let candidates: Vec<u64> = named.iter().copied().collect();
    let segments = text::attribute(prompt, object.text(), &candidates)?;
    let found: BTreeSet<u64> = segments
        .iter()
        .map(|segment| segment.weight_version)
        .collect();
    if found != named {
        let detail = format!("answer names versions {named:?}, but was produced by {found:?}");
        return Err(LiveError::WrongAnswer(detail));
    }
    Ok(Completion {
        text: object.text().to_owned(),
        weight_versions: named,
        is_fully_labelled: true,
    })
}

pub(super) fn read_stream(
    prompt: &str,
    body: &str,
    possible_versions: &[u64],
) -> Result<Completion, LiveError> {
    let mut text = String::new();
    let mut labels: Vec<LabelledTokens> = Vec::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return check_stream(prompt, text, &labels, possible_versions);
        }
        let object: CompletionObject =
            serde_json::from_str(line).map_err(|_| LiveError::Incomplete(line.to_owned()))?;
        text.push_str(object.text());
        labels.push(label(&object));
    }
    Err(LiveError::Incomplete(body.to_owned()))
}

/// Returns the token count and label of a chunk. The usage field counts only in chunks with a
/// version; the last chunk has none and reports the total.
fn label(chunk: &CompletionObject) -> LabelledTokens {
    let usage = chunk.usage.as_ref();
    let claimed = usage.map_or(0, |usage| usage.completion_tokens);
    LabelledTokens {
        weight_version: chunk.weight_version,
        tokens: match chunk.weight_version {
            Some(_) => claimed,
            None => text::count_tokens(chunk.text()),
        },
    }
}

fn check_stream(
    prompt: &str,
    text: String,
    labels: &[LabelledTokens],
    possible_versions: &[u64],
) -> Result<Completion, LiveError> {
    let named = labels.iter().filter_map(|label| label.weight_version);
    let weight_versions: BTreeSet<u64> = named.collect();
    let is_unlabelled = |label: &LabelledTokens| label.weight_version.is_none() && label.tokens > 0;
    let is_fully_labelled = !labels.iter().any(is_unlabelled);
    let mut candidates: Vec<u64> = weight_versions.iter().copied().collect();
    candidates.extend(possible_versions);
    verify_labels(prompt, &text, labels, &candidates)?;
    if !is_fully_labelled && possible_versions.is_empty() {
        let detail = "tokens without a weight version".to_owned();
        return Err(LiveError::WrongAnswer(detail));
    }
    Ok(Completion {
        text,
        weight_versions,
        is_fully_labelled,
    })
}
