//! Text form of the trainer's cursor.

use ladderstage::shard::{CursorError, StepCursor};
use proptest::prelude::*;

fn cursor(positions: &[(u32, u64)]) -> StepCursor {
    let mut cursor = StepCursor::default();
    for (shard, answer) in positions {
        cursor.advance(*shard, *answer);
    }
    cursor
}

#[test]
fn text_form_round_trips() {
    let cursor = cursor(&[(0, 3), (7, 1)]);
    let text = cursor.encode("trainer", 9);
    assert_eq!(StepCursor::parse("trainer", 9, &text), Ok(cursor));
    assert_eq!(StepCursor::default().encode("trainer", 9), "");
    assert_eq!(
        StepCursor::parse("trainer", 9, ""),
        Ok(StepCursor::default())
    );
}

#[test]
fn a_cursor_of_another_step_is_refused() {
    let text = cursor(&[(0, 3)]).encode("trainer", 9);
    assert_eq!(
        StepCursor::parse("trainer", 10, &text),
        Err(CursorError::Checksum)
    );
    assert_eq!(
        StepCursor::parse("other", 9, &text),
        Err(CursorError::Checksum)
    );
}

proptest! {
    #[test]
    fn a_damaged_cursor_is_refused(at in 0..20usize, byte in "[0-9a-f._-]") {
        let text = cursor(&[(0, 30), (1, 41)]).encode("trainer", 9);
        let at = at % text.len();
        let mut damaged = text.clone();
        damaged.replace_range(at..at + 1, &byte);
        prop_assume!(damaged != text);
        prop_assert!(StepCursor::parse("trainer", 9, &damaged).is_err());
    }

    #[test]
    fn no_text_panics(text in ".{0,60}") {
        let _ = StepCursor::parse("trainer", 9, &text);
    }
}
