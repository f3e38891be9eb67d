//! Constructors of membership messages.

use ladderstage_wire::messages::mod_Refused::Reason;
use ladderstage_wire::messages::mod_Request::OneOfkind as RequestKind;
use ladderstage_wire::messages::mod_Response::OneOfkind as ResponseKind;
use ladderstage_wire::messages::{
    IndirectPing, Member, MemberSync, MemberSyncReply, Ping, PingAck, Refused, Request, Response,
};

pub(super) fn ping(ping: Ping) -> Request {
    Request {
        kind: RequestKind::ping(ping),
    }
}

pub(super) fn indirect_ping(from: String, target: Member) -> Request {
    let target = Some(target);
    Request {
        kind: RequestKind::indirect_ping(IndirectPing { from, target }),
    }
}

pub(super) fn member_sync(members: Vec<Member>) -> Request {
    Request {
        kind: RequestKind::member_sync(MemberSync { members }),
    }
}

pub(super) fn ping_ack(ack: PingAck) -> Response {
    Response {
        kind: ResponseKind::ping_ack(ack),
    }
}

pub(super) fn member_sync_reply(members: Vec<Member>) -> Response {
    Response {
        kind: ResponseKind::member_sync(MemberSyncReply { members }),
    }
}

pub(super) fn malformed(detail: String) -> Response {
    let refused = Refused {
        reason: Reason::MALFORMED,
        detail,
        retry_after_ms: 0,
    };
    Response {
        kind: ResponseKind::refused(refused),
    }
}
