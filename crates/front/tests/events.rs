//! Tests of `EventParser`, which finds the same events however the bytes are split.

use ladderstage_front::job::{Event, EventParser};
use proptest::prelude::*;

const FIELD: &str = "X-Weight-Version";

fn stream(count: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    for id in 1..=count {
        if id == 3 {
            bytes.extend_from_slice(b"x-weight-version: 8\n");
        }
        bytes.extend_from_slice(format!("id: {id}\ndata: token {id}\n\n").as_bytes());
    }
    bytes
}

proptest! {
    #[test]
    fn chunks_of_any_size_yield_the_same_events(
        count in 1u64..12,
        cuts in prop::collection::vec(1usize..9, 1..40),
    ) {
        let bytes = stream(count);
        let mut parser = EventParser::new(FIELD);
        let mut events = Vec::new();
        let mut rest = bytes.as_slice();
        let mut sizes = cuts.iter().cycle();
        while !rest.is_empty() {
            let size = (*sizes.next().unwrap()).min(rest.len());
            events.extend(parser.push(&rest[..size]).unwrap());
            rest = &rest[size..];
        }
        prop_assert!(parser.is_at_boundary());
        prop_assert_eq!(events.len() as u64, count);
        for (event, id) in events.iter().zip(1..) {
            let expected = Event {
                id,
                data: format!("token {id}"),
                version: (id == 3).then_some(8),
            };
            prop_assert_eq!(event, &expected);
        }
    }
}

#[test]
fn an_incomplete_event_is_not_returned() {
    let mut parser = EventParser::new(FIELD);
    let events = parser.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    assert_eq!(events.len(), 1);
    assert!(!parser.is_at_boundary());
}

#[test]
fn malformed_events_are_rejected() {
    for bytes in [
        "HTTP/1.1 200 OK\n\n",
        "data: no id\n\n",
        "id: 1\n\n",
        "id: x\ndata: a\n\n",
    ] {
        assert!(
            EventParser::new(FIELD).push(bytes.as_bytes()).is_err(),
            "{bytes:?}"
        );
    }
}

/// Guards against a stream of bytes without an event that fills the memory.
#[test]
fn an_event_without_end_is_rejected() {
    const PIECE: &[u8] = &[b'x'; 16 * 1024];
    const MAX_PIECES: usize = 32;
    let mut parser = EventParser::new(FIELD);
    parser.push(b"id: 1\ndata: ").unwrap();
    let accepted = (0..=MAX_PIECES).take_while(|_| parser.push(PIECE).is_ok());
    assert!(accepted.count() < MAX_PIECES);
}
