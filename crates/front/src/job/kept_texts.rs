//! Choice among the texts that ended jobs have of an item, for a later job that repeats it.

use ladderstage_wire::messages::mod_JobResult::State as ResultState;
use ladderstage_wire::messages::{JobItem, JobResult, KeptText};

use super::failures::ItemFailures;
use super::text::ItemText;

/// Returns the text of a listed result, or the failures of a terminated item. The lines of a text
/// are counted as events, which suffices because nothing continues the text.
pub(super) fn kept_text_from_result(item: &JobItem, result: &JobResult) -> Option<KeptText> {
    if result.state != ResultState::COMPLETED {
        return ItemText::with_failures(ItemFailures::from(result)).for_later_job(item, "");
    }
    let lines = result.text.split('\n').count() as u64;
    Some(KeptText {
        item: item.id.clone(),
        text: result.text.clone(),
        events: lines,
        last_event: lines,
        weight_versions: result.weight_versions.clone(),
        is_whole: true,
        reward_call: item
            .reward_call
            .as_ref()
            .map(|call| call.id.clone())
            .unwrap_or_default(),
        score: result.score.clone(),
        ..KeptText::default()
    })
}

/// Returns whether all weight versions of a text are at least `min_version`.
pub(super) fn is_allowed(text: &KeptText, min_version: u64) -> bool {
    are_allowed(&text.weight_versions, min_version)
}

/// Returns whether all weight versions are at least `min_version`.
pub(super) fn are_allowed(versions: &[u64], min_version: u64) -> bool {
    versions.iter().all(|version| *version >= min_version)
}

/// Returns the most advanced of the allowed texts of an item, with the failures of all of them.
pub(super) fn best_allowed_text(
    item: &JobItem,
    texts: Vec<KeptText>,
    min_version: u64,
) -> Option<KeptText> {
    let failures = failures_of(&texts);
    let allowed = texts
        .into_iter()
        .filter(|text| is_allowed(text, min_version));
    let best = allowed.max_by_key(|text| (!text.score.is_empty(), text.is_whole, text.events));
    let failures_only = || ItemText::with_failures(failures).for_later_job(item, "");
    best.or_else(failures_only).map(|text| KeptText {
        failed_runs: failures.failed_runs,
        unprocessable: failures.is_unprocessable,
        ..text
    })
}

/// Returns the failures of an item that any of its texts names.
pub(super) fn failures_of(texts: &[KeptText]) -> ItemFailures {
    let mut failures = ItemFailures::default();
    texts
        .iter()
        .for_each(|text| failures.merge(ItemFailures::from(text)));
    failures
}
