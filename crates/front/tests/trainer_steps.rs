//! Tests which weight versions the next job of a trainer is expected to allow.

use ladderstage_front::job::LatestSteps;

#[test]
fn the_minimum_rises_with_each_step_after_the_initial_version() {
    let steps = LatestSteps::default();
    assert_eq!(steps.next_min_version("model", 1), 1);
    steps.record("model", 1, 1);
    assert_eq!(
        steps.next_min_version("model", 1),
        1,
        "the first steps all allow version 1"
    );
    steps.record("model", 5, 4);
    assert_eq!(
        steps.next_min_version("model", 3),
        5,
        "a newer step is open already"
    );
    steps.record("model", 4, 3);
    assert_eq!(
        steps.next_min_version("model", 3),
        5,
        "an older step that is reported late"
    );
    assert_eq!(steps.next_min_version("other", 7), 8);
}
