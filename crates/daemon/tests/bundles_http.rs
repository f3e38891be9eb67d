//! Operators' HTTP interface to bundles: statuses, errors with all findings, and limits.

#[path = "support/bundle_cluster.rs"]
mod bundle_cluster;
#[path = "../../platform/tests/support/key_value_server.rs"]
mod key_value_server;

use bundle_cluster::{Cluster, signed, text};
use key_value_server::{Fault, KeyValueServer};
use ladderstage_daemon::bundles::Bundles;
use ladderstage_daemon::http::bundles::routes;
use rocket::local::asynchronous::Client;
use serde_json::{Value, json};

async fn start() -> (KeyValueServer, Cluster, Vec<Bundles>, Client) {
    let server = KeyValueServer::start().await;
    let cluster = Cluster::new(&server.url);
    let nodes = cluster.start_nodes(&["n1", "n2", "n3"]).await;
    let rocket = rocket::custom(rocket::Config::default());
    let rocket = rocket.manage(nodes[0].clone()).mount("/", routes());
    let client = Client::untracked(rocket).await.unwrap();
    (server, cluster, nodes, client)
}

fn body(text: &str) -> String {
    let signature = &signed(text).signatures[0];
    let signature =
        json!({"key_id": signature.key_id, "signature": hex::encode(&signature.signature)});
    json!({"text": text, "signatures": [signature]}).to_string()
}

async fn post(client: &Client, body: String) -> (u16, Value, bool) {
    let response = client.post("/v1/bundles").body(body).dispatch().await;
    let status = response.status().code;
    let retry = response.headers().contains("Retry-After");
    (status, response.into_json().await.unwrap(), retry)
}

async fn get(client: &Client, path: &str) -> (u16, Value) {
    let response = client.get(path).dispatch().await;
    (response.status().code, response.into_json().await.unwrap())
}

#[tokio::test]
async fn a_roll_is_accepted_and_its_proposal_can_be_queried() {
    let (server, _cluster, _nodes, client) = start().await;
    assert_eq!(get(&client, "/v1/bundles/current").await.1["revision"], 0);
    let (status, answer, _) = post(&client, body(&text(1, "first"))).await;
    assert_eq!(
        (status, &answer["outcome"]),
        (200, &json!("accepted")),
        "{answer}"
    );
    let (_, current) = get(&client, "/v1/bundles/current").await;
    assert_eq!(current["text"], text(1, "first"));
    assert_eq!(current["proposal_id"], answer["proposal_id"]);
    let path = format!(
        "/v1/bundles/proposals/{}",
        answer["proposal_id"].as_str().unwrap()
    );
    assert_eq!(get(&client, &path).await.1["outcome"], "accepted");
    assert_eq!(get(&client, "/v1/bundles/proposals/none").await.0, 404);

    let (status, lost, _) = post(&client, body(&text(1, "other"))).await;
    assert_eq!((status, &lost["winner_digest"]), (409, &current["digest"]));
    server.set_fault(Some(Fault::CutBefore));
    let (status, answer, retry) = post(&client, body(&text(2, "first"))).await;
    assert_eq!(
        (status, &answer["outcome"], retry),
        (503, &json!("not-run"), true)
    );
}

#[tokio::test]
async fn refusals_list_all_findings() {
    let (_server, _cluster, _nodes, client) = start().await;
    let broken = "revision = 0\ncolour = 1\n[[pool]]\nname = 3\nkind = 'x'\nbackends = []\nconcurrency = 0\n";
    let (status, answer, retry) = post(&client, body(broken)).await;
    assert_eq!((status, retry), (422, false), "{answer}");
    let findings = answer["findings"].as_array().unwrap();
    assert_eq!(
        findings.len(),
        8,
        "six invalid fields and two missing classes: {answer}"
    );
    assert!(
        findings
            .iter()
            .all(|finding| finding["line"].as_u64().unwrap() > 0)
    );

    let forged = body(&text(1, "first")).replace("first", "forged");
    let (status, answer, _) = post(&client, forged).await;
    assert_eq!((status, &answer["reason"]), (403, &json!("signature")));
    for malformed in ["", "{}", "[1]", "{\"text\":\"\",\"signatures\":[],\"x\":1}"] {
        assert_eq!(
            post(&client, malformed.to_owned()).await.0,
            400,
            "{malformed}"
        );
    }
    let overlong = body(&"#".repeat(700 * 1024));
    assert_eq!(post(&client, overlong).await.0, 413);
}
