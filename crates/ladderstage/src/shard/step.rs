//! Splits a step into shards.

use ladderstage_wire::messages::{SampleSpec, ShardSpec};

use crate::ids::SLOTS_PER_SHARD;

/// Splits a step into shards. `spec` holds the fields that all shards share and the samples of the
/// complete step.
pub fn split_step(spec: &ShardSpec) -> Vec<ShardSpec> {
    let chunks: Vec<&[SampleSpec]> = spec.samples.chunks(SLOTS_PER_SHARD as usize).collect();
    let shard_count = chunks.len() as u32;
    let mut shards = Vec::with_capacity(chunks.len());
    for (index, samples) in chunks.into_iter().enumerate() {
        shards.push(ShardSpec {
            trainer: spec.trainer.clone(),
            step: spec.step,
            shard: index as u32,
            shard_count,
            first_slot: index as u32 * SLOTS_PER_SHARD,
            pool: spec.pool.clone(),
            step_digest: spec.step_digest.clone(),
            samples: samples.to_vec(),
            service: spec.service.clone(),
        });
    }
    shards
}
