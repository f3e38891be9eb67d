//! JSON bodies for errors that no route handled.

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{Catcher, Request, catch, catchers};
use serde::Serialize;

/// Body of an error response.
#[derive(Debug, Serialize)]
pub struct Failure {
    /// Details of the error.
    pub error: FailureDetail,
}

/// Error for programs (`kind`) and for people (`detail`).
#[derive(Debug, Serialize)]
pub struct FailureDetail {
    /// Stable name of the error.
    pub kind: &'static str,
    /// Explanation of the error.
    pub detail: String,
}

/// Returns the catchers for errors that no route handled.
pub fn catchers() -> Vec<Catcher> {
    catchers![error_answer]
}

#[catch(default)]
fn error_answer(status: Status, request: &Request<'_>) -> Json<Failure> {
    let kind = match status.code {
        404 => "no-such-path",
        413 => "body-too-large",
        400 | 422 => "malformed-request",
        500 => "internal",
        _ => "refused",
    };
    let detail = format!("{} {}: {}", request.method(), request.uri().path(), status);
    Json(Failure {
        error: FailureDetail { kind, detail },
    })
}
