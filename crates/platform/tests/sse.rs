//! Parser of server-sent events: events must not depend on how the stream is split into chunks.

use ladderstage_platform::engine::sse::{Event, EventSplitter, MAX_EVENT_BYTES, SplitError};
use proptest::prelude::*;

fn split(chunks: &[&[u8]]) -> Result<Vec<Event>, SplitError> {
    let mut splitter = EventSplitter::new();
    for chunk in chunks {
        splitter.push(chunk)?;
    }
    Ok(std::iter::from_fn(|| splitter.pop()).collect())
}

fn message(data: &str) -> Event {
    Event {
        name: String::new(),
        data: data.to_owned(),
    }
}

#[test]
fn an_event_is_complete_after_its_blank_line() {
    assert_eq!(split(&[b"data: [DONE]\n"]).unwrap(), vec![]);
    assert_eq!(
        split(&[b"data: [DONE]\n\n"]).unwrap(),
        vec![message("[DONE]")]
    );
}

#[test]
fn too_long_lines_and_events_are_errors() {
    let long = vec![b'x'; MAX_EVENT_BYTES + 1];
    assert_eq!(split(&[&long]), Err(SplitError::TooLong));
    let lines = b"data: xxxxxxxxxxxxxxx\n".repeat(MAX_EVENT_BYTES / 15 + 1);
    assert_eq!(split(&[&lines]), Err(SplitError::TooLong));
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_change_events(
        texts in prop::collection::vec("[^\r\n\u{feff}]{0,12}", 0..8),
        line_end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..12),
    ) {
        let wire: String = texts.iter().map(|text| format!(": c{line_end}data: {text}{line_end}{line_end}")).collect();
        let bytes = wire.as_bytes();
        let mut positions: Vec<usize> = cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
        positions.extend([0, bytes.len()]);
        positions.sort_unstable();
        let chunks: Vec<&[u8]> = positions.windows(2).map(|pair| &bytes[pair[0]..pair[1]]).collect();
        let expected: Vec<Event> = texts.iter().map(|text| message(text)).collect();
        prop_assert_eq!(split(&chunks).unwrap(), expected);
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = split(&[&bytes]);
    }
}
