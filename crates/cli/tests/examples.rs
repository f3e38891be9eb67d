//! The output for `examples/` must match README.md.

use std::path::{Path, PathBuf};
use std::process::Command;

use ladderstage::bundle::BundleKey;
use ladderstage_daemon::settings::{Flags, Settings};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap()
}

fn check(bundle: &str) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ladderstage"));
    command.args(["bundle", "check", bundle]);
    let output = command.current_dir(root()).output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    (output.status.code(), errors)
}

#[test]
fn findings_of_the_example_match_the_readme() {
    let (code, errors) = check("examples/six-mistakes.toml");
    assert_eq!((code, errors.lines().count()), (Some(2), 6), "{errors}");
    let expected: String = errors.lines().map(|line| format!("    {line}\n")).collect();
    assert!(read("README.md").contains(&expected), "{errors}");
}

#[test]
fn walkthrough_files_are_valid_except_for_the_trusted_key() {
    for bundle in ["bundle-1", "bundle-2"] {
        let (code, errors) = check(&format!("examples/walk/{bundle}.toml"));
        assert_eq!((code, errors.as_str()), (Some(0), ""));
    }
    let key = BundleKey::from_secret("ops", &[7; 32]).public_hex();
    for node in ["bergen-a-1", "bergen-b-1", "forde-1"] {
        let text = read(&format!("examples/walk/{node}.toml"));
        let findings = Settings::parse(node, &text, &Flags::default()).unwrap_err();
        assert_eq!(findings.len(), 1, "{findings:?}");
        assert_eq!(findings[0].found, "no trusted keys");
        let text = format!("{text}ops = \"{key}\"\n");
        let settings = Settings::parse(node, &text, &Flags::default()).unwrap();
        assert!(settings.initial_replicas.contains(&settings.node));
    }
}
