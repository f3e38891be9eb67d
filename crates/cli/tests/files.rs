//! Commands on files: keys, checks, signatures and exit codes.

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;
use tempfile::TempDir;

fn run(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ladderstage"));
    command.args(arguments).current_dir(folder);
    command.output().unwrap()
}

/// Runs a command, checks its exit code and returns its standard output and error.
fn expect(folder: &Path, code: i32, arguments: &[&str]) -> (String, String) {
    let output = run(folder, arguments);
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    let (stdout, stderr) = (text(output.stdout), text(output.stderr));
    assert_eq!(
        output.status.code(),
        Some(code),
        "{arguments:?}: {stdout}{stderr}"
    );
    (stdout, stderr)
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn folder_with_examples() -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    for name in ["fjordkarm.toml", "sahil.toml"] {
        std::fs::copy(example(name), folder.path().join(name)).unwrap();
    }
    folder
}

#[test]
fn the_examples_are_signed_and_verified() {
    let folder = folder_with_examples();
    let at = folder.path();
    for name in ["fjordkarm", "sahil"] {
        let (text, signed) = (format!("{name}.toml"), format!("{name}.signed.json"));
        expect(at, 0, &["bundle", "check", &text]);
        let key = format!("{name}.key");
        let (made, _) = expect(at, 0, &["keygen", "--id", name, "--out", &key, "--json"]);
        let public: Value = serde_json::from_str(&made).unwrap();
        let trusted = format!("{name}={}", public["public_key"].as_str().unwrap());
        expect(at, 0, &["bundle", "sign", "--key", &key, &text]);
        expect(at, 0, &["bundle", "verify", "--trusted", &trusted, &signed]);
        // A second signature must not replace the first one.
        expect(
            at,
            0,
            &[
                "keygen",
                "--id",
                "next",
                "--out",
                &format!("{name}-next.key"),
            ],
        );
        expect(
            at,
            0,
            &[
                "bundle",
                "sign",
                "--key",
                &format!("{name}-next.key"),
                &signed,
            ],
        );
        let (verified, _) = expect(at, 0, &["bundle", "verify", "--trusted", &trusted, &signed]);
        assert!(
            verified.contains("signed by") && verified.contains("next"),
            "{verified}"
        );
        let forged = std::fs::read_to_string(at.join(&signed))
            .unwrap()
            .replace("10", "11");
        std::fs::write(at.join(&signed), forged).unwrap();
        let (_, error) = expect(at, 1, &["bundle", "verify", "--trusted", &trusted, &signed]);
        assert!(error.contains("does not fit the text"), "{error}");
    }
}

#[test]
fn key_files_are_private_and_never_overwritten() {
    let folder = folder_with_examples();
    let at = folder.path();
    expect(at, 0, &["keygen", "--id", "a", "--out", "a.key"]);
    let path = at.join("a.key");
    let mode = std::fs::metadata(&path).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    expect(at, 2, &["keygen", "--id", "a", "--out", "a.key"]);
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o640)).unwrap();
    let secret = std::fs::read_to_string(&path).unwrap();
    let (_, error) = expect(at, 2, &["bundle", "sign", "--key", "a.key", "sahil.toml"]);
    assert!(
        error.contains("0640") && !error.contains(&secret),
        "{error}"
    );
}

#[test]
fn every_problem_is_reported_with_its_position() {
    let folder = folder_with_examples();
    let at = folder.path();
    let broken = std::fs::read_to_string(at.join("fjordkarm.toml"))
        .unwrap()
        .replace("revision = 1", "revision = 0")
        .replace("objective =", "objektive =")
        .replace("\"model\"", "\"modell\"")
        .replace("concurrency = 8", "concurrency = \"8\"")
        .replace("limit = 56", "limit = 0")
        .replace("\"prisverk-3\"", "\"karm-lm-1\"");
    std::fs::write(at.join("broken.toml"), broken).unwrap();
    let (_, error) = expect(at, 2, &["bundle", "check", "broken.toml"]);
    let lines: Vec<&str> = error.lines().collect();
    assert_eq!(lines.len(), 6, "{error}");
    assert_eq!(
        lines[0],
        "broken.toml:2:12: found revision 0; allowed: 1 or more"
    );
    let (json, _) = expect(at, 2, &["bundle", "check", "broken.toml", "--json"]);
    let report: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(report["findings"].as_array().unwrap().len(), 6);
}

#[test]
fn a_diff_lists_the_changed_values() {
    let folder = folder_with_examples();
    let at = folder.path();
    let next = std::fs::read_to_string(at.join("sahil.toml"))
        .unwrap()
        .replace("revision = 1", "revision = 2")
        .replace("weight_version = 1", "weight_version = 2");
    std::fs::write(at.join("next.toml"), next).unwrap();
    let (changes, _) = expect(
        at,
        0,
        &["bundle", "diff", "--against", "sahil.toml", "next.toml"],
    );
    assert_eq!(
        changes,
        "pool.matcher-lm.weight_version: 1 -> 2\nrevision: 1 -> 2\n"
    );
    expect(
        at,
        0,
        &["bundle", "check", "--against", "sahil.toml", "next.toml"],
    );
    expect(
        at,
        2,
        &["bundle", "check", "--against", "next.toml", "sahil.toml"],
    );
}

#[test]
fn invalid_usage_and_invalid_files_exit_with_2() {
    let folder = folder_with_examples();
    let at = folder.path();
    std::fs::write(at.join("binary.json"), [0xff, 0x00]).unwrap();
    let cases: [&[&str]; 12] = [
        &[],
        &["bundel"],
        &["bundle"],
        &["bundle", "rol"],
        &["keygen"],
        &["bundle", "check"],
        &["bundle", "check", "nowhere.toml"],
        &["bundle", "check", "--colour", "sahil.toml"],
        &["bundle", "diff", "sahil.toml"],
        &["bundle", "verify", "--trusted", "x", "binary.json"],
        &["bundle", "roll", "binary.json"],
        &["members", "--daemon", "10.0.0.5"],
    ];
    for arguments in cases {
        let (_, error) = expect(at, 2, arguments);
        assert!(!error.is_empty());
    }
}

#[test]
fn each_level_has_help_with_examples() {
    let folder = tempfile::tempdir().unwrap();
    let levels = [
        "",
        "keygen",
        "bundle",
        "bundle check",
        "bundle diff",
        "bundle sign",
        "bundle verify",
        "bundle roll",
        "bundle status",
        "status",
        "members",
        "trainer",
        "trainer status",
        "explain",
    ];
    for level in levels {
        let arguments: Vec<&str> = level.split_whitespace().chain(["--help"]).collect();
        let (help, _) = expect(folder.path(), 0, &arguments);
        assert!(help.contains("EXAMPLE"), "{level}: {help}");
    }
    let (version, _) = expect(folder.path(), 0, &["--version"]);
    assert!(version.starts_with("ladderstage 0."));
}
