//! Text that is made for an item, event by event.

use ladderstage_wire::messages::mod_JobResult::State as ResultState;
use ladderstage_wire::messages::{JobItem, JobProgress, JobResult, KeptText};

use super::events::Event;

/// Text made so far, and how much of it is kept in the journal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ItemText {
    text: String,
    events: u64,
    last_event: Option<u64>,
    versions: Vec<u64>,
    /// Part that is not in the journal yet.
    unsaved: Unsaved,
    /// What the journal has is void.
    starts_over: bool,
    /// Some of the text is in the journal.
    has_saved: bool,
    /// The last event was the end of the text.
    is_complete: bool,
}

/// Events since the last progress that was handed to the journal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Unsaved {
    text_start: usize,
    first_event: Option<u64>,
    events: u64,
    versions: Vec<u64>,
}

impl ItemText {
    /// Events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Number of the last event.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Weight versions that made the events, each once.
    pub fn versions(&self) -> &[u64] {
        &self.versions
    }

    /// Whole text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Events that are not in the journal yet.
    pub fn unsaved_events(&self) -> u64 {
        self.unsaved.events
    }

    /// Whether nothing follows any more.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Notes that the text has ended; what is fresh goes to the journal with that. `None` for a text without events.
    pub fn finish(&mut self, item: &str) -> Option<JobProgress> {
        self.is_complete = true;
        let last_event = self.last_event?;
        let completion_only = || JobProgress {
            item: item.to_owned(),
            first_event: last_event + 1,
            last_event,
            is_whole: true,
            ..JobProgress::default()
        };
        Some(self.drain_progress(item).unwrap_or_else(completion_only))
    }

    /// Adds the next event, made by `version`.
    pub fn push(&mut self, event: &Event, version: u64) {
        if self.unsaved.events == 0 {
            self.unsaved.first_event = Some(event.id);
            self.unsaved.text_start = self.text.len() + usize::from(self.events > 0);
        }
        if self.events > 0 {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.events += 1;
        self.unsaved.events += 1;
        self.last_event = Some(event.id);
        add_once(&mut self.versions, version);
        add_once(&mut self.unsaved.versions, version);
    }

    /// Text that an earlier job made; nothing of it is in the journal of this one.
    pub fn from_kept(kept: KeptText) -> Self {
        let unsaved = Unsaved {
            text_start: 0,
            first_event: Some(1),
            events: kept.events,
            versions: kept.weight_versions.clone(),
        };
        Self {
            text: kept.text,
            events: kept.events,
            last_event: Some(kept.last_event),
            versions: kept.weight_versions,
            unsaved,
            starts_over: false,
            has_saved: false,
            is_complete: kept.is_whole,
        }
    }

    /// The text for a later job that has the item again; `None` without events. `score` is that of a whole text, if it has one.
    pub fn to_kept(&self, item: &JobItem, score: &str) -> Option<KeptText> {
        let last_event = self.last_event?;
        let reward_call = item.reward_call.as_ref().map(|call| call.id.clone());
        Some(KeptText {
            item: item.id.clone(),
            text: self.text.clone(),
            events: self.events,
            last_event,
            weight_versions: self.versions.clone(),
            is_whole: self.is_complete,
            reward_call: reward_call.unwrap_or_default(),
            score: score.to_owned(),
        })
    }

    /// Notes that the last event was the end of the text.
    pub fn mark_complete(&mut self) {
        self.is_complete = true;
    }

    /// Drops all text; what the journal has becomes void with the next progress or result.
    pub fn start_over(&mut self) {
        let starts_over = self.starts_over || self.has_saved;
        *self = Self {
            starts_over,
            ..Self::default()
        };
    }

    /// Hands what is fresh to the journal; `None` if nothing is.
    pub fn drain_progress(&mut self, item: &str) -> Option<JobProgress> {
        let first_event = self.unsaved.first_event?;
        let progress = JobProgress {
            item: item.to_owned(),
            starts_over: std::mem::take(&mut self.starts_over),
            first_event,
            last_event: self.last_event?,
            events: self.unsaved.events,
            text: self.text[self.unsaved.text_start..].to_owned(),
            weight_versions: std::mem::take(&mut self.unsaved.versions),
            is_whole: self.is_complete,
        };
        self.unsaved = Unsaved::default();
        self.has_saved = true;
        Some(progress)
    }

    /// The result as the journal takes it, with the score of a scored text: only what the journal does not have yet.
    pub fn into_result(self, item: &str, score: String) -> JobResult {
        let follows_progress = self.has_saved && !self.starts_over;
        let text = if !follows_progress {
            self.text
        } else if self.unsaved.events > 0 {
            self.text[self.unsaved.text_start..].to_owned()
        } else {
            String::new()
        };
        let weight_versions = if follows_progress {
            self.unsaved.versions
        } else {
            self.versions
        };
        JobResult {
            item: item.to_owned(),
            state: ResultState::COMPLETED,
            text,
            weight_versions,
            follows_progress,
            score,
        }
    }

    /// Takes progress read from the journal; progress that does not follow is of an earlier append and changes nothing.
    pub fn apply(&mut self, progress: &JobProgress) {
        if progress.starts_over {
            *self = Self::default();
        }
        let follows = self
            .last_event
            .is_none_or(|last| progress.first_event == last + 1);
        if !follows {
            return;
        }
        if self.events > 0 && progress.events > 0 {
            self.text.push('\n');
        }
        self.is_complete = progress.is_whole;
        self.text.push_str(&progress.text);
        self.events += progress.events;
        self.last_event = Some(progress.last_event);
        for version in &progress.weight_versions {
            add_once(&mut self.versions, *version);
        }
        self.has_saved = true;
    }

    /// The whole result from the one in the journal and the progress kept before it.
    pub fn complete_result(self, mut result: JobResult) -> JobResult {
        if !std::mem::take(&mut result.follows_progress) || result.state != ResultState::COMPLETED {
            return result;
        }
        let tail = std::mem::take(&mut result.text);
        let has_tail = !result.weight_versions.is_empty();
        result.text = self.text;
        if has_tail {
            if self.events > 0 {
                result.text.push('\n');
            }
            result.text.push_str(&tail);
        }
        let mut versions = self.versions;
        for version in std::mem::take(&mut result.weight_versions) {
            add_once(&mut versions, version);
        }
        result.weight_versions = versions;
        result
    }
}

fn add_once(versions: &mut Vec<u64>, version: u64) {
    if !versions.contains(&version) {
        versions.push(version);
    }
}
