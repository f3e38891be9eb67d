//! Constructors of responses to other daemons.

use std::time::Duration;

use ladderstage_wire::messages::mod_OpenShardReply::Outcome as OpenOutcome;
use ladderstage_wire::messages::mod_PullShardReply::Outcome as PullOutcome;
use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Response::OneOfkind as Kind;
use ladderstage_wire::messages::{Done, OpenShardReply, PullShardReply, Refused, Response};

/// Delay before the caller retries after a refusal or a held-back delivery.
pub(super) const RETRY_AFTER: Duration = Duration::from_millis(500);

pub(super) fn refused(reason: Reason, detail: &str) -> Response {
    Response {
        kind: Kind::refused(Refused {
            reason,
            detail: detail.to_owned(),
            retry_after_ms: RETRY_AFTER.as_millis() as u64,
        }),
    }
}

pub(super) fn done() -> Response {
    Response {
        kind: Kind::done(Done {}),
    }
}

pub(super) fn opened(outcome: OpenOutcome) -> Response {
    Response {
        kind: Kind::open_shard(OpenShardReply { outcome }),
    }
}

pub(super) fn pulled(reply: PullShardReply) -> Response {
    Response {
        kind: Kind::pull_shard(reply),
    }
}

pub(super) fn held_back() -> Response {
    pulled(PullShardReply {
        outcome: PullOutcome::HELD_BACK,
        retry_after_ms: RETRY_AFTER.as_millis() as u64,
        ..PullShardReply::default()
    })
}
