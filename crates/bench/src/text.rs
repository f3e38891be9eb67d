//! Text of the stand-in engines. Each token is a function of prompt, position and weight version,
//! so that tests can tell from the text which version produced it.

use sha2::{Digest, Sha256};

const TOKEN_DIGEST_BYTES: usize = 4;

/// Returns the token at `position` (from 0) of the text for `prompt` under `weight_version`, with a
/// trailing space.
pub fn token(prompt: &str, position: u64, weight_version: u64) -> String {
    let mut hasher = Sha256::new();
    hasher.update(prompt.as_bytes());
    hasher.update(position.to_be_bytes());
    hasher.update(weight_version.to_be_bytes());
    let digest = hasher.finalize();
    format!("{} ", hex::encode(&digest[..TOKEN_DIGEST_BYTES]))
}

/// Returns a short digest of a prompt, as used in engine logs.
pub fn prompt_digest(prompt: &str) -> String {
    let digest = Sha256::digest(prompt.as_bytes());
    hex::encode(&digest[..8])
}

/// Returns the number of tokens in a text.
pub fn count_tokens(text: &str) -> u64 {
    text.split_terminator(' ').count() as u64
}

/// Consecutive tokens produced by one weight version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Segment {
    /// Weight version that produced the tokens.
    pub weight_version: u64,
    pub tokens: u64,
}

/// Mismatch between a text and the versions claimed for it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum TextError {
    /// The segments claim another number of tokens than the text has.
    #[error("segments claim {claimed} tokens, but the text has {found}")]
    Length {
        /// Number of tokens in the segments.
        claimed: u64,
        /// Number of tokens in the text.
        found: u64,
    },
    /// A token was not produced by the claimed version, or by none of the candidates if that is 0.
    #[error("token {position} was not produced by weight version {weight_version}")]
    Mislabelled {
        /// Position of the token, from 0.
        position: u64,
        weight_version: u64,
    },
}

/// Checks that every token of `text` was produced by the version of its segment.
pub fn verify(prompt: &str, text: &str, segments: &[Segment]) -> Result<(), TextError> {
    let claimed = segments.iter().map(|segment| segment.tokens).sum();
    let found = count_tokens(text);
    if claimed != found {
        return Err(TextError::Length { claimed, found });
    }
    let versions = segments
        .iter()
        .flat_map(|segment| std::iter::repeat_n(segment.weight_version, segment.tokens as usize));
    let tokens = text.split_inclusive(' ');
    for (position, (weight_version, found)) in versions.zip(tokens).enumerate() {
        let position = position as u64;
        if found != token(prompt, position, weight_version) {
            return Err(TextError::Mislabelled {
                position,
                weight_version,
            });
        }
    }
    Ok(())
}

/// Consecutive tokens of one chunk with an optional version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LabelledTokens {
    /// Claimed version, if any.
    pub weight_version: Option<u64>,
    pub tokens: u64,
}

/// Checks that every token of `text` was produced by one of `candidates`, and every labelled token
/// by its labelled version.
pub fn verify_labels(
    prompt: &str,
    text: &str,
    labels: &[LabelledTokens],
    candidates: &[u64],
) -> Result<(), TextError> {
    let claimed = labels.iter().map(|label| label.tokens).sum();
    let found = count_tokens(text);
    if claimed != found {
        return Err(TextError::Length { claimed, found });
    }
    let producers = attribute(prompt, text, candidates)?.into_iter();
    let producers =
        producers.flat_map(|run| std::iter::repeat_n(run.weight_version, run.tokens as usize));
    let claims = labels
        .iter()
        .flat_map(|label| std::iter::repeat_n(label.weight_version, label.tokens as usize));
    for (position, (producer, claim)) in producers.zip(claims).enumerate() {
        if let Some(weight_version) = claim.filter(|claim| *claim != producer) {
            return Err(TextError::Mislabelled {
                position: position as u64,
                weight_version,
            });
        }
    }
    Ok(())
}

/// Returns which of `candidates` produced each token of `text`, as segments.
pub fn attribute(prompt: &str, text: &str, candidates: &[u64]) -> Result<Vec<Segment>, TextError> {
    let mut segments: Vec<Segment> = Vec::new();
    for (position, found) in text.split_inclusive(' ').enumerate() {
        let position = position as u64;
        let mut candidates = candidates.iter().copied();
        let producer = candidates.find(|version| token(prompt, position, *version) == found);
        let weight_version = producer.ok_or(TextError::Mislabelled {
            position,
            weight_version: 0,
        })?;
        match segments.last_mut() {
            Some(last) if last.weight_version == weight_version => last.tokens += 1,
            _ => segments.push(Segment {
                weight_version,
                tokens: 1,
            }),
        }
    }
    Ok(segments)
}
