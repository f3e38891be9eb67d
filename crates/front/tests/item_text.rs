//! Tests that text saved in the journal in parts equals the generated text.

use ladderstage_front::job::{EntryQueue, Event, ItemText, JobState, encode_entry};
use ladderstage_wire::messages::mod_JobEntry::OneOfkind as EntryKind;
use ladderstage_wire::messages::{JobEnded, JobItem, JobResult, JobSpec, LogEntry};
use proptest::prelude::*;

const ITEM: &str = "item-1";

fn accepted() -> LogEntry {
    let item = |id: &str| JobItem {
        id: id.to_owned(),
        body: b"prompt".to_vec(),
        ..JobItem::default()
    };
    encode_entry(EntryKind::accepted(JobSpec {
        job: "job".to_owned(),
        items: vec![item(ITEM), item("item-2")],
        ..JobSpec::default()
    }))
}

fn event(id: u64) -> Event {
    Event {
        id,
        data: format!("data of {id}"),
        version: None,
    }
}

fn joined(events: u64) -> String {
    let lines: Vec<String> = (1..=events).map(|id| event(id).data).collect();
    lines.join("\n")
}

proptest! {
    /// The result is complete at any split into saved parts, also if entries are appended twice.
    #[test]
    fn saved_parts_join_to_the_complete_text(
        pieces in prop::collection::vec((1u64..6, any::<bool>()), 1..8),
        tail in 0u64..5,
    ) {
        let mut text = ItemText::default();
        let mut log = vec![accepted()];
        let mut id = 0;
        for (count, is_doubled) in pieces {
            for _ in 0..count {
                id += 1;
                text.push(&event(id), id / 7 + 1);
            }
            let progress = text.drain_progress(ITEM).expect("fresh events");
            let entry = encode_entry(EntryKind::progress(progress));
            if is_doubled {
                log.push(entry.clone());
            }
            log.push(entry);
        }
        let restored = JobState::replay(&log).unwrap().partial_text(ITEM);
        prop_assert_eq!(restored.text(), joined(id));
        prop_assert_eq!(restored.last_event(), Some(id));
        for _ in 0..tail {
            id += 1;
            text.push(&event(id), id / 7 + 1);
        }
        let versions = text.versions().to_vec();
        log.push(encode_entry(EntryKind::result(text.into_result(ITEM, String::new()))));
        let state = JobState::replay(&log).unwrap();
        let result = &state.results()[0];
        prop_assert_eq!(&result.text, &joined(id));
        prop_assert_eq!(&result.weight_versions, &versions);
        prop_assert!(!result.follows_progress);
    }
}

#[test]
fn another_owner_resumes_from_saved_text() {
    let mut first = ItemText::default();
    (1..=3).for_each(|id| first.push(&event(id), 4));
    let progress = first.drain_progress(ITEM).unwrap();
    first.push(&event(4), 4);
    let mut log = vec![accepted(), encode_entry(EntryKind::progress(progress))];
    let mut second = JobState::replay(&log).unwrap().partial_text(ITEM);
    assert_eq!(second.last_event(), Some(3));
    (4..=5).for_each(|id| second.push(&event(id), 5));
    log.push(encode_entry(EntryKind::result(
        second.into_result(ITEM, String::new()),
    )));
    let state = JobState::replay(&log).unwrap();
    assert_eq!(state.results()[0].text, joined(5));
    assert_eq!(state.results()[0].weight_versions, [4, 5]);
}

#[test]
fn a_restarted_text_invalidates_the_saved_text() {
    let mut text = ItemText::default();
    (1..=4).for_each(|id| text.push(&event(id), 4));
    let progress = text.drain_progress(ITEM).unwrap();
    text.start_over();
    (1..=2).for_each(|id| text.push(&event(id), 5));
    let log = [
        accepted(),
        encode_entry(EntryKind::progress(progress)),
        encode_entry(EntryKind::result(text.into_result(ITEM, String::new()))),
    ];
    let state = JobState::replay(&log).unwrap();
    assert_eq!(state.results()[0].text, joined(2));
    assert_eq!(state.results()[0].weight_versions, [5]);
}

#[test]
fn a_complete_text_is_saved_while_its_score_is_pending() {
    let mut text = ItemText::default();
    text.push(&event(1), 5);
    let first = text.drain_progress(ITEM).unwrap();
    assert!(!first.is_whole);
    let end = text.finish(ITEM).unwrap();
    assert!(end.is_whole);
    let mut log = vec![
        accepted(),
        encode_entry(EntryKind::progress(first)),
        encode_entry(EntryKind::progress(end)),
    ];
    let kept = JobState::replay(&log).unwrap().partial_text(ITEM);
    assert!(kept.is_complete());
    assert_eq!(kept.text(), joined(1));
    let result = kept.into_result(ITEM, "score".to_owned());
    log.push(encode_entry(EntryKind::result(result)));
    let state = JobState::replay(&log).unwrap();
    assert_eq!(state.results()[0].text, joined(1));
    assert_eq!(state.results()[0].score, "score");
    assert_eq!(state.results()[0].weight_versions, [5]);
}

#[test]
fn the_first_result_of_an_item_keeps_its_position() {
    let result = |text: &str| {
        encode_entry(EntryKind::result(JobResult {
            item: ITEM.to_owned(),
            text: text.to_owned(),
            ..JobResult::default()
        }))
    };
    let log = [accepted(), result("first"), result("second")];
    let state = JobState::replay(&log).unwrap();
    assert_eq!(state.results().len(), 1);
    assert_eq!(state.results()[0].text, "first");
    assert!(!state.is_complete());
}

#[test]
fn an_ended_job_drops_bodies_and_keeps_results() {
    let ended = encode_entry(EntryKind::ended(JobEnded {}));
    let mut state = JobState::replay(&[accepted(), ended]).unwrap();
    assert!(state.is_ended());
    assert_eq!(state.item(ITEM).unwrap().body, b"prompt");
    state.drop_bodies();
    assert!(state.item(ITEM).unwrap().body.is_empty());
}

/// Guards against a result without its last progress, if the run completes while its job ends.
#[test]
fn no_result_follows_the_end_without_its_progress() {
    let mut text = ItemText::default();
    (1..=3).for_each(|id| text.push(&event(id), 4));
    let mut queue = EntryQueue::default();
    queue.push_progress(text.drain_progress(ITEM).unwrap());
    (4..=6).for_each(|id| text.push(&event(id), 4));
    let late = text.drain_progress(ITEM).unwrap();
    text.push(&event(7), 4);
    assert!(queue.push_end());
    assert!(!queue.push_end());
    queue.push_progress(late);
    queue.push_result(text.into_result(ITEM, String::new()));
    let mut log = vec![accepted()];
    log.extend(queue.drain());
    let state = JobState::replay(&log).unwrap();
    assert!(state.is_ended());
    for result in state.results() {
        assert_eq!(result.text, joined(7), "the listed text is complete");
    }
}
