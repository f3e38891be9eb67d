//! Evidence that a bundle is the newest, checked against a model that stores all statements of the
//! sources.

use std::time::Duration;

use ladderstage::evidence::{Evidence, EvidenceEffect};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Event {
    ObserveNewest { revision: u64, as_of: u64 },
    ObserveExistence { revision: u64 },
    Advance { revision: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..6_u64, 0..100_u64)
            .prop_map(|(revision, as_of)| Event::ObserveNewest { revision, as_of }),
        (0..6_u64).prop_map(|revision| Event::ObserveExistence { revision }),
        (0..6_u64).prop_map(|revision| Event::Advance { revision }),
    ]
}

proptest! {
    #[test]
    fn never_claims_more_than_its_sources(events in proptest::collection::vec(event(), 0..60)) {
        let mut evidence = Evidence::new();
        let mut statements: Vec<(u64, Duration)> = Vec::new();
        let mut highest_known = 0;
        for event in events {
            let before = evidence.revision();
            match event {
                Event::ObserveNewest { revision, as_of } => {
                    let as_of = Duration::from_millis(as_of);
                    statements.push((revision, as_of));
                    highest_known = highest_known.max(revision);
                    let learned = evidence.observe_newest(revision, as_of);
                    prop_assert_eq!(learned == EvidenceEffect::Fetch { revision }, revision > before);
                }
                Event::ObserveExistence { revision } => {
                    highest_known = highest_known.max(revision);
                    evidence.observe_existence(revision);
                }
                Event::Advance { revision } => {
                    highest_known = highest_known.max(revision);
                    prop_assert_eq!(evidence.advance(revision), revision > before);
                }
            }
            let held = evidence.revision();
            prop_assert!(held >= before);
            if let Some(claimed) = evidence.newest_as_of() {
                prop_assert!(statements.iter().any(|(revision, as_of)| *revision == held && *as_of >= claimed));
                prop_assert_eq!(highest_known, held);
            }
            prop_assert_eq!(evidence.newer_revision(), (highest_known > held).then_some(highest_known));
        }
    }
}

#[test]
fn evidence_for_a_newer_revision_counts_once_it_is_held() {
    let mut evidence = Evidence::new();
    evidence.advance(1);
    assert_eq!(
        evidence.observe_newest(1, Duration::from_secs(5)),
        EvidenceEffect::Refreshed
    );
    assert_eq!(
        evidence.observe_newest(1, Duration::from_secs(4)),
        EvidenceEffect::Ignored
    );
    assert_eq!(
        evidence.observe_newest(2, Duration::from_secs(6)),
        EvidenceEffect::Fetch { revision: 2 }
    );
    assert_eq!(evidence.age(Duration::from_secs(7)), None);
    evidence.advance(2);
    assert_eq!(
        evidence.age(Duration::from_secs(7)),
        Some(Duration::from_secs(1))
    );
    assert_eq!(
        evidence.observe_newest(1, Duration::from_secs(9)),
        EvidenceEffect::Ignored
    );
}
