//! `/healthz`, `/readyz`, `/v1/status`, `/v1/members` and `/metrics`.

use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::serde::json::Json;
use rocket::{Route, State, get, routes};
use serde::Serialize;

use crate::node::NodeComponents;
use crate::status::{MemberStatus, NodeStatus, Readiness};

/// Returns the routes of this module. They need managed [`NodeComponents`].
pub fn routes() -> Vec<Route> {
    routes![health, ready, status, members, metrics]
}

/// Reports that the process is running.
#[get("/healthz")]
fn health() -> &'static str {
    "ok\n"
}

/// Reports whether the node accepts new work, and the reasons if not.
#[get("/readyz")]
fn ready(components: &State<Arc<NodeComponents>>) -> (Status, Json<Readiness>) {
    let readiness = Readiness::of(components);
    let status = if readiness.ready {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    };
    (status, Json(readiness))
}

/// Returns the status of the node and its view of the cluster.
#[get("/v1/status")]
fn status(components: &State<Arc<NodeComponents>>) -> Json<NodeStatus> {
    Json(NodeStatus::of(components))
}

/// Answer to `GET /v1/members`.
#[derive(Debug, Serialize)]
struct MembersAnswer {
    members: Vec<MemberStatus>,
}

/// Returns the members that this node knows.
#[get("/v1/members")]
fn members(components: &State<Arc<NodeComponents>>) -> Json<MembersAnswer> {
    let members = MemberStatus::all(components);
    Json(MembersAnswer { members })
}

/// Returns the metrics in the Prometheus text format.
#[get("/metrics")]
fn metrics(components: &State<Arc<NodeComponents>>) -> (ContentType, String) {
    let content_type = ContentType::new("text", "plain").with_params(("version", "0.0.4"));
    (content_type, crate::metrics::render(components))
}
