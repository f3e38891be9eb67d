//! When a run is moved to a faster instance.

use ladderstage_front::job::pays_to_move;

#[test]
fn a_slow_run_moves_where_that_saves_more_than_the_move_costs() {
    assert!(pays_to_move(170.0, 40.0, 4), "an instance that turned slow");
    assert!(pays_to_move(51.0, 39.0, 24), "a long run on a slow machine");
    assert!(!pays_to_move(51.0, 39.0, 12), "a run that may end soon");
    assert!(!pays_to_move(43.0, 39.0, 100), "hardly slower");
}

/// Found by a test that failed once under load: runs of a millisecond an event were moved back and forth.
#[test]
fn a_run_stays_where_a_move_saves_less_than_it_costs() {
    assert!(!pays_to_move(4.0, 1.0, 4));
    assert!(!pays_to_move(2.0, 1.0, 40));
}
