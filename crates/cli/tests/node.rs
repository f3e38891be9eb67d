//! Commands against a running node: status, members and explain.

#[path = "../../daemon/tests/support/bundle_cluster.rs"]
mod bundle_cluster;
#[path = "../../platform/tests/support/key_value_server.rs"]
mod key_value_server;

use bundle_cluster::{key, text};
use key_value_server::KeyValueServer;
use ladderstage::bundle::sign;
use ladderstage_daemon::node::Node;
use ladderstage_daemon::settings::{Flags, Settings};
use serde_json::{Value, json};
use tempfile::TempDir;

async fn start(folder: &TempDir, key_value: &str) -> Node {
    let text = format!(
        r#"
node = "n1"
zone = "bergen-a"
region = "vestland"
http_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
data_folder = {:?}
key_value = ["{key_value}"]
machine_list = "http://127.0.0.1:1"
initial_replicas = ["n1"]
[trusted_keys]
operators = "{}"
"#,
        folder.path().join("data").display().to_string(),
        key().public_hex()
    );
    let settings = Settings::parse("n1.toml", &text, &Flags::default()).unwrap();
    Node::start(settings).await.unwrap()
}

async fn run(node: &Node, code: i32, arguments: &[&str]) -> String {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_ladderstage"));
    command.args(arguments).kill_on_drop(true);
    command.args(["--daemon", &format!("http://{}", node.http_address())]);
    let output = command.output().await.unwrap();
    let text = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {text}");
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn status_members_and_explain_describe_a_node() {
    let server = KeyValueServer::start().await;
    let folder = tempfile::tempdir().unwrap();
    let node = start(&folder, &server.url).await;
    let no_bundle = run(&node, 1, &["explain", "--pool", "pricing"]).await;
    assert!(no_bundle.contains("no bundle is in force"), "{no_bundle}");

    let bundle = text(1, "first");
    let signature = sign(&bundle, &key());
    let entry = json!({"key_id": signature.key_id, "signature": hex::encode(signature.signature)});
    let path = folder.path().join("1.signed.json");
    std::fs::write(
        &path,
        json!({"text": bundle, "signatures": [entry]}).to_string(),
    )
    .unwrap();
    let rolled = run(&node, 0, &["bundle", "roll", &path.display().to_string()]).await;
    assert!(rolled.contains("in force on all 1 members"), "{rolled}");

    let members = run(&node, 0, &["members"]).await;
    assert!(
        members.contains("n1") && members.contains("bergen-a"),
        "{members}"
    );
    let status: Value = serde_json::from_str(&run(&node, 0, &["status", "--json"]).await).unwrap();
    assert_eq!(status["bundle"]["revision"], 1);
    let status = run(&node, 0, &["status"]).await;
    assert!(status.contains("node: n1"), "{status}");

    // There is no machine list, so no back end is usable.
    let explained = run(
        &node,
        0,
        &["explain", "--pool", "pricing", "--class", "live"],
    )
    .await;
    assert!(
        explained.contains("would be refused as not run"),
        "{explained}"
    );
    assert!(explained.contains("pricing-1"), "{explained}");
    let unknown = run(&node, 1, &["explain", "--pool", "pricin"]).await;
    assert!(
        unknown.contains("no pool `pricin` in the bundle; allowed: pricing"),
        "{unknown}"
    );
    run(&node, 1, &["trainer", "status", "karm", "7"]).await;
    node.stop().await;
}
