//! The checker detects each violation and accepts a correct step.

use std::time::Instant;

use ladderstage_bench::text::{self, Segment};
use ladderstage_bench::trainer::{
    BundleRequirements, PoolRequirements, Sample, SamplesAnswer, StepChecker, StepReport, StepSpec,
    Violation,
};

const TOKENS: u32 = 4;

fn sample(slot: u32, versions: [u64; 2]) -> Sample {
    let prompt = format!("step 7 slot {slot}");
    let token = |position: u64| text::token(&prompt, position, versions[position as usize / 2]);
    Sample {
        trainer: "karm".to_owned(),
        step: 7,
        slot,
        attempt: 1,
        text: (0..u64::from(TOKENS)).map(token).collect(),
        segments: versions
            .map(|weight_version| Segment {
                weight_version,
                tokens: 2,
            })
            .to_vec(),
        prompt,
        score: None,
        engine: "engine-1".to_owned(),
    }
}

fn check(samples: Vec<Sample>) -> StepReport {
    let requirements = BundleRequirements::default();
    let demands = PoolRequirements {
        weight_version: 5,
        staleness_bound: 1,
    };
    requirements.add(3, "karm-lm", demands);
    let spec = StepSpec::generate("karm-lm", 7, 2, TOKENS);
    let mut checker = StepChecker::new("karm", 7, spec, requirements);
    let answer = SamplesAnswer {
        samples,
        cursor: "a".to_owned(),
        complete: true,
        bundle_revision: 3,
    };
    checker.add_answer(answer, Instant::now());
    checker.finish()
}

#[test]
fn accepts_a_correct_step() {
    let report = check(vec![sample(1, [4, 5]), sample(0, [5, 5])]);
    assert_eq!((report.delivered, report.violations), (2, vec![]));
}

#[test]
fn finds_lost_and_duplicated_slots() {
    let report = check(vec![sample(0, [5, 5]), sample(0, [5, 5])]);
    let doubled = Violation::Doubled {
        slot: 0,
        first: 1,
        second: 1,
    };
    assert_eq!(report.violations, [doubled, Violation::Lost { slot: 1 }]);
    assert_eq!(
        (report.delivered, report.duplicated, report.lost),
        (1, 1, 1)
    );
}

#[test]
fn finds_stale_and_mislabelled_samples() {
    let mut mislabelled = sample(1, [4, 5]);
    mislabelled.segments[0].weight_version = 5;
    let report = check(vec![sample(0, [3, 5]), mislabelled]);
    let stale = Violation::Stale {
        slot: 0,
        oldest: 3,
        revision: 3,
        demanded: 4,
    };
    assert_eq!(report.violations[0], stale);
    assert!(matches!(
        report.violations[1..],
        [Violation::Mislabelled { slot: 1, .. }]
    ));
}

#[test]
fn finds_short_and_foreign_samples() {
    let mut short = sample(0, [5, 5]);
    short.text = short.text.split_inclusive(' ').take(2).collect();
    short.segments.truncate(1);
    let mut foreign = sample(1, [5, 5]);
    foreign.step = 8;
    let violations = check(vec![short, foreign]).violations;
    assert_eq!(
        violations[0],
        Violation::WrongLength {
            slot: 0,
            tokens: 2,
            asked: 4
        }
    );
    assert!(matches!(
        violations[1],
        Violation::NotAskedFor { step: 8, .. }
    ));
}
