//! Bundle endpoints for operators.
//!
//! `POST /v1/bundles` rolls a bundle, `GET /v1/bundles/current` returns the bundle in force on this node, and
//! `GET /v1/bundles/proposals/<id>` returns the state of a roll.

use ladderstage::bundle::Finding;
use ladderstage_wire::messages::{BundleSignature, SignedBundle};
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Header, Status};
use rocket::response::{self, Responder, Response};
use rocket::serde::json::Json;
use rocket::{Request, Route, State, get, post, routes};
use serde::{Deserialize, Serialize};

use super::body::{LimitedBody, read_limited};
use crate::bundles::{Bundles, ProposalState, Refusal, RollOutcome};

/// Maximum length in KiB of a roll request, as JSON escaping may double the length of the text.
const MAX_BODY_KIB: u64 = 640;

/// `Retry-After` in seconds.
const RETRY_AFTER_SECONDS: u32 = 1;

/// Returns the routes of this module. They need a managed [`Bundles`].
pub fn routes() -> Vec<Route> {
    routes![roll, current, proposal]
}

/// Body of `POST /v1/bundles`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RollRequest {
    /// Text of the bundle, exactly as it was signed.
    pub text: String,
    /// Signatures of the text.
    pub signatures: Vec<SignatureBody>,
}

/// Signature in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignatureBody {
    /// Id of the key that made the signature.
    pub key_id: String,
    /// Signature of 64 bytes in hexadecimal.
    pub signature: String,
}

/// Answer to a roll or to a query of its state.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum RollAnswer {
    /// The bundle is stored in the key-value service and on a quorum of replicas.
    Accepted {
        /// Revision of the bundle.
        revision: u64,
        /// Id of the accepted proposal.
        proposal_id: String,
    },
    /// Another bundle has this revision.
    Lost {
        /// Revision in force.
        winner_revision: u64,
        /// SHA-256 of the text in force.
        winner_digest: String,
        /// Id of the accepted proposal.
        winner_proposal_id: String,
    },
    /// The bundle was refused and nothing changed.
    Refused {
        /// Stable name of the reason.
        reason: &'static str,
        /// Explanation of the reason.
        detail: String,
        /// All problems found in the text.
        findings: Vec<Finding>,
    },
    /// Nothing changed and the roll may be retried.
    NotRun {
        /// Description of the failure.
        detail: String,
    },
    /// The bundle may or may not come into force. Query the proposal to find out.
    Unknown {
        /// Id of the proposal.
        proposal_id: String,
        /// Reason for the unknown outcome.
        detail: String,
    },
    /// The bundle has the revision but is not yet stored on a quorum of replicas.
    Pending {
        /// Revision of the bundle.
        revision: u64,
    },
    /// This node has not seen the proposal in force.
    NotSeen {
        /// Revision in force.
        revision_in_force: u64,
    },
}

/// Answer with its HTTP status.
#[derive(Debug)]
pub struct Answer {
    status: Status,
    body: RollAnswer,
}

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        let retry = matches!(
            self.body,
            RollAnswer::NotRun { .. } | RollAnswer::Unknown { .. } | RollAnswer::Pending { .. }
        );
        let mut response = Response::build_from(Json(self.body).respond_to(request)?);
        response.status(self.status).header(ContentType::JSON);
        if retry {
            response.header(Header::new("Retry-After", RETRY_AFTER_SECONDS.to_string()));
        }
        response.ok()
    }
}

#[post("/v1/bundles", data = "<data>")]
async fn roll(data: Data<'_>, bundles: &State<Bundles>) -> Answer {
    match read_roll(data).await {
        Ok(signed) => answer_roll(bundles.roll(signed).await),
        Err(answer) => answer,
    }
}

async fn read_roll(data: Data<'_>) -> Result<SignedBundle, Answer> {
    let limit = MAX_BODY_KIB.kibibytes().as_u64();
    let read = read_limited(data, None, limit).await;
    let body = match read.map_err(|error| malformed(Status::BadRequest, error.to_string()))? {
        LimitedBody::Whole(bytes) => bytes,
        LimitedBody::TooLong => {
            let detail = format!("request body is longer than {MAX_BODY_KIB} KiB");
            return Err(malformed(Status::PayloadTooLarge, detail));
        }
    };
    let request: RollRequest = serde_json::from_slice(&body)
        .map_err(|error| malformed(Status::BadRequest, error.to_string()))?;
    let signatures = request.signatures.into_iter().map(read_signature);
    Ok(SignedBundle {
        text: request.text.into_bytes(),
        signatures: signatures.collect::<Result<_, _>>()?,
        proposal_id: String::new(),
    })
}

fn read_signature(body: SignatureBody) -> Result<BundleSignature, Answer> {
    let signature = hex::decode(&body.signature).map_err(|error| {
        let detail = format!("signature by `{}`: {error}", body.key_id);
        malformed(Status::BadRequest, detail)
    })?;
    Ok(BundleSignature {
        key_id: body.key_id,
        signature,
    })
}

fn malformed(status: Status, detail: String) -> Answer {
    let body = RollAnswer::Refused {
        reason: "malformed-request",
        detail,
        findings: Vec::new(),
    };
    Answer { status, body }
}

fn answer_roll(outcome: RollOutcome) -> Answer {
    let (status, body) = match outcome {
        RollOutcome::Accepted {
            revision,
            proposal_id,
        } => (
            Status::Ok,
            RollAnswer::Accepted {
                revision,
                proposal_id,
            },
        ),
        RollOutcome::Lost {
            revision,
            digest,
            proposal_id,
        } => (
            Status::Conflict,
            RollAnswer::Lost {
                winner_revision: revision,
                winner_digest: digest.to_string(),
                winner_proposal_id: proposal_id,
            },
        ),
        RollOutcome::Refused(refusal) => return answer_refusal(refusal),
        RollOutcome::NotRun { detail } => {
            (Status::ServiceUnavailable, RollAnswer::NotRun { detail })
        }
        RollOutcome::Unknown {
            proposal_id,
            detail,
        } => (
            Status::GatewayTimeout,
            RollAnswer::Unknown {
                proposal_id,
                detail,
            },
        ),
    };
    Answer { status, body }
}

fn answer_refusal(refusal: Refusal) -> Answer {
    let detail = refusal.to_string();
    let (status, reason, findings) = match refusal {
        Refusal::Signature(_) => (Status::Forbidden, "signature", Vec::new()),
        Refusal::Findings(findings) => (Status::UnprocessableEntity, "findings", findings),
        Refusal::Head(_) => (Status::Conflict, "head-record", Vec::new()),
    };
    let body = RollAnswer::Refused {
        reason,
        detail,
        findings,
    };
    Answer { status, body }
}

/// Answer to `GET /v1/bundles/current`.
#[derive(Debug, Clone, Serialize)]
pub struct CurrentAnswer {
    /// Revision in force on this node; 0 if there is none yet.
    pub revision: u64,
    /// SHA-256 of the text.
    pub digest: String,
    /// Id of the accepted proposal.
    pub proposal_id: String,
    /// Text of the bundle.
    pub text: String,
    /// Signatures of the text.
    pub signatures: Vec<SignatureBody>,
    /// Milliseconds since the bundle was last confirmed to be the newest.
    pub evidence_age_ms: Option<u64>,
    /// Whether this confirmation is recent enough to deliver samples.
    pub may_deliver: bool,
}

#[get("/v1/bundles/current")]
fn current(bundles: &State<Bundles>) -> Json<CurrentAnswer> {
    let evidence = bundles.evidence();
    let mut answer = CurrentAnswer {
        revision: 0,
        digest: String::new(),
        proposal_id: String::new(),
        text: String::new(),
        signatures: Vec::new(),
        evidence_age_ms: evidence.known.then_some(evidence.age_ms),
        may_deliver: bundles.may_deliver(),
    };
    if let Some(current) = bundles.current() {
        answer.revision = current.bundle.revision;
        answer.digest = current.digest().to_string();
        answer.proposal_id.clone_from(&current.signed.proposal_id);
        answer.text = String::from_utf8_lossy(&current.signed.text).into_owned();
        answer.signatures = current
            .signed
            .signatures
            .iter()
            .map(signature_body)
            .collect();
    }
    Json(answer)
}

fn signature_body(signature: &BundleSignature) -> SignatureBody {
    SignatureBody {
        key_id: signature.key_id.clone(),
        signature: hex::encode(&signature.signature),
    }
}

#[get("/v1/bundles/proposals/<id>")]
async fn proposal(id: &str, bundles: &State<Bundles>) -> Answer {
    let proposal_id = id.to_owned();
    let (status, body) = match bundles.proposal(id).await {
        ProposalState::Accepted { revision, .. } => (
            Status::Ok,
            RollAnswer::Accepted {
                revision,
                proposal_id,
            },
        ),
        ProposalState::Pending { revision } => (Status::Ok, RollAnswer::Pending { revision }),
        ProposalState::NotSeen { in_force } => (
            Status::NotFound,
            RollAnswer::NotSeen {
                revision_in_force: in_force,
            },
        ),
        ProposalState::Unknown { detail } => (
            Status::GatewayTimeout,
            RollAnswer::Unknown {
                proposal_id,
                detail,
            },
        ),
    };
    Answer { status, body }
}
