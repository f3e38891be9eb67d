//! Parsing and checking of bundles: all findings of a file in one run, each with its position.

use ladderstage::bundle::{
    Bundle, BundleDocument, CheckContext, Finding, KnownVersions, check, compare, parse, parse_file,
};
use proptest::prelude::*;

const VALID_TEXT: &str = r#"
revision = 1
objective = "trainer-idle"

[[pool]]
name = "lm"
kind = "model"
backends = ["lm-1", "lm-2"]
weight_version = 3
staleness_bound = 1
concurrency = 8

[[pool]]
name = "pricing"
kind = "application"
backends = ["pricing-1"]
concurrency = 4

[[class]]
name = "live"
priority = 0
limit = 10
deadline_ms = 2000
retry_budget_percent = 10

[[class]]
name = "rollout"
priority = 1
limit = 10
deadline_ms = 60000
"#;

fn valid_bundle() -> Bundle {
    parse(VALID_TEXT).expect("the sample bundle has no findings")
}

fn findings_of(text: &str) -> Vec<Finding> {
    parse_file("b.toml", text).expect_err("there are findings")
}

/// Returns the only finding after replacing `old` by `new` in the valid text, as `line:column
/// found`.
fn finding_after(old: &str, new: &str) -> String {
    assert!(VALID_TEXT.contains(old), "{old}");
    let findings = findings_of(&VALID_TEXT.replacen(old, new, 1));
    assert_eq!(findings.len(), 1, "{findings:#?}");
    let finding = &findings[0];
    format!("{}:{} {}", finding.line, finding.column, finding.found)
}

#[test]
fn six_mistakes_yield_six_findings_with_positions_in_one_run() {
    let text = r#"revision = "one"
objektive = "staleness"

[[pool]]
name = "lm"
kind = "modell"
backends = []
concurrency = 0

[[class]]
name = "live"
priority = -1
limit = 5
deadline_ms = 1000

[[class]]
name = "rollout"
priority = 1
limit = 0x10
deadline_ms = 1000
"#;
    let findings = findings_of(text);
    let positions: Vec<_> = findings
        .iter()
        .map(|finding| (finding.line, finding.column))
        .collect();
    let expected = [(1, 12), (2, 1), (6, 8), (7, 12), (8, 15), (12, 12)];
    assert_eq!(positions, expected, "{findings:#?}");
    assert_eq!(
        findings[1].to_string(),
        "b.toml:2:1: found unknown key `objektive`; allowed: `objective`?"
    );
    assert_eq!(findings[2].allowed, "\"model\" or \"application\"");
}

#[test]
fn each_mistake_is_reported_at_its_position() {
    let cases = [
        ("revision = 1", "revision = 0", "2:12 revision 0"),
        ("revision = 1\n", "", "1:1 no key `revision`"),
        (
            "concurrency = 8",
            "concurrency = 8\ncolour = 1",
            "12:1 unknown key `colour`",
        ),
        (
            "weight_version = 3",
            "weight_version = 0",
            "9:18 model pool `lm` with weight version 0",
        ),
        (
            "weight_version = 3",
            "weight_version = \"3\"",
            "9:18 string \"3\"",
        ),
        (
            "concurrency = 4",
            "concurrency = 4\nweight_version = 2",
            "18:18 a weight version for application pool `pricing`",
        ),
        (
            "[\"pricing-1\"]",
            "[\"pricing-1\", \"lm-2\"]",
            "16:26 back end `lm-2`, which pool `lm` has already",
        ),
        ("[\"pricing-1\"]", "[\"pricing-1\", 7]", "16:26 integer 7"),
        (
            "name = \"pricing\"",
            "name = \"lm\"",
            "14:8 a second pool `lm`",
        ),
        (
            "staleness_bound = 1",
            "staleness_bound_seconds = 0",
            "10:27 0 seconds, which no sample can meet",
        ),
        (
            "limit = 10",
            "limit = 11",
            "29:9 limit 10, which takes the sum to 21",
        ),
        (
            "deadline_ms = 2000",
            "deadline_ms = 0",
            "23:15 deadline of 0 ms",
        ),
        (
            "name = \"rollout\"",
            "name = \"rollouts\"",
            "19:1 no class `rollout`",
        ),
        (
            "retry_budget_percent = 10",
            "retry_budget_percent = 101",
            "24:24 a retry budget of 101 %",
        ),
        (
            "limit = 10",
            "limit = ",
            "22:9 malformed TOML: string values must be quoted, expected literal string",
        ),
        ("name = \"pricing\"", "name = \"..\"", "14:8 name \"..\""),
        ("\"lm-2\"", "\"lm/2\"", "8:21 name \"lm/2\""),
    ];
    for (old, new, expected) in cases {
        assert_eq!(finding_after(old, new), expected, "{old} -> {new}");
    }
}

#[test]
fn a_bundle_is_checked_against_the_one_in_force_and_the_weight_store() {
    let current = valid_bundle();
    let known: KnownVersions = [("lm".to_owned(), [3, 4].into())].into();
    let text = VALID_TEXT
        .replace("revision = 1", "revision = 3")
        .replace("weight_version = 3", "weight_version = 5");
    let context = CheckContext {
        current: Some(&current),
        known_versions: Some(&known),
    };
    let findings = BundleDocument::read("b.toml", &text).check(&context);
    let lines: Vec<u32> = findings.iter().map(|finding| finding.line).collect();
    assert_eq!(lines, [2, 9, 10], "{findings:#?}");
    assert_eq!(
        findings[0].allowed,
        "2, the successor of revision 1 in force"
    );
    assert!(findings[1].allowed.ends_with("whose newest is 4"));
    assert!(findings[2].found.contains("moves the weight version by 2"));

    let mut successor = valid_bundle();
    successor.revision = 2;
    successor.pools[0].weight_version = 4;
    assert_eq!(check(&successor, Some(&current), Some(&known)), []);
    successor.pools[0].backends.clear();
    assert_eq!(check(&successor, Some(&current), Some(&known)).len(), 1);
}

#[test]
fn differences_name_pools_and_classes() {
    let old = valid_bundle();
    let mut new = valid_bundle();
    new.revision = 2;
    new.pools[0].weight_version = 4;
    new.classes.pop();
    let paths: Vec<String> = compare(&old, &new)
        .into_iter()
        .map(|change| change.path)
        .collect();
    assert_eq!(
        paths[..2],
        ["class.rollout.deadline_ms", "class.rollout.limit"]
    );
    assert_eq!(paths[4..], ["pool.lm.weight_version", "revision"]);
    assert_eq!(compare(&old, &old), []);
}

#[test]
fn an_overlong_text_is_one_finding() {
    let text = "#".repeat(ladderstage::bundle::MAX_TEXT_BYTES + 1);
    assert_eq!(findings_of(&text).len(), 1);
}

proptest! {
    #[test]
    fn no_text_panics(text in "\\PC{0,200}") {
        let _ = parse(&text);
    }

    /// Damaged text yields findings with positions, or another valid bundle.
    #[test]
    fn damaged_text_never_panics(position in 0..VALID_TEXT.len(), piece in "[\\[\\]=\"\n0-9a-z.{},]{0,6}", cut in 0..20_usize) {
        let end = (position + cut).min(VALID_TEXT.len());
        let text = format!("{}{piece}{}", &VALID_TEXT[..position], &VALID_TEXT[end..]);
        if let Err(findings) = parse(&text) {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().all(|finding| finding.line > 0 && finding.column > 0));
        }
    }
}
