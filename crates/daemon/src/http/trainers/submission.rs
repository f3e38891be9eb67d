//! Parses and checks submitted steps.

use ladderstage::bundle::PoolKind;
use ladderstage_wire::messages::{SampleSpec, ShardSpec};
use sha2::{Digest, Sha256};

use super::answer::Refusal;
use super::model::{Finding, SampleBody, StepBody};
use crate::shards::Shards;

/// Maximum number of samples of a step.
const MAX_STEP_SAMPLES: usize = 16_384;

/// Maximum number of tokens of a sample.
const MAX_TOKENS: u32 = 131_072;

/// Maximum number of findings in an answer.
const MAX_FINDINGS: usize = 20;

/// Service of steps that do not select a scorer.
const DEFAULT_SCORER: &str = "default";

/// Parses a step into a spec with all its samples.
///
/// # Errors
/// [`Refusal`] with all problems found.
pub(super) fn parse(
    body: &[u8],
    trainer: &str,
    step: u64,
    shards: &Shards,
) -> Result<ShardSpec, Refusal> {
    let body: StepBody = serde_json::from_slice(body).map_err(|error| {
        let place = format!("body line {} column {}", error.line(), error.column());
        Refusal::bad_request(&place, &error.to_string())
    })?;
    let mut findings = Vec::new();
    check_pool(&body.pool, shards, &mut findings)?;
    check_samples(&body.samples, &mut findings);
    if body.scorer.as_deref().is_some_and(|name| !name.is_empty()) && !shards.has_scorer() {
        findings.push(Finding::new(
            "scorer",
            "no scorer is configured on this node",
        ));
    }
    if !findings.is_empty() {
        findings.truncate(MAX_FINDINGS);
        return Err(Refusal::findings(findings));
    }
    Ok(ShardSpec {
        trainer: trainer.to_owned(),
        step,
        step_digest: digest(&body),
        service: body.scorer.unwrap_or_else(|| DEFAULT_SCORER.to_owned()),
        pool: body.pool,
        samples: body.samples.into_iter().map(sample_spec).collect(),
        ..ShardSpec::default()
    })
}

fn check_pool(name: &str, shards: &Shards, findings: &mut Vec<Finding>) -> Result<(), Refusal> {
    let Some(current) = shards.bundle() else {
        return Err(Refusal::no_bundle());
    };
    match current.bundle.pool(name) {
        Some(pool) if pool.kind == PoolKind::Model => {}
        Some(_) => findings.push(Finding::new("pool", "is not a pool of model engines")),
        None => findings.push(Finding::new("pool", "is not in the bundle in force")),
    }
    Ok(())
}

fn check_samples(samples: &[SampleBody], findings: &mut Vec<Finding>) {
    if samples.is_empty() || samples.len() > MAX_STEP_SAMPLES {
        let problem = format!("must be 1 to {MAX_STEP_SAMPLES} samples");
        findings.push(Finding::new("samples", &problem));
    }
    for (slot, sample) in samples.iter().enumerate() {
        if sample.max_tokens == 0 || sample.max_tokens > MAX_TOKENS {
            let place = format!("samples[{slot}].max_tokens");
            let problem = format!("must be 1 to {MAX_TOKENS}");
            findings.push(Finding::new(&place, &problem));
        }
    }
}

/// Returns a digest of the parsed body, which is independent of spacing and field order.
fn digest(body: &StepBody) -> Vec<u8> {
    let canonical = serde_json::to_vec(body).unwrap_or_default();
    Sha256::digest(canonical).to_vec()
}

fn sample_spec(sample: SampleBody) -> SampleSpec {
    SampleSpec {
        prompt: sample.prompt,
        max_tokens: sample.max_tokens,
        expected_tokens: sample.expected_tokens,
    }
}
